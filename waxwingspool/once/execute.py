"""Runs a non-idempotent request at most once.

With an idempotency key, an intent row is inserted before the first byte is sent, only one request
at a time can claim the key, and a resend gets the recorded outcome. Without a key, a request runs
at most once, and a resend counts as a new request.
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

# Maximum number of upstreams tried in turn when each one refuses or is unreachable.
MAX_ATTEMPTS = 3
# Mean interval between reads of a row that another request has claimed, in seconds.
POLL_INTERVAL_S = 0.1
# How long writing an outcome is retried after it was returned to the caller, in seconds.
RECORD_TIMEOUT_S = 30.0
# How long writing an intent or a resolution is retried, in seconds. A request whose intent could
# not be written is refused as not run.
CLAIM_TIMEOUT_S = 2.0
# Largest response body that is recorded in the row, in bytes.
MAX_RECORDED_BYTES = 32 * 1024
# Nothing is sent within this time before the deadline, in milliseconds.
SEND_MARGIN_MS = 5

_KEY_REUSED = outcomes.NotRun("the idempotency key was used with another request", 422, 0)
_IN_PROGRESS = outcomes.Unknown("an earlier send of this key is still in progress; send again")
_TABLE_UNAVAILABLE = outcomes.NotRun("at-most-once needs the table, which is not available")


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Dependencies of at-most-once execution in one service.

    :ivar owner: id of this balancer.
    :ivar clock_error_ms: bound on the difference between a clock and true time, in milliseconds.
    :ivar spawn: starts a task that outlives the request and is awaited at shutdown.
    :ivar now_ms: returns Unix time in milliseconds.
    :ivar monotonic: returns monotonic time in seconds.
    """

    owner: str
    journal: journal.Journal
    client: upstream.UpstreamClient
    pool: pool.Pool
    clock_error_ms: int
    spawn: Callable[[Coroutine], None]
    now_ms: Callable[[], int] = attempt.now_ms
    monotonic: Callable[[], float] = time.monotonic
    rng: random.Random = dataclasses.field(default_factory=random.Random)


async def execute(
    ctx: Context, request: upstream.Request, key: str, timeout_ms: int
) -> outcomes.Outcome:
    """Run a request with an idempotency key.

    :param ctx: the context.
    :param request: the request with its complete body.
    :param key: the caller's idempotency key.
    :param timeout_ms: time limit of this request, in milliseconds.
    :returns: the outcome; once it is final, every request with the key gets the same one.
    """
    expires_at = ctx.monotonic() + timeout_ms / 1000
    digest = entry.request_digest(request, bytes(request.body))
    stored: journal.StoredEntry | None = None
    while True:
        outcome = await _existing_outcome(ctx, stored, digest) if stored is not None else None
        if outcome is _IN_PROGRESS and ctx.monotonic() < expires_at:
            stored = await _poll(ctx, stored)
            continue
        if outcome is not None:
            return outcome
        intent = _new_intent(ctx, key, digest, stored, expires_at)
        if intent is None:
            return outcomes.NotRun("no upstream is available")
        claim = await _claim(ctx, intent, stored.version if stored is not None else table.ABSENT)
        if isinstance(claim, outcomes.NotRun):
            return claim
        if isinstance(claim, journal.Written):
            return await _run_attempts(ctx, request, intent, claim.version, expires_at)
        stored = claim


async def execute_unkeyed(
    ctx: Context, request: upstream.Request, timeout_ms: int
) -> outcomes.Outcome:
    """Run a request without an idempotency key.

    :param ctx: the context.
    :param request: the request.
    :param timeout_ms: time limit of this request, in milliseconds.
    :returns: the outcome. Another upstream is tried only if the previous one has not started the
        request.
    """
    expires_at = ctx.monotonic() + timeout_ms / 1000
    deadline_ms = ctx.now_ms() + timeout_ms
    tried: set[str] = set()
    reason = "no upstream is available"
    while len(tried) < MAX_ATTEMPTS:
        t = ctx.pool.choose(tried)
        if t is None:
            break
        tried.add(t.name)
        upstream_attempt = upstream.Attempt(attempt.new_id(), deadline_ms)
        remaining_s = expires_at - ctx.monotonic()
        result = await attempt.send(ctx.client, ctx.pool, t, request, upstream_attempt, remaining_s)
        if isinstance(result, upstream.Response):
            return outcomes.Answered(result)
        if isinstance(result, upstream.Indeterminate):
            return outcomes.Unknown(f"{result.reason}; without a key it can't be resent safely")
        reason = result.reason
    return outcomes.NotRun(reason)


async def resolve(ctx: Context, stored: journal.StoredEntry) -> journal.StoredEntry:
    """Try to resolve an attempt whose owner has not recorded an outcome in time.

    :param ctx: the context.
    :param stored: the entry as read, in state ``INTENT``.
    :returns: the entry with the decision, or the entry that another balancer wrote first;
        ``stored`` if nothing can be decided yet or the row was removed.
    :raises waxwingspool.exceptions.WaxwingspoolError: if the table did not answer.
    """
    e = stored.entry
    if not recovery.overdue(e, ctx.now_ms(), ctx.clock_error_ms):
        return stored
    reply = await ctx.client.cancel(e.address, e.attempt_id)
    fencing = ctx.pool.service.fencing
    decision = recovery.decide(e, fencing, ctx.now_ms(), ctx.clock_error_ms, reply)
    if decision is recovery.Decision.WAIT:
        return stored
    not_run = decision is recovery.Decision.PERMIT
    state = entry.State.NOT_RUN if not_run else entry.State.UNKNOWN
    resolved = dataclasses.replace(e, state=state)
    result = await ctx.journal.write(resolved, stored.version, CLAIM_TIMEOUT_S)
    if isinstance(result, journal.Written):
        return journal.StoredEntry(resolved, result.version)
    return result or stored


async def _existing_outcome(
    ctx: Context, stored: journal.StoredEntry, digest: str
) -> outcomes.Answered | outcomes.NotRun | outcomes.Unknown | None:
    """Resolve a stored entry if it is overdue and return its outcome.

    :returns: the outcome, ``None`` if a new attempt is permitted.
    """
    if stored.entry.digest != digest:
        return _KEY_REUSED
    if stored.entry.state is entry.State.INTENT:
        try:
            stored = await resolve(ctx, stored)
        except exceptions.WaxwingspoolError:
            return _IN_PROGRESS
    return _recorded_outcome(stored.entry)


def _recorded_outcome(e: entry.Entry) -> outcomes.Outcome | None:
    """Return the outcome recorded in an entry, ``None`` if the attempt has not run."""
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


async def _poll(ctx: Context, stored: journal.StoredEntry) -> journal.StoredEntry | None:
    """Read the entry again after a pause; return it unchanged if the table does not answer."""
    await asyncio.sleep(POLL_INTERVAL_S * (0.5 + ctx.rng.random()))
    try:
        return await ctx.journal.read(stored.entry.service, stored.entry.key)
    except exceptions.WaxwingspoolError:
        return stored


async def _claim(
    ctx: Context, intent: entry.Entry, expected_version: int
) -> journal.Written | journal.StoredEntry | outcomes.NotRun | None:
    """Write an intent.

    Nothing is sent before the write has succeeded. If it fails, the attempt has not run, even if
    the intent may still appear in the table.
    """
    try:
        return await ctx.journal.write(intent, expected_version, CLAIM_TIMEOUT_S)
    except exceptions.WaxwingspoolError:
        return _TABLE_UNAVAILABLE


def _new_intent(
    ctx: Context, key: str, digest: str, stored: journal.StoredEntry | None, expires_at: float
) -> entry.Entry | None:
    """Return an intent for an upstream from the pool, ``None`` if none is available."""
    t = ctx.pool.choose()
    if t is None:
        return None
    remaining_ms = int((expires_at - ctx.monotonic()) * 1000)
    return entry.Entry(
        service=ctx.pool.service.name,
        key=key,
        digest=digest,
        attempt=stored.entry.attempt + 1 if stored is not None else 1,
        attempt_id=attempt.new_id(),
        owner=ctx.owner,
        upstream=t.name,
        address=t.address,
        incarnation=t.incarnation,
        deadline_ms=ctx.now_ms() + remaining_ms,
    )


async def _run_attempts(
    ctx: Context, request: upstream.Request, e: entry.Entry, version: int, expires_at: float
) -> outcomes.Outcome:
    """Send a claimed attempt; if it was not started, claim and send one at another upstream."""
    tried: set[str] = set()
    while True:
        tried.add(e.upstream)
        result = await _send(ctx, request, e, expires_at)
        if isinstance(result, upstream.Response):
            done = dataclasses.replace(
                e, state=entry.State.DONE, answer=_recordable_response(result)
            )
            ctx.spawn(_record_outcome(ctx, done, version))
            return outcomes.Answered(result)
        if isinstance(result, upstream.Indeterminate):
            # The row remains an intent, which a resend or the sweeper resolves after the deadline.
            return outcomes.Unknown(f"{result.reason}; send again with the same key")
        t = ctx.pool.choose(tried) if len(tried) < MAX_ATTEMPTS else None
        if t is None or ctx.monotonic() >= expires_at:
            ctx.spawn(
                _record_outcome(ctx, dataclasses.replace(e, state=entry.State.NOT_RUN), version)
            )
            return outcomes.NotRun(result.reason)
        e = _next_attempt(e, t)
        claim = await _claim(ctx, e, version)
        if isinstance(claim, outcomes.NotRun):
            return claim
        if not isinstance(claim, journal.Written):
            return _IN_PROGRESS
        version = claim.version


async def _send(
    ctx: Context, request: upstream.Request, e: entry.Entry, expires_at: float
) -> upstream.Result:
    """Send a claimed attempt, unless its deadline is too near or its upstream was removed."""
    t = ctx.pool.targets.get(e.upstream)
    if t is None or t.address != e.address:
        return upstream.NotStarted("the upstream was removed")
    if ctx.now_ms() + SEND_MARGIN_MS >= e.deadline_ms:
        return upstream.NotStarted("the deadline passed before the request was sent")
    upstream_attempt = upstream.Attempt(e.attempt_id, e.deadline_ms)
    remaining_s = expires_at - ctx.monotonic()
    result = await attempt.send(ctx.client, ctx.pool, t, request, upstream_attempt, remaining_s)
    if isinstance(result, upstream.Response) and result.status >= 500:
        return await _classify_server_error(ctx, e, result)
    return result


async def _classify_server_error(
    ctx: Context, e: entry.Entry, response: upstream.Response
) -> upstream.Response | upstream.NotStarted:
    """Return *not started* for a server error if the upstream confirms that no work was started.

    The request has been received and answered, so it cannot arrive later. Unlike in recovery, the
    deadline need not have passed.
    """
    reply = await ctx.client.cancel(e.address, e.attempt_id)
    if reply is None or reply.state is not upstream.CancelState.NEVER_STARTED:
        return response
    if not e.incarnation or reply.incarnation != e.incarnation:
        return response
    return upstream.NotStarted(f"{e.upstream} failed with status {response.status} before the work")


def _next_attempt(e: entry.Entry, t: target.Target) -> entry.Entry:
    """Return the entry for the next attempt at another upstream."""
    return dataclasses.replace(
        e,
        attempt=e.attempt + 1,
        attempt_id=attempt.new_id(),
        upstream=t.name,
        address=t.address,
        incarnation=t.incarnation,
    )


def _recordable_response(response: upstream.Response) -> upstream.Response | None:
    """Return the response in the form that is recorded, ``None`` if it is too large."""
    if len(response.body) > MAX_RECORDED_BYTES:
        return None
    return dataclasses.replace(response, load=None)


async def _record_outcome(ctx: Context, e: entry.Entry, version: int) -> None:
    """Record an outcome.

    A response also replaces an *unknown* that another balancer recorded for the same attempt.
    """
    try:
        result = await ctx.journal.write(e, version, RECORD_TIMEOUT_S)
        if isinstance(result, journal.StoredEntry) and _may_replace(e, result.entry):
            await ctx.journal.write(e, result.version, RECORD_TIMEOUT_S)
    except exceptions.WaxwingspoolError:
        # If the row remains an intent, a resend or the sweeper resolves it.
        return


def _may_replace(e: entry.Entry, current: entry.Entry) -> bool:
    """Return whether a response may replace an *unknown* recorded for the same attempt."""
    same_attempt = current.attempt_id == e.attempt_id
    return same_attempt and e.state is entry.State.DONE and current.state is entry.State.UNKNOWN
