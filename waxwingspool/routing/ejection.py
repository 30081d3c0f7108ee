"""Temporary ejection of failing upstreams, limited to a share of a service's upstreams."""

from collections.abc import Sequence

from waxwingspool.routing import target

__all__ = ["may_eject", "record_failure", "record_success"]

# Number of consecutive failures at which a target is ejected.
CONSECUTIVE_FAILURE_THRESHOLD = 3
# Moving average of the failure rate above which a target is ejected.
FAILURE_RATE_THRESHOLD = 0.5
# Durations of the first and the longest ejection, in seconds; the duration doubles with each
# ejection until the target succeeds.
MIN_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Largest share of a service's targets that may be ejected at the same time.
MAX_EJECTED_SHARE = 1 / 3


def record_success(t: target.Target) -> None:
    """Record a response that is not a failure.

    :param t: the target; updated in place.
    """
    t.consecutive_failures = 0
    t.consecutive_ejections = 0
    t.failure_rate -= target.FAILURE_RATE_WEIGHT * t.failure_rate


def record_failure(t: target.Target, all_targets: Sequence[target.Target], now: float) -> bool:
    """Record a failure; eject the target if it reaches a threshold or is on probation.

    :param t: the target; updated in place.
    :param all_targets: the targets of its service.
    :param now: time in seconds.
    :returns: whether the target was ejected.

    A target is on probation from an ejection until its next success.
    """
    t.consecutive_failures += 1
    t.failure_rate += target.FAILURE_RATE_WEIGHT * (1.0 - t.failure_rate)
    over_threshold = (
        t.consecutive_failures >= CONSECUTIVE_FAILURE_THRESHOLD
        or t.failure_rate > FAILURE_RATE_THRESHOLD
    )
    on_probation = t.consecutive_ejections > 0
    if not (over_threshold or on_probation) or not may_eject(t, all_targets, now):
        return False
    t.ejected_until = now + min(MAX_EJECTION_S, MIN_EJECTION_S * 2**t.consecutive_ejections)
    t.consecutive_ejections += 1
    return True


def may_eject(t: target.Target, all_targets: Sequence[target.Target], now: float) -> bool:
    """Return whether one more target may be ejected.

    :param t: the target to eject.
    :param all_targets: the targets of its service.
    :param now: time in seconds.

    Other targets count as ejected while they are on probation.
    """
    ejected = sum(
        1 for u in all_targets if u is not t and (u.consecutive_ejections or now < u.ejected_until)
    )
    return ejected + 1 <= max(1, int(len(all_targets) * MAX_EJECTED_SHARE)) < len(all_targets)
