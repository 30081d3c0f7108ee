"""Token buckets, which keep spending within a budget."""

import time
from collections.abc import Callable

__all__ = ["ShareBucket", "TokenBucket"]


class TokenBucket:
    """Tokens that refill with time.

    :param rate: tokens a second.
    :param burst: the most tokens held.
    :param clock: monotonic time in seconds.

    It starts empty, so that a process that restarts often spends no more than one that does not.
    Over any window of ``w`` seconds at most ``rate * w + burst`` tokens are spent.

    >>> now = 0.0
    >>> bucket = TokenBucket(10.0, 5.0, lambda: now)
    >>> bucket.take(1.0)
    False
    >>> now = 0.2
    >>> bucket.take(2.0), bucket.take(1.0)
    (True, False)
    """

    def __init__(
        self, rate: float, burst: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._rate = rate
        self._burst = burst
        self._clock = clock
        self._tokens = 0.0
        self._filled_at = clock()

    def take(self, n: float) -> bool:
        """Spend ``n`` tokens if there are as many; return whether they were spent."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now
        if self._tokens < n:
            return False
        self._tokens -= n
        return True


class ShareBucket:
    """Tokens that refill with each request, so extra work stays a share of the work.

    :param share: tokens for each request.
    :param burst: the most tokens held.

    >>> bucket = ShareBucket(0.5, 2.0)
    >>> bucket.earn()
    >>> bucket.take()
    False
    >>> bucket.earn()
    >>> bucket.take()
    True
    """

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._tokens = 0.0

    def earn(self) -> None:
        """Add the share of one request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Spend a token if there is one; return whether it was spent."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
