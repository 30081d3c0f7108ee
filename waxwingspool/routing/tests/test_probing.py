"""Tests that measuring stays within its budget."""

import asyncio
import itertools
import random
import unittest
import unittest.mock

import hypothesis
from hypothesis import strategies

from standins import small
from waxwingspool.config import check
from waxwingspool.interfaces import upstream
from waxwingspool.observe import metrics
from waxwingspool.routing import fleet, probing

# Time between two looks of a balancer in the test, and its length, in seconds.
STEP_S = 0.25
LENGTH_S = 180.0


class Clock:
    """A clock that the test moves."""

    now = 0.0

    def __call__(self):
        return self.now


class Client:
    """Upstreams that count probes.

    :ivar probes: time and address of each.
    """

    def __init__(self, clock):
        self._clock = clock
        self.probes = []

    async def probe(self, address):
        self.probes.append((self._clock.now, address))
        return upstream.Load(0, 0, False, "i")


class Balancer:
    """A balancer that starts at some time and believes in some number of balancers."""

    def __init__(self, configuration, client, clock, believes, seed):
        services = fleet.Fleet("accra", "expected", random.Random(seed), lambda t: None, clock)
        services.configure(configuration)
        spend = probing.budget(configuration.measuring, believes, clock)
        self.metrics = metrics.create()
        self.prober = probing.Prober(
            services,
            client,
            lambda: spend,
            lambda t: True,
            self.metrics,
            random.Random(seed),
            clock,
        )


lives = strategies.lists(
    strategies.tuples(
        strategies.floats(0, LENGTH_S), strategies.floats(1, LENGTH_S), strategies.integers(1, 40)
    ),
    min_size=1,
    max_size=18,
)


class BudgetTest(unittest.TestCase):
    def configuration(self, **changes):
        document = small.small(upstreams=10)
        document["measuring"].update(changes)
        return check.check(small.json.dumps(document)).ok

    def run_lives(self, configuration, found):
        """Run balancers through their lives; return the clients' probes and the metrics."""
        clock = Clock()
        client = Client(clock)
        running = {}
        for step in range(int(LENGTH_S / STEP_S)):
            clock.now = step * STEP_S
            for n, (start, length, believes) in enumerate(found):
                if not start <= clock.now < start + length:
                    running.pop(n, None)
                    continue
                if n not in running:
                    running[n] = Balancer(configuration, client, clock, believes, n)
                asyncio.run(running[n].prober.look())
        return client.probes

    @hypothesis.settings(max_examples=10, deadline=None, database=None, derandomize=True)
    @hypothesis.given(lives)
    def test_every_window_is_within_the_budget(self, found):
        configuration = self.configuration(
            region_bytes_per_s=20_000, cross_bytes_per_s=4_000, probe_work_ms_per_s=30
        )
        regions = {
            u.address: u.data_centre.split("-")[0]
            for s in configuration.services
            for u in s.upstreams
        }
        probes = self.run_lives(configuration, found)
        for region, rate in (("accra", 20_000), ("kumasi", 4_000)):
            times = [at for at, address in probes if regions[address] == region]
            self.within(times, probing.PROBE_BYTES, rate)
        self.within([at for at, _ in probes], configuration.measuring.probe_cost_ms, 30)

    def within(self, times, cost, rate):
        """Check every window of the stated length that starts with a probe."""
        for start in times:
            inside = itertools.takewhile(
                lambda at, start=start: at < start + probing.WINDOW_S,
                (at for at in times if at >= start),
            )
            self.assertLessEqual(sum(cost for _ in inside), rate * probing.WINDOW_S)

    def test_nothing_is_spent_without_a_budget(self):
        configuration = self.configuration(
            region_bytes_per_s=0, cross_bytes_per_s=0, probe_work_ms_per_s=0
        )
        self.assertEqual([], self.run_lives(configuration, [(0.0, LENGTH_S, 1)]))

    def test_the_check_catches_balancers_that_divide_by_what_they_believe(self):
        budget = probing.budget
        configuration = self.configuration(
            region_bytes_per_s=20_000, cross_bytes_per_s=4_000, probe_work_ms_per_s=30
        )

        def broken(measuring, balancers, clock):
            alone = measuring.model_copy(update={"balancers": 1})
            return budget(alone, balancers, clock)

        with unittest.mock.patch.object(probing, "budget", broken):
            probes = self.run_lives(configuration, [(0.0, LENGTH_S, 1)] * 12)
        with self.assertRaises(AssertionError):
            self.within([at for at, _ in probes], 1.0, 30)
