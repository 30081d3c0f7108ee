"""Retry budget: keeps the retries of all balancers together within a limit.

Load pattern: a service fails, every request is retried, and the retries double the load when
capacity is lowest. The limit applies to all balancers together. Each enforces only its own share,
so no coordination is needed during a failure.
"""

import collections

__all__ = ["RetryBudget"]

# Fraction of the limit that is used, so that all balancers together stay within it even when some
# of them restart.
SAFETY_FACTOR = 0.7


class RetryBudget:
    """Sliding-window retry budget of one service at one balancer.

    :param ratio: retries allowed per request.
    :param allowance: retries per window allowed in addition, for all balancers together.
    :param window_s: length of the window in seconds.
    :param now: monotonic time in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float, now: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_s = window_s
        self._started_at = now
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record a request from a caller."""
        self._requests.append(now)
        self._expire(now)

    def try_acquire(self, now: float, balancer_count: int) -> bool:
        """Return whether a retry may be sent, and record it if so.

        :param now: monotonic time in seconds.
        :param balancer_count: number of balancers that share the limit.
        """
        self._expire(now)
        # A process that has just started may replace one that has already spent its allowance, so
        # the allowance grows from zero during the first window.
        elapsed_share = min(1.0, (now - self._started_at) / self._window_s)
        own_allowance = self._allowance / max(1, balancer_count) * elapsed_share
        limit = SAFETY_FACTOR * (self._ratio * len(self._requests) + own_allowance)
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        cutoff = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= cutoff:
                times.popleft()
