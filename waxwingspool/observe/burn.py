"""The service-level burn report.

Each balancer counts, minute by minute, requests that met their rule's objective and requests that
did not. The report adds up the counts of all balancers. A burn rate of 1 spends exactly the error
budget over the objective's window; see Beyer et al., "The Site Reliability Workbook", 2018,
chapter 5.
"""

import collections
import dataclasses
import time
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from waxwingspool.config import model

__all__ = ["Line", "Recorder", "Sample", "as_dict", "as_text", "compute"]

# Length of one counting interval, in seconds.
INTERVAL_S = 60
# Counting intervals that are kept.
KEPT = 360
# Lengths of the short and the long window, in seconds.
SHORT_S = 300
LONG_S = 3600


@dataclasses.dataclass(slots=True)
class Sample:
    """Counts of one rule in one interval.

    :ivar minute: Unix time of the interval's start, in intervals.
    """

    service: str
    rule: str
    minute: int
    good: int = 0
    bad: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One rule of the report.

    :ivar budget_left: share of the error budget left over the time for which there are counts.
    :ivar worst: upstreams with the highest failure rates, worst first.
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

    :param clock: Unix time in seconds.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self._clock = clock
        self._samples: collections.deque[dict[tuple[str, str], Sample]] = collections.deque()
        self._minute = -1

    def record(self, service: str, rule: model.Rule, ms: float, served: bool) -> None:
        """Count a request.

        :param service: name of the service.
        :param rule: the request's rule.
        :param ms: time to its outcome, in milliseconds.
        :param served: whether the outcome counts as served.
        """
        sample = self._sample(service, rule.name)
        if served and ms <= rule.objective.latency_ms:
            sample.good += 1
        else:
            sample.bad += 1

    def samples(self) -> list[Sample]:
        """Return all counts."""
        return [s for interval in self._samples for s in interval.values()]

    def _sample(self, service: str, rule: str) -> Sample:
        """Return the counts of a rule in this interval."""
        minute = int(self._clock()) // INTERVAL_S
        if minute != self._minute:
            self._minute = minute
            self._samples.append({})
            if len(self._samples) > KEPT:
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
    """Return the report's lines, the fastest burning first.

    :param configuration: the configuration in force.
    :param samples: counts of all balancers.
    :param worst: worst upstreams by service.
    :param now_s: Unix time in seconds.
    :returns: a line for each rule.
    """
    by_rule: dict[tuple[str, str], list[Sample]] = collections.defaultdict(list)
    for s in samples:
        by_rule[s.service, s.rule].append(s)
    lines = []
    for service in configuration.services:
        for rule in service.rules:
            found = by_rule[service.name, rule.name]
            names = tuple(worst.get(service.name, ()))
            lines.append(_line(service.name, rule, found, names, now_s))
    return sorted(lines, key=lambda line: (-line.short_rate, line.service, line.rule))


def as_text(lines: Sequence[Line]) -> str:
    """Return the report as a table for people.

    :param lines: what :func:`compute` returned.
    """
    head = f"{'service':<16}{'rule':<14}{'objective':<18}{'requests':>9}{'missed':>8}"
    head += f"{'burn 5m':>9}{'burn 1h':>9}{'left':>8}  worst upstreams"
    rows = [head]
    for n in lines:
        row = f"{n.service:<16}{n.rule:<14}{n.objective:<18}{n.requests:>9}{n.bad:>8}"
        row += f"{n.short_rate:>9.2f}{n.long_rate:>9.2f}{n.budget_left:>8.1%}"
        rows.append(f"{row}  {', '.join(n.worst)}".rstrip())
    return "\n".join(rows)


def as_dict(line: Line) -> dict[str, Any]:
    """Return a line as a JSON value."""
    return dataclasses.asdict(line)


def _line(
    service: str, rule: model.Rule, samples: list[Sample], worst: tuple[str, ...], now_s: float
) -> Line:
    """Return the line of one rule."""
    objective = rule.objective
    allowed = 1 - objective.target
    requests = sum(s.good + s.bad for s in samples)
    bad = sum(s.bad for s in samples)
    spent = bad / requests / allowed if requests else 0.0
    return Line(
        service=service,
        rule=rule.name,
        objective=f"{objective.target:.2%} in {objective.latency_ms:g} ms",
        window_s=objective.window_s,
        requests=requests,
        bad=bad,
        short_rate=_rate(samples, now_s - SHORT_S, allowed),
        long_rate=_rate(samples, now_s - LONG_S, allowed),
        budget_left=1 - spent,
        worst=worst,
    )


def _rate(samples: Iterable[Sample], since_s: float, allowed: float) -> float:
    """Return the burn rate since a time."""
    recent = [s for s in samples if (s.minute + 1) * INTERVAL_S > since_s]
    total = sum(s.good + s.bad for s in recent)
    bad = sum(s.bad for s in recent)
    return bad / total / allowed if total else 0.0
