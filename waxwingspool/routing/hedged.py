"""Runs an idempotent request with hedges and retries.

A hedge is a second attempt at another upstream while the first one is slow; the first complete
successful response is used and the other attempt is cancelled (Dean and Barroso, "The tail at
scale", 2013).
"""

import asyncio
import enum
import time
from collections.abc import Callable

from waxwingspool import outcomes
from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.routing import attempt, pool, target

__all__ = ["HedgedRequest", "execute"]

# Minimum delay before a hedge, in milliseconds.
MIN_HEDGE_DELAY_MS = 1.0
# Maximum number of upstreams tried for a request when none of them can be reached.
MAX_UNREACHABLE = 3


class AttemptKind(enum.StrEnum):
    """The reason for an attempt."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


# Records an extra attempt, given its kind: "hedge" or "retry".
RecordExtraAttempt = Callable[[str], None]


async def execute(
    client: upstream.UpstreamClient,
    p: pool.Pool,
    rule: model.Rule,
    request: upstream.Request,
    record_extra_attempt: RecordExtraAttempt,
) -> outcomes.Outcome:
    """Run an idempotent request.

    :param client: the client for upstreams.
    :param p: the service's pool.
    :param rule: the request's rule.
    :param request: the request; it is sent at most once if its body is streamed.
    :param record_extra_attempt: called with the kind of each hedge and retry.
    :returns: the outcome; *not run* only if no upstream has started an attempt.
    """
    hedged_request = HedgedRequest(client, p, rule, request, record_extra_attempt)
    try:
        return await hedged_request.run()
    finally:
        hedged_request.cancel()


class HedgedRequest:
    """The attempts of one request, at most two at the same time.

    The parameters are those of :func:`execute`.
    """

    def __init__(
        self,
        client: upstream.UpstreamClient,
        p: pool.Pool,
        rule: model.Rule,
        request: upstream.Request,
        record_extra_attempt: RecordExtraAttempt,
    ) -> None:
        self._client = client
        self._pool = p
        self._rule = rule
        self._request = request
        self._record_extra_attempt = record_extra_attempt
        self._monotonic_deadline_s = time.monotonic() + rule.deadline_ms / 1000
        self._deadline_ms = attempt.now_ms() + rule.deadline_ms
        self._replayable = isinstance(request.body, bytes)
        self._tried: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._failure: upstream.Result = upstream.NotStarted("no upstream is available")
        self._may_have_started = False
        self._retries = 0
        self._unreachable = 0
        self._loop = asyncio.get_running_loop()
        self._first_attempt_timeout: asyncio.Timeout | None = None

    async def run(self) -> outcomes.Outcome:
        """Run the request; return its outcome."""
        t = self._pool.choose()
        if t is None:
            return self._failure_outcome()
        result = await self._run_first_attempt(t)
        if result is not None and _is_success(result):
            return outcomes.Answered(result)
        if result is not None:
            self._record_failure(result)
        return await self._run_extra_attempts()

    async def _run_first_attempt(self, t: target.Target) -> upstream.Result | None:
        """Run the first attempt; return its result, ``None`` if a hedge was faster.

        It runs in the request's own task: most requests need no other attempt, and each additional
        task costs an iteration of the event loop.
        """
        hedge_timer = self._loop.call_later(self._hedge_delay_s(), self._start_hedge)
        try:
            async with asyncio.timeout(None) as self._first_attempt_timeout:
                return await self._run_attempt(t, AttemptKind.FIRST)
        except TimeoutError:
            return None
        finally:
            self._first_attempt_timeout = None
            hedge_timer.cancel()

    async def _run_extra_attempts(self) -> outcomes.Outcome:
        """Return the outcome after the first attempt has ended without a successful response."""
        if not self._tasks:
            self._start_retry()
        while self._tasks:
            done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                self._tasks.discard(task)
                result = task.result()
                if _is_success(result):
                    return outcomes.Answered(result)
                self._record_failure(result)
            if not self._tasks:
                self._start_retry()
        return self._failure_outcome()

    def cancel(self) -> None:
        """Cancel the attempts that are still running."""
        for task in self._tasks:
            task.cancel()

    def _start_attempt(self, t: target.Target | None, kind: AttemptKind) -> None:
        """Start an attempt in a separate task, unless there is no target."""
        if t is None:
            return
        task = asyncio.create_task(self._run_attempt(t, kind))
        task.add_done_callback(self._cancel_first_attempt)
        self._tasks.add(task)
        if kind is not AttemptKind.FIRST:
            self._record_extra_attempt(kind.value)

    def _cancel_first_attempt(self, task: asyncio.Task) -> None:
        """Cancel the first attempt, by expiring its timeout, if a hedge has succeeded."""
        if (
            self._first_attempt_timeout is not None
            and not task.cancelled()
            and _is_success(task.result())
        ):
            self._first_attempt_timeout.reschedule(self._loop.time())

    async def _run_attempt(self, t: target.Target, kind: AttemptKind) -> upstream.Result:
        """Run one attempt and update the budgets by its duration."""
        self._tried.add(t.name)
        upstream_attempt = upstream.Attempt(attempt.new_id(), self._deadline_ms)
        started_at = time.monotonic()
        remaining_s = self._monotonic_deadline_s - started_at
        try:
            return await attempt.send(
                self._client, self._pool, t, self._request, upstream_attempt, remaining_s
            )
        finally:
            self._update_budgets(kind, (time.monotonic() - started_at) * 1000)

    def _update_budgets(self, kind: AttemptKind, work_ms: float) -> None:
        """Credit the budgets for a first attempt, or charge a hedge or retry to its budget."""
        if kind is AttemptKind.FIRST:
            self._pool.record_first_attempt(self._rule, work_ms)
        elif kind is AttemptKind.HEDGE:
            self._pool.record_hedge(self._rule, work_ms)
        else:
            self._pool.record_retry(work_ms)

    def _hedge_delay_s(self) -> float:
        """Return the delay before a hedge, in seconds.

        It is the rule's full ``deadline_ms`` if the request can't be hedged.
        """
        if self._rule.hedge_share <= 0 or not self._replayable:
            return self._rule.deadline_ms / 1000
        return max(MIN_HEDGE_DELAY_MS, self._pool.hedge_delay_ms()) / 1000

    def _start_hedge(self) -> None:
        """Start a hedge if the budget allows it and an upstream has a free slot."""
        if self._replayable and self._pool.may_hedge(self._rule):
            self._start_attempt(self._pool.choose_free(self._tried), AttemptKind.HEDGE)

    def _start_retry(self) -> None:
        """Start another attempt after all attempts have failed, if it is allowed.

        If the last upstream could not be reached, another one is tried; this counts as a first
        attempt and needs no retry budget. Otherwise the rule and the budget must allow a retry.
        """
        expired = time.monotonic() >= self._monotonic_deadline_s
        if expired or (self._may_have_started and not self._replayable):
            return
        if isinstance(self._failure, upstream.NotStarted) and self._failure.load is None:
            self._unreachable += 1
            if self._unreachable < MAX_UNREACHABLE:
                self._start_attempt(self._pool.choose(self._tried), AttemptKind.FIRST)
            return
        if self._retries < self._rule.retries and self._pool.may_retry():
            self._retries += 1
            self._start_attempt(self._pool.choose(self._tried), AttemptKind.RETRY)

    def _record_failure(self, result: upstream.Result) -> None:
        """Record a failure: the first server error response is kept, otherwise the last failure.

        Any result other than *not started* means that the request may have run.
        """
        if not isinstance(result, upstream.NotStarted):
            self._may_have_started = True
        if not isinstance(self._failure, upstream.Response):
            self._failure = result

    def _failure_outcome(self) -> outcomes.Outcome:
        """Return the outcome after all attempts have failed."""
        if isinstance(self._failure, upstream.Response):
            return outcomes.Answered(self._failure)
        if self._may_have_started:
            return outcomes.Unknown(f"{self._failure.reason}; it may be sent again")
        return outcomes.NotRun(self._failure.reason)


def _is_success(result: upstream.Result) -> bool:
    """Return whether a result is a complete response that is not a server error."""
    return isinstance(result, upstream.Response) and result.status < 500
