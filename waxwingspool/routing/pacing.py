"""Pacing of uploads over an inter-region link, to leave bandwidth for other traffic."""

import asyncio
import time
from collections.abc import AsyncIterable, AsyncIterator, Callable

__all__ = ["Pacer"]


class Pacer:
    """Limits the combined rate of all byte streams that pass through it.

    :param bytes_per_s: the rate limit.
    :param clock: monotonic time in seconds.

    Bursts are not allowed: a chunk waits until all previous chunks would have been transmitted at
    the rate limit. So the uploads of a balancer together stay within its share of the link,
    however many there are.
    """

    def __init__(self, bytes_per_s: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._link_free_at = clock()

    def reserve(self, n: int) -> float:
        """Reserve link time for ``n`` bytes.

        :param n: number of bytes.
        :returns: delay before they may be sent, in seconds.

        >>> pacer = Pacer(1000.0, lambda: 0.0)
        >>> pacer.reserve(500), pacer.reserve(500)
        (0.0, 0.5)
        """
        now = self._clock()
        start = max(now, self._link_free_at)
        self._link_free_at = start + n / self._bytes_per_s
        return start - now

    async def pace(self, chunks: AsyncIterable[bytes]) -> AsyncIterator[bytes]:
        """Yield chunks, delayed to stay within the rate limit.

        :param chunks: the chunks of a request body.
        """
        async for chunk in chunks:
            wait_s = self.reserve(len(chunk))
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            yield chunk
