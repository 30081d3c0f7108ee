"""Tests of upstream selection, ejection, the concurrency limit and the budgets."""

import random
import unittest

from standins import example_configurations
from waxwingspool.config import check
from waxwingspool.interfaces import upstream, vms
from waxwingspool.membership import members
from waxwingspool.routing import pool, service_pools
from waxwingspool.serve import departures

SUCCESS = upstream.Response(200, (), b"", upstream.Load(1, 0, False, "i"))
SERVER_ERROR = upstream.Response(500, (), b"", upstream.Load(0, 0, False, "i"))
DRAINING = upstream.Response(200, (), b"", upstream.Load(1, 0, True, "i"))
REFUSAL = upstream.NotStarted("shed", upstream.Load(4, 40, False, "i"))


class PoolTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.leaving_targets = []
        self.document = example_configurations.load_reduced(upstreams=8)
        self.configure()

    def configure(self):
        self.service_pools = service_pools.ServicePools(
            "accra", "expected", random.Random(5), self.leaving_targets.append, lambda: self.now
        )
        self.service_pools.configure(
            check.check(example_configurations.json.dumps(self.document)).ok
        )
        self.pool = self.service_pools.pools["tagcheck"]
        # Ends the slow start of all upstreams.
        self.now += 60.0

    def send(self, result, duration_s=0.01, t=None):
        """Record one attempt, which takes ``duration_s``, and return its target."""
        t = t or self.pool.choose()
        self.pool.record_start(t, "a")
        self.now += duration_s
        self.pool.record_end(t, "a", result)
        return t

    def chosen_names(self):
        """Return the names of the targets that fifty calls of ``choose`` return."""
        return {self.pool.choose().name for _ in range(50)}

    def test_requests_stay_in_the_region_while_it_has_capacity(self):
        for n in range(20):
            t = self.pool.choose()
            self.pool.record_start(t, f"a{n}")
            self.assertEqual(0.0, t.rtt_ms)

    def test_another_region_is_used_when_all_local_upstreams_are_leaving(self):
        for t in self.pool.targets.values():
            t.leaving = t.rtt_ms == 0.0
        self.assertGreater(self.pool.choose().rtt_ms, 0.0)

    def test_number_of_ejected_upstreams_is_limited(self):
        for _ in range(200):
            self.send(SERVER_ERROR, 0.0)
        ejected = [t for t in self.pool.targets.values() if self.now < t.ejected_until]
        self.assertEqual(2, len(ejected))

    def test_upstream_on_probation_receives_one_request_at_a_time(self):
        t = self.pool.choose()
        for _ in range(3):
            self.send(SERVER_ERROR, t=t)
        self.assertLess(self.now, t.ejected_until)
        self.now = t.ejected_until
        self.pool.record_start(t, "probation")
        self.assertNotIn(t.name, self.chosen_names())
        self.pool.record_end(t, "probation", SUCCESS)
        self.assertIn(t.name, self.chosen_names())

    def test_draining_upstream_is_not_chosen(self):
        t = self.send(DRAINING)
        self.assertEqual([t], self.leaving_targets)
        self.assertNotIn(t.name, self.chosen_names())

    def test_next_incarnation_of_a_drained_upstream_is_chosen(self):
        t = self.send(DRAINING)
        self.pool.update_load(t, upstream.Load(0, 0, False, "next"))
        self.now += 60.0
        self.assertIn(t.name, self.chosen_names())

    def test_restarted_upstream_is_chosen_once_the_vm_list_no_longer_marks_it_as_leaving(self):
        t = self.send(DRAINING)
        departures.record_from_vm_list(
            [vms.Vm(t.name, "upstream", t.address, "d", True)], self.service_pools
        )
        self.pool.update_load(t, upstream.Load(0, 0, False, "next"))
        self.now += 60.0
        self.assertNotIn(t.name, self.chosen_names())
        departures.record_from_vm_list(
            [vms.Vm(t.name, "upstream", t.address, "d", False)], self.service_pools
        )
        self.assertIn(t.name, self.chosen_names())

    def test_peer_update_about_an_earlier_incarnation_is_ignored(self):
        t = self.send(SUCCESS)
        departures.record_from_peer(members.Departure(t.name, "earlier", 0.0), self.service_pools)
        self.assertIn(t.name, self.chosen_names())
        departures.record_from_peer(members.Departure(t.name, "i", 0.0), self.service_pools)
        self.assertNotIn(t.name, self.chosen_names())

    def test_balancer_uses_only_its_share_of_the_connections(self):
        self.document["services"][0]["upstreams"] = self.document["services"][0]["upstreams"][:1]
        self.configure()
        # By default an upstream accepts 250 connections, which up to 18 balancers share.
        for n in range(250 // 18 - pool.RESERVED_CONNECTIONS):
            self.pool.record_start(self.pool.choose(), f"a{n}")
        self.assertIsNone(self.pool.choose())

    def test_hedge_time_stays_within_its_share(self):
        rule = self.pool.service.rules[0]
        hedge_ms = 0.0
        for _ in range(2000):
            self.pool.record_first_attempt(rule, 10.0)
            if self.pool.may_hedge(rule):
                self.pool.record_hedge(rule, 25.0)
                hedge_ms += 25.0
        self.assertLessEqual(hedge_ms, 2000 * 10.0 * rule.hedge_share + 25.0)

    def test_hedges_and_retries_are_disabled_near_saturation(self):
        rule = self.pool.service.rules[0]
        self.pool.record_first_attempt(rule, 100_000.0)
        self.assertTrue(self.pool.may_hedge(rule) and self.pool.may_retry())
        for _ in range(300):
            self.pool.update_load(self.pool.choose(), upstream.Load(4, 12, False, "i"))
        self.assertFalse(self.pool.may_hedge(rule) or self.pool.may_retry())

    def test_limit_falls_after_refusals_and_rises_again(self):
        before = self.pool.limit.value
        for _ in range(100):
            self.send(REFUSAL, 0.1)
        reduced = self.pool.limit.value
        self.assertLess(reduced, before)
        while self.pool.limit.acquire():
            pass
        for _ in range(300):
            self.send(SUCCESS)
        self.assertGreater(self.pool.limit.value, reduced)

    def test_target_state_is_kept_when_the_configuration_changes(self):
        t = self.send(DRAINING)
        self.document["services"][0]["upstreams"][0]["slots"] = 8
        self.service_pools.configure(
            check.check(example_configurations.json.dumps(self.document)).ok
        )
        self.assertIs(t, self.pool.targets[t.name])
        self.assertEqual("i", t.leaving_incarnation)
