"""Adaptive concurrency limit of upstreams.

Load pattern: upstreams that slow down when nearly full. Filling every slot then lowers throughput
and raises latency, so the limit is not the number of slots but the concurrency with the highest
throughput per second of uncontended time.

The throughput at a concurrency is the number of answers received while an upstream had that many
requests, divided by the time for which it had them. Unlike the latency of single requests, it does
not mix the effects of several concurrencies.
"""

__all__ = ["ConcurrencyLimit"]

# Initial limit as a fraction of the slots; shared machines are commonly run at three quarters.
INITIAL_SHARE = 0.75
# Answers needed at a concurrency before its throughput may raise or lower the limit. Lowering the
# limit gives up capacity, so it needs more: 40 answers determine the rate to within 16%.
MIN_ANSWERS_TO_RAISE = 15
MIN_ANSWERS_TO_LOWER = 40
# Leading part of each interval that is not counted, in seconds. Answers that arrive together end
# intervals of zero length, and a slot that is refilled immediately leaves almost no time at the
# concurrency below.
SETTLING_S = 0.01
# One grant in this many may exceed the limit by one, to measure the throughput there.
EXPLORE_EVERY = 50
# Smallest ratio of throughputs that justifies one more concurrent request.
MIN_GAIN = 1.12
# Answers after which earlier measurements are halved, so that the limit follows changes.
HALF_LIFE_ANSWERS = 600


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
        self._answers: dict[int, float] = {}
        self._recent_answers = 0
        self._grants = 0

    def record(self, concurrency: int, seconds: float, answered: bool) -> None:
        """Record an interval of constant concurrency at an upstream.

        :param concurrency: number of requests at the upstream.
        :param seconds: length of the interval at the usual speed, without contention.
        :param answered: whether the interval ended with an answer.
        """
        if seconds <= SETTLING_S:
            return
        counted_s = seconds - SETTLING_S
        self._seconds[concurrency] = self._seconds.get(concurrency, 0.0) + counted_s
        self._answers[concurrency] = self._answers.get(concurrency, 0.0) + answered
        self._recent_answers += answered
        if self._recent_answers >= HALF_LIFE_ANSWERS:
            self._decay()

    def value(self, slots: int) -> int:
        """Return the concurrency limit for an upstream.

        :param slots: number of requests that it can process concurrently.
        """
        limit = max(1, int(slots * INITIAL_SHARE))
        while limit < slots and self._gain(limit, limit + 1, MIN_ANSWERS_TO_RAISE) > MIN_GAIN:
            limit += 1
        while limit > 1 and 0 < self._gain(limit - 1, limit, MIN_ANSWERS_TO_LOWER) < 1 / MIN_GAIN:
            limit -= 1
        return limit

    @property
    def may_explore(self) -> bool:
        """Whether the next grant may exceed the limit by one."""
        return self._grants % EXPLORE_EVERY == EXPLORE_EVERY - 1

    def record_grant(self) -> None:
        """Record that a slot was granted."""
        self._grants += 1

    def _gain(self, low: int, high: int, min_answers: int) -> float:
        """Return the throughput at ``high`` divided by that at ``low``; 0 if not yet known."""
        if min(self._answers.get(low, 0), self._answers.get(high, 0)) < min_answers:
            return 0.0
        return self._rate(high) / self._rate(low)

    def _rate(self, concurrency: int) -> float:
        return self._answers[concurrency] / max(1e-9, self._seconds[concurrency])

    def _decay(self) -> None:
        self._recent_answers = 0
        for counts in (self._seconds, self._answers):
            for concurrency in counts:
                counts[concurrency] /= 2
