"""The state of one upstream as this balancer sees it."""

import dataclasses
import math

from waxwingspool.interfaces import upstream
from waxwingspool.routing import pacing

__all__ = [
    "Target",
    "begin",
    "finish",
    "learn_load",
    "mark_departed",
    "overdue_ms",
]

# Weight of a new sample in the average failure rate.
FAILURE_WEIGHT = 0.2
# Time in which the load that others put on an upstream is forgotten to 1/e, in seconds.
REPORT_DECAY_S = 0.15


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """An upstream with the signals that its answers give for free.

    :ivar rtt_ms: round trip to it, 0 inside the region.
    :ivar most_in_flight: this balancer's share of the connections that the upstream takes.
    :ivar pacer: paces uploads to it, ``None`` inside the region.
    :ivar leaving: whether the configuration says that it is leaving.
    :ivar listed_leaving: whether the platform's VM list says so.
    :ivar in_flight: start time in seconds of each own attempt, oldest first.
    :ivar others: requests of other balancers at the time of the last report.
    :ivar reported_at: time of the last report in seconds.
    :ivar departed: incarnation that has started to leave, ``None`` if none has.
    :ivar slow_until: time until which it is suspected of being slow.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    rtt_ms: float
    seen_at: float
    most_in_flight: int = 1_000_000
    pacer: pacing.Pacer | None = None
    leaving: bool = False
    listed_leaving: bool = False
    in_flight: dict[str, float] = dataclasses.field(default_factory=dict)
    others: float = 0.0
    reported_at: float = -math.inf
    incarnation: str = ""
    departed: str | None = None
    failure_rate: float = 0.0
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf
    slow_until: float = -math.inf


def begin(t: Target, attempt_id: str, now: float) -> None:
    """Count an attempt as in flight.

    :param t: the target, changed.
    :param attempt_id: the attempt.
    :param now: time in seconds.
    """
    t.in_flight[attempt_id] = now


def finish(t: Target, attempt_id: str, now: float) -> float:
    """Count an attempt as ended.

    :param t: the target, changed.
    :param attempt_id: the attempt.
    :param now: time in seconds.
    :returns: how long the attempt took, in milliseconds.
    """
    return (now - t.in_flight.pop(attempt_id)) * 1000


def learn_load(t: Target, load: upstream.Load, now: float) -> bool:
    """Take in the load that an upstream reported.

    :param t: the target, changed.
    :param load: the report.
    :param now: time in seconds.
    :returns: whether the report says for the first time that the upstream is leaving.

    A new incarnation that does not drain clears an earlier departure.
    """
    t.others = max(0.0, load.running + load.queued - len(t.in_flight))
    t.reported_at = now
    if load.incarnation != t.incarnation:
        if t.incarnation:
            t.seen_at = now
        t.incarnation = load.incarnation
    if load.draining:
        return mark_departed(t, load.incarnation)
    if t.departed is not None and t.departed != load.incarnation:
        t.departed = None
    return False


def is_leaving(t: Target) -> bool:
    """Return whether an upstream is leaving, whoever says so.

    :param t: the target.
    """
    return t.leaving or t.listed_leaving or t.departed is not None


def mark_departed(t: Target, incarnation: str) -> bool:
    """Note that an incarnation of an upstream has started to leave.

    :param t: the target, changed.
    :param incarnation: the incarnation.
    :returns: whether that was news.
    """
    news = t.departed != incarnation
    t.departed = incarnation
    return news


def overdue_ms(t: Target, now: float, patience_ms: float) -> float:
    """Return by how much the oldest attempt in flight is late.

    :param t: the target.
    :param now: time in seconds.
    :param patience_ms: how long an answer may take without being late.
    :returns: milliseconds, 0 if nothing is late.

    >>> t = Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 0.0)
    >>> begin(t, "a", 1.0)
    >>> round(overdue_ms(t, 1.05, 30.0))
    20
    """
    for started in t.in_flight.values():
        return max(0.0, (now - started) * 1000 - patience_ms)
    return 0.0
