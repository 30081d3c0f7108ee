"""Routing state of one service: its upstreams, concurrency limit, latencies and budgets.

A pool holds the state; the other modules of this package implement the algorithms.
"""

import dataclasses
import time
from collections.abc import Callable, Container

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.routing import bucket, ejection, latency, limit, pacing, policy, score, target

__all__ = ["LOCAL_PATH", "NetworkPath", "NetworkPathLookup", "Pool"]


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkPath:
    """Network path from this region to a data centre.

    :ivar rtt_ms: round-trip time in milliseconds, 0 within this region.
    :ivar pacer: limits the rate of uploads, ``None`` within this region and where no link is
        configured.
    """

    rtt_ms: float
    pacer: pacing.Pacer | None


# Path to data centres of this region.
LOCAL_PATH = NetworkPath(0.0, None)

# Returns the path to a data centre, given its name.
NetworkPathLookup = Callable[[str], NetworkPath]

# Quantile of recent latencies above which an attempt counts as slow.
SLOW_QUANTILE = 0.9
# Slow threshold and hedge delay until there are enough samples, in milliseconds.
INITIAL_SLOW_THRESHOLD_MS = 50.0
# Connections of this balancer's share that are reserved for probes and cancellations.
RESERVED_CONNECTIONS = 2
# Initial value of the mean latency in milliseconds, and weight of a new sample.
INITIAL_MEAN_MS = 10.0
MEAN_WEIGHT = 0.02
# Longest time that a target is suspected of being slow after an attempt at it was cancelled, in
# seconds.
MAX_SUSPECTED_SLOW_S = 0.1
# Upper bounds of the balances of the hedge and retry budgets, in milliseconds.
HEDGE_BURST_MS = 300.0
RETRY_BURST_MS = 300.0
# Extra work allowed for retries, as a share of the duration of first attempts.
RETRY_SHARE = 0.01
# Bounds of the latency quantile that is used as the hedge delay, and its adjustment per request.
MIN_HEDGE_QUANTILE = 0.80
MAX_HEDGE_QUANTILE = 0.99
HEDGE_QUANTILE_STEP = 0.0005
# Fill ratio of the hedge budget that the adjustment of the quantile aims for.
DESIRED_FILL_RATIO = 0.3
# Moving average of requests per slot above which hedges and retries are disabled.
SATURATION_THRESHOLD = 3.0
# Weight of a new load report in the moving average of requests per slot.
LOAD_WEIGHT = 0.02
# Initial concurrency limit per slot.
INITIAL_LIMIT_PER_SLOT = 1.0


@dataclasses.dataclass(slots=True)
class Counts:
    """Event counts of a pool.

    :ivar ejected: ejections of failing upstreams.
    """

    attempts: int = 0
    hedges: int = 0
    retries: int = 0
    ejected: int = 0


class Pool:
    """Targets, concurrency limit, latencies and budgets of one service.

    :param service: the service's configuration.
    :param get_path: returns the network path to a data centre.
    :param choose: the load-balancing policy.
    :param on_leaving: called with a target when it first reports that it is leaving.
    :param max_balancers: maximum number of balancers that share an upstream's connections.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        service: model.Service,
        get_path: NetworkPathLookup,
        choose: policy.Policy,
        on_leaving: Callable[[target.Target], None],
        max_balancers: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._choose = choose
        self._on_leaving = on_leaving
        self._clock = clock
        self._requests_per_slot = 0.0
        self._hedge_quantile = 0.95
        self._mean_ms = INITIAL_MEAN_MS
        self._retry_budget = bucket.ExtraWorkBudget(RETRY_SHARE, RETRY_BURST_MS)
        self._hedge_budgets: dict[str, bucket.ExtraWorkBudget] = {}
        self.service = service
        self.targets: dict[str, target.Target] = {}
        self.latencies = latency.LatencyHistogram(clock)
        self.counts = Counts()
        self.configure(service, get_path, max_balancers)
        slots = sum(t.slots for t in self.targets.values())
        self.limit = limit.ConcurrencyLimit(slots * INITIAL_LIMIT_PER_SLOT, clock)

    @property
    def requests_per_slot(self) -> float:
        """Moving average of running and queued requests per upstream slot."""
        return self._requests_per_slot

    def configure(
        self, service: model.Service, get_path: NetworkPathLookup, max_balancers: int
    ) -> None:
        """Apply a changed configuration; the state of targets that remain is kept.

        :param service: the service's configuration.
        :param get_path: returns the network path to a data centre.
        :param max_balancers: maximum number of balancers that share an upstream's connections.
        """
        now = self._clock()
        previous = self.targets
        self.service = service
        self.targets = {}
        for u in service.upstreams:
            t = previous.get(u.name)
            if t is None or t.address != u.address:
                t = target.Target(u.name, service.name, u.address, u.data_centre, u.slots, 0.0, now)
            t.slots = u.slots
            t.leaving = u.leaving
            t.max_in_flight = max(1, u.connections // max_balancers - RESERVED_CONNECTIONS)
            t.data_centre = u.data_centre
            path = get_path(u.data_centre)
            t.rtt_ms, t.pacer = path.rtt_ms, path.pacer
            self.targets[u.name] = t

    def choose(self, excluded: Container[str] = ()) -> target.Target | None:
        """Choose a target for a new attempt.

        :param excluded: names of targets that are not candidates.
        :returns: the target, ``None`` if none is usable.
        """
        now = self._clock()
        usable = self._usable_targets(excluded, now) or self._fallback_targets(excluded)
        return self._choose(usable, self._policy_context(now)) if usable else None

    def choose_free(self, excluded: Container[str]) -> target.Target | None:
        """Choose a target for a hedge, among those with fewer requests in flight here than slots.

        :param excluded: names of targets that are not candidates.
        :returns: the target, ``None`` if none has a free slot.
        """
        now = self._clock()
        free = [t for t in self._usable_targets(excluded, now) if len(t.in_flight) < t.slots]
        return self._choose(free, self._policy_context(now)) if free else None

    def record_start(self, t: target.Target, attempt_id: str) -> None:
        """Record the start of an attempt."""
        self.counts.attempts += 1
        target.record_start(t, attempt_id, self._clock())

    def record_end(self, t: target.Target, attempt_id: str, result: upstream.Result | None) -> None:
        """Record the end of an attempt.

        :param t: the attempt's target.
        :param attempt_id: the attempt's id.
        :param result: the result, ``None`` if this balancer cancelled the attempt.
        """
        now = self._clock()
        succeeded = isinstance(result, upstream.Response) and result.status < 500
        duration_ms = target.record_end(t, attempt_id, now)
        if succeeded or result is None:
            # A cancelled attempt would have taken at least this long; omitting it would bias the
            # tail of the latency distribution downwards.
            self.latencies.record(duration_ms)
        if result is None:
            t.suspected_slow_until = now + min(MAX_SUSPECTED_SLOW_S, duration_ms / 1000)
        if succeeded:
            self._mean_ms += MEAN_WEIGHT * (duration_ms - self._mean_ms)
            ejection.record_success(t)
        elif result is not None and not _is_refusal(result):
            self.counts.ejected += ejection.record_failure(t, list(self.targets.values()), now)
        if result is None or isinstance(result, upstream.Indeterminate):
            return
        if result.load is not None:
            self.update_load(t, result.load)
            self.limit.record(self._requests_per_slot, _is_refusal(result))

    def update_load(self, t: target.Target, load: upstream.Load) -> None:
        """Record a load report from a response or a probe.

        :param t: the target that sent it.
        :param load: the report.
        """
        requests_per_slot = (load.running + load.queued) / t.slots
        self._requests_per_slot += LOAD_WEIGHT * (requests_per_slot - self._requests_per_slot)
        if target.update_load(t, load, self._clock()):
            self._on_leaving(t)

    def slow_threshold_ms(self) -> float:
        """Return the latency above which an attempt counts as slow, in milliseconds."""
        return self.latencies.quantile(SLOW_QUANTILE) or INITIAL_SLOW_THRESHOLD_MS

    def hedge_delay_ms(self) -> float:
        """Return the delay before a hedge is sent, in milliseconds.

        It is a quantile of recent latencies, adjusted so that hedges use their budget fully.
        """
        return self.latencies.quantile(self._hedge_quantile) or INITIAL_SLOW_THRESHOLD_MS

    def may_hedge(self, rule: model.Rule) -> bool:
        """Return whether a hedge may be sent now.

        :param rule: the request's rule.
        """
        if rule.hedge_share <= 0 or self._requests_per_slot > SATURATION_THRESHOLD:
            return False
        return self._hedge_budget(rule).has_balance()

    def may_retry(self) -> bool:
        """Return whether a retry may be sent now."""
        return self._requests_per_slot <= SATURATION_THRESHOLD and self._retry_budget.has_balance()

    def record_first_attempt(self, rule: model.Rule, work_ms: float) -> None:
        """Credit the budgets for extra work and adjust the quantile for the hedge delay.

        :param rule: the request's rule.
        :param work_ms: duration of the request's first attempt, in milliseconds.
        """
        self._retry_budget.deposit(work_ms)
        if rule.hedge_share <= 0:
            return
        budget = self._hedge_budget(rule)
        budget.deposit(work_ms)
        step = (
            -HEDGE_QUANTILE_STEP if budget.fill_ratio > DESIRED_FILL_RATIO else HEDGE_QUANTILE_STEP
        )
        self._hedge_quantile = min(
            MAX_HEDGE_QUANTILE, max(MIN_HEDGE_QUANTILE, self._hedge_quantile + step)
        )

    def record_hedge(self, rule: model.Rule, work_ms: float) -> None:
        """Count a hedge and charge its duration to the rule's hedge budget."""
        self.counts.hedges += 1
        self._hedge_budget(rule).withdraw(work_ms)

    def record_retry(self, work_ms: float) -> None:
        """Count a retry and charge its duration to the retry budget."""
        self.counts.retries += 1
        self._retry_budget.withdraw(work_ms)

    def _policy_context(self, now: float) -> policy.PolicyContext:
        """Return the inputs of the policy other than the candidates."""
        return policy.PolicyContext(now, self._mean_ms, self.slow_threshold_ms())

    def _usable_targets(self, excluded: Container[str], now: float) -> list[target.Target]:
        """Return the targets that may receive a new request and are not excluded."""
        targets = self.targets.values()
        return [t for t in targets if t.name not in excluded and score.is_usable(t, now)]

    def _hedge_budget(self, rule: model.Rule) -> bucket.ExtraWorkBudget:
        """Return the hedge budget of a rule; it is created on first use."""
        if rule.name not in self._hedge_budgets:
            self._hedge_budgets[rule.name] = bucket.ExtraWorkBudget(
                rule.hedge_share, HEDGE_BURST_MS
            )
        return self._hedge_budgets[rule.name]

    def _fallback_targets(self, excluded: Container[str]) -> list[target.Target]:
        """Return the candidates when no target is usable.

        An ejected target is better than none; a target that is leaving is never returned.
        """
        targets = self.targets.values()
        return [t for t in targets if t.name not in excluded and score.is_available(t)]


def _is_refusal(result: upstream.Result) -> bool:
    """Return whether the upstream itself refused the request, for example to shed load."""
    return isinstance(result, upstream.NotStarted) and result.load is not None
