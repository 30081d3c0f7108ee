"""Rate limits that upstreams name, with real balancer processes."""

import asyncio
import itertools
import random
import unittest

from standins.deployment import checker, client, cluster

BALANCERS = 6
UPSTREAMS = 4
# Second byte of the loopback addresses, outside the ranges of the soak and the demo.
SUBNET = 240
SEED = 5
# Callers of each balancer, and the average pause of one after a response in seconds.
CALLERS = 4
PAUSE_S = 0.25
# Limits that the first upstreams of a service name, in requests per second.
RATES = 1.0, 2.2
# Time before the limits are named, time for which they are, and time after their end, in seconds.
BEFORE_S, LIMITED_S, AFTER_S = 3.0, 10.0, 4.0


class RateLimitTest(unittest.TestCase):
    def test_upstreams_get_no_more_requests_than_the_limits_that_they_name(self) -> None:
        deployment = cluster.Cluster(BALANCERS, UPSTREAMS, SUBNET, random.Random(SEED))
        asyncio.run(run_limited(deployment))
        self.assertEqual([], checker.check_rate_limits(deployment.ledger))


async def run_limited(deployment: cluster.Cluster) -> None:
    """Send lookups while two upstreams of their service name limits, and some time longer."""
    loop = asyncio.get_running_loop()
    request_ids = (f"limit-{number}" for number in itertools.count())
    rng = random.Random(SEED)
    try:
        await deployment.start()
        await asyncio.sleep(BEFORE_S)
        ends_at = loop.time() + BEFORE_S + LIMITED_S + AFTER_S

        async def send_requests(node: cluster.Node) -> None:
            caller = client.Client((node.ip, cluster.FRONT_PORT))
            while loop.time() < ends_at:
                await caller.send("GET", "/lookup/1", next(request_ids))
                await asyncio.sleep(rng.expovariate(1 / PAUSE_S))
            caller.close()

        async def change_limits() -> None:
            await asyncio.sleep(BEFORE_S)
            limited = [deployment.upstreams[f"tags-{number}"] for number in range(len(RATES))]
            for target, rate in zip(limited, RATES, strict=True):
                target.limit_rate(rate)
            await asyncio.sleep(LIMITED_S)
            for target in limited:
                target.limit_rate(None)

        callers = [send_requests(node) for node in deployment.nodes for _ in range(CALLERS)]
        await asyncio.gather(change_limits(), *callers)
    finally:
        await deployment.stop()
