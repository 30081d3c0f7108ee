"""What may be done about an attempt whose owner has not recorded an outcome.

The rules that :mod:`waxwingspool.once.tests.model` checks:

- Nothing is decided before the attempt's deadline; until then its owner may be at work.
- A new attempt is permitted only when the old one can't start any more. Where the upstream
  enforces absolute deadlines that is so after the deadline plus twice the bound on clock error:
  once for the upstream's clock, once for the reader's. Where it remembers cancellations, its own
  confirmation is enough.
- A confirmation counts only from the incarnation that the attempt was sent to: a restarted
  upstream has forgotten what it ran.
- Everything else ends as *unknown*.
"""

import enum

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.once import entry

__all__ = ["GRACE_MS", "Decision", "decide", "overdue"]

# How long an upstream that does not reply is asked again before the outcome is unknown, in ms.
GRACE_MS = 10_000


class Decision(enum.StrEnum):
    """What a successor may do.

    ``WAIT``: ask again later. ``PERMIT``: record that the attempt did not run. ``UNKNOWN``: record
    that it can't be found out.
    """

    WAIT = "wait"
    PERMIT = "permit"
    UNKNOWN = "unknown"


def overdue(e: entry.Entry, now_ms: int, clock_error_ms: int) -> bool:
    """Return whether the attempt can't start any more at an upstream that keeps deadlines.

    :param e: the entry.
    :param now_ms: the reader's Unix time in milliseconds.
    :param clock_error_ms: the most by which a clock differs from true time.
    """
    return now_ms >= e.deadline_ms + 2 * clock_error_ms


def decide(
    e: entry.Entry,
    fencing: model.Fencing,
    now_ms: int,
    clock_error_ms: int,
    reply: upstream.CancelReply | None,
) -> Decision:
    """Decide about an attempt in state ``INTENT``.

    :param e: the entry.
    :param fencing: what the service's upstreams guarantee.
    :param now_ms: the reader's Unix time in milliseconds.
    :param clock_error_ms: the most by which a clock differs from true time.
    :param reply: the recorded upstream's reply to a cancellation sent after the deadline, ``None``
        if it did not reply.
    :returns: the decision.
    """
    if not overdue(e, now_ms, clock_error_ms):
        return Decision.WAIT
    if reply is None:
        late = overdue(e, now_ms - GRACE_MS, clock_error_ms)
        return Decision.UNKNOWN if late else Decision.WAIT
    same = bool(e.incarnation) and reply.incarnation == e.incarnation
    never_started = reply.state is upstream.CancelState.NEVER_STARTED
    if same and never_started and fencing is not model.Fencing.NONE:
        return Decision.PERMIT
    return Decision.UNKNOWN
