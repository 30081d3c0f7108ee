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
    """Keeps extra work a share of the work, both measured in time.

    :param share: extra work allowed for each unit of work.
    :param burst: the most extra work saved up.

    What extra work takes is known only when it ends, so the balance may fall below zero; nothing
    more is allowed until it is positive again. Over any window the extra work is at most
    ``share`` times the work, plus the burst, plus what was under way when the balance fell to zero.

    >>> bucket = ShareBucket(0.5, 20.0)
    >>> bucket.may_spend()
    False
    >>> bucket.earn(10.0)
    >>> bucket.may_spend()
    True
    >>> bucket.spend(6.0)
    >>> bucket.may_spend()
    False
    """

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._balance = 0.0

    @property
    def fill(self) -> float:
        """The balance as a share of the burst."""
        return self._balance / self._burst

    def earn(self, work: float) -> None:
        """Add the share of some work."""
        self._balance = min(self._burst, self._balance + self._share * work)

    def may_spend(self) -> bool:
        """Return whether extra work may begin."""
        return self._balance > 0.0

    def spend(self, work: float) -> None:
        """Take extra work that was done."""
        self._balance -= work
