"""Tests of the choice of an upstream, of ejection, limit and budgets."""

import random
import unittest

from standins import small
from waxwingspool.config import check
from waxwingspool.interfaces import upstream, vms
from waxwingspool.membership import members
from waxwingspool.routing import fleet, pool
from waxwingspool.serve import departures

ANSWER = upstream.Answer(200, (), b"", upstream.Load(1, 0, False, "i"))
FAILURE = upstream.Answer(500, (), b"", upstream.Load(0, 0, False, "i"))
DRAINING = upstream.Answer(200, (), b"", upstream.Load(1, 0, True, "i"))
REFUSAL = upstream.NotStarted("shed", upstream.Load(4, 40, False, "i"))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.departed = []
        self.document = small.small(upstreams=8)
        self.configure()

    def configure(self):
        self.fleet = fleet.Fleet(
            "accra", "expected", random.Random(5), self.departed.append, lambda: self.now
        )
        self.fleet.configure(check.check(small.json.dumps(self.document)).ok)
        self.pool = self.fleet.pools["tagcheck"]
        self.now += 60.0

    def send(self, result, took_s=0.01, t=None):
        """Make one attempt and return its target."""
        t = t or self.pool.choose()
        self.pool.begin(t, "a")
        self.now += took_s
        self.pool.finish(t, "a", result)
        return t

    def chosen(self):
        """Return the names of the targets that fifty choices give."""
        return {self.pool.choose().name for _ in range(50)}

    def test_work_stays_in_its_region_while_that_can_serve_it(self):
        for n in range(20):
            t = self.pool.choose()
            self.pool.begin(t, f"a{n}")
            self.assertEqual(0.0, t.rtt_ms)

    def test_work_crosses_regions_when_no_upstream_of_its_own_is_left(self):
        for t in self.pool.targets.values():
            t.leaving = t.rtt_ms == 0.0
        self.assertGreater(self.pool.choose().rtt_ms, 0.0)

    def test_a_failing_upstream_is_ejected_but_never_too_many(self):
        for _ in range(200):
            self.send(FAILURE, 0.0)
        out = [t for t in self.pool.targets.values() if self.now < t.ejected_until]
        self.assertEqual(2, len(out))

    def test_an_ejected_upstream_comes_back_by_one_request_at_a_time(self):
        t = self.pool.choose()
        for _ in range(3):
            self.send(FAILURE, t=t)
        self.assertLess(self.now, t.ejected_until)
        self.now = t.ejected_until
        self.pool.begin(t, "trial")
        self.assertNotIn(t.name, self.chosen())
        self.pool.finish(t, "trial", ANSWER)
        self.assertIn(t.name, self.chosen())

    def test_an_upstream_that_says_it_drains_gets_nothing_more(self):
        t = self.send(DRAINING)
        self.assertEqual([t], self.departed)
        self.assertNotIn(t.name, self.chosen())

    def test_its_next_incarnation_is_used_again(self):
        t = self.send(DRAINING)
        self.pool.learn(t, upstream.Load(0, 0, False, "next"))
        self.now += 60.0
        self.assertIn(t.name, self.chosen())

    def test_the_lagging_list_does_not_keep_a_returned_upstream_out(self):
        t = self.send(DRAINING)
        departures.listed([vms.Vm(t.name, "upstream", t.address, "d", True)], self.fleet)
        self.pool.learn(t, upstream.Load(0, 0, False, "next"))
        self.now += 60.0
        self.assertNotIn(t.name, self.chosen())
        departures.listed([vms.Vm(t.name, "upstream", t.address, "d", False)], self.fleet)
        self.assertIn(t.name, self.chosen())

    def test_a_peers_word_about_an_earlier_incarnation_is_ignored(self):
        t = self.send(ANSWER)
        departures.heard(members.Departure(t.name, "earlier", 0.0), self.fleet)
        self.assertIn(t.name, self.chosen())
        departures.heard(members.Departure(t.name, "i", 0.0), self.fleet)
        self.assertNotIn(t.name, self.chosen())

    def test_connections_are_shared_fairly_among_balancers(self):
        self.document["services"][0]["upstreams"] = self.document["services"][0]["upstreams"][:1]
        self.configure()
        for n in range(250 // 18 - pool.SPARE_CONNECTIONS):
            self.pool.begin(self.pool.choose(), f"a{n}")
        self.assertIsNone(self.pool.choose())

    def test_hedges_take_no_more_than_their_share_of_time(self):
        rule = self.pool.service.rules[0]
        spent = 0.0
        for _ in range(2000):
            self.pool.earn(rule, 10.0)
            if self.pool.may_hedge(rule):
                self.pool.spend_hedge(rule, 25.0)
                spent += 25.0
        self.assertLessEqual(spent, 2000 * 10.0 * rule.hedge_share + 25.0)

    def test_nothing_is_hedged_or_retried_near_saturation(self):
        rule = self.pool.service.rules[0]
        self.pool.earn(rule, 100_000.0)
        self.assertTrue(self.pool.may_hedge(rule) and self.pool.may_retry())
        for _ in range(300):
            self.pool.learn(self.pool.choose(), upstream.Load(4, 12, False, "i"))
        self.assertFalse(self.pool.may_hedge(rule) or self.pool.may_retry())

    def test_the_limit_falls_when_upstreams_shed_work_and_rises_again(self):
        before = self.pool.limit.value
        for _ in range(100):
            self.send(REFUSAL, 0.1)
        low = self.pool.limit.value
        self.assertLess(low, before)
        while self.pool.limit.enter():
            pass
        for _ in range(300):
            self.send(ANSWER)
        self.assertGreater(self.pool.limit.value, low)

    def test_a_changed_configuration_keeps_what_is_known(self):
        t = self.send(DRAINING)
        self.document["services"][0]["upstreams"][0]["slots"] = 8
        self.fleet.configure(check.check(small.json.dumps(self.document)).ok)
        self.assertIs(t, self.pool.targets[t.name])
        self.assertEqual("i", t.departed)
