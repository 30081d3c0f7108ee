"""Adaptive concurrency limit of upstreams.

Load pattern: upstreams that slow down when nearly full. Filling every slot then lowers throughput
and raises latency, so the limit is not the number of slots but the concurrency with the highest
throughput without contention.

The throughput at a concurrency is the number of responses received while an upstream had that many
requests, divided by the time for which it had them. Unlike the latency of single requests, it does
not mix the effects of several concurrencies.
"""

__all__ = ["ConcurrencyLimit"]

# Initial limit as a fraction of the slots; shared machines are commonly run at three quarters.
INITIAL_SHARE = 0.75
# Responses needed at a concurrency before its throughput may raise or lower the limit. Lowering the
# limit gives up capacity, so it needs more: 40 responses determine the throughput to within 16%.
MIN_RESPONSES_TO_RAISE = 15
MIN_RESPONSES_TO_LOWER = 40
# Leading part of each interval that is not counted, in seconds. Responses that arrive together end
# intervals of zero length, and a slot that is refilled immediately leaves almost no time at the
# concurrency below. Counting such short times would distort the throughput.
SETTLING_S = 0.01
# One grant in this many may exceed the limit by one, to measure the throughput there.
EXPLORE_EVERY = 50
# Smallest ratio of throughputs that justifies one more concurrent request.
MIN_GAIN = 1.12
# Responses after which earlier measurements are halved, so that the limit follows changes.
HALF_LIFE_RESPONSES = 600


class ConcurrencyLimit:
    """Concurrency limit of the upstreams of one service, learned from all of them together.

    >>> limit = ConcurrencyLimit()
    >>> limit.value(4)
    3
    >>> for n in range(20):
    ...     limit.record(3, 0.1, answered=True)
    ...     limit.record(4, 0.075, answered=True)
    >>> limit.value(4)
    4
    """

    def __init__(self) -> None:
        self._seconds: dict[int, float] = {}
        self._responses: dict[int, float] = {}
        self._recent_responses = 0
        self._grants = 0

    def record(self, concurrency: int, seconds: float, answered: bool) -> None:
        """Record an interval of constant concurrency at an upstream.

        :param concurrency: number of requests at the upstream.
        :param seconds: length of the interval without contention, scaled to an upstream of average
            speed.
        :param answered: whether the interval ended with a response.
        """
        if seconds <= SETTLING_S:
            return
        counted_s = seconds - SETTLING_S
        self._seconds[concurrency] = self._seconds.get(concurrency, 0.0) + counted_s
        self._responses[concurrency] = self._responses.get(concurrency, 0.0) + answered
        self._recent_responses += answered
        if self._recent_responses >= HALF_LIFE_RESPONSES:
            self._decay()

    def value(self, slots: int) -> int:
        """Return the concurrency limit for an upstream.

        :param slots: number of requests that it can process concurrently.
        """
        limit = max(1, int(slots * INITIAL_SHARE))
        while limit < slots and self._gain(limit, limit + 1, MIN_RESPONSES_TO_RAISE) > MIN_GAIN:
            limit += 1
        while limit > 1 and 0 < self._gain(limit - 1, limit, MIN_RESPONSES_TO_LOWER) < 1 / MIN_GAIN:
            limit -= 1
        return limit

    @property
    def may_explore(self) -> bool:
        """Whether the next grant may exceed the limit by one."""
        return self._grants % EXPLORE_EVERY == EXPLORE_EVERY - 1

    def record_grant(self) -> None:
        """Record that a slot was granted."""
        self._grants += 1

    def _gain(self, low: int, high: int, min_responses: int) -> float:
        """Return the throughput at ``high`` divided by that at ``low``; 0 if not yet known."""
        if min(self._responses.get(low, 0), self._responses.get(high, 0)) < min_responses:
            return 0.0
        return self._rate(high) / self._rate(low)

    def _rate(self, concurrency: int) -> float:
        return self._responses[concurrency] / max(1e-9, self._seconds[concurrency])

    def _decay(self) -> None:
        self._recent_responses = 0
        for counts in (self._seconds, self._responses):
            for concurrency in counts:
                counts[concurrency] /= 2
