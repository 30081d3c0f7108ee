"""Active probes of the current load and slowdown of upstreams.

Upstreams share their machines with other workloads, so the duration of the same work changes
several times a second. The load reported with a response is outdated by the time the next request
is assigned; the dispatcher of a service therefore probes its upstreams while there are requests.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from waxwingspool.catalog import upstreams
from waxwingspool.fleet import slots
from waxwingspool.observe import counters, eventlog
from waxwingspool.proxy import departure_header, header_names, limit_header, message, upstream

__all__ = ["HealthPath", "Prober", "check_health"]

# Interval between two probes of an upstream, in seconds: a fifth of the usual duration of
# contention on an upstream's machine.
INTERVAL_S = 0.1
# Timeout for connecting and for the response to a probe, in seconds.
TIMEOUT_S = 0.3
# Time after the last request to a service during which its upstreams are probed, in seconds.
ACTIVE_WINDOW_S = 1.0

HealthPath = Callable[[str], str | None]


@dataclasses.dataclass(slots=True)
class _Probe:
    task: asyncio.Task
    target: upstreams.Upstream


class Prober:
    """Probes the upstreams of the services that this balancer dispatches.

    :param local_ip: source address of the connections.
    :param slot_manager: provides the upstreams to probe and receives the results.
    :param health_path: returns the health path of a service, ``None`` if the service is unknown.
    :param names: header names of the platform.
    """

    def __init__(
        self,
        local_ip: str,
        slot_manager: slots.SlotManager,
        health_path: HealthPath,
        names: header_names.HeaderNames,
    ) -> None:
        self._local_ip = local_ip
        self._slot_manager = slot_manager
        self._health_path = health_path
        self._header_names = names
        self._probes: dict[str, _Probe] = {}

    async def run(self) -> None:
        """Probe active upstreams until cancelled."""
        try:
            while True:
                await asyncio.sleep(INTERVAL_S)
                self._update_probes()
        finally:
            for probe in self._probes.values():
                probe.task.cancel()

    def _update_probes(self) -> None:
        wanted = {
            target.id: target for target in self._slot_manager.active_upstreams(ACTIVE_WINDOW_S)
        }
        for id_, probe in list(self._probes.items()):
            if wanted.get(id_) != probe.target or probe.task.done():
                probe.task.cancel()
                del self._probes[id_]
        for id_, target in wanted.items():
            if id_ not in self._probes:
                task = asyncio.create_task(self._probe(target), name=f"probe {id_}")
                self._probes[id_] = _Probe(task, target)

    async def _probe(self, target: upstreams.Upstream) -> None:
        """Probe one upstream repeatedly over a persistent connection."""
        path = self._health_path(target.service)
        connection = None
        try:
            while path is not None:
                if not self._slot_manager.may_probe(target):
                    await asyncio.sleep(INTERVAL_S)
                    continue
                try:
                    async with asyncio.timeout(TIMEOUT_S):
                        if connection is None or not connection.usable:
                            connection = await upstream.connect(
                                target.address, self._local_ip, TIMEOUT_S, None
                            )
                        text = await self._get_load(connection, target, path)
                except (OSError, TimeoutError, upstream.Broken) as error:
                    counters.count("waxwingspool_probes_failed", reason=type(error).__name__)
                    self._slot_manager.record_failed_probe(target)
                    if connection is not None:
                        connection.abort()
                    connection = None
                else:
                    counters.count("waxwingspool_probes_answered")
                    if text is None:
                        # The service does not report its load, so more probes are useless. Wait to
                        # be cancelled, because a probe that returns would be started again.
                        return await asyncio.Event().wait()
                    self._record_load(target, text)
                await asyncio.sleep(INTERVAL_S)
        finally:
            if connection is not None:
                connection.abort()

    def _record_load(self, target: upstreams.Upstream, text: str) -> None:
        """Record the load that an upstream reports, unless it can't be read."""
        load = self._header_names.parse_load(text)
        if load is None:
            eventlog.event("upstream.load.unreadable", upstream=target.id, load=text[:100])
            return
        self._slot_manager.record_probe(target, load.running + load.waiting, load.slowdown)

    def _record_headers(
        self, target: upstreams.Upstream, response: upstream.Response, times: tuple[float, float]
    ) -> None:
        """Record what a health check tells of rate limit and departure, if the upstream replied."""
        names = self._header_names
        if message.get_header(response.headers, names.instance) != target.id.encode():
            return
        if departure_header.tells_departure(response.status, response.headers, names):
            self._slot_manager.record_departure(target, "probe", "")
        limit = limit_header.read_limit(response.headers, names, target.id, times, probe=True)
        if limit is not None and (response.status == 200 or limit.rate is not None):
            self._slot_manager.record_probed_limit(target, limit)

    async def _get_load(
        self, connection: upstream.Connection, target: upstreams.Upstream, path: str
    ) -> str | None:
        """Send a health check; return the load header, ``None`` if there is none."""
        loop = asyncio.get_running_loop()
        sent_at = received_at = loop.time()

        def record_time(status: int, headers: message.Headers) -> None:
            nonlocal received_at
            received_at = loop.time()

        connection.on_head = record_time
        response = await check_health(connection, target, path)
        self._record_headers(target, response, (sent_at, received_at))
        value = message.get_header(response.headers, self._header_names.load)
        return None if value is None else value.decode("latin-1")


async def check_health(
    connection: upstream.Connection, target: upstreams.Upstream, path: str
) -> upstream.Response:
    """Send a health check on a connection and return the whole response.

    :raises waxwingspool.proxy.upstream.Broken: there is no complete response.
    """
    host = f"{target.address[0]}:{target.address[1]}".encode()
    head = message.format_head(b"GET " + path.encode() + b" HTTP/1.1", [(b"host", host)])
    connection.send_head(head, None)
    response = await connection.read_response()
    await response.body.wait_for_data(upstream.UNLIMITED_BYTES)
    response.body.read_available()
    if response.body.failed:
        raise upstream.Broken(upstream.ExchangeFailure.TRUNCATED, "response to a probe")
    connection.finish()
    return response
