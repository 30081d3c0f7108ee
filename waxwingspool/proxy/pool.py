"""A pool of persistent connections to upstreams."""

import asyncio

from waxwingspool.catalog import upstreams
from waxwingspool.observe import eventlog
from waxwingspool.proxy import upstream

__all__ = ["Pool"]

# Connect timeout in seconds, within a region and across regions: covers the round trip, the
# upstream's work on a new connection, and the retransmission of one lost packet.
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is closed, in seconds; upstreams close theirs after 10 s.
IDLE_TIMEOUT_S = 7.0
# How long before the upstream's announced idle timeout a connection is closed, in seconds.
KEEP_ALIVE_MARGIN_S = 1.5
# Interval between searches for expired idle connections, in seconds.
SWEEP_INTERVAL_S = 1.0


class Pool:
    """Connections to all upstreams.

    :param local_ip: source address of the connections.
    :param id_header: response header that carries the request id.
    :ivar opened_connections: number of connections opened so far, including attempts that failed.
    """

    def __init__(self, local_ip: str, id_header: bytes) -> None:
        self._local_ip = local_ip
        self._id_header = id_header
        self._idle: dict[str, list[upstream.Connection]] = {}
        self._started_ms: dict[str, int] = {}
        self.opened_connections = 0

    async def acquire(
        self, target: upstreams.Upstream, force_new: bool = False
    ) -> upstream.Connection:
        """Return a connection for one exchange.

        :param force_new: whether to open a connection even if an idle one is available.
        :raises OSError: no connection could be opened; nothing has been sent.
        """
        idle = self._idle.get(target.id, [])
        now = asyncio.get_running_loop().time()
        while idle and not force_new:
            connection = idle.pop()
            if connection.usable and now < _reuse_deadline(connection):
                return connection
            connection.abort()
        self.opened_connections += 1
        return await upstream.connect(
            target.address, self._local_ip, CONNECT_TIMEOUT_S, self._id_header
        )

    def release(self, target: upstreams.Upstream, connection: upstream.Connection) -> None:
        """End an exchange and keep the connection if it can be reused."""
        if connection.finish():
            self._idle.setdefault(target.id, []).append(connection)

    def update_upstreams(self, usable: list[upstreams.Upstream]) -> None:
        """Close idle connections to upstreams that were removed or have restarted."""
        started_ms = {target.id: target.started_ms for target in usable}
        for id_ in list(self._idle):
            if (
                id_ not in started_ms
                or self._started_ms.get(id_, started_ms[id_]) != started_ms[id_]
            ):
                for connection in self._idle.pop(id_):
                    connection.abort()
        self._started_ms = started_ms

    async def run(self) -> None:
        """Close expired idle connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = asyncio.get_running_loop().time()
            for id_, connections in self._idle.items():
                kept = [c for c in connections if c.usable and now < _reuse_deadline(c)]
                for connection in connections:
                    if connection not in kept:
                        connection.abort()
                self._idle[id_] = kept

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        eventlog.event("pool.closed", opened=self.opened_connections)
        self._idle.clear()


def _reuse_deadline(connection: upstream.Connection) -> float:
    """Return the event loop time in seconds at which an idle connection expires."""
    timeout_s = IDLE_TIMEOUT_S
    if connection.keep_alive_s is not None:
        timeout_s = min(timeout_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return connection.idle_since + timeout_s
