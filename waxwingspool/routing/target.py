"""State of one upstream as observed by this balancer."""

import dataclasses
import math

from waxwingspool.interfaces import upstream
from waxwingspool.routing import pacing

__all__ = [
    "Target",
    "mark_leaving",
    "overdue_ms",
    "record_end",
    "record_start",
    "update_load",
]

# Weight of a new sample in the moving average of the failure rate.
FAILURE_RATE_WEIGHT = 0.2
# Time constant of the exponential decay of the number of external requests, in seconds.
REPORT_DECAY_S = 0.15


@dataclasses.dataclass(slots=True, eq=False)
class Target:
    """An upstream, with the load and health data that its responses provide without extra requests.

    Probes supply load reports only while there are no recent responses.

    :ivar rtt_ms: round-trip time in milliseconds, 0 within the region.
    :ivar incarnation_seen_at: when the current incarnation was first seen; start of its slow start.
    :ivar max_in_flight: this balancer's share of the connections that the upstream accepts, less
        those reserved for probes and cancellations.
    :ivar pacer: limits the rate of uploads, ``None`` within the region and where no link is
        configured.
    :ivar leaving: whether the configuration marks it as leaving.
    :ivar leaving_in_vm_list: whether the platform's VM list marks it as leaving.
    :ivar in_flight: start time in seconds of each attempt of this balancer, oldest first.
    :ivar external_requests: requests from other balancers at the time of the last report.
    :ivar reported_at: time of the last report in seconds.
    :ivar incarnation: incarnation in the last report, empty before the first one; it changes
        whenever the upstream restarts.
    :ivar leaving_incarnation: incarnation that has started to leave, ``None`` if none has.
    :ivar consecutive_ejections: ejections since the last success.
    :ivar suspected_slow_until: time until which it is suspected of being slow.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    rtt_ms: float
    incarnation_seen_at: float
    max_in_flight: int = 1_000_000
    pacer: pacing.Pacer | None = None
    leaving: bool = False
    leaving_in_vm_list: bool = False
    in_flight: dict[str, float] = dataclasses.field(default_factory=dict)
    external_requests: float = 0.0
    reported_at: float = -math.inf
    incarnation: str = ""
    leaving_incarnation: str | None = None
    failure_rate: float = 0.0
    consecutive_failures: int = 0
    consecutive_ejections: int = 0
    ejected_until: float = -math.inf
    suspected_slow_until: float = -math.inf


def record_start(t: Target, attempt_id: str, now: float) -> None:
    """Record the start of an attempt.

    :param t: the target; updated in place.
    :param attempt_id: the attempt's id.
    :param now: time in seconds.
    """
    t.in_flight[attempt_id] = now


def record_end(t: Target, attempt_id: str, now: float) -> float:
    """Record the end of an attempt.

    :param t: the target; updated in place.
    :param attempt_id: the attempt's id.
    :param now: time in seconds.
    :returns: the attempt's duration in milliseconds.
    """
    return (now - t.in_flight.pop(attempt_id)) * 1000


def update_load(t: Target, load: upstream.Load, now: float) -> bool:
    """Update a target from its load report.

    :param t: the target; updated in place.
    :param load: the report.
    :param now: time in seconds.
    :returns: whether the report shows for the first time that the upstream is leaving.

    If an earlier incarnation was marked as leaving, a report from a new one that is not draining
    clears the mark.
    """
    t.external_requests = max(0.0, load.running + load.queued - len(t.in_flight))
    t.reported_at = now
    if load.incarnation != t.incarnation:
        if t.incarnation:
            t.incarnation_seen_at = now
        t.incarnation = load.incarnation
    if load.draining:
        return mark_leaving(t, load.incarnation)
    if t.leaving_incarnation is not None and t.leaving_incarnation != load.incarnation:
        t.leaving_incarnation = None
    return False


def is_leaving(t: Target) -> bool:
    """Return whether an upstream is leaving according to any source.

    :param t: the target.
    """
    return t.leaving or t.leaving_in_vm_list or t.leaving_incarnation is not None


def mark_leaving(t: Target, incarnation: str) -> bool:
    """Record that an incarnation of an upstream has started to leave.

    :param t: the target; updated in place.
    :param incarnation: the incarnation.
    :returns: whether it was not recorded before.
    """
    is_new = t.leaving_incarnation != incarnation
    t.leaving_incarnation = incarnation
    return is_new


def overdue_ms(t: Target, now: float, slow_threshold_ms: float) -> float:
    """Return the time by which the oldest attempt in flight exceeds the slow threshold.

    :param t: the target.
    :param now: time in seconds.
    :param slow_threshold_ms: latency above which an attempt counts as slow.
    :returns: milliseconds, 0 if no attempt is overdue.

    >>> t = Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 0.0)
    >>> record_start(t, "a", 1.0)
    >>> round(overdue_ms(t, 1.05, 30.0))
    20
    """
    for started_at in t.in_flight.values():
        return max(0.0, (now - started_at) * 1000 - slow_threshold_ms)
    return 0.0
