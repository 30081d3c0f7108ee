"""Tests of retry budgets, splits, ranking, concurrency limits, health and dispatching."""

import random
import unittest

from waxwingspool.catalog import routes
from waxwingspool.dispatch import budget, election, health, limits, slots, split
from waxwingspool.dispatch.tests import replay


class RetryBudgetTest(unittest.TestCase):
    def count_allowed(
        self, retry_budget: budget.RetryBudget, now: float, balancer_count: int
    ) -> int:
        return sum(retry_budget.try_acquire(now, balancer_count) for _ in range(1000))

    def test_all_balancers_together_stay_within_the_limit(self) -> None:
        balancer_count, requests = 12, 30
        allowed = 0
        for _ in range(balancer_count):
            retry_budget = budget.RetryBudget(0.2, 56, 10.0, now=0.0)
            for _ in range(requests):
                retry_budget.record_request(20.0)
            allowed += self.count_allowed(retry_budget, 20.0, balancer_count)
        self.assertLessEqual(allowed, 0.2 * balancer_count * requests + 56)
        self.assertGreater(allowed, 0)

    def test_restarted_balancer_starts_without_allowance(self) -> None:
        retry_budget = budget.RetryBudget(0.2, 56, 10.0, now=100.0)
        self.assertEqual(0, self.count_allowed(retry_budget, 100.0, 1))

    def test_window_slides(self) -> None:
        retry_budget = budget.RetryBudget(0.2, 56, 10.0, now=0.0)
        first = self.count_allowed(retry_budget, 20.0, 1)
        self.assertEqual(0, self.count_allowed(retry_budget, 25.0, 1))
        self.assertEqual(first, self.count_allowed(retry_budget, 30.1, 1))


class SplitterTest(unittest.TestCase):
    def test_weights_hold_over_short_intervals(self) -> None:
        weighted_services = (routes.WeightedService("one", 90), routes.WeightedService("two", 10))
        route = routes.Route(
            "r", "a", "/a/", routes.Kind.IDEMPOTENT, weighted_services, 1.0, 0.2, 2, 1
        )
        counts = {"one": 0, "two": 0}
        # Twelve balancers with 25 requests each.
        for seed in range(12):
            splitter = split.Splitter(random.Random(seed))
            for _ in range(25):
                counts[splitter.pick(route)] += 1
        self.assertAlmostEqual(counts["two"] / 300, 0.1, delta=0.03)


class RankingTest(unittest.TestCase):
    def test_only_jobs_of_a_removed_member_move(self) -> None:
        members = [f"10.0.0.{number}" for number in range(12)]
        before = {job: election.ranking(str(job), members)[0] for job in range(200)}
        removed = members.pop(3)
        for job, member in before.items():
            after = election.ranking(str(job), members)[0]
            self.assertEqual(after == member, member != removed)


class ConcurrencyLimitTest(unittest.TestCase):
    def record_rates(self, limit: limits.ConcurrencyLimit, rates: dict[int, float]) -> None:
        for concurrency, rate in rates.items():
            for _ in range(40):
                limit.record(concurrency, 1 / rate, answered=True)

    def test_stays_below_the_knee(self) -> None:
        limit = limits.ConcurrencyLimit()
        self.record_rates(limit, {3: 13.6, 4: 10.7})
        self.assertEqual(3, limit.value(4))

    def test_uses_every_slot_where_there_is_no_knee(self) -> None:
        limit = limits.ConcurrencyLimit()
        self.record_rates(limit, {3: 13.6, 4: 18.2})
        self.assertEqual(4, limit.value(4))

    def test_lowers_the_limit_where_throughput_falls(self) -> None:
        limit = limits.ConcurrencyLimit()
        self.record_rates(limit, {2: 14.0, 3: 10.0})
        self.assertEqual(2, limit.value(4))


class HealthTest(unittest.TestCase):
    def setUp(self) -> None:
        self.health = health.Health(replay.make_upstream(0))

    def run_request(self, outcome: health.Outcome, now: float) -> None:
        self.health.start("key", now)
        self.health.finish("key", health.Report(outcome), now)

    def test_unreachable_upstream_is_ejected_immediately(self) -> None:
        self.run_request(health.Outcome.UNREACHABLE, 1.0)
        self.assertTrue(self.health.ejected(1.1))

    def test_one_request_at_a_time_during_probation(self) -> None:
        self.run_request(health.Outcome.UNREACHABLE, 1.0)
        later = 1.0 + health.MIN_EJECTION_S
        self.assertFalse(self.health.ejected(later))
        self.health.start("trial", later)
        self.assertTrue(self.health.ejected(later))
        self.health.finish("trial", health.Report(health.Outcome.ANSWERED), later)
        self.assertFalse(self.health.ejected(later))

    def test_partly_failing_upstream_is_ejected(self) -> None:
        for number in range(20):
            outcome = health.Outcome.FAILED if number % 2 else health.Outcome.ANSWERED
            self.run_request(outcome, 1.0)
        self.assertTrue(self.health.ejected(1.0))

    def test_upstream_with_unanswered_requests_is_stalled(self) -> None:
        self.health.start("key", 1.0)
        self.assertFalse(self.health.stalled(1.3, 0.2))
        self.assertTrue(self.health.stalled(2.0, 0.2))


class DispatcherTest(unittest.TestCase):
    def make_request(self, key: int, **fields: object) -> slots.SlotRequest:
        values = {"remaining_s": 2.0, "objective_s": 0.6, "priority": 1, **fields}
        return slots.SlotRequest(key, "vm", "a", **values)

    def setUp(self) -> None:
        self.dispatcher = replay.make_dispatcher(replay.Pattern(upstreams=2))

    def test_slots_of_a_lost_balancer_are_released(self) -> None:
        for key in range(6):
            self.assertIsInstance(self.dispatcher.submit(self.make_request(key), 1.0), slots.Grant)
        self.dispatcher.remove_holder("vm", 1.0)
        self.assertEqual(0, self.dispatcher.in_flight)

    def test_other_regions_get_only_spare_slots(self) -> None:
        for key in range(4):
            self.dispatcher.submit(self.make_request(key), 1.0)
        borrowed = self.dispatcher.submit(self.make_request(9, borrowed=True), 1.0)
        self.assertIsInstance(borrowed, slots.Refusal)

    def test_excluded_upstream_is_not_selected(self) -> None:
        for key in range(3):
            grant = self.dispatcher.submit(self.make_request(key, excluded=("u0",)), 1.0)
            self.assertEqual("u1", grant.upstream)

    def test_retry_after_fits_within_the_remaining_time(self) -> None:
        empty = slots.Dispatcher(random.Random(1))
        refusal = empty.submit(self.make_request(1, remaining_s=0.2), 1.0)
        self.assertIsInstance(refusal, slots.Refusal)
        self.assertLessEqual(refusal.retry_after_s, 0.2 / 3)

    def test_new_incarnation_starts_with_no_history(self) -> None:
        self.dispatcher.record_failed_probe("u0")
        self.dispatcher.record_failed_probe("u0")
        old = self.dispatcher.upstream_health["u0"].upstream
        fields = {name: getattr(old, name) for name in old.__slots__}
        self.dispatcher.update([type(old)(**{**fields, "started_ms": 7})])
        self.assertFalse(self.dispatcher.upstream_health["u0"].unresponsive)
