"""The service-level burn report.

Each balancer counts, per minute, requests that met their rule's objective and requests that did
not. The report sums the counts of all balancers. A burn rate of 1 spends exactly the error budget
over the objective's window; see Beyer et al., "The Site Reliability Workbook", 2018,
chapter 5.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from waxwingspool.config import model

__all__ = ["Line", "Recorder", "Sample", "as_dict", "as_text", "compute"]

# Length of a counting interval, in seconds.
INTERVAL_S = 60
# Maximum number of retained counting intervals; those without requests are not stored.
MAX_INTERVALS = 360
# Lengths of the short and the long burn-rate window, in seconds.
SHORT_WINDOW_S = 300
LONG_WINDOW_S = 3600


@dataclasses.dataclass(slots=True)
class Sample:
    """Counts of one rule in one interval.

    :ivar minute: index of the interval: Unix time divided by :data:`INTERVAL_S`, rounded down.
    :ivar good: requests that met the objective.
    :ivar bad: requests that missed it.
    """

    service: str
    rule: str
    minute: int
    good: int = 0
    bad: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """The report's line for one rule.

    :ivar window_s: length of the objective's window, in seconds.
    :ivar requests: requests in all samples.
    :ivar bad: requests in all samples that missed the objective.
    :ivar short_rate: burn rate over :data:`SHORT_WINDOW_S`.
    :ivar long_rate: burn rate over :data:`LONG_WINDOW_S`.
    :ivar budget_left: fraction of the error budget that these samples leave; negative if they
        exceed it.
    :ivar worst: upstreams with the highest failure rates, in descending order.
    """

    service: str
    rule: str
    objective: str
    window_s: int
    requests: int
    bad: int
    short_rate: float
    long_rate: float
    budget_left: float
    worst: tuple[str, ...]


class Recorder:
    """Counts requests against their objectives.

    :param clock: returns Unix time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._samples: collections.deque[dict[tuple[str, str], Sample]] = collections.deque()
        self._current_minute = -1

    def record(self, service: str, rule: model.Rule, latency_ms: float, successful: bool) -> None:
        """Record a request.

        :param service: name of the service.
        :param rule: the request's rule.
        :param latency_ms: time to the outcome, in milliseconds.
        :param successful: whether the request was successful, whatever its latency.
        """
        sample = self._current_sample(service, rule.name)
        if successful and latency_ms <= rule.objective.latency_ms:
            sample.good += 1
        else:
            sample.bad += 1

    def samples(self) -> list[Sample]:
        """Return the samples of all retained intervals."""
        return [s for interval in self._samples for s in interval.values()]

    def _current_sample(self, service: str, rule: str) -> Sample:
        """Return the sample of a rule in the current interval."""
        minute = int(self._clock()) // INTERVAL_S
        if minute != self._current_minute:
            self._current_minute = minute
            self._samples.append({})
            if len(self._samples) > MAX_INTERVALS:
                self._samples.popleft()
        interval = self._samples[-1]
        key = (service, rule)
        if key not in interval:
            interval[key] = Sample(service, rule, minute)
        return interval[key]


def compute(
    configuration: model.Configuration,
    samples: Iterable[Sample],
    worst: dict[str, Sequence[str]],
    now_s: float,
) -> list[Line]:
    """Return the lines of the report, highest short-window burn rate first.

    :param configuration: the configuration in force.
    :param samples: samples of all balancers.
    :param worst: upstreams with the highest failure rates, by service.
    :param now_s: Unix time in seconds.
    :returns: one line per rule.
    """
    by_rule: dict[tuple[str, str], list[Sample]] = collections.defaultdict(list)
    for s in samples:
        by_rule[s.service, s.rule].append(s)
    lines = []
    for service in configuration.services:
        for rule in service.rules:
            rule_samples = by_rule[service.name, rule.name]
            worst_upstreams = tuple(worst.get(service.name, ()))
            lines.append(_report_line(service.name, rule, rule_samples, worst_upstreams, now_s))
    return sorted(lines, key=lambda line: (-line.short_rate, line.service, line.rule))


def as_text(lines: Sequence[Line]) -> str:
    """Return the report as a plain-text table.

    :param lines: what :func:`compute` returned.
    """
    header = f"{'service':<16}{'rule':<14}{'objective':<18}{'requests':>9}{'missed':>8}"
    header += f"{'burn 5m':>9}{'burn 1h':>9}{'left':>8}  worst upstreams"
    rows = [header]
    for line in lines:
        row = (
            f"{line.service:<16}{line.rule:<14}{line.objective:<18}{line.requests:>9}{line.bad:>8}"
        )
        row += f"{line.short_rate:>9.2f}{line.long_rate:>9.2f}{line.budget_left:>8.1%}"
        rows.append(f"{row}  {', '.join(line.worst)}".rstrip())
    return "\n".join(rows)


def as_dict(line: Line) -> dict[str, Any]:
    """Return a line as a JSON value."""
    return dataclasses.asdict(line)


def _report_line(
    service: str, rule: model.Rule, samples: list[Sample], worst: tuple[str, ...], now_s: float
) -> Line:
    """Return the report's line for one rule."""
    objective = rule.objective
    error_budget = 1 - objective.target
    requests = sum(s.good + s.bad for s in samples)
    bad = sum(s.bad for s in samples)
    budget_spent = bad / requests / error_budget if requests else 0.0
    return Line(
        service=service,
        rule=rule.name,
        objective=f"{objective.target:.2%} in {objective.latency_ms:g} ms",
        window_s=objective.window_s,
        requests=requests,
        bad=bad,
        short_rate=_burn_rate(samples, now_s - SHORT_WINDOW_S, error_budget),
        long_rate=_burn_rate(samples, now_s - LONG_WINDOW_S, error_budget),
        budget_left=1 - budget_spent,
        worst=worst,
    )


def _burn_rate(samples: Iterable[Sample], since_s: float, error_budget: float) -> float:
    """Return the burn rate since a point in time."""
    recent = [s for s in samples if (s.minute + 1) * INTERVAL_S > since_s]
    total = sum(s.good + s.bad for s in recent)
    bad = sum(s.bad for s in recent)
    return bad / total / error_budget if total else 0.0
