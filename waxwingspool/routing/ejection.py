"""Ejection of upstreams that fail, with a floor on how many stay."""

from collections.abc import Sequence

from waxwingspool.routing import target

__all__ = ["may_eject", "record_failure", "record_success"]

# Failures in a row after which a target is ejected.
FAILURES_IN_ROW = 3
# Average failure rate above which a target is ejected.
FAILURE_RATE = 0.5
# First and longest time out of service, in seconds; it doubles from one to the other.
FIRST_S = 1.0
LONGEST_S = 30.0
# The largest share of a service's targets that may be ejected at once.
MOST_EJECTED = 1 / 3


def record_success(t: target.Target) -> None:
    """Take in an answer that is not a failure.

    :param t: the target, changed.
    """
    t.failures_in_row = 0
    t.ejections = 0
    t.failure_rate -= target.FAILURE_WEIGHT * t.failure_rate


def record_failure(t: target.Target, all_targets: Sequence[target.Target], now: float) -> bool:
    """Take in a failure and eject the target if it has failed too often.

    :param t: the target, changed.
    :param all_targets: the targets of its service.
    :param now: time in seconds.
    :returns: whether it was ejected.
    """
    t.failures_in_row += 1
    t.failure_rate += target.FAILURE_WEIGHT * (1.0 - t.failure_rate)
    failing = t.failures_in_row >= FAILURES_IN_ROW or t.failure_rate > FAILURE_RATE
    on_trial = t.ejections > 0
    if not (failing or on_trial) or not may_eject(t, all_targets, now):
        return False
    t.ejected_until = now + min(LONGEST_S, FIRST_S * 2**t.ejections)
    t.ejections += 1
    return True


def may_eject(t: target.Target, all_targets: Sequence[target.Target], now: float) -> bool:
    """Return whether one more target may be ejected.

    :param t: the target to eject.
    :param all_targets: the targets of its service.
    :param now: time in seconds.
    """
    out = sum(1 for u in all_targets if u is not t and (u.ejections or now < u.ejected_until))
    return out + 1 <= max(1, int(len(all_targets) * MOST_EJECTED)) < len(all_targets)
