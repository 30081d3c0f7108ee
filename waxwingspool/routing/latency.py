"""Recent latencies of a service, as a histogram over two short windows."""

import time
from collections.abc import Callable

import hdrh.histogram

__all__ = ["Latencies"]

# Length of one window, in seconds; quantiles cover the last one to two windows.
WINDOW_S = 2.0
# How long a computed quantile is used again, in seconds.
REUSE_S = 0.1
# The longest latency recorded, in microseconds.
MAX_US = 60_000_000
# Size of one count, in bytes.
COUNT_BYTES = 4
# Samples below which no quantile is given.
MIN_SAMPLES = 20


class Latencies:
    """A rolling histogram of latencies.

    :param clock: monotonic time in seconds.

    >>> latencies = Latencies(lambda: 0.0)
    >>> for n in range(100):
    ...     latencies.record(10.0)
    >>> round(latencies.quantile(0.95))
    10
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # Made when first needed: of many services, one balancer serves few.
        self._current: hdrh.histogram.HdrHistogram | None = None
        self._previous: hdrh.histogram.HdrHistogram | None = None
        self._rolled_at = clock()
        self._cached: dict[float, tuple[float, float | None]] = {}

    def record(self, ms: float) -> None:
        """Record a latency in milliseconds."""
        now = self._clock()
        if self._current is None or self._previous is None:
            self._current, self._previous = _histogram(), _histogram()
        if now - self._rolled_at > WINDOW_S:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._rolled_at = now
        self._current.record_value(max(1, min(int(ms * 1000), MAX_US)))

    def quantile(self, q: float) -> float | None:
        """Return a quantile in milliseconds, ``None`` while there are too few samples.

        :param q: the quantile, between 0 and 1.
        """
        now = self._clock()
        at, value = self._cached.get(q, (-REUSE_S, None))
        if now - at < REUSE_S and value is not None:
            return value
        value = self._compute(q)
        self._cached[q] = (now, value)
        return value

    def _compute(self, q: float) -> float | None:
        """Return the quantile of the window that holds more samples."""
        if self._current is None or self._previous is None:
            return None
        fuller = max(self._current, self._previous, key=lambda h: h.get_total_count())
        if fuller.get_total_count() < MIN_SAMPLES:
            return None
        return fuller.get_value_at_percentile(q * 100) / 1000


def _histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram."""
    return hdrh.histogram.HdrHistogram(1, MAX_US, 2, word_size=COUNT_BYTES)
