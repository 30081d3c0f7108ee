"""Budgets: a token bucket, and a budget for extra work proportional to regular work."""

import time
from collections.abc import Callable

__all__ = ["ExtraWorkBudget", "TokenBucket"]


class TokenBucket:
    """A token bucket that refills at a constant rate.

    :param rate: tokens added per second.
    :param burst: capacity in tokens.
    :param clock: monotonic time in seconds.

    It starts empty, so that a process that restarts often spends no more than one that keeps
    running. Over any window of ``w`` seconds at most ``rate * w + burst`` tokens are spent.

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
        self._refilled_at = clock()

    def take(self, n: float) -> bool:
        """Take ``n`` tokens if available; return whether they were taken."""
        now = self._clock()
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        if self._tokens < n:
            return False
        self._tokens -= n
        return True


class ExtraWorkBudget:
    """Limits extra attempts (hedges, retries) to a share of the regular work.

    :param share: extra work allowed per unit of regular work.
    :param burst: upper bound of the balance.

    Work is the duration of attempts; regular work is that of first attempts.
    The cost of extra work is known only when it ends, so the balance may become negative; no
    further extra work may start until it is positive again. Over any window the extra work is at
    most ``share`` times the regular work, plus the burst, plus the extra work that was in progress
    when the balance reached zero.

    >>> budget = ExtraWorkBudget(0.5, 20.0)
    >>> budget.has_balance()
    False
    >>> budget.deposit(10.0)
    >>> budget.has_balance()
    True
    >>> budget.withdraw(6.0)
    >>> budget.has_balance()
    False
    """

    def __init__(self, share: float, burst: float) -> None:
        self._share = share
        self._burst = burst
        self._balance = 0.0

    @property
    def fill_ratio(self) -> float:
        """The balance divided by the burst; negative while the budget is overdrawn."""
        return self._balance / self._burst

    def deposit(self, work: float) -> None:
        """Credit the share of some regular work."""
        self._balance = min(self._burst, self._balance + self._share * work)

    def has_balance(self) -> bool:
        """Return whether extra work may start."""
        return self._balance > 0.0

    def withdraw(self, work: float) -> None:
        """Charge extra work after it has ended."""
        self._balance -= work
