"""How many requests an upstream should work on at once.

Load pattern: upstreams that slow down when nearly full. Filling every slot then lowers throughput
and lengthens every answer, so the limit is the concurrency at which most requests were answered
per second, found from the times of answers, and not the number of slots.
"""

__all__ = ["ConcurrencyLimit"]

# Share of the slots to start from; shared machines are commonly run at three quarters.
START_SHARE = 0.75
# Weight of the newest time in the average of a concurrency.
SMOOTHING = 0.08
# Answers at a concurrency before its average is believed.
BELIEVED_AFTER = 12
# One grant in this many may go one above the limit, to learn the time there.
EXPLORE_EVERY = 25
# Gain in throughput below which the lower concurrency is kept.
LEAST_GAIN = 1.15


class ConcurrencyLimit:
    """The limit of one service's upstreams, learned from all of them together.

    >>> limit = ConcurrencyLimit()
    >>> limit.value(4)
    3
    >>> for n in range(12):
    ...     limit.record(3, 0.1)
    ...     limit.record(4, 0.11)
    >>> limit.value(4)
    4
    """

    def __init__(self) -> None:
        self._times: dict[int, float] = {}
        self._counts: dict[int, int] = {}
        self._grants = 0

    def record(self, concurrency: int, seconds: float) -> None:
        """Take in the time of an answer.

        :param concurrency: requests at the upstream meanwhile, itself included.
        :param seconds: its time, cleared of what the upstream's machine slows down for others.
        """
        known = self._times.get(concurrency)
        count = self._counts.get(concurrency, 0) + 1
        weight = max(SMOOTHING, 1 / count)
        self._times[concurrency] = seconds if known is None else known + weight * (seconds - known)
        self._counts[concurrency] = count

    def value(self, slots: int) -> int:
        """Return the limit for an upstream.

        :param slots: requests that it can work on at once.
        """
        best = max(1, int(slots * START_SHARE))
        for concurrency in range(1, slots + 1):
            if self._believed(concurrency) and self._believed(best):
                best = self._better(best, concurrency)
        return best

    def explores(self) -> bool:
        """Return whether the next grant may go one above the limit."""
        self._grants += 1
        return self._grants % EXPLORE_EVERY == 0

    def _believed(self, concurrency: int) -> bool:
        return self._counts.get(concurrency, 0) >= BELIEVED_AFTER

    def _better(self, one: int, other: int) -> int:
        """Return the concurrency with the higher throughput, the lower one on a near tie."""
        low, high = sorted((one, other))
        gain = (high / self._times[high]) / (low / self._times[low])
        return high if gain > LEAST_GAIN else low
