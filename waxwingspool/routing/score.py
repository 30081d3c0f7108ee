"""Scores of a target: the lower, the better."""

import math

from waxwingspool.routing import target

__all__ = ["cold_factor", "expected_ms", "is_suspect", "is_usable", "load", "may_serve"]

# Time in which a new upstream is brought up to its full share, in seconds.
SLOW_START_S = 5.0
# How much longer a new upstream is assumed to take.
COLD_FACTOR = 4.0
# Surcharge on a target that seems slow, in mean times of an answer.
SUSPICION = 0.3
# What crossing to another region costs beside its delay, in milliseconds.
CROSSING_MS = 50.0


def is_usable(t: target.Target, now: float) -> bool:
    """Return whether a target may get new work.

    :param t: the target.
    :param now: time in seconds.

    An ejected target whose time is over takes one request at a time until one succeeds.
    """
    if not may_serve(t) or now < t.ejected_until:
        return False
    return not (t.ejections and t.in_flight)


def may_serve(t: target.Target) -> bool:
    """Return whether a target may be used at all: it is not leaving and has a connection left.

    :param t: the target.
    """
    return not target.is_leaving(t) and len(t.in_flight) < t.most_in_flight


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


def expected_ms(t: target.Target, now: float, mean_ms: float, patience_ms: float) -> float:
    """Return the time that a new request is expected to take at a target.

    :param t: the target.
    :param now: time in seconds.
    :param mean_ms: mean time of the service's answers.
    :param patience_ms: how long an answer may take without being late.
    :returns: milliseconds: round trip, work, queue, and a surcharge while the target seems slow.
    """
    work = mean_ms * cold_factor(t, now) * (1.0 + len(t.in_flight) / t.slots)
    if is_suspect(t, now, patience_ms):
        work += mean_ms * SUSPICION
    crossing = t.rtt_ms + CROSSING_MS if t.rtt_ms else 0.0
    return work + crossing


def is_suspect(t: target.Target, now: float, patience_ms: float) -> bool:
    """Return whether a target seems slow now.

    :param t: the target.
    :param now: time in seconds.
    :param patience_ms: how long an answer may take without being late.

    It does while its oldest answer is late, and for a while after a hedge has beaten it: cancelled
    attempts leave it looking idle.
    """
    return now < t.slow_until or target.overdue_ms(t, now, patience_ms) > 0
