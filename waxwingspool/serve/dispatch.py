"""Dispatches requests: applies the service's limit and executes requests as their rules require."""

import dataclasses
import random
import time
from collections.abc import Callable, Coroutine

from waxwingspool import outcomes
from waxwingspool.interfaces import upstream
from waxwingspool.observe import burn, metrics
from waxwingspool.once import execute, journal
from waxwingspool.routing import hedged, service_pools

__all__ = ["Dispatcher", "outcome_name"]

# Maximum length of an idempotency key, in characters.
MAX_KEY_LENGTH = 255


@dataclasses.dataclass(frozen=True, slots=True)
class Dispatcher:
    """Dispatches routed requests to upstreams.

    :ivar owner: ID of this balancer.
    :ivar spawn: starts a task that outlives the request and is awaited at shutdown.
    :ivar clock_error_ms: returns the maximum clock error of the configuration in force, in
        milliseconds.
    """

    owner: str
    pools: service_pools.ServicePools
    client: upstream.UpstreamClient
    journal: journal.Journal
    spawn: Callable[[Coroutine], None]
    clock_error_ms: Callable[[], int]
    app_metrics: metrics.Metrics
    burn_recorder: burn.Recorder
    rng: random.Random

    async def dispatch(
        self, route: service_pools.Route, request: upstream.Request, key: str | None
    ) -> outcomes.Outcome:
        """Execute a request within the service's concurrency limit and record its outcome.

        :param route: the rule and pool of the request.
        :param request: the request.
        :param key: the caller's idempotency key.
        :returns: the outcome.
        """
        started_at = time.monotonic()
        limit = route.pool.limit
        if not limit.acquire():
            outcome: outcomes.Outcome = outcomes.NotRun("the service is at its limit")
        else:
            try:
                outcome = await self._execute(route, request, key)
            finally:
                limit.release()
        self._record_outcome(route, outcome, time.monotonic() - started_at)
        return outcome

    def once_context(self, service_pool: service_pools.pool.Pool) -> execute.Context:
        """Return the context for at-most-once execution in a service's pool."""
        return execute.Context(
            owner=self.owner,
            journal=self.journal,
            client=self.client,
            pool=service_pool,
            clock_error_ms=self.clock_error_ms(),
            spawn=self.spawn,
            rng=self.rng,
        )

    async def _execute(
        self, route: service_pools.Route, request: upstream.Request, key: str | None
    ) -> outcomes.Outcome:
        """Execute a request that the limit has admitted."""
        rule = route.rule
        if rule.idempotent:
            return await hedged.execute(
                self.client, route.pool, rule, request, self._extra_attempt_counter(route)
            )
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            return outcomes.NotRun(
                f"the idempotency key must have 1 to {MAX_KEY_LENGTH} characters", 400
            )
        ctx = self.once_context(route.pool)
        if key is not None:
            return await execute.execute(ctx, request, key, rule.deadline_ms)
        if rule.key_required:
            return outcomes.NotRun("the header Idempotency-Key is required", 400, 0)
        return await execute.execute_unkeyed(ctx, request, rule.deadline_ms)

    def _extra_attempt_counter(self, route: service_pools.Route) -> hedged.RecordExtraAttempt:
        """Return a function that counts a service's hedges and retries."""
        service = route.pool.service.name
        return lambda kind: self.app_metrics.extra_attempts.labels(service, kind).inc()

    def _record_outcome(
        self, route: service_pools.Route, outcome: outcomes.Outcome, duration_s: float
    ) -> None:
        """Record an outcome in the metrics and for the burn report."""
        service, rule = route.pool.service.name, route.rule
        name = outcome_name(outcome)
        metrics.labelled(self.app_metrics.requests, service, rule.name, name).inc()
        metrics.labelled(self.app_metrics.latency, service, rule.name).observe(duration_s)
        self.burn_recorder.record(service, rule, duration_s * 1000, _is_successful(outcome))


def outcome_name(outcome: outcomes.Outcome) -> str:
    """Return the name of an outcome in responses and metrics.

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


def _is_successful(outcome: outcomes.Outcome) -> bool:
    """Return whether an outcome is successful: a response or a rejection with a status below 500.

    A 4xx status is successful because the caller caused it.
    """
    if isinstance(outcome, outcomes.Answered):
        return outcome.answer.status < 500
    return isinstance(outcome, outcomes.NotRun) and outcome.status < 500
