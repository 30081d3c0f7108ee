"""Tests that probes stay within the measuring budget."""

import asyncio
import itertools
import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from standins import example_configurations
from waxwingspool.config import check
from waxwingspool.interfaces import upstream
from waxwingspool.observe import metrics
from waxwingspool.routing import probing, service_pools

# Interval between two probe rounds of a simulated balancer, and length of the simulation, in
# seconds.
STEP_S = 0.25
DURATION_S = 180.0


class Clock:
    """A clock that the test sets."""

    now = 0.0

    def __call__(self):
        return self.now


class RecordingClient:
    """Fake upstream client that records probes.

    :ivar probes: time and address of each probe.
    """

    def __init__(self, clock):
        self._clock = clock
        self.probes = []

    async def probe(self, address):
        self.probes.append((self._clock.now, address))
        return upstream.Load(0, 0, False, "i")


class Balancer:
    """A simulated balancer; the number of balancers that it knows may be wrong."""

    def __init__(self, configuration, client, clock, known_balancers, seed):
        pools = service_pools.ServicePools(
            "accra", "expected", random.Random(seed), lambda t: None, clock
        )
        pools.configure(configuration)
        budget = probing.create_budget(configuration.measuring, known_balancers, clock)
        self.metrics = metrics.create()
        self.prober = probing.Prober(
            pools,
            client,
            lambda: budget,
            lambda t: True,
            self.metrics,
            random.Random(seed),
            clock,
        )


# Lists of balancers, each with its start time and lifetime in seconds and the number of balancers
# that it knows.
balancer_lists = strategies.lists(
    strategies.tuples(
        strategies.floats(0, DURATION_S),
        strategies.floats(1, DURATION_S),
        strategies.integers(1, 40),
    ),
    min_size=1,
    max_size=18,
)


class BudgetTest(unittest.TestCase):
    def configuration(self, **changes):
        document = example_configurations.load_reduced(upstreams=10)
        document["measuring"].update(changes)
        return check.check(example_configurations.json.dumps(document)).ok

    def run_balancers(self, configuration, balancers):
        """Simulate balancers that start and stop; return the probes that they sent."""
        clock = Clock()
        client = RecordingClient(clock)
        running = {}
        for step in range(int(DURATION_S / STEP_S)):
            clock.now = step * STEP_S
            for n, (start, lifetime, known_balancers) in enumerate(balancers):
                if not start <= clock.now < start + lifetime:
                    running.pop(n, None)
                    continue
                if n not in running:
                    running[n] = Balancer(configuration, client, clock, known_balancers, n)
                asyncio.run(running[n].prober.probe_stale())
        return client.probes

    @hypothesis.settings(max_examples=10, deadline=None, database=None, derandomize=True)
    @hypothesis.given(balancer_lists)
    def test_probes_in_every_window_stay_within_the_budget(self, balancers):
        configuration = self.configuration(
            region_bytes_per_s=20_000, cross_bytes_per_s=4_000, probe_work_ms_per_s=30
        )
        regions = {
            u.address: u.data_centre.split("-")[0]
            for s in configuration.services
            for u in s.upstreams
        }
        probes = self.run_balancers(configuration, balancers)
        for region, rate in (("accra", 20_000), ("kumasi", 4_000)):
            times = [at for at, address in probes if regions[address] == region]
            self.assert_within_budget(times, probing.PROBE_BYTES, rate)
        self.assert_within_budget(
            [at for at, _ in probes], configuration.measuring.probe_cost_ms, 30
        )

    def assert_within_budget(self, times, cost, rate):
        """Check every window of the budget's window length that starts with a probe."""
        for start in times:
            window = itertools.takewhile(
                lambda at, start=start: at < start + probing.BUDGET_WINDOW_S,
                (at for at in times if at >= start),
            )
            self.assertLessEqual(sum(cost for _ in window), rate * probing.BUDGET_WINDOW_S)

    def test_no_probes_are_sent_without_a_budget(self):
        configuration = self.configuration(
            region_bytes_per_s=0, cross_bytes_per_s=0, probe_work_ms_per_s=0
        )
        self.assertEqual([], self.run_balancers(configuration, [(0.0, DURATION_S, 1)]))

    def test_assert_within_budget_detects_balancers_that_ignore_the_configured_maximum(self):
        original_create_budget = probing.create_budget
        configuration = self.configuration(
            region_bytes_per_s=20_000, cross_bytes_per_s=4_000, probe_work_ms_per_s=30
        )

        def create_unsafe_budget(measuring, balancer_count, clock):
            single_balancer = measuring.model_copy(update={"balancers": 1})
            return original_create_budget(single_balancer, balancer_count, clock)

        with unittest.mock.patch.object(probing, "create_budget", create_unsafe_budget):
            probes = self.run_balancers(configuration, [(0.0, DURATION_S, 1)] * 12)
        with self.assertRaises(AssertionError):
            self.assert_within_budget([at for at, _ in probes], 1.0, 30)
