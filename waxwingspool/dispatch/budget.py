"""How many retries a balancer may send, so that all of them together stay within the limit.

Load pattern: a service fails, every request is retried, and the retries double the load just when
there is least room. The limit holds for all balancers together; each keeps to its share, so
nothing has to be agreed while things fail.
"""

import collections

__all__ = ["RetryBudget"]

# Part of the limit that is used, so that balancers that start anew stay within it together.
SAFETY = 0.7


class RetryBudget:
    """Retries of one service at one balancer.

    :param ratio: retries for each request.
    :param allowance: retries in a window besides, of all balancers together.
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

    def request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def allows(self, now: float, balancers: int) -> bool:
        """Return whether a retry may be sent, and count it if so.

        :param now: monotonic time in seconds.
        :param balancers: how many share the limit.
        """
        self._forget(now)
        # A process that has just started may follow one that has spent its share.
        age = min(1.0, (now - self._started_at) / self._window_s)
        share = self._allowance / max(1, balancers) * age
        limit = SAFETY * (self._ratio * len(self._requests) + share)
        if len(self._retries) + 1 > limit:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        horizon = now - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] <= horizon:
                times.popleft()
