"""Probes of upstreams without a recent load report, within the measuring budget."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Iterator

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.observe import metrics
from waxwingspool.routing import bucket, pool, service_pools, target

__all__ = ["Budget", "Prober", "create_budget"]

# Mean interval between two probe rounds, in seconds.
PROBE_INTERVAL_S = 0.25
# Age above which a load report is stale, in seconds.
MAX_REPORT_AGE_S = 2.0
# Size of a probe on the wire in bytes: both directions, including the headers of all layers.
PROBE_BYTES = 700
# Window length in seconds: the budget holds over every window of this length or longer. To ensure
# this, the refill rate of a token bucket is reduced by its burst divided by the window length.
BUDGET_WINDOW_S = 60.0
# Maximum number of concurrent probes.
MAX_CONCURRENT_PROBES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """This balancer's share of the measuring budget, as token buckets."""

    region_bytes: bucket.TokenBucket
    cross_bytes: bucket.TokenBucket
    work_ms: bucket.TokenBucket
    probe_cost_ms: float


def create_budget(
    measuring: model.Measuring,
    balancer_count: int,
    clock: Callable[[], float] = time.monotonic,
) -> Budget:
    """Return one balancer's share of the measuring budget.

    :param measuring: the budget of all balancers together.
    :param balancer_count: number of balancers known to this one. The budget is divided by this
        number or by the configured maximum number of balancers, whichever is larger, so that
        balancers which disagree about their number stay within the budget together.
    :param clock: monotonic time in seconds.
    """
    share = 1 / max(measuring.balancers, balancer_count)

    def create_bucket(rate: float, min_burst: float) -> bucket.TokenBucket:
        burst = max(min_burst, rate * share * PROBE_INTERVAL_S)
        return bucket.TokenBucket(max(0.0, rate * share - burst / BUDGET_WINDOW_S), burst, clock)

    return Budget(
        create_bucket(measuring.region_bytes_per_s, PROBE_BYTES),
        create_bucket(measuring.cross_bytes_per_s, PROBE_BYTES),
        create_bucket(measuring.probe_work_ms_per_s, measuring.probe_cost_ms),
        measuring.probe_cost_ms,
    )


class Prober:
    """Probes upstreams whose load reports are stale, the least recently updated first.

    :param pools: the pools of all services.
    :param client: the client for upstreams.
    :param get_budget: returns this balancer's budget, ``None`` to send no probes.
    :param is_responsible: returns whether this balancer probes a target and notifies the other
        balancers when the target is leaving. Until a balancer has the target's first report, it
        probes the target in any case.
    :param app_metrics: the metrics.
    :param rng: source of random numbers.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        pools: service_pools.ServicePools,
        client: upstream.UpstreamClient,
        get_budget: Callable[[], Budget | None],
        is_responsible: Callable[[target.Target], bool],
        app_metrics: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._pools = pools
        self._client = client
        self._get_budget = get_budget
        self._is_responsible = is_responsible
        self._metrics = app_metrics
        self._rng = rng
        self._probed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Run probe rounds until cancelled."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S * (0.5 + self._rng.random()))
            await self.probe_stale()

    async def probe_stale(self) -> int:
        """Run one probe round: probe stale targets as far as the budget allows.

        :returns: the number of probes sent.
        """
        budget = self._get_budget()
        if budget is None:
            return 0
        stale = sorted(
            self._stale_targets(self._clock()), key=lambda pair: self._last_contact(pair[1])
        )
        probes = []
        for p, t in stale[:MAX_CONCURRENT_PROBES]:
            if not self._spend(budget, t):
                break
            self._probed_at[t.name] = self._clock()
            probes.append(self._probe(p, t))
        await asyncio.gather(*probes)
        return len(probes)

    def _stale_targets(self, now: float) -> Iterator[tuple[pool.Pool, target.Target]]:
        """Yield the targets without a recent report or probe."""
        for p in self._pools.pools.values():
            for t in p.targets.values():
                if now - self._last_contact(t) > MAX_REPORT_AGE_S and (
                    not t.incarnation or self._is_responsible(t)
                ):
                    yield p, t

    def _last_contact(self, t: target.Target) -> float:
        """Return when a target last sent a report or was probed."""
        return max(t.reported_at, self._probed_at.get(t.name, 0.0))

    def _spend(self, budget: Budget, t: target.Target) -> bool:
        """Take the cost of a probe from the budget; return whether it was available."""
        scope = "cross" if t.rtt_ms else "region"
        byte_bucket = budget.cross_bytes if t.rtt_ms else budget.region_bytes
        if not byte_bucket.take(PROBE_BYTES):
            return False
        if not budget.work_ms.take(budget.probe_cost_ms):
            return False
        self._metrics.measuring_bytes.labels(scope).inc(PROBE_BYTES)
        self._metrics.measuring_work_ms.inc(budget.probe_cost_ms)
        return True

    async def _probe(self, p: pool.Pool, t: target.Target) -> None:
        """Probe one target and record its load."""
        load = await self._client.probe(t.address)
        if load is not None:
            p.update_load(t, load)
