"""Callers that don't read, and the memory that the balancer holds for them.

A response that a caller doesn't read waits in buffers. Flow control bounds them for each
connection, and this module for all connections together: beyond the limit, the connections that
have been stalled the longest are reset.
"""

import typing

from waxwingspool.observe import counters, eventlog

__all__ = ["MAX_STALLED_BYTES", "StalledCallers"]

# Largest number of bytes that are buffered for all callers that don't read.
MAX_STALLED_BYTES = 64 * 1024 * 1024


class Abortable(typing.Protocol):
    """A connection that can be reset."""

    def abort(self) -> None:
        """Reset the connection."""


class StalledCallers:
    """Connections whose callers don't read, in the order in which they stalled.

    >>> callers = StalledCallers()
    >>> callers.total_bytes
    0
    """

    def __init__(self) -> None:
        self._sizes: dict[Abortable, int] = {}
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Bytes that are buffered for callers that don't read."""
        return self._total_bytes

    def add(self, connection: Abortable, size: int) -> None:
        """Record that a caller doesn't read, and reset the connections beyond the limit.

        :param size: number of bytes that its connection holds at most.
        """
        self.discard(connection)
        self._sizes[connection] = size
        self._total_bytes += size
        while self._total_bytes > MAX_STALLED_BYTES:
            oldest = next(iter(self._sizes))
            eventlog.event(
                "caller.stalled",
                bytes=self._sizes[oldest],
                all_bytes=self._total_bytes,
                connections=len(self._sizes),
            )
            counters.count("waxwingspool_stalled_callers_reset")
            self.discard(oldest)
            oldest.abort()

    def discard(self, connection: Abortable) -> None:
        """Record that a caller reads again, or that its connection is closed."""
        self._total_bytes -= self._sizes.pop(connection, 0)
