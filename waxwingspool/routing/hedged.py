"""Runs an idempotent request with hedges and retries.

A hedge is a second attempt at another upstream while the first is late; the first whole answer
wins and the other attempt is cancelled (Dean and Barroso, "The tail at scale", 2013).
"""

import asyncio
import time
from collections.abc import Callable

from waxwingspool import outcomes
from waxwingspool.config import model
from waxwingspool.platform import upstream
from waxwingspool.routing import attempt, pool, target

__all__ = ["Hedged", "execute"]

# Quantile of recent latencies after which a hedge is sent.
HEDGE_QUANTILE = 0.9
# Shortest delay before a hedge, in milliseconds.
LEAST_HEDGE_MS = 1.0
# Upstreams that are tried in turn when each refuses the connection.
MOST_UNREACHABLE = 3

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

    async def outcome(self) -> outcomes.Outcome:
        """Return the outcome of the request."""
        if not self._start():
            return self._failed()
        hedge_at = time.monotonic() + self._hedge_delay_s()
        while self._tasks:
            now = time.monotonic()
            if now >= self._give_up_at:
                return outcomes.Unknown("no answer within the deadline; it may be sent again")
            until = min(hedge_at, self._give_up_at)
            done, _ = await asyncio.wait(
                self._tasks,
                timeout=max(0.0, until - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done and time.monotonic() >= hedge_at:
                hedge_at = self._give_up_at
                self._hedge()
            for task in done:
                self._tasks.discard(task)
                result = task.result()
                if isinstance(result, upstream.Answer) and result.status < 500:
                    return outcomes.Answered(result)
                self._take_failure(result)
            if not self._tasks:
                self._retry()
        return self._failed()

    def cancel(self) -> None:
        """Cancel the attempts that are still under way."""
        for task in self._tasks:
            task.cancel()

    def _start(self) -> bool:
        """Start an attempt at an upstream not tried yet; return whether there was one."""
        t = self._pool.choose(self._tried)
        if t is None:
            return False
        self._tried.add(t.name)
        self._tasks.add(asyncio.create_task(self._attempt(t)))
        return True

    async def _attempt(self, t: target.Target) -> upstream.Result:
        """Make one attempt."""
        one = upstream.Attempt(attempt.new_id(), self._deadline_ms)
        left_s = self._give_up_at - time.monotonic()
        return await attempt.send(self._client, self._pool, t, self._request, one, left_s)

    def _hedge_delay_s(self) -> float:
        """Return how long to wait before a hedge, in seconds."""
        if self._rule.hedge_share <= 0 or not self._resendable:
            return self._rule.deadline_ms / 1000
        quantile = self._pool.latencies.quantile(HEDGE_QUANTILE)
        return max(LEAST_HEDGE_MS, quantile or pool.INITIAL_PATIENCE_MS) / 1000

    def _hedge(self) -> None:
        """Send a hedge if the budget allows it."""
        if self._resendable and self._pool.may_hedge(self._rule) and self._start():
            self._pool.counts.hedges += 1
            self._count_extra("hedge")

    def _retry(self) -> None:
        """Send a retry after every attempt has failed, if the rule and the budget allow it."""
        if not self._resendable and self._started:
            return
        if isinstance(self._failure, upstream.NotStarted) and self._failure.load is None:
            self._unreachable += 1
            if self._unreachable < MOST_UNREACHABLE:
                self._start()
            return
        if self._retries < self._rule.retries and self._pool.may_retry() and self._start():
            self._retries += 1
            self._pool.counts.retries += 1
            self._count_extra("retry")

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
