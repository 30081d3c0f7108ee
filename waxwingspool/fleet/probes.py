"""Probes: how busy and how disturbed an upstream is right now.

Upstreams share their machines, and the time that work takes there changes several times a second.
A report that came with an answer is old by the time the next request is placed, so the dispatcher
of a service asks its upstreams while there are requests for them.
"""

import asyncio
import dataclasses
from collections.abc import Callable

from waxwingspool.catalog import upstreams
from waxwingspool.fleet import slots
from waxwingspool.observe import counters
from waxwingspool.proxy import dialect, message, upstream

__all__ = ["Prober"]

# Interval between two probes of an upstream, in seconds: a fifth of the time for which an
# upstream's machine is commonly disturbed.
INTERVAL_S = 0.1
# Longest wait for an answer, in seconds.
TIMEOUT_S = 0.3
# Time after the last request for which a service's upstreams are probed, in seconds.
ACTIVE_S = 1.0

HealthPath = Callable[[str], str | None]


@dataclasses.dataclass(slots=True)
class _Probe:
    task: asyncio.Task
    target: upstreams.Upstream


class Prober:
    """Probes the upstreams of the services that this balancer dispatches.

    :param local_ip: address that connections come from.
    :param places: the dispatchers.
    :param health_path: returns a service's health path, ``None`` if the service is unknown.
    :param names: names of the headers.
    """

    def __init__(
        self,
        local_ip: str,
        places: slots.Slots,
        health_path: HealthPath,
        names: dialect.Dialect,
    ) -> None:
        self._local_ip = local_ip
        self._places = places
        self._health_path = health_path
        self._names = names
        self._probes: dict[str, _Probe] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        try:
            while True:
                await asyncio.sleep(INTERVAL_S)
                self._start_and_stop()
        finally:
            for probe in self._probes.values():
                probe.task.cancel()

    def _start_and_stop(self) -> None:
        wanted = {target.id: target for target in self._places.probed(ACTIVE_S)}
        for id_, probe in list(self._probes.items()):
            if wanted.get(id_) != probe.target or probe.task.done():
                probe.task.cancel()
                del self._probes[id_]
        for id_, target in wanted.items():
            if id_ not in self._probes:
                task = asyncio.create_task(self._probe(target), name=f"probe {id_}")
                self._probes[id_] = _Probe(task, target)

    async def _probe(self, target: upstreams.Upstream) -> None:
        """Probe one upstream over a kept connection."""
        path = self._health_path(target.service)
        connection = None
        try:
            while path is not None:
                try:
                    async with asyncio.timeout(TIMEOUT_S):
                        if connection is None or not connection.usable:
                            connection = await upstream.connect(
                                target.address, self._local_ip, TIMEOUT_S, None
                            )
                        load = await self._ask(connection, target, path)
                except (OSError, TimeoutError, upstream.Broken) as error:
                    counters.count("waxwingspool_probes_failed", reason=type(error).__name__)
                    self._places.probe_failed(target)
                    if connection is not None:
                        connection.abort()
                    connection = None
                else:
                    counters.count("waxwingspool_probes_answered")
                    if load is None:
                        # The service does not report its load: there is nothing to learn.
                        return await asyncio.Event().wait()
                    held = load.running + load.waiting
                    self._places.observe(target, held, load.slowdown)
                await asyncio.sleep(INTERVAL_S)
        finally:
            if connection is not None:
                connection.abort()

    async def _ask(
        self, connection: upstream.Connection, target: upstreams.Upstream, path: str
    ) -> dialect.Load | None:
        host = f"{target.address[0]}:{target.address[1]}".encode()
        head = message.head(b"GET " + path.encode() + b" HTTP/1.1", [(b"host", host)])
        connection.begin(head, None)
        response = await connection.response()
        await response.body.settle(upstream.WHOLE)
        response.body.take()
        if response.body.failed:
            raise upstream.Broken(upstream.Fault.TRUNCATED, "the answer to a probe")
        connection.finish()
        value = message.first(response.headers, self._names.load)
        return None if value is None else self._names.parse_load(value.decode("latin-1"))
