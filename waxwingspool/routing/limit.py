"""Adaptive limit on the number of a service's requests in flight at this balancer.

The limit rises while upstreams report short queues and falls when they report long queues or refuse
requests. Each balancer adapts independently; with additive increase and multiplicative decrease
their limits converge to equal shares without coordination (Chiu and Jain, "Analysis of the increase
and decrease algorithms for congestion avoidance in computer networks", 1989).
"""

import time
from collections.abc import Callable

__all__ = ["ConcurrencyLimit"]

# Lower bound of the limit.
MIN_LIMIT = 4.0
# Factor applied to the limit after a refusal or a report of long queues.
DECREASE_FACTOR = 0.9
# Minimum interval between two decreases, in seconds.
MIN_DECREASE_INTERVAL_S = 0.05
# Average number of running and queued requests per upstream slot above which the limit falls.
MAX_REQUESTS_PER_SLOT = 3.5


class ConcurrencyLimit:
    """A concurrency limit with additive increase and multiplicative decrease.

    :param initial: the initial limit.
    :param clock: monotonic time in seconds.

    >>> limit = ConcurrencyLimit(1.0, lambda: 0.0)
    >>> [limit.acquire() for n in range(5)]
    [True, True, True, True, False]
    """

    def __init__(self, initial: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._limit = max(MIN_LIMIT, initial)
        self._in_flight = 0
        self._clock = clock
        self._decreased_at = clock()

    @property
    def value(self) -> float:
        """The current limit."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """The number of admitted requests that have not ended."""
        return self._in_flight

    def acquire(self) -> bool:
        """Admit a request if the limit allows it; return whether it was admitted."""
        if self._in_flight >= self._limit:
            return False
        self._in_flight += 1
        return True

    def release(self) -> None:
        """Record that an admitted request has ended."""
        self._in_flight -= 1

    def record(self, requests_per_slot: float, refused: bool) -> None:
        """Adjust the limit after a response or a refusal.

        :param requests_per_slot: running and queued requests per slot, averaged over the service's
            upstreams so that a single slow upstream does not lower the limit.
        :param refused: whether the upstream refused the request.

        The limit rises only while at least half of it is in use.
        """
        if refused or requests_per_slot > MAX_REQUESTS_PER_SLOT:
            self._decrease()
        elif self._in_flight * 2 >= self._limit:
            self._limit += 1.0 / self._limit

    def _decrease(self) -> None:
        """Lower the limit, unless the last decrease was less than the minimum interval ago."""
        now = self._clock()
        if now - self._decreased_at < MIN_DECREASE_INTERVAL_S:
            return
        self._decreased_at = now
        self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
