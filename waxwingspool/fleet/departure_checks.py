"""Health checks of upstreams that are leaving although the store lists them as ready.

While the store is away or its rows are old, only the upstream itself can tell that it has started
again under its id. These checks end a departure; see :meth:`.departures.Departures.record_check`.
"""

import asyncio
import random
from collections.abc import Callable, Iterable

from waxwingspool.catalog import upstreams
from waxwingspool.fleet import departures, probes
from waxwingspool.observe import eventlog
from waxwingspool.proxy import departure_header, header_names, message, upstream

__all__ = ["DepartureChecker"]

# Shortest average interval between two checks by one balancer, in seconds; each interval is between
# half and one and a half times as long.
MIN_INTERVAL_S = 1.0
# Rate at which all balancers together check an upstream, in checks per second.
MAX_RATE = 40.0
# Largest number of upstreams that are checked at the same time.
MAX_CHECKS = 20
# Timeout for connecting and for the response, in seconds.
TIMEOUT_S = 0.5


class DepartureChecker:
    """Checks upstreams that get no requests only because they have said that they are leaving.

    :param local_ip: source address of the connections.
    :param known_departures: told what the checks show.
    :param get_withheld: returns these upstreams.
    :param get_balancer_count: returns the number of balancers.
    :param health_path: returns the health path of a service, ``None`` if the service is unknown.
    :param names: header names of the platform.
    """

    def __init__(
        self,
        local_ip: str,
        known_departures: departures.Departures,
        get_withheld: Callable[[], Iterable[upstreams.Upstream]],
        get_balancer_count: Callable[[], int],
        health_path: probes.HealthPath,
        names: header_names.HeaderNames,
    ) -> None:
        self._local_ip = local_ip
        self._departures = known_departures
        self._get_withheld = get_withheld
        self._get_balancer_count = get_balancer_count
        self._health_path = health_path
        self._header_names = names

    async def run(self) -> None:
        """Check the upstreams until cancelled."""
        while True:
            interval_s = max(MIN_INTERVAL_S, self._get_balancer_count() / MAX_RATE)
            await asyncio.sleep(interval_s * (0.5 + random.random()))
            withheld = list(self._get_withheld())
            chosen = random.sample(withheld, min(MAX_CHECKS, len(withheld)))
            await asyncio.gather(*(self.check(target) for target in chosen))

    async def check(self, target: upstreams.Upstream) -> None:
        """Check one upstream, and record what its health check shows."""
        path = self._health_path(target.service)
        if path is None:
            return
        connection = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                connection = await upstream.connect(target.address, self._local_ip, TIMEOUT_S, None)
                response = await probes.check_health(connection, target, path)
            result = self._classify(target, response)
        except ConnectionRefusedError:
            result = departures.Check.GONE
        except (OSError, TimeoutError, upstream.Broken) as error:
            eventlog.event("upstream.leaving.unchecked", upstream=target.id, error=error)
            return
        finally:
            if connection is not None:
                connection.abort()
        self._departures.record_check(target, result)

    def _classify(
        self, target: upstreams.Upstream, response: upstream.Response
    ) -> departures.Check:
        names = self._header_names
        instance = message.get_header(response.headers, names.instance)
        if instance is None:
            return departures.Check.UNKNOWN
        if instance != target.id.encode():
            return departures.Check.GONE
        if departure_header.tells_departure(response.status, response.headers, names):
            return departures.Check.LEAVING
        return departures.Check.SERVING if response.status == 200 else departures.Check.UNKNOWN
