"""Model checks of how configurations are accepted and spread."""

import unittest

import minicheck

from waxwingspool.membership.tests import model


class ModelTest(unittest.TestCase):
    def broken(self, rules):
        """Return the names of the invariants that fail somewhere in the state space."""
        report = minicheck.check_safety(model.protocol(rules))
        self.assertTrue(report["exhaustive"])
        failed = {name for name, p in report["properties"].items() if not p["holds"]}
        print(f"model: {rules}: states={report['reachable_states']} broken={sorted(failed)}")
        return failed

    def test_holds(self):
        self.assertEqual(set(), self.broken(model.Rules()))

    def test_fails_without_the_condition_on_the_write(self):
        self.assertIn("accepted is kept", self.broken(model.Rules(compares=False)))

    def test_fails_without_moving_forward_only(self):
        self.assertIn("never goes back", self.broken(model.Rules(forward=False)))

    def test_fails_without_settling_after_a_restart(self):
        self.assertIn("never goes back", self.broken(model.Rules(settles=False)))
