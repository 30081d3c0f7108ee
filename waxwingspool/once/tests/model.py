"""Specification of at-most-once execution, for explicit-state model checking.

One idempotency key, up to two attempts, one upstream. The names map to the code like this:

================  ==============================================================
``claim``         :func:`waxwingspool.once.execute.execute` inserts or replaces the intent
``claim_lost``    the same, and the answer of the table is lost: the owner never sends
``send``          ``_send``; a paused owner may take this step at any later time
``arrive``        the upstream receives the request, at any time after it was sent
``tick``          time passes an attempt's deadline, then also the bound on clock error
``restart``       the upstream restarts and forgets its attempts
``ask``           :func:`waxwingspool.once.execute.resolve` cancels at the upstream
``settle``        it then writes what :func:`waxwingspool.once.recovery.decide` returned
``record``        the owner records the answer, which may replace *unknown*
``refused``       the owner records that the upstream refused the attempt
================  ==============================================================
"""

import dataclasses

import minicheck

# Attempts in the model.
ATTEMPTS = 2
# Phases of an attempt's deadline: before it, within the bound on clock error, after both.
BEFORE, AROUND, AFTER = range(3)


@dataclasses.dataclass(frozen=True)
class Fence:
    """Which mechanisms are in place.

    :ivar keeps_deadlines: the upstream refuses work that starts after its deadline.
    :ivar remembers: the upstream remembers cancelled attempts.
    :ivar waits: a successor waits for the deadline.
    :ivar waits_for_clocks: it waits for the bound on clock error too.
    :ivar checks_incarnation: a reply of a restarted upstream permits nothing.
    """

    keeps_deadlines: bool = True
    remembers: bool = False
    waits: bool = True
    waits_for_clocks: bool = True
    checks_incarnation: bool = True


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One attempt.

    :ivar at: absent, claimed, abandoned, sent, ran or refused.
    :ivar phase: phase of its deadline.
    :ivar incarnation: the upstream's incarnation as the owner knew it.
    :ivar memory: what the upstream remembers of it: none, started or cancelled.
    :ivar asked: what a successor is about to write: none, not-run or unknown.
    """

    at: str = "absent"
    phase: int = BEFORE
    incarnation: int = 0
    memory: str = "none"
    asked: str = "none"


@dataclasses.dataclass(frozen=True)
class World:
    """The whole state.

    :ivar latest: number of the attempt in the row, 0 for no row.
    :ivar row: state of the row.
    """

    latest: int = 0
    row: str = "none"
    incarnation: int = 0
    runs: int = 0
    attempts: tuple = (Attempt(),) * ATTEMPTS


def protocol(fence):
    """Return the model for a set of mechanisms."""
    return minicheck.Protocol(
        name="at-most-once",
        candidate=False,
        fields=("world",),
        initial=(World(),),
        transitions=lambda state: [(label, (w,)) for label, w in steps(state[0], fence)],
        invariants={
            "runs at most once": lambda d: d["world"].runs <= 1,
            "not run is true": lambda d: not_run_is_true(d["world"]),
        },
    )


def not_run_is_true(w):
    """Return whether a row that says not run is about an attempt that did not."""
    return w.row != "not-run" or w.attempts[w.latest - 1].at != "ran"


def steps(w, fence):
    """Yield every step from a state."""
    if w.row in ("none", "not-run") and w.latest < ATTEMPTS:
        yield from claims(w)
    if w.incarnation == 0:
        forgotten = tuple(
            a if fence.remembers and a.memory == "cancelled" else change(a, memory="none")
            for a in w.attempts
        )
        yield "restart", change(w, incarnation=1, attempts=forgotten)
    for i, a in enumerate(w.attempts):
        yield from owner_steps(w, i, a)
        yield from upstream_steps(w, i, a, fence)
        yield from successor_steps(w, i, a, fence)


def claims(w):
    """Yield the steps that write an intent."""
    i = w.latest
    for label, at in (("claim", "claimed"), ("claim_lost", "abandoned")):
        claimed = Attempt(at=at, incarnation=w.incarnation)
        yield f"{label}{i + 1}", replace(change(w, latest=i + 1, row="intent"), i, claimed)


def owner_steps(w, i, a):
    """Yield the steps of an attempt's owner."""
    if a.at == "claimed":
        yield f"send{i + 1}", replace(w, i, change(a, at="sent"))
    if a.at == "ran" and w.latest == i + 1 and w.row in ("intent", "unknown"):
        yield f"record{i + 1}", change(w, row="done")
    if a.at == "refused" and w.latest == i + 1 and w.row == "intent":
        yield f"refused{i + 1}", change(w, row="not-run")


def upstream_steps(w, i, a, fence):
    """Yield the steps of the upstream and of time."""
    if a.at != "absent" and a.phase < AFTER:
        yield f"tick{i + 1}", replace(w, i, change(a, phase=a.phase + 1))
    if a.at != "sent":
        return
    late = fence.keeps_deadlines and a.phase == AFTER
    if late or a.memory == "cancelled":
        yield f"arrive{i + 1}", replace(w, i, change(a, at="refused"))
    else:
        ran = replace(w, i, change(a, at="ran", memory="started"))
        yield f"arrive{i + 1}", change(ran, runs=w.runs + 1)


def successor_steps(w, i, a, fence):
    """Yield the steps of a balancer that finds an attempt without an outcome."""
    if w.latest != i + 1 or w.row != "intent":
        return
    if a.asked != "none":
        yield f"settle{i + 1}", change(w, row=a.asked)
        return
    overdue = AFTER if fence.waits_for_clocks else AROUND
    if fence.waits and a.phase < overdue:
        return
    same = a.incarnation == w.incarnation or not fence.checks_incarnation
    permits = fence.keeps_deadlines or fence.remembers
    never = a.memory != "started"
    asked = "not-run" if never and same and permits else "unknown"
    memory = "cancelled" if never and fence.remembers else a.memory
    yield f"ask{i + 1}", replace(w, i, change(a, asked=asked, memory=memory))


def change(value, **fields):
    """Return a copy with some fields changed."""
    return dataclasses.replace(value, **fields)


def replace(w, i, a):
    """Return a state with one attempt changed."""
    attempts = list(w.attempts)
    attempts[i] = a
    return change(w, attempts=tuple(attempts))
