"""Turns a request into an outcome: route, limit, then the way its rule asks for."""

import dataclasses
import random
import time
from collections.abc import Callable, Coroutine

from waxwingspool import outcomes
from waxwingspool.interfaces import upstream
from waxwingspool.observe import burn, metrics
from waxwingspool.once import execute, journal
from waxwingspool.routing import fleet, hedged

__all__ = ["Dispatcher", "outcome_name"]

# Longest idempotency key, in characters.
MAX_KEY = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatcher:
    """Dispatches requests.

    :ivar owner: id of this balancer.
    :ivar spawn: starts a task that outlives the request and is awaited at shutdown.
    :ivar clock_error_ms: returns the bound on clock error of the configuration in force.
    """

    owner: str
    services: fleet.Fleet
    client: upstream.Upstream
    journal: journal.Journal
    spawn: Callable[[Coroutine], None]
    clock_error_ms: Callable[[], int]
    counted: metrics.Metrics
    burned: burn.Recorder
    rng: random.Random

    async def dispatch(
        self, route: fleet.Route, request: upstream.Request, key: str | None
    ) -> outcomes.Outcome:
        """Serve a request.

        :param route: its rule and pool.
        :param request: the request.
        :param key: the caller's idempotency key.
        :returns: the outcome.
        """
        started_at = time.monotonic()
        limit = route.pool.limit
        if not limit.enter():
            outcome: outcomes.Outcome = outcomes.NotRun("the service is at its limit")
        else:
            try:
                outcome = await self._run(route, request, key)
            finally:
                limit.leave()
        self._count(route, outcome, time.monotonic() - started_at)
        return outcome

    def once_context(self, route_pool: fleet.pool.Pool) -> execute.Context:
        """Return the context for at-most-once execution in a pool."""
        return execute.Context(
            owner=self.owner,
            journal=self.journal,
            client=self.client,
            pool=route_pool,
            clock_error_ms=self.clock_error_ms(),
            spawn=self.spawn,
            rng=self.rng,
        )

    async def _run(
        self, route: fleet.Route, request: upstream.Request, key: str | None
    ) -> outcomes.Outcome:
        """Run a request that has been let in."""
        rule = route.rule
        if rule.idempotent:
            return await hedged.execute(
                self.client, route.pool, rule, request, self._count_extra(route)
            )
        if key is not None and not 0 < len(key) <= MAX_KEY:
            return outcomes.NotRun(f"the idempotency key must have 1 to {MAX_KEY} characters", 400)
        ctx = self.once_context(route.pool)
        if key is not None:
            return await execute.execute(ctx, request, key, rule.deadline_ms)
        if rule.key_required:
            return outcomes.NotRun("the header Idempotency-Key is required", 400, 0)
        return await execute.execute_unkeyed(ctx, request, rule.deadline_ms)

    def _count_extra(self, route: fleet.Route) -> hedged.CountExtra:
        """Return a function that counts hedges and retries."""
        service = route.pool.service.name
        return lambda kind: self.counted.extra.labels(service, kind).inc()

    def _count(self, route: fleet.Route, outcome: outcomes.Outcome, took_s: float) -> None:
        """Count an outcome in metrics and for the burn report."""
        service, rule = route.pool.service.name, route.rule
        name = outcome_name(outcome)
        metrics.labelled(self.counted.requests, service, rule.name, name).inc()
        metrics.labelled(self.counted.latency, service, rule.name).observe(took_s)
        self.burned.record(service, rule, took_s * 1000, _is_good(outcome))


def outcome_name(outcome: outcomes.Outcome) -> str:
    """Return the name that an outcome has on the wire and in metrics.

    :param outcome: the outcome.

    >>> outcome_name(outcomes.NotRun("the service is at its limit"))
    'not-run'
    """
    match outcome:
        case outcomes.Answered():
            return "answer"
        case outcomes.NotRun():
            return "not-run"
        case outcomes.Unknown():
            return "unknown"


def _is_good(outcome: outcomes.Outcome) -> bool:
    """Return whether an outcome counts as served: an answer, or a refusal the caller caused."""
    if isinstance(outcome, outcomes.Answered):
        return outcome.answer.status < 500
    return isinstance(outcome, outcomes.NotRun) and outcome.status < 500
