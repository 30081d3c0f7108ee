"""Pacing of uploads over the link between two regions, so that they leave room for the rest."""

import asyncio
import time
from collections.abc import AsyncIterable, AsyncIterator, Callable

__all__ = ["Pacer"]


class Pacer:
    """Lets bytes through at a steady rate, shared by everything that it paces.

    :param bytes_per_s: the rate.
    :param clock: monotonic time in seconds.

    It holds no burst: a chunk waits until the chunks before it would have crossed the link. So all
    the uploads of a balancer together keep within its share, whatever their number.
    """

    def __init__(self, bytes_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._free_at = clock()

    def reserve(self, n: int) -> float:
        """Reserve the link for some bytes.

        :param n: how many bytes.
        :returns: how long to wait before sending them, in seconds.

        >>> pacer = Pacer(1000.0, lambda: 0.0)
        >>> pacer.reserve(500), pacer.reserve(500)
        (0.0, 0.5)
        """
        now = self._clock()
        start = max(now, self._free_at)
        self._free_at = start + n / self._bytes_per_s
        return start - now

    async def pace(self, chunks: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
        """Yield chunks no faster than the rate.

        :param chunks: the chunks of a body.
        """
        async for chunk in chunks:
            wait_s = self.reserve(len(chunk))
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            yield chunk
