"""Specification of at-most-once execution, for explicit-state model checking.

One idempotency key, up to two attempts, one upstream. The transitions correspond to the code as
follows:

====================  =============================================================
``claim``             :func:`waxwingspool.once.execute.execute` inserts or replaces the intent
``claim_reply_lost``  the same, but the reply of the table is lost: the owner never sends
``send``              ``_send``; a paused owner may take this step at any later time
``arrive``            the upstream receives the request, at any time after it was sent
``tick``              time passes an attempt's deadline, then also the bound on clock error
``restart``           the upstream restarts, at most once, and loses its record of attempts,
                      apart from the cancellations that it remembers
``cancel``            :func:`waxwingspool.once.execute.resolve` cancels at the upstream
``resolve``           it then writes what :func:`waxwingspool.once.recovery.decide` returned
``record``            the owner records the response, which may replace *unknown*
``record_refusal``    the owner records that the upstream refused the attempt
====================  =============================================================
"""

import dataclasses

import minicheck

# Maximum number of attempts.
MAX_ATTEMPTS = 2
# Phases of an attempt's deadline: before it, within the bound on clock error, after both.
BEFORE, WITHIN_CLOCK_ERROR, AFTER = range(3)


@dataclasses.dataclass(frozen=True)
class Mechanisms:
    """The mechanisms that are enabled.

    :ivar enforces_deadlines: the upstream refuses work that starts after its deadline.
    :ivar remembers_cancellations: the upstream remembers cancelled attempts.
    :ivar waits_for_deadline: a recovering balancer waits for the deadline.
    :ivar waits_for_clock_error: it also waits for the bound on clock error.
    :ivar checks_incarnation: a reply of a restarted upstream does not permit a new attempt.
    """

    enforces_deadlines: bool = True
    remembers_cancellations: bool = False
    waits_for_deadline: bool = True
    waits_for_clock_error: bool = True
    checks_incarnation: bool = True


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt.

    :ivar status: absent, claimed, abandoned, sent, ran or refused.
    :ivar deadline_phase: phase of its deadline.
    :ivar incarnation: the upstream's incarnation as known to the owner.
    :ivar upstream_record: what the upstream remembers of it: none, started or cancelled.
    :ivar resolution: what a recovering balancer is about to write: none, not-run or unknown.
    """

    status: str = "absent"
    deadline_phase: int = BEFORE
    incarnation: int = 0
    upstream_record: str = "none"
    resolution: str = "none"


@dataclasses.dataclass(frozen=True)
class SystemState:
    """State of the table row, the upstream and all attempts.

    :ivar latest: number of the attempt in the row, 0 for no row.
    :ivar row: state of the row: none, intent, done, not-run or unknown.
    :ivar incarnation: the upstream's incarnation.
    :ivar runs: number of times that the request has run.
    """

    latest: int = 0
    row: str = "none"
    incarnation: int = 0
    runs: int = 0
    attempts: tuple = (Attempt(),) * MAX_ATTEMPTS


def protocol(mechanisms):
    """Return the model with a set of mechanisms."""
    return minicheck.Protocol(
        name="at-most-once",
        candidate=False,
        fields=("state",),
        initial=(SystemState(),),
        transitions=lambda values: [
            (label, (s,)) for label, s in transitions(values[0], mechanisms)
        ],
        invariants={
            "runs at most once": lambda d: d["state"].runs <= 1,
            "not run is true": lambda d: not_run_is_true(d["state"]),
        },
    )


def not_run_is_true(s):
    """Return whether the attempt in a *not-run* row has indeed not run."""
    return s.row != "not-run" or s.attempts[s.latest - 1].status != "ran"


def transitions(s, mechanisms):
    """Yield the label and the next state of every transition from a state."""
    if s.row in ("none", "not-run") and s.latest < MAX_ATTEMPTS:
        yield from claim_transitions(s)
    if s.incarnation == 0:
        attempts = tuple(
            (
                a
                if mechanisms.remembers_cancellations and a.upstream_record == "cancelled"
                else updated(a, upstream_record="none")
            )
            for a in s.attempts
        )
        yield "restart", updated(s, incarnation=1, attempts=attempts)
    for i, a in enumerate(s.attempts):
        yield from owner_transitions(s, i, a)
        yield from upstream_transitions(s, i, a, mechanisms)
        yield from recovery_transitions(s, i, a, mechanisms)


def claim_transitions(s):
    """Yield the transitions that write an intent."""
    i = s.latest
    for label, status in (("claim", "claimed"), ("claim_reply_lost", "abandoned")):
        claimed = Attempt(status=status, incarnation=s.incarnation)
        yield f"{label}{i + 1}", with_attempt(updated(s, latest=i + 1, row="intent"), i, claimed)


def owner_transitions(s, i, a):
    """Yield the transitions of an attempt's owner."""
    if a.status == "claimed":
        yield f"send{i + 1}", with_attempt(s, i, updated(a, status="sent"))
    if a.status == "ran" and s.latest == i + 1 and s.row in ("intent", "unknown"):
        yield f"record{i + 1}", updated(s, row="done")
    if a.status == "refused" and s.latest == i + 1 and s.row == "intent":
        yield f"record_refusal{i + 1}", updated(s, row="not-run")


def upstream_transitions(s, i, a, mechanisms):
    """Yield the transitions of the upstream and of time."""
    if a.status != "absent" and a.deadline_phase < AFTER:
        yield f"tick{i + 1}", with_attempt(s, i, updated(a, deadline_phase=a.deadline_phase + 1))
    if a.status != "sent":
        return
    expired = mechanisms.enforces_deadlines and a.deadline_phase == AFTER
    if expired or a.upstream_record == "cancelled":
        yield f"arrive{i + 1}", with_attempt(s, i, updated(a, status="refused"))
    else:
        ran = with_attempt(s, i, updated(a, status="ran", upstream_record="started"))
        yield f"arrive{i + 1}", updated(ran, runs=s.runs + 1)


def recovery_transitions(s, i, a, mechanisms):
    """Yield the transitions of a balancer that finds an attempt without an outcome."""
    if s.latest != i + 1 or s.row != "intent":
        return
    if a.resolution != "none":
        yield f"resolve{i + 1}", updated(s, row=a.resolution)
        return
    overdue = AFTER if mechanisms.waits_for_clock_error else WITHIN_CLOCK_ERROR
    if mechanisms.waits_for_deadline and a.deadline_phase < overdue:
        return
    same_incarnation = a.incarnation == s.incarnation or not mechanisms.checks_incarnation
    fenced = mechanisms.enforces_deadlines or mechanisms.remembers_cancellations
    never_started = a.upstream_record != "started"
    resolution = "not-run" if never_started and same_incarnation and fenced else "unknown"
    record = (
        "cancelled" if never_started and mechanisms.remembers_cancellations else a.upstream_record
    )
    yield f"cancel{i + 1}", with_attempt(
        s, i, updated(a, resolution=resolution, upstream_record=record)
    )


def updated(value, **fields):
    """Return a copy with some fields changed."""
    return dataclasses.replace(value, **fields)


def with_attempt(s, i, a):
    """Return a copy of a state with one attempt replaced."""
    attempts = list(s.attempts)
    attempts[i] = a
    return updated(s, attempts=tuple(attempts))
