"""Kept connections to upstreams."""

import asyncio

from waxwingspool.catalog import upstreams
from waxwingspool.observe import eventlog
from waxwingspool.proxy import upstream

__all__ = ["Pool"]

# Longest wait for a connection within a region and across, in seconds: the round trip, the
# upstream's work on a new connection, and the resend of one lost packet.
CONNECT_TIMEOUT_S = 0.5
# Idle time after which a connection is closed, in seconds; upstreams close theirs after ten.
IDLE_S = 7.0
# How much sooner than an upstream says a connection is closed, in seconds.
KEEP_ALIVE_MARGIN_S = 1.5
# Interval at which idle connections are looked through, in seconds.
SWEEP_S = 1.0


class Pool:
    """Connections to all upstreams.

    :param local_ip: address that connections come from.
    :param id_header: header that names the request in an answer.
    """

    def __init__(self, local_ip: str, id_header: bytes) -> None:
        self._local_ip = local_ip
        self._id_header = id_header
        self._idle: dict[str, list[upstream.Connection]] = {}
        self._born: dict[str, int] = {}
        self.opened = 0

    async def acquire(self, target: upstreams.Upstream, fresh: bool = False) -> upstream.Connection:
        """Return a connection for one exchange.

        :param fresh: whether an idle connection won't do.
        :raises OSError: no connection could be made; nothing has been sent.
        """
        idle = self._idle.get(target.id, [])
        now = asyncio.get_running_loop().time()
        while idle and not fresh:
            connection = idle.pop()
            if connection.usable and now < _keep_until(connection):
                return connection
            connection.abort()
        self.opened += 1
        return await upstream.connect(
            target.address, self._local_ip, CONNECT_TIMEOUT_S, self._id_header
        )

    def give_back(self, target: upstreams.Upstream, connection: upstream.Connection) -> None:
        """End an exchange and keep the connection if it can be used again."""
        if connection.finish():
            self._idle.setdefault(target.id, []).append(connection)

    def retain(self, usable: list[upstreams.Upstream]) -> None:
        """Close idle connections to upstreams that are gone or have started anew."""
        born = {target.id: target.born_ms for target in usable}
        for id_ in list(self._idle):
            if id_ not in born or self._born.get(id_, born[id_]) != born[id_]:
                for connection in self._idle.pop(id_):
                    connection.abort()
        self._born = born

    async def run(self) -> None:
        """Close connections that were idle for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now = asyncio.get_running_loop().time()
            for id_, connections in self._idle.items():
                kept = [c for c in connections if c.usable and now < _keep_until(c)]
                for connection in connections:
                    if connection not in kept:
                        connection.abort()
                self._idle[id_] = kept

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                connection.abort()
        eventlog.event("pool.closed", opened=self.opened)
        self._idle.clear()


def _keep_until(connection: upstream.Connection) -> float:
    """Return the time at which an idle connection is no longer used."""
    keep_s = IDLE_S
    if connection.keep_s is not None:
        keep_s = min(keep_s, connection.keep_s - KEEP_ALIVE_MARGIN_S)
    return connection.idle_since + keep_s
