"""Tests of the service-level burn report."""

import unittest

from standins import example_configurations
from waxwingspool.config import check
from waxwingspool.observe import burn


class BurnReportTest(unittest.TestCase):
    def setUp(self):
        self.now = 1_000_000.0
        self.configuration = check.check(
            example_configurations.json.dumps(example_configurations.load_reduced())
        ).ok
        self.rule = self.configuration.services[0].rules[0]
        self.recorder = burn.Recorder(lambda: self.now)

    def report_line(self, samples, worst=None):
        """Return the report's line for the first rule."""
        lines = burn.compute(self.configuration, samples, worst or {}, self.now)
        return next(line for line in lines if line.service == "tagcheck")

    def test_burn_rate_of_one_spends_the_whole_budget(self):
        for n in range(1000):
            late = n % 100 == 0
            self.recorder.record("tagcheck", self.rule, 1000.0 if late else 1.0, True)
        line = self.report_line(self.recorder.samples())
        self.assertAlmostEqual(1.0, line.short_rate)
        self.assertAlmostEqual(0.0, line.budget_left)

    def test_unsuccessful_request_is_bad_whatever_its_latency(self):
        self.recorder.record("tagcheck", self.rule, 1.0, False)
        self.assertEqual(1, self.report_line(self.recorder.samples()).bad)

    def test_old_samples_leave_the_short_window_first(self):
        self.recorder.record("tagcheck", self.rule, 1000.0, True)
        self.now += 1200.0
        self.recorder.record("tagcheck", self.rule, 1.0, True)
        line = self.report_line(self.recorder.samples())
        self.assertEqual(0.0, line.short_rate)
        self.assertAlmostEqual(50.0, line.long_rate)

    def test_counts_of_all_balancers_are_summed(self):
        other = burn.Recorder(lambda: self.now)
        for recorder in (self.recorder, other):
            recorder.record("tagcheck", self.rule, 1.0, True)
        line = self.report_line(
            self.recorder.samples() + other.samples(), {"tagcheck": ["tagcheck-03"]}
        )
        self.assertEqual((2, ("tagcheck-03",)), (line.requests, line.worst))

    def test_text_contains_rule_objective_and_worst_upstreams(self):
        text = burn.as_text([self.report_line([], {"tagcheck": ["tagcheck-03"]})])
        for text_part in ("lookup", "99.00% in 60 ms", "tagcheck-03"):
            self.assertIn(text_part, text)

    def test_intervals_over_the_maximum_are_removed(self):
        for _ in range(burn.MAX_INTERVALS + 10):
            self.recorder.record("tagcheck", self.rule, 1.0, True)
            self.now += burn.INTERVAL_S
        self.assertEqual(burn.MAX_INTERVALS, len(self.recorder.samples()))
