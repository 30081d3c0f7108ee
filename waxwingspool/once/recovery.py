"""Decides how to resolve an attempt whose owner has not recorded an outcome.

The rules, which :mod:`waxwingspool.once.tests.model` checks:

- Nothing is decided before the attempt's deadline, because its owner may still be working on it.
- A new attempt is permitted only if the upstream confirms that the previous one has not started,
  and only when that one can no longer start. If the upstream enforces absolute deadlines, it cannot
  start after the deadline plus twice the bound on clock error: once for the upstream's clock and
  once for the reader's. If the upstream remembers cancellations, the confirmation is sufficient.
- A confirmation is valid only from the incarnation that the attempt was sent to, because a
  restarted upstream has lost its record of the attempts it ran.
- In all other cases the outcome is *unknown*. An upstream that does not reply is first queried
  again for a limited time.
"""

import enum

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.once import entry

__all__ = ["NO_REPLY_GRACE_MS", "Decision", "decide", "overdue"]

# How long after an attempt is overdue an upstream that does not reply is queried again before the
# outcome is unknown, in milliseconds.
NO_REPLY_GRACE_MS = 10_000


class Decision(enum.StrEnum):
    """What a balancer that finds an attempt without an outcome may do.

    ``WAIT``: query the upstream again later. ``PERMIT``: record that the attempt did not run, which
    permits a new one. ``UNKNOWN``: record that the outcome cannot be determined.
    """

    WAIT = "wait"
    PERMIT = "permit"
    UNKNOWN = "unknown"


def overdue(e: entry.Entry, now_ms: int, clock_error_ms: int) -> bool:
    """Return whether the attempt can no longer start at an upstream that enforces deadlines.

    :param e: the entry.
    :param now_ms: the reader's Unix time in milliseconds.
    :param clock_error_ms: bound on the difference between a clock and true time, in milliseconds.
    """
    return now_ms >= e.deadline_ms + 2 * clock_error_ms


def decide(
    e: entry.Entry,
    fencing: model.Fencing,
    now_ms: int,
    clock_error_ms: int,
    reply: upstream.CancelReply | None,
) -> Decision:
    """Decide how to resolve an attempt in state ``INTENT``.

    :param e: the entry.
    :param fencing: what the service's upstreams guarantee.
    :param now_ms: the reader's Unix time in milliseconds.
    :param clock_error_ms: bound on the difference between a clock and true time, in milliseconds.
    :param reply: the reply of the upstream in the entry to a cancellation sent after the deadline,
        ``None`` if it did not reply.
    :returns: the decision.
    """
    if not overdue(e, now_ms, clock_error_ms):
        return Decision.WAIT
    if reply is None:
        expired = overdue(e, now_ms - NO_REPLY_GRACE_MS, clock_error_ms)
        return Decision.UNKNOWN if expired else Decision.WAIT
    same_incarnation = bool(e.incarnation) and reply.incarnation == e.incarnation
    never_started = reply.state is upstream.CancelState.NEVER_STARTED
    if same_incarnation and never_started and fencing is not model.Fencing.NONE:
        return Decision.PERMIT
    return Decision.UNKNOWN
