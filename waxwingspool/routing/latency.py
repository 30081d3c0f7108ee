"""Histogram of a service's recent latencies over two short windows."""

import time
from collections.abc import Callable

import hdrh.histogram

__all__ = ["LatencyHistogram"]

# Length of one window, in seconds; samples are kept for one to two windows.
WINDOW_S = 2.0
# Lifetime of a cached quantile, in seconds.
QUANTILE_CACHE_S = 0.1
# Latencies above this value are recorded as this value, in microseconds.
MAX_LATENCY_US = 60_000_000
# Size of one histogram counter, in bytes.
COUNTER_BYTES = 4
# Number of samples below which no quantile is computed.
MIN_SAMPLES = 20


class LatencyHistogram:
    """A rolling histogram of latencies.

    :param clock: monotonic time in seconds.

    >>> latencies = LatencyHistogram(lambda: 0.0)
    >>> for n in range(100):
    ...     latencies.record(10.0)
    >>> round(latencies.quantile(0.95))
    10
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        # Created on first use: one balancer serves only a few of many services.
        self._current: hdrh.histogram.HdrHistogram | None = None
        self._previous: hdrh.histogram.HdrHistogram | None = None
        self._rotated_at = clock()
        self._cached: dict[float, tuple[float, float | None]] = {}

    def record(self, latency_ms: float) -> None:
        """Record a latency in milliseconds."""
        now = self._clock()
        if self._current is None or self._previous is None:
            self._current, self._previous = _histogram(), _histogram()
        if now - self._rotated_at > WINDOW_S:
            self._previous, self._current = self._current, self._previous
            self._current.reset()
            self._rotated_at = now
        self._current.record_value(max(1, min(int(latency_ms * 1000), MAX_LATENCY_US)))

    def quantile(self, q: float) -> float | None:
        """Return a quantile in milliseconds, ``None`` while there are too few samples.

        :param q: the quantile, between 0 and 1.
        """
        now = self._clock()
        computed_at, value = self._cached.get(q, (-QUANTILE_CACHE_S, None))
        if now - computed_at < QUANTILE_CACHE_S and value is not None:
            return value
        value = self._compute(q)
        self._cached[q] = (now, value)
        return value

    def _compute(self, q: float) -> float | None:
        """Return the quantile of the window with more samples."""
        if self._current is None or self._previous is None:
            return None
        larger = max(self._current, self._previous, key=lambda h: h.get_total_count())
        if larger.get_total_count() < MIN_SAMPLES:
            return None
        return larger.get_value_at_percentile(q * 100) / 1000


def _histogram() -> hdrh.histogram.HdrHistogram:
    """Return an empty histogram."""
    return hdrh.histogram.HdrHistogram(1, MAX_LATENCY_US, 2, word_size=COUNTER_BYTES)
