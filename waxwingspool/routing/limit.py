"""A limit on a service's requests in flight at this balancer.

The limit rises while answers show short queues and falls when upstreams report long ones or shed
work. Each balancer adapts by itself; additive increase and multiplicative decrease bring their
shares together without messages (Chiu and Jain, "Analysis of the increase and decrease algorithms
for congestion avoidance in computer networks", 1989).
"""

import time
from collections.abc import Callable

__all__ = ["Limit"]

# Requests in flight that are always allowed.
LEAST = 4.0
# Factor that a long queue or a refusal takes the limit down by.
DECREASE = 0.9
# Shortest time between two decreases, in seconds.
DECREASE_EVERY_S = 0.05
# Requests that upstreams hold for each slot, on average, above which the limit falls.
MOST_HELD = 3.5


class Limit:
    """An adaptive limit.

    :param initial: the limit to start with.
    :param clock: monotonic time in seconds.

    >>> limit = Limit(1.0, lambda: 0.0)
    >>> [limit.enter() for n in range(5)]
    [True, True, True, True, False]
    """

    def __init__(self, initial: float, clock: Callable[[], float] = time.monotonic) -> None:
        self._limit = max(LEAST, initial)
        self._in_flight = 0
        self._clock = clock
        self._decreased_at = clock()

    @property
    def value(self) -> float:
        """The limit as it is now."""
        return self._limit

    @property
    def in_flight(self) -> int:
        """Requests that have entered and not left."""
        return self._in_flight

    def enter(self) -> bool:
        """Count a request in if the limit allows it; return whether it did."""
        if self._in_flight >= self._limit:
            return False
        self._in_flight += 1
        return True

    def leave(self) -> None:
        """Count a request out."""
        self._in_flight -= 1

    def record(self, held_per_slot: float, shed: bool) -> None:
        """Adapt to an answer.

        :param held_per_slot: requests that the service's upstreams hold for each of their slots, on
            average; one slow upstream alone must not lower the limit.
        :param shed: whether the upstream refused the request.
        """
        if shed or held_per_slot > MOST_HELD:
            self._decrease()
        elif self._in_flight * 2 >= self._limit:
            self._limit += 1.0 / self._limit

    def _decrease(self) -> None:
        """Lower the limit, at most once in a while."""
        now = self._clock()
        if now - self._decreased_at < DECREASE_EVERY_S:
            return
        self._decreased_at = now
        self._limit = max(LEAST, self._limit * DECREASE)
