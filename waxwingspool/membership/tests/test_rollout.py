"""Tests of the configuration rollout between balancers, on a virtual clock."""

import dataclasses
import unittest
from unittest import mock

import structlog
from hypothesis import stateful

from standins import cluster, fakes, fuzzing
from waxwingspool.config import store, tree
from waxwingspool.membership.tests import machine

# Required time limits for a rollout in seconds: at the current size of 18 VMs and at the target
# size.
CURRENT_SIZE_LIMIT_S = 5.0
TARGET_SIZE_LIMIT_S = 17.0
# Number of balancers at the target size, for which the system is designed.
TARGET_BALANCERS = 300

FUZZ_SETTINGS = fuzzing.deterministic_settings(examples=100, steps=30)
DETECTION_SETTINGS = fuzzing.search_settings(examples=100, steps=30)


class RolloutTest(unittest.TestCase):
    def setUp(self):
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)

    def start(self, n):
        """Return a cluster with version 1 in force everywhere, and its first balancer."""
        c = cluster.Cluster(n)
        self.addCleanup(c.close)
        c.loop.advance(3.0)
        first = c.peers[c.addresses[0]]
        c.run(cluster.publish(first, 1))
        c.wait_for_version(1, CURRENT_SIZE_LIMIT_S)
        return c, first

    def test_random_faults_violate_no_property(self):
        stateful.run_state_machine_as_test(machine.RolloutMachine, settings=FUZZ_SETTINGS)

    def test_the_fuzz_test_detects_unconditional_table_writes(self):
        def commit(table, writes):
            rows = table.rows
            unconditional = [
                dataclasses.replace(w, expected=rows[w.key].version if w.key in rows else 0)
                for w in writes
            ]
            return apply(table, unconditional)

        apply = fakes.FakeTable.apply
        with mock.patch.object(fakes.FakeTable, "apply", commit):
            self.assert_fuzz_test_fails()

    def test_the_fuzz_test_detects_a_balancer_that_accepts_older_versions(self):
        async def advance(active, head):
            built = await tree.fetch(head.root, active._fetch)
            active.head = store.Head(0, "")
            return active.install(head, *built)

        with mock.patch.object(store.ActiveConfiguration, "advance", advance):
            self.assert_fuzz_test_fails()

    def assert_fuzz_test_fails(self):
        with self.assertRaises(AssertionError):
            stateful.run_state_machine_as_test(machine.RolloutMachine, settings=DETECTION_SETTINGS)

    def test_a_conflicting_publish_returns_the_accepted_version(self):
        c, first = self.start(3)
        second = c.peers[c.addresses[1]]
        self.assertTrue(c.run(cluster.publish(first, 2, 1)).is_ok())
        result = c.run(cluster.publish(second, 3, 1))
        self.assertEqual(2, result.error.head.version)

    def test_an_accepted_version_is_rolled_out_while_the_table_is_down(self):
        c, first = self.start(18)
        c.run(cluster.publish(first, 2))
        c.table.faults = fakes.TableFaults(down=True)
        c.objects.down = True
        c.wait_for_version(2, CURRENT_SIZE_LIMIT_S)

    def test_an_accepted_version_is_rolled_out_after_the_publishing_balancer_crashes(self):
        c, first = self.start(18)
        c.run(cluster.publish(first, 2))
        c.table.faults = fakes.TableFaults(down=True)
        c.objects.down = True
        c.crash(first.address)
        c.wait_for_version(2, CURRENT_SIZE_LIMIT_S)

    def test_the_rollout_meets_its_time_limit_at_the_target_size(self):
        c, first = self.start(TARGET_BALANCERS)
        c.run(cluster.publish(first, 2))
        c.table.faults = fakes.TableFaults(down=True)
        c.wait_for_version(2, TARGET_SIZE_LIMIT_S)

    def test_a_balancer_restarted_while_the_table_is_down_fetches_the_version_of_its_peers(self):
        c, first = self.start(4)
        c.network.disconnected.add(c.addresses[3])
        c.run(cluster.publish(first, 2))
        c.loop.advance(0.2)
        c.table.faults = fakes.TableFaults(down=True)
        c.crash(c.addresses[0])
        restarted = c.start(c.addresses[0])
        c.loop.advance(CURRENT_SIZE_LIMIT_S)
        self.assertTrue(restarted.rollout.ready)
        self.assertEqual([2], restarted.versions)

    def test_a_restarted_balancer_does_not_serve_an_older_version_than_its_peers(self):
        c, first = self.start(4)
        outdated = c.peers[c.addresses[3]]
        outdated.gate.pause()
        c.run(cluster.publish(first, 2))
        c.loop.advance(0.5)
        c.table.faults = fakes.TableFaults(down=True)
        c.crash(c.addresses[0])
        outdated.gate.resume()
        restarted = c.start(c.addresses[0])
        while not restarted.rollout.ready:
            c.loop.advance(0.001)
        self.assertEqual(2, restarted.rollout.head().version)

    def test_a_balancer_paused_for_a_minute_catches_up(self):
        c, first = self.start(4)
        paused = c.peers[c.addresses[2]]
        paused.gate.pause()
        for variant in (2, 3):
            c.run(cluster.publish(first, variant))
        c.loop.advance(60)
        self.assertEqual([1], paused.versions)
        paused.gate.resume()
        c.wait_for_version(3, CURRENT_SIZE_LIMIT_S)
        self.assertEqual(sorted(paused.versions), paused.versions)

    def test_the_departure_of_an_upstream_reaches_every_balancer(self):
        c, first = self.start(18)
        c.table.faults = fakes.TableFaults(down=True)
        first.members.record_departure("u-1", "i1")
        first.gossip.trigger_round()
        c.loop.advance(3.0)
        received_departures = [p.departures for p in c.peers.values() if p is not first]
        self.assertEqual([["u-1"]] * 17, received_departures)
