"""Counters, gauges and latency histograms of the deployed balancer (:mod:`waxwingspool.edge`).

They are rendered in the Prometheus text format. The deployed balancer uses this module instead of
prometheus_client, which takes 5 MB of memory in a process of about 20 MB.
"""

import bisect
import collections
from collections.abc import Iterable

__all__ = [
    "count",
    "gauge",
    "record_attempt",
    "record_request",
    "record_response",
    "remove_gauge",
    "render",
]

# Upper bounds of the histogram buckets, in seconds, from a fast response to the longest timeout.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

_Labels = tuple[tuple[str, str], ...]

_counters: collections.Counter[tuple[str, _Labels]] = collections.Counter()
_gauges: dict[tuple[str, _Labels], float] = {}
_histograms: dict[tuple[str, _Labels], list[int]] = {}
_sums: collections.Counter[tuple[str, _Labels]] = collections.Counter()


def count(name: str, **labels: str) -> None:
    """Increment a counter by one."""
    _counters[name, tuple(labels.items())] += 1


def gauge(name: str, value: float, **labels: str) -> None:
    """Set a gauge to a value."""
    _gauges[name, tuple(labels.items())] = value


def remove_gauge(name: str, **labels: str) -> None:
    """Remove a gauge that has no value any more."""
    _gauges.pop((name, tuple(labels.items())), None)


def observe(name: str, seconds: float, **labels: str) -> None:
    """Record a duration in seconds in a histogram."""
    key = (name, tuple(labels.items()))
    buckets = _histograms.setdefault(key, [0] * (len(BUCKETS_S) + 1))
    buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
    _sums[key] += seconds


def record_response(service: str, status: int) -> None:
    """Count a response sent to a caller."""
    count("waxwingspool_answers_total", service=service, status=str(status))


def record_request(service: str, outcome: str, seconds: float) -> None:
    """Record the outcome and duration in seconds of a request."""
    observe("waxwingspool_request_seconds", seconds, service=service, outcome=outcome)


def record_attempt(service: str, outcome: str, seconds: float) -> None:
    """Record the outcome and duration in seconds of an attempt at an upstream."""
    observe("waxwingspool_attempt_seconds", seconds, service=service, outcome=outcome)


def render() -> str:
    """Return all metrics in the Prometheus text format."""
    lines: list[str] = []
    for (name, labels), value in sorted(_counters.items()):
        lines.append(f"{name}{_format_labels(labels)} {value}")
    for (name, labels), value in sorted(_gauges.items()):
        lines.append(f"{name}{_format_labels(labels)} {value:g}")
    for (name, labels), buckets in sorted(_histograms.items()):
        lines += _render_histogram(name, labels, buckets)
    return "\n".join(lines) + "\n"


def _render_histogram(name: str, labels: _Labels, buckets: list[int]) -> Iterable[str]:
    """Yield the lines of a histogram; its buckets are cumulative."""
    cumulative = 0
    for bound, bucket_count in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
        cumulative += bucket_count
        yield f"{name}_bucket{_format_labels((*labels, ('le', str(bound))))} {cumulative}"
    yield f"{name}_sum{_format_labels(labels)} {_sums[name, labels]:.6f}"
    yield f"{name}_count{_format_labels(labels)} {cumulative}"


def _format_labels(labels: _Labels) -> str:
    """Return labels in the Prometheus text format.

    >>> _format_labels((("service", "tags"),))
    '{service="tags"}'
    """
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
