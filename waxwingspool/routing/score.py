"""Eligibility and scoring of targets; a lower score is better."""

import math

from waxwingspool.routing import target

__all__ = [
    "estimated_load",
    "expected_ms",
    "is_available",
    "is_suspected_slow",
    "is_usable",
    "slow_start_factor",
]

# Duration of the slow start of a new upstream, in seconds.
SLOW_START_S = 5.0
# Factor on the expected time at the beginning of the slow start.
INITIAL_SLOW_START_FACTOR = 4.0
# Penalty for a target suspected of being slow, as a multiple of the service's mean latency.
SUSPECTED_SLOW_PENALTY = 0.3
# Penalty for a target in another region, added to the round-trip time, in milliseconds.
CROSS_REGION_PENALTY_MS = 50.0


def is_usable(t: target.Target, now: float) -> bool:
    """Return whether a target may receive a new request.

    :param t: the target.
    :param now: time in seconds.

    After its ejection a target is on probation: it receives one request at a time until one
    succeeds.
    """
    if not is_available(t) or now < t.ejected_until:
        return False
    return not (t.consecutive_ejections and t.in_flight)


def is_available(t: target.Target) -> bool:
    """Return whether a target is not leaving and has a free connection; ejection is ignored.

    :param t: the target.
    """
    return not target.is_leaving(t) and len(t.in_flight) < t.max_in_flight


def estimated_load(t: target.Target, now: float) -> float:
    """Return the estimated number of requests at a target.

    The number of external requests last reported decays exponentially with the report's age.

    :param t: the target.
    :param now: time in seconds.

    >>> t = target.Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 0.0)
    >>> t.external_requests, t.reported_at = 3.0, 1.0
    >>> estimated_load(t, 1.0)
    3.0
    """
    if t.external_requests <= 0.0:
        return float(len(t.in_flight))
    age = now - t.reported_at
    return len(t.in_flight) + t.external_requests * math.exp(-age / target.REPORT_DECAY_S)


def slow_start_factor(t: target.Target, now: float) -> float:
    """Return the slow-start factor on the expected time of a target.

    It falls linearly to 1 within the slow start.

    :param t: the target.
    :param now: time in seconds.

    >>> t = target.Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 10.0)
    >>> slow_start_factor(t, 10.0), slow_start_factor(t, 100.0)
    (4.0, 1.0)
    """
    progress = min(1.0, (now - t.incarnation_seen_at) / SLOW_START_S)
    return INITIAL_SLOW_START_FACTOR - (INITIAL_SLOW_START_FACTOR - 1.0) * progress


def expected_ms(t: target.Target, now: float, mean_ms: float, slow_threshold_ms: float) -> float:
    """Return the expected time of a new request at a target.

    :param t: the target.
    :param now: time in seconds.
    :param mean_ms: moving average of the service's latency.
    :param slow_threshold_ms: latency above which an attempt counts as slow.
    :returns: milliseconds: processing and queueing, with a penalty while the target is suspected of
        being slow, and the cost of reaching another region.
    """
    service_ms = mean_ms * slow_start_factor(t, now) * (1.0 + len(t.in_flight) / t.slots)
    if is_suspected_slow(t, now, slow_threshold_ms):
        service_ms += mean_ms * SUSPECTED_SLOW_PENALTY
    cross_region_ms = t.rtt_ms + CROSS_REGION_PENALTY_MS if t.rtt_ms else 0.0
    return service_ms + cross_region_ms


def is_suspected_slow(t: target.Target, now: float, slow_threshold_ms: float) -> bool:
    """Return whether a target is suspected of being slow.

    :param t: the target.
    :param now: time in seconds.
    :param slow_threshold_ms: latency above which an attempt counts as slow.

    A target is suspected while its oldest attempt in flight is overdue, and for a short time after
    an attempt at it was cancelled, usually because another attempt was faster: the cancelled
    attempt no longer counts as in flight, so the target would look idle.
    """
    return now < t.suspected_slow_until or target.overdue_ms(t, now, slow_threshold_ms) > 0
