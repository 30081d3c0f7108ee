"""Model checks of at-most-once execution, with and without its mechanisms."""

import unittest

import minicheck

from waxwingspool.once.tests import model


class ModelTest(unittest.TestCase):
    def holds(self, fence):
        """Return whether every invariant holds over the whole state space."""
        report = minicheck.check_safety(model.protocol(fence))
        self.assertTrue(report["exhaustive"])
        held = all(p["holds"] for p in report["properties"].values())
        print(f"model: {fence}: states={report['reachable_states']} holds={held}")
        return held

    def test_holds_where_upstreams_keep_deadlines(self):
        self.assertTrue(self.holds(model.Fence()))

    def test_holds_where_upstreams_remember_cancellations(self):
        self.assertTrue(self.holds(model.Fence(keeps_deadlines=False, remembers=True)))

    def test_holds_where_upstreams_guarantee_nothing(self):
        self.assertTrue(self.holds(model.Fence(keeps_deadlines=False)))

    def test_fails_without_waiting_for_the_deadline(self):
        self.assertFalse(self.holds(model.Fence(waits=False)))

    def test_fails_without_waiting_for_clocks(self):
        self.assertFalse(self.holds(model.Fence(waits_for_clocks=False)))

    def test_fails_without_the_incarnation(self):
        self.assertFalse(self.holds(model.Fence(checks_incarnation=False)))

    def test_fails_without_the_incarnation_where_upstreams_remember(self):
        fence = model.Fence(keeps_deadlines=False, remembers=True, checks_incarnation=False)
        self.assertFalse(self.holds(fence))
