"""Runs a non-idempotent request at most once.

With an idempotency key, an intent row is inserted before the first byte is sent, one writer wins a
key, and a resend gets the recorded outcome. Without a key, one send leads to at most one run, and a
resend is a new request.
"""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Coroutine

from waxwingspool import exceptions, outcomes
from waxwingspool.interfaces import table, upstream
from waxwingspool.once import entry, journal, recovery
from waxwingspool.routing import attempt, pool, target

__all__ = ["Context", "execute", "execute_unkeyed", "resolve"]

# Most upstreams that are tried in turn when each refuses or can't be reached.
MOST_ATTEMPTS = 3
# Pause between two looks at a row that another balancer holds, in seconds.
POLL_S = 0.1
# How long the outcome is tried to be recorded after the answer has gone out, in seconds.
RECORD_TIMEOUT_S = 30.0
# Longest wait for a row to be written before the request is refused as not run, in seconds.
CLAIM_TIMEOUT_S = 2.0
# Answers above this size are not kept in the row, in bytes.
MAX_RECORDED_BYTES = 32 * 1024
# Time before the deadline within which nothing is sent any more, in milliseconds.
SEND_MARGIN_MS = 5

_KEY_REUSED = outcomes.NotRun("the idempotency key was used with another request", 422, 0)
_IN_PROGRESS = outcomes.Unknown("an earlier send of this key is still in progress; send again")
_NO_RECORD = outcomes.NotRun("at-most-once needs the table, which is not available")


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What execution works with.

    :ivar owner: id of this balancer.
    :ivar spawn: starts a task that outlives the request and is awaited at shutdown.
    :ivar clock_error_ms: the most by which a clock differs from true time.
    :ivar now_ms: Unix time in milliseconds.
    """

    owner: str
    journal: journal.Journal
    client: upstream.Upstream
    pool: pool.Pool
    clock_error_ms: int
    spawn: Callable[[Coroutine], None]
    now_ms: Callable[[], int] = attempt.now_ms
    monotonic: Callable[[], float] = time.monotonic
    rng: random.Random = dataclasses.field(default_factory=random.Random)


async def execute(
    ctx: Context, request: upstream.Request, key: str, deadline_ms: int
) -> outcomes.Outcome:
    """Run a request with an idempotency key.

    :param ctx: the context.
    :param request: the request, its body whole.
    :param key: the caller's key.
    :param deadline_ms: time for this send, in milliseconds.
    :returns: the outcome; the same for every send of the key once it is final.
    """
    give_up_at = ctx.monotonic() + deadline_ms / 1000
    digest = entry.request_digest(request, bytes(request.body))
    held: journal.Held | None = None
    while True:
        ruled = await _settle(ctx, held, digest) if held is not None else None
        if ruled is _IN_PROGRESS and ctx.monotonic() < give_up_at:
            held = await _look_again(ctx, held)
            continue
        if ruled is not None:
            return ruled
        made = _new_entry(ctx, key, digest, held, give_up_at)
        if made is None:
            return outcomes.NotRun("no upstream is available")
        claim = await _claim(ctx, made, held.version if held is not None else table.ABSENT)
        if isinstance(claim, outcomes.NotRun):
            return claim
        if isinstance(claim, journal.Claimed):
            return await _run(ctx, request, made, claim.version, give_up_at)
        held = claim


async def execute_unkeyed(
    ctx: Context, request: upstream.Request, deadline_ms: int
) -> outcomes.Outcome:
    """Run a request without an idempotency key.

    :param ctx: the context.
    :param request: the request.
    :param deadline_ms: time for this send, in milliseconds.
    :returns: the outcome. Another upstream is tried only if the one before has not started it.
    """
    give_up_at = ctx.monotonic() + deadline_ms / 1000
    deadline = ctx.now_ms() + deadline_ms
    tried: set[str] = set()
    reason = "no upstream is available"
    while len(tried) < MOST_ATTEMPTS:
        t = ctx.pool.choose(tried)
        if t is None:
            break
        tried.add(t.name)
        one = upstream.Attempt(attempt.new_id(), deadline)
        left_s = give_up_at - ctx.monotonic()
        result = await attempt.send(ctx.client, ctx.pool, t, request, one, left_s)
        if isinstance(result, upstream.Answer):
            return outcomes.Answered(result)
        if isinstance(result, upstream.Unclear):
            return outcomes.Unknown(f"{result.reason}; without a key it can't be resent safely")
        reason = result.reason
    return outcomes.NotRun(reason)


async def resolve(ctx: Context, held: journal.Held) -> journal.Held:
    """Try to end an attempt whose owner has not recorded an outcome in time.

    :param ctx: the context.
    :param held: the row as read, in state ``INTENT``.
    :returns: the row as it is afterwards; unchanged where nothing can be decided yet.
    :raises waxwingspool.exceptions.WaxwingspoolError: if the table did not answer.
    """
    e = held.entry
    if not recovery.overdue(e, ctx.now_ms(), ctx.clock_error_ms):
        return held
    reply = await ctx.client.cancel(e.address, e.attempt_id)
    fencing = ctx.pool.service.fencing
    decision = recovery.decide(e, fencing, ctx.now_ms(), ctx.clock_error_ms, reply)
    if decision is recovery.Decision.WAIT:
        return held
    permit = decision is recovery.Decision.PERMIT
    state = entry.State.NOT_RUN if permit else entry.State.UNKNOWN
    ended = dataclasses.replace(e, state=state)
    claim = await ctx.journal.write(ended, held.version, CLAIM_TIMEOUT_S)
    if isinstance(claim, journal.Claimed):
        return journal.Held(ended, claim.version)
    return claim or held


async def _settle(
    ctx: Context, held: journal.Held, digest: str
) -> outcomes.Answered | outcomes.NotRun | outcomes.Unknown | None:
    """Return the outcome that a row holds, ``None`` if a new attempt is permitted."""
    if held.entry.digest != digest:
        return _KEY_REUSED
    if held.entry.state is entry.State.INTENT:
        try:
            held = await resolve(ctx, held)
        except exceptions.WaxwingspoolError:
            return _IN_PROGRESS
    return _recorded(held.entry)


def _recorded(e: entry.Entry) -> outcomes.Outcome | None:
    """Return the outcome in an entry, ``None`` if the attempt has not run."""
    match e.state:
        case entry.State.INTENT:
            return _IN_PROGRESS
        case entry.State.DONE if e.answer is not None:
            return outcomes.Answered(e.answer, replayed=True)
        case entry.State.DONE:
            return outcomes.Unknown("the request ran; its answer was too large to keep", True, 0)
        case entry.State.UNKNOWN:
            return outcomes.Unknown(
                f"attempt {e.attempt_id} at {e.upstream} may have run; ask the service", True, 0
            )
    return None


async def _look_again(ctx: Context, held: journal.Held) -> journal.Held | None:
    """Return the row as it is a while later, as it was if the table does not answer."""
    await asyncio.sleep(POLL_S * (0.5 + ctx.rng.random()))
    try:
        return await ctx.journal.read(held.entry.service, held.entry.key)
    except exceptions.WaxwingspoolError:
        return held


async def _claim(
    ctx: Context, made: entry.Entry, expected: int
) -> journal.Claimed | journal.Held | outcomes.NotRun | None:
    """Write an intent; nothing has been sent for it yet, so a failure means not run."""
    try:
        return await ctx.journal.write(made, expected, CLAIM_TIMEOUT_S)
    except exceptions.WaxwingspoolError:
        return _NO_RECORD


def _new_entry(
    ctx: Context, key: str, digest: str, held: journal.Held | None, give_up_at: float
) -> entry.Entry | None:
    """Return an intent for a newly chosen upstream, ``None`` if none is left."""
    t = ctx.pool.choose()
    if t is None:
        return None
    left_ms = int((give_up_at - ctx.monotonic()) * 1000)
    return entry.Entry(
        service=ctx.pool.service.name,
        key=key,
        digest=digest,
        attempt=held.entry.attempt + 1 if held is not None else 1,
        attempt_id=attempt.new_id(),
        owner=ctx.owner,
        upstream=t.name,
        address=t.address,
        incarnation=t.incarnation,
        deadline_ms=ctx.now_ms() + left_ms,
    )


async def _run(
    ctx: Context, request: upstream.Request, e: entry.Entry, version: int, give_up_at: float
) -> outcomes.Outcome:
    """Send the attempts that this balancer has claimed until one has an outcome."""
    tried: set[str] = set()
    while True:
        tried.add(e.upstream)
        result = await _send(ctx, request, e, give_up_at)
        if isinstance(result, upstream.Answer):
            done = dataclasses.replace(e, state=entry.State.DONE, answer=_kept(result))
            ctx.spawn(_record(ctx, done, version))
            return outcomes.Answered(result)
        if isinstance(result, upstream.Unclear):
            # The row stays an intent: a resend resolves it once the deadline has passed.
            return outcomes.Unknown(f"{result.reason}; send again with the same key")
        t = ctx.pool.choose(tried) if len(tried) < MOST_ATTEMPTS else None
        if t is None or ctx.monotonic() >= give_up_at:
            ctx.spawn(_record(ctx, dataclasses.replace(e, state=entry.State.NOT_RUN), version))
            return outcomes.NotRun(result.reason)
        e = _moved(e, t)
        claim = await _claim(ctx, e, version)
        if isinstance(claim, outcomes.NotRun):
            return claim
        if not isinstance(claim, journal.Claimed):
            return _IN_PROGRESS
        version = claim.version


async def _send(
    ctx: Context, request: upstream.Request, e: entry.Entry, give_up_at: float
) -> upstream.Result:
    """Send a claimed attempt, unless its time is over."""
    t = ctx.pool.targets.get(e.upstream)
    if t is None or t.address != e.address:
        return upstream.NotStarted("the upstream was removed")
    if ctx.now_ms() + SEND_MARGIN_MS >= e.deadline_ms:
        return upstream.NotStarted("the deadline passed before the request was sent")
    one = upstream.Attempt(e.attempt_id, e.deadline_ms)
    left_s = give_up_at - ctx.monotonic()
    result = await attempt.send(ctx.client, ctx.pool, t, request, one, left_s)
    if isinstance(result, upstream.Answer) and result.status >= 500:
        return await _check_failure(ctx, e, result)
    return result


async def _check_failure(
    ctx: Context, e: entry.Entry, answer: upstream.Answer
) -> upstream.Answer | upstream.NotStarted:
    """Return a failure as *not started* if the upstream confirms that it failed before the work.

    The request has been received and answered, so it can't arrive any more; unlike in recovery, the
    deadline need not have passed.
    """
    reply = await ctx.client.cancel(e.address, e.attempt_id)
    if reply is None or reply.state is not upstream.CancelState.NEVER_STARTED:
        return answer
    if not e.incarnation or reply.incarnation != e.incarnation:
        return answer
    return upstream.NotStarted(f"{e.upstream} failed with status {answer.status} before the work")


def _moved(e: entry.Entry, t: target.Target) -> entry.Entry:
    """Return the entry for the next attempt at another upstream."""
    return dataclasses.replace(
        e,
        attempt=e.attempt + 1,
        attempt_id=attempt.new_id(),
        upstream=t.name,
        address=t.address,
        incarnation=t.incarnation,
    )


def _kept(answer: upstream.Answer) -> upstream.Answer | None:
    """Return what is recorded of an answer, ``None`` if it is too large."""
    if len(answer.body) > MAX_RECORDED_BYTES:
        return None
    return dataclasses.replace(answer, load=None)


async def _record(ctx: Context, e: entry.Entry, version: int) -> None:
    """Record an outcome; an answer also replaces a successor's *unknown* for its own attempt."""
    try:
        claim = await ctx.journal.write(e, version, RECORD_TIMEOUT_S)
        if isinstance(claim, journal.Held) and _may_correct(e, claim.entry):
            await ctx.journal.write(e, claim.version, RECORD_TIMEOUT_S)
    except exceptions.WaxwingspoolError:
        # The row stays an intent, which a resend resolves.
        return


def _may_correct(e: entry.Entry, found: entry.Entry) -> bool:
    """Return whether an answer may replace what a successor recorded."""
    same = found.attempt_id == e.attempt_id
    return same and e.state is entry.State.DONE and found.state is entry.State.UNKNOWN
