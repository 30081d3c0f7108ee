"""Counters and latency histograms of the deployed role, in the Prometheus text format.

prometheus_client takes 5 MB of a process that has about 20; what is needed of it is this page.
"""

import bisect
import collections
from collections.abc import Iterable

__all__ = ["answered", "attempted", "count", "finished", "gauge", "render"]

# Upper bounds of the histograms' buckets in seconds, from a fast answer to the longest timeout.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8)

_Labels = tuple[tuple[str, str], ...]

_counters: collections.Counter[tuple[str, _Labels]] = collections.Counter()
_gauges: dict[tuple[str, _Labels], float] = {}
_histograms: dict[tuple[str, _Labels], list[int]] = {}
_sums: collections.Counter[tuple[str, _Labels]] = collections.Counter()


def count(name: str, **labels: str) -> None:
    """Add one to a counter."""
    _counters[name, tuple(labels.items())] += 1


def gauge(name: str, value: float, **labels: str) -> None:
    """Set a gauge."""
    _gauges[name, tuple(labels.items())] = value


def observe(name: str, seconds: float, **labels: str) -> None:
    """Add a time in seconds to a histogram."""
    key = (name, tuple(labels.items()))
    buckets = _histograms.setdefault(key, [0] * (len(BUCKETS_S) + 1))
    buckets[bisect.bisect_left(BUCKETS_S, seconds)] += 1
    _sums[key] += seconds


def answered(service: str, status: int) -> None:
    """Count an answer to a caller."""
    count("waxwingspool_answers_total", service=service, status=str(status))


def finished(service: str, outcome: str, seconds: float) -> None:
    """Count a request's end and its time in seconds."""
    observe("waxwingspool_request_seconds", seconds, service=service, outcome=outcome)


def attempted(service: str, outcome: str, seconds: float) -> None:
    """Count an attempt at an upstream and its time in seconds."""
    observe("waxwingspool_attempt_seconds", seconds, service=service, outcome=outcome)


def render() -> str:
    """Return all metrics as text."""
    lines: list[str] = []
    for (name, labels), value in sorted(_counters.items()):
        lines.append(f"{name}{_braces(labels)} {value}")
    for (name, labels), value in sorted(_gauges.items()):
        lines.append(f"{name}{_braces(labels)} {value:g}")
    for (name, labels), buckets in sorted(_histograms.items()):
        lines += _histogram(name, labels, buckets)
    return "\n".join(lines) + "\n"


def _histogram(name: str, labels: _Labels, buckets: list[int]) -> Iterable[str]:
    total = 0
    for bound, number in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
        total += number
        yield f"{name}_bucket{_braces((*labels, ('le', str(bound))))} {total}"
    yield f"{name}_sum{_braces(labels)} {_sums[name, labels]:.6f}"
    yield f"{name}_count{_braces(labels)} {total}"


def _braces(labels: _Labels) -> str:
    """Return labels as the format wants them.

    >>> _braces((("service", "tags"),))
    '{service="tags"}'
    """
    if not labels:
        return ""
    return "{" + ",".join(f'{key}="{value}"' for key, value in labels) + "}"
