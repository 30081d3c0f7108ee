"""Model checking of publishing and rolling out configurations."""

import unittest

import minicheck

from waxwingspool.membership.tests import model


class ModelTest(unittest.TestCase):
    def violated(self, mechanisms):
        """Return the names of the invariants that are violated in any reachable state."""
        report = minicheck.check_safety(model.protocol(mechanisms))
        self.assertTrue(report["exhaustive"])
        violated = {name for name, p in report["properties"].items() if not p["holds"]}
        print(
            f"model: {mechanisms}: states={report['reachable_states']} violated={sorted(violated)}"
        )
        return violated

    def test_all_invariants_hold(self):
        self.assertEqual(set(), self.violated(model.Mechanisms()))

    def test_unconditional_writes_violate_an_invariant(self):
        self.assertIn(
            "acknowledged versions are kept",
            self.violated(model.Mechanisms(conditional_writes=False)),
        )

    def test_accepting_older_versions_violates_an_invariant(self):
        self.assertIn(
            "served versions never decrease", self.violated(model.Mechanisms(forward_only=False))
        )

    def test_serving_before_catching_up_violates_an_invariant(self):
        self.assertIn(
            "served versions never decrease", self.violated(model.Mechanisms(catches_up=False))
        )
