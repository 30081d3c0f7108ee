"""Tests of the service-level burn report."""

import unittest

from standins import small
from waxwingspool.config import check
from waxwingspool.observe import burn


class BurnTest(unittest.TestCase):
    def setUp(self):
        self.now = 1_000_000.0
        self.configuration = check.check(small.json.dumps(small.small())).ok
        self.rule = self.configuration.services[0].rules[0]
        self.recorder = burn.Recorder(lambda: self.now)

    def line(self, samples, worst=None):
        """Return the report's line of the first rule."""
        lines = burn.compute(self.configuration, samples, worst or {}, self.now)
        return next(n for n in lines if n.service == "tagcheck")

    def test_a_rate_of_one_spends_exactly_the_budget(self):
        for n in range(1000):
            late = n % 100 == 0
            self.recorder.record("tagcheck", self.rule, 1000.0 if late else 1.0, True)
        line = self.line(self.recorder.samples())
        self.assertAlmostEqual(1.0, line.short_rate)
        self.assertAlmostEqual(0.0, line.budget_left)

    def test_what_is_not_served_is_missed_however_fast(self):
        self.recorder.record("tagcheck", self.rule, 1.0, False)
        self.assertEqual(1, self.line(self.recorder.samples()).bad)

    def test_the_short_window_forgets_first(self):
        self.recorder.record("tagcheck", self.rule, 1000.0, True)
        self.now += 1200.0
        self.recorder.record("tagcheck", self.rule, 1.0, True)
        line = self.line(self.recorder.samples())
        self.assertEqual(0.0, line.short_rate)
        self.assertAlmostEqual(50.0, line.long_rate)

    def test_counts_of_all_balancers_are_added(self):
        other = burn.Recorder(lambda: self.now)
        for recorder in (self.recorder, other):
            recorder.record("tagcheck", self.rule, 1.0, True)
        line = self.line(self.recorder.samples() + other.samples(), {"tagcheck": ["tagcheck-03"]})
        self.assertEqual((2, ("tagcheck-03",)), (line.requests, line.worst))

    def test_text_names_rule_objective_and_worst_upstreams(self):
        text = burn.as_text([self.line([], {"tagcheck": ["tagcheck-03"]})])
        for part in ("lookup", "99.00% in 60 ms", "tagcheck-03"):
            self.assertIn(part, text)

    def test_old_intervals_are_dropped(self):
        for _ in range(burn.KEPT + 10):
            self.recorder.record("tagcheck", self.rule, 1.0, True)
            self.now += burn.INTERVAL_S
        self.assertEqual(burn.KEPT, len(self.recorder.samples()))
