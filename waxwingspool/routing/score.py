"""Scores of a target: the lower, the better."""

import math

from waxwingspool.routing import target

__all__ = ["cold_factor", "expected_ms", "is_usable", "load"]

# Time in which a new upstream is brought up to its full share, in seconds.
SLOW_START_S = 5.0
# How much longer a new upstream is assumed to take.
COLD_FACTOR = 4.0
# What crossing to another region costs beside its delay, in milliseconds.
CROSSING_MS = 50.0


def is_usable(t: target.Target, now: float) -> bool:
    """Return whether a target may get new work.

    :param t: the target.
    :param now: time in seconds.

    An ejected target whose time is over takes one request at a time until one succeeds.
    """
    if t.leaving or t.departed is not None or now < t.ejected_until:
        return False
    return not (t.ejections and t.in_flight)


def load(t: target.Target, now: float) -> float:
    """Return the requests that a target is taken to hold: own, and those of others as they fade.

    :param t: the target.
    :param now: time in seconds.

    >>> t = target.Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 0.0)
    >>> t.others, t.reported_at = 3.0, 1.0
    >>> load(t, 1.0)
    3.0
    """
    if t.others <= 0.0:
        return float(len(t.in_flight))
    age = now - t.reported_at
    return len(t.in_flight) + t.others * math.exp(-age / target.REPORT_DECAY_S)


def cold_factor(t: target.Target, now: float) -> float:
    """Return how much longer than usual a target is assumed to take since it started.

    :param t: the target.
    :param now: time in seconds.

    >>> t = target.Target("u", "s", "127.0.0.1:1", "d", 4, 0.0, 10.0)
    >>> cold_factor(t, 10.0), cold_factor(t, 100.0)
    (4.0, 1.0)
    """
    warm = min(1.0, (now - t.seen_at) / SLOW_START_S)
    return COLD_FACTOR - (COLD_FACTOR - 1.0) * warm


def expected_ms(t: target.Target, now: float, patience_ms: float) -> float:
    """Return the time that a new request is expected to take at a target.

    :param t: the target.
    :param now: time in seconds.
    :param patience_ms: how long an answer may take without being late.
    :returns: milliseconds: round trip, queue, work, and by how much answers are late now.
    """
    ahead = load(t, now)
    turns = max(1.0, (ahead + 1.0) / t.slots) + 0.1 * ahead / t.slots
    work = t.service_ms * cold_factor(t, now) * turns
    late = target.overdue_ms(t, now, patience_ms)
    if now < t.slow_until:
        late = max(late, t.slow_ms)
    crossing = t.rtt_ms + CROSSING_MS if t.rtt_ms else 0.0
    return work + late + crossing
