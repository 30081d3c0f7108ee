"""Model checks of at-most-once execution, with and without each mechanism."""

import unittest

import minicheck

from waxwingspool.once.tests import model


class AtMostOnceModelTest(unittest.TestCase):
    def invariants_hold(self, mechanisms):
        """Return whether every invariant holds over the whole state space."""
        report = minicheck.check_safety(model.protocol(mechanisms))
        self.assertTrue(report["exhaustive"])
        all_hold = all(p["holds"] for p in report["properties"].values())
        print(f"model: {mechanisms}: states={report['reachable_states']} holds={all_hold}")
        return all_hold

    def test_holds_with_upstreams_enforcing_deadlines(self):
        self.assertTrue(self.invariants_hold(model.Mechanisms()))

    def test_holds_with_upstreams_remembering_cancellations(self):
        self.assertTrue(
            self.invariants_hold(
                model.Mechanisms(enforces_deadlines=False, remembers_cancellations=True)
            )
        )

    def test_holds_with_upstreams_without_guarantees(self):
        self.assertTrue(self.invariants_hold(model.Mechanisms(enforces_deadlines=False)))

    def test_fails_without_waiting_for_deadline(self):
        self.assertFalse(self.invariants_hold(model.Mechanisms(waits_for_deadline=False)))

    def test_fails_without_waiting_for_clock_error(self):
        self.assertFalse(self.invariants_hold(model.Mechanisms(waits_for_clock_error=False)))

    def test_fails_without_incarnation_check(self):
        self.assertFalse(self.invariants_hold(model.Mechanisms(checks_incarnation=False)))

    def test_fails_without_incarnation_check_with_upstreams_remembering_cancellations(self):
        mechanisms = model.Mechanisms(
            enforces_deadlines=False, remembers_cancellations=True, checks_incarnation=False
        )
        self.assertFalse(self.invariants_hold(mechanisms))
