"""Runs an idempotent request with hedges and retries.

A hedge is a second attempt at another upstream while the first is late; the first whole answer
wins and the other attempt is cancelled (Dean and Barroso, "The tail at scale", 2013).
"""

import asyncio
import enum
import time
from collections.abc import Callable

from waxwingspool import outcomes
from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.routing import attempt, pool, target

__all__ = ["Hedged", "execute"]

# Shortest delay before a hedge, in milliseconds.
LEAST_HEDGE_MS = 1.0
# Upstreams that are tried in turn when each refuses the connection.
MOST_UNREACHABLE = 3


class Kind(enum.StrEnum):
    """Why an attempt is made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


# Counts an extra attempt of a kind: "hedge" or "retry".
CountExtra = Callable[[str], None]


async def execute(
    client: upstream.Upstream,
    p: pool.Pool,
    rule: model.Rule,
    request: upstream.Request,
    count_extra: CountExtra,
) -> outcomes.Outcome:
    """Run an idempotent request.

    :param client: the client for upstreams.
    :param p: the service's pool.
    :param rule: the request's rule.
    :param request: the request; a streamed body is sent at most once.
    :param count_extra: called for each hedge and retry.
    :returns: the outcome; *not run* only if no attempt was started.
    """
    run = Hedged(client, p, rule, request, count_extra)
    try:
        return await run.outcome()
    finally:
        run.cancel()


class Hedged:
    """One request's attempts, at most two at a time.

    The parameters are those of :func:`execute`.
    """

    def __init__(
        self,
        client: upstream.Upstream,
        p: pool.Pool,
        rule: model.Rule,
        request: upstream.Request,
        count_extra: CountExtra,
    ) -> None:
        self._client = client
        self._pool = p
        self._rule = rule
        self._request = request
        self._count_extra = count_extra
        self._give_up_at = time.monotonic() + rule.deadline_ms / 1000
        self._deadline_ms = attempt.now_ms() + rule.deadline_ms
        self._resendable = isinstance(request.body, bytes)
        self._tried: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._failure: upstream.Result = upstream.NotStarted("no upstream is available")
        self._started = False
        self._retries = 0
        self._unreachable = 0
        self._loop = asyncio.get_running_loop()
        self._scope: asyncio.Timeout | None = None

    async def outcome(self) -> outcomes.Outcome:
        """Return the outcome of the request."""
        t = self._pool.choose()
        if t is None:
            return self._failed()
        result = await self._first(t)
        if result is not None and _is_good(result):
            return outcomes.Answered(result)
        if result is not None:
            self._take_failure(result)
        return await self._others()

    async def _first(self, t: target.Target) -> upstream.Result | None:
        """Make the first attempt; return its result, ``None`` if a hedge was faster.

        It runs in the request's own task. Most requests need no other, and each further task costs
        a turn of the event loop.
        """
        late = self._loop.call_later(self._hedge_delay_s(), self._hedge)
        try:
            async with asyncio.timeout(None) as self._scope:
                return await self._attempt(t, Kind.FIRST)
        except TimeoutError:
            return None
        finally:
            self._scope = None
            late.cancel()

    async def _others(self) -> outcomes.Outcome:
        """Return the outcome once the first attempt has ended without a good answer."""
        if not self._tasks:
            self._retry()
        while self._tasks:
            done, _ = await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                self._tasks.discard(task)
                result = task.result()
                if _is_good(result):
                    return outcomes.Answered(result)
                self._take_failure(result)
            if not self._tasks:
                self._retry()
        return self._failed()

    def cancel(self) -> None:
        """Cancel the attempts that are still under way."""
        for task in self._tasks:
            task.cancel()

    def _start(self, t: target.Target | None, kind: Kind) -> None:
        """Start an attempt at a target, if there is one, in a task of its own."""
        if t is None:
            return
        task = asyncio.create_task(self._attempt(t, kind))
        task.add_done_callback(self._end_first)
        self._tasks.add(task)
        if kind is not Kind.FIRST:
            self._count_extra(kind.value)

    def _end_first(self, task: asyncio.Task) -> None:
        """End the first attempt if a hedge has a good answer."""
        if self._scope is not None and not task.cancelled() and _is_good(task.result()):
            self._scope.reschedule(self._loop.time())

    async def _attempt(self, t: target.Target, kind: Kind) -> upstream.Result:
        """Make one attempt and account for its time."""
        self._tried.add(t.name)
        one = upstream.Attempt(attempt.new_id(), self._deadline_ms)
        started_at = time.monotonic()
        left_s = self._give_up_at - started_at
        try:
            return await attempt.send(self._client, self._pool, t, self._request, one, left_s)
        finally:
            self._account(kind, (time.monotonic() - started_at) * 1000)

    def _account(self, kind: Kind, work_ms: float) -> None:
        """Add to or take from the budgets for extra work."""
        if kind is Kind.FIRST:
            self._pool.earn(self._rule, work_ms)
        elif kind is Kind.HEDGE:
            self._pool.spend_hedge(self._rule, work_ms)
        else:
            self._pool.spend_retry(work_ms)

    def _hedge_delay_s(self) -> float:
        """Return how long to wait before a hedge, in seconds."""
        if self._rule.hedge_share <= 0 or not self._resendable:
            return self._rule.deadline_ms / 1000
        return max(LEAST_HEDGE_MS, self._pool.hedge_delay_ms()) / 1000

    def _hedge(self) -> None:
        """Send a hedge if the budget allows it and an upstream has a free slot."""
        if self._resendable and self._pool.may_hedge(self._rule):
            self._start(self._pool.choose_free(self._tried), Kind.HEDGE)

    def _retry(self) -> None:
        """Send a retry after every attempt has failed, if the rule and the budget allow it."""
        over = time.monotonic() >= self._give_up_at
        if over or (self._started and not self._resendable):
            return
        if isinstance(self._failure, upstream.NotStarted) and self._failure.load is None:
            self._unreachable += 1
            if self._unreachable < MOST_UNREACHABLE:
                self._start(self._pool.choose(self._tried), Kind.FIRST)
            return
        if self._retries < self._rule.retries and self._pool.may_retry():
            self._retries += 1
            self._start(self._pool.choose(self._tried), Kind.RETRY)

    def _take_failure(self, result: upstream.Result) -> None:
        """Remember a failure; one that may have run counts before one that has not."""
        if not isinstance(result, upstream.NotStarted):
            self._started = True
        if not isinstance(self._failure, upstream.Answer):
            self._failure = result

    def _failed(self) -> outcomes.Outcome:
        """Return the outcome after every attempt has failed."""
        if isinstance(self._failure, upstream.Answer):
            return outcomes.Answered(self._failure)
        if self._started:
            return outcomes.Unknown(f"{self._failure.reason}; it may be sent again")
        return outcomes.NotRun(self._failure.reason)


def _is_good(result: upstream.Result) -> bool:
    """Return whether a result ends the request: a whole answer that is not a failure."""
    return isinstance(result, upstream.Answer) and result.status < 500
