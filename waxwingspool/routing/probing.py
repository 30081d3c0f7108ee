"""Probes of upstreams that have sent no report for a while, within the measuring budget."""

import asyncio
import dataclasses
import random
import time
from collections.abc import Callable, Iterator

from waxwingspool.config import model
from waxwingspool.interfaces import upstream
from waxwingspool.observe import metrics
from waxwingspool.routing import bucket, fleet, pool, target

__all__ = ["Budget", "Prober", "budget"]

# Time between two looks for upstreams to probe, in seconds.
LOOK_EVERY_S = 0.25
# Age above which a report is stale, in seconds.
STALE_S = 2.0
# What a probe takes on the wire, both ways with headers of all layers, in bytes.
PROBE_BYTES = 700
# Length of the windows over which spending is within the budget, in seconds. What a bucket holds is
# taken off its refill, so that this is so for every window of this length or longer.
WINDOW_S = 60.0
# Most probes under way at once.
MOST_PROBES = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """This balancer's share of the measuring budget, as token buckets."""

    region_bytes: bucket.TokenBucket
    cross_bytes: bucket.TokenBucket
    work_ms: bucket.TokenBucket
    probe_cost_ms: float


def budget(
    measuring: model.Measuring,
    balancers: int,
    clock: Callable[[], float] = time.monotonic,
) -> Budget:
    """Return one balancer's share of the budget.

    :param measuring: the budget over all balancers.
    :param balancers: how many there are as this one knows. The share is that of the most balancers
        allowed or of this number, whichever is smaller, so that balancers which disagree on how
        many they are stay within the budget together.
    :param clock: monotonic time in seconds.
    """
    share = 1 / max(measuring.balancers, balancers)

    def spend(rate: float, least: float) -> bucket.TokenBucket:
        burst = max(least, rate * share * LOOK_EVERY_S)
        return bucket.TokenBucket(max(0.0, rate * share - burst / WINDOW_S), burst, clock)

    return Budget(
        spend(measuring.region_bytes_per_s, PROBE_BYTES),
        spend(measuring.cross_bytes_per_s, PROBE_BYTES),
        spend(measuring.probe_work_ms_per_s, measuring.probe_cost_ms),
        measuring.probe_cost_ms,
    )


class Prober:
    """Probes upstreams whose reports are stale, the stalest first.

    :param services: the pools.
    :param client: the client for upstreams.
    :param spend: returns this balancer's budget, ``None`` to spend nothing.
    :param is_mine: whether it is this balancer that probes a target; the others hear of a departure
        from it. A target whose incarnation is not known is probed by every balancer once.
    :param counted: the metrics.
    :param rng: source of random numbers.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        services: fleet.Fleet,
        client: upstream.Upstream,
        spend: Callable[[], Budget | None],
        is_mine: Callable[[target.Target], bool],
        counted: metrics.Metrics,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._services = services
        self._client = client
        self._spend = spend
        self._is_mine = is_mine
        self._counted = counted
        self._rng = rng
        self._probed_at: dict[str, float] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S * (0.5 + self._rng.random()))
            await self.look()

    async def look(self) -> int:
        """Probe what is stale and affordable once.

        :returns: how many probes were sent.
        """
        spend = self._spend()
        if spend is None:
            return 0
        stale = sorted(self._stale(self._clock()), key=lambda pair: self._last(pair[1]))
        sent = []
        for p, t in stale[:MOST_PROBES]:
            if not self._pay(spend, t):
                break
            self._probed_at[t.name] = self._clock()
            sent.append(self._probe(p, t))
        await asyncio.gather(*sent)
        return len(sent)

    def _stale(self, now: float) -> Iterator[tuple[pool.Pool, target.Target]]:
        """Yield the targets without a fresh report or probe."""
        for p in self._services.pools.values():
            for t in p.targets.values():
                if now - self._last(t) > STALE_S and (not t.incarnation or self._is_mine(t)):
                    yield p, t

    def _last(self, t: target.Target) -> float:
        """Return when a target was last heard of or probed."""
        return max(t.reported_at, self._probed_at.get(t.name, 0.0))

    def _pay(self, spend: Budget, t: target.Target) -> bool:
        """Take a probe's cost from the budget; return whether there was enough."""
        scope = "cross" if t.rtt_ms else "region"
        paid_bytes = spend.cross_bytes if t.rtt_ms else spend.region_bytes
        if not paid_bytes.take(PROBE_BYTES):
            return False
        if not spend.work_ms.take(spend.probe_cost_ms):
            return False
        self._counted.measuring_bytes.labels(scope).inc(PROBE_BYTES)
        self._counted.measuring_work.inc(spend.probe_cost_ms)
        return True

    async def _probe(self, p: pool.Pool, t: target.Target) -> None:
        """Probe one target."""
        load = await self._client.probe(t.address)
        if load is not None:
            p.learn(t, load)
