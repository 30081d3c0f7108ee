"""The upstreams of one service, and everything that decides about its requests.

A pool is the state; the decisions are in the other modules of this package.
"""

import dataclasses
import time
from collections.abc import Callable, Container

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.routing import bucket, ejection, latency, limit, pacing, policy, score, target

__all__ = ["INSIDE", "Path", "Paths", "Pool"]


@dataclasses.dataclass(frozen=True, slots=True)
class Path:
    """How a data centre is reached.

    :ivar rtt_ms: round trip in milliseconds, 0 in the own region.
    :ivar pacer: paces uploads, ``None`` in the own region.
    """

    rtt_ms: float
    pacer: pacing.Pacer | None


# The path to data centres of the own region.
INSIDE = Path(0.0, None)

# Returns the path to a data centre.
Paths = Callable[[str], Path]

# Quantile of recent latencies after which an answer counts as late.
PATIENCE_QUANTILE = 0.9
# Patience and hedge delay before there are enough samples, in milliseconds.
INITIAL_PATIENCE_MS = 50.0
# Connections of this balancer's share that are left for probes and cancellations.
SPARE_CONNECTIONS = 2
# Mean time of an answer assumed before the first one, and the weight of a new one.
INITIAL_MEAN_MS = 10.0
MEAN_WEIGHT = 0.02
# The longest that a target is suspected after a hedge has beaten it, in seconds.
SUSPECT_S = 0.1
# Most extra work that may be saved up for hedges, and for retries, in milliseconds.
HEDGE_BURST_MS = 300.0
RETRY_BURST_MS = 300.0
# Extra work that retries may add, as a share of the work.
RETRY_SHARE = 0.01
# Bounds of the quantile of recent latencies after which a hedge is sent, and how fast it moves.
LEAST_QUANTILE = 0.80
MOST_QUANTILE = 0.99
QUANTILE_STEP = 0.0005
# Balance of the hedge budget, as a share of its burst, that the quantile is steered to.
STEERED_FILL = 0.3
# Requests held for each slot, as a moving average, above which nothing is hedged or retried.
SATURATED = 3.0
# Weight of a new report in that average.
BUSY_WEIGHT = 0.02
# Limit on requests in flight for each slot, to start with.
INITIAL_LIMIT_PER_SLOT = 1.0


@dataclasses.dataclass(slots=True)
class Counts:
    """What a pool has done.

    :ivar ejected: upstreams taken out of service for failing.
    """

    attempts: int = 0
    hedges: int = 0
    retries: int = 0
    ejected: int = 0


class Pool:
    """Targets, limit and budgets of one service.

    :param service: the service's configuration.
    :param paths: how data centres are reached.
    :param choose: the policy.
    :param on_departure: called with a target that has been seen to leave for the first time.
    :param balancers: the most balancers that share an upstream's connections.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        service: model.Service,
        paths: Paths,
        choose: policy.Policy,
        on_departure: Callable[[target.Target], None],
        balancers: int = 1,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._choose = choose
        self._on_departure = on_departure
        self._clock = clock
        self._busy = 0.0
        self._quantile = 0.95
        self._mean_ms = INITIAL_MEAN_MS
        self._retry_budget = bucket.ShareBucket(RETRY_SHARE, RETRY_BURST_MS)
        self._hedge_budgets: dict[str, bucket.ShareBucket] = {}
        self.service = service
        self.targets: dict[str, target.Target] = {}
        self.latencies = latency.Latencies(clock)
        self.counts = Counts()
        self.configure(service, paths, balancers)
        slots = sum(t.slots for t in self.targets.values())
        self.limit = limit.Limit(slots * INITIAL_LIMIT_PER_SLOT, clock)

    @property
    def busy(self) -> float:
        """Requests that upstreams hold for each of their slots, as a moving average."""
        return self._busy

    def configure(self, service: model.Service, paths: Paths, balancers: int) -> None:
        """Take over a changed configuration; what is known of targets that stay is kept.

        :param service: the service's configuration.
        :param paths: how data centres are reached.
        :param balancers: the most balancers that share an upstream's connections.
        """
        now = self._clock()
        old = self.targets
        self.service = service
        self.targets = {}
        for u in service.upstreams:
            t = old.get(u.name)
            if t is None or t.address != u.address:
                t = target.Target(u.name, service.name, u.address, u.data_centre, u.slots, 0.0, now)
            t.slots = u.slots
            t.leaving = u.leaving
            t.most_in_flight = max(1, u.connections // balancers - SPARE_CONNECTIONS)
            t.data_centre = u.data_centre
            path = paths(u.data_centre)
            t.rtt_ms, t.pacer = path.rtt_ms, path.pacer
            self.targets[u.name] = t

    def choose(self, tried: Container[str] = ()) -> target.Target | None:
        """Choose a target.

        :param tried: names of targets not to choose.
        :returns: the target, ``None`` if none is usable.
        """
        now = self._clock()
        usable = self._usable(tried, now) or self._last_resort(tried)
        return self._choose(usable, self._moment(now)) if usable else None

    def choose_free(self, tried: Container[str]) -> target.Target | None:
        """Choose a target that is taken to have a free slot, for a hedge.

        :param tried: names of targets not to choose.
        :returns: the target, ``None`` if none is free.
        """
        now = self._clock()
        free = [t for t in self._usable(tried, now) if len(t.in_flight) < t.slots]
        return self._choose(free, self._moment(now)) if free else None

    def begin(self, t: target.Target, attempt_id: str) -> None:
        """Count an attempt as started."""
        self.counts.attempts += 1
        target.begin(t, attempt_id, self._clock())

    def finish(self, t: target.Target, attempt_id: str, result: upstream.Result | None) -> None:
        """Take in how an attempt ended.

        :param t: its target.
        :param attempt_id: the attempt.
        :param result: its result, ``None`` if it was cancelled here.
        """
        now = self._clock()
        answered = isinstance(result, upstream.Answer) and result.status < 500
        took_ms = target.finish(t, attempt_id, now)
        if answered or result is None:
            # An attempt that a hedge has beaten took at least this long; leaving it out would make
            # the tail look shorter than it is.
            self.latencies.record(took_ms)
        if result is None:
            t.slow_until = now + min(SUSPECT_S, took_ms / 1000)
        if answered:
            self._mean_ms += MEAN_WEIGHT * (took_ms - self._mean_ms)
            ejection.record_success(t)
        elif result is not None and not _is_refusal(result):
            self.counts.ejected += ejection.record_failure(t, list(self.targets.values()), now)
        if result is None or isinstance(result, upstream.Unclear):
            return
        if result.load is not None:
            self.learn(t, result.load)
            self.limit.record(self._busy, _is_refusal(result))

    def learn(self, t: target.Target, load: upstream.Load) -> None:
        """Take in a report of load, from an answer or a probe.

        :param t: the target that reported.
        :param load: the report.
        """
        held = (load.running + load.queued) / t.slots
        self._busy += BUSY_WEIGHT * (held - self._busy)
        if target.learn_load(t, load, self._clock()):
            self._on_departure(t)

    def patience_ms(self) -> float:
        """Return how long an answer may take without being late, in milliseconds."""
        return self.latencies.quantile(PATIENCE_QUANTILE) or INITIAL_PATIENCE_MS

    def hedge_delay_ms(self) -> float:
        """Return how long to wait before a hedge, in milliseconds.

        It is a quantile of recent latencies, steered so that hedges just use up their budget.
        """
        return self.latencies.quantile(self._quantile) or INITIAL_PATIENCE_MS

    def may_hedge(self, rule: model.Rule) -> bool:
        """Return whether a hedge may be sent now.

        :param rule: the request's rule.
        """
        if rule.hedge_share <= 0 or self._busy > SATURATED:
            return False
        return self._hedge_budget(rule).may_spend()

    def may_retry(self) -> bool:
        """Return whether a retry may be sent now."""
        return self._busy <= SATURATED and self._retry_budget.may_spend()

    def earn(self, rule: model.Rule, work_ms: float) -> None:
        """Add a request's share to the budgets for extra work.

        :param rule: the request's rule.
        :param work_ms: the time of its first attempt, in milliseconds.
        """
        self._retry_budget.earn(work_ms)
        if rule.hedge_share <= 0:
            return
        budget = self._hedge_budget(rule)
        budget.earn(work_ms)
        step = -QUANTILE_STEP if budget.fill > STEERED_FILL else QUANTILE_STEP
        self._quantile = min(MOST_QUANTILE, max(LEAST_QUANTILE, self._quantile + step))

    def spend_hedge(self, rule: model.Rule, work_ms: float) -> None:
        """Take the time of a hedge from its budget."""
        self.counts.hedges += 1
        self._hedge_budget(rule).spend(work_ms)

    def spend_retry(self, work_ms: float) -> None:
        """Take the time of a retry from its budget."""
        self.counts.retries += 1
        self._retry_budget.spend(work_ms)

    def _moment(self, now: float) -> policy.Moment:
        """Return what a choice is based on beside the targets."""
        return policy.Moment(now, self._mean_ms, self.patience_ms())

    def _usable(self, tried: Container[str], now: float) -> list[target.Target]:
        """Return the targets that may get new work."""
        ts = self.targets.values()
        return [t for t in ts if t.name not in tried and score.is_usable(t, now)]

    def _hedge_budget(self, rule: model.Rule) -> bucket.ShareBucket:
        """Return the hedge budget of a rule."""
        if rule.name not in self._hedge_budgets:
            self._hedge_budgets[rule.name] = bucket.ShareBucket(rule.hedge_share, HEDGE_BURST_MS)
        return self._hedge_budgets[rule.name]

    def _last_resort(self, tried: Container[str]) -> list[target.Target]:
        """Return ejected targets, which beat none at all; never those that are leaving."""
        ts = self.targets.values()
        return [t for t in ts if t.name not in tried and score.may_serve(t)]


def _is_refusal(result: upstream.Result) -> bool:
    """Return whether an upstream refused a request by itself, as one that sheds work does."""
    return isinstance(result, upstream.NotStarted) and result.load is not None
