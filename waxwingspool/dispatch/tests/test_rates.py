"""Tests of rate limits, of the accounts that pay for requests, and of shares of limits."""

import random
import unittest

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import health, rates, shares, slots


def report(rate: float | None, sent_at: float, received_at: float, probe: bool = False):
    return rates.LimitReport(rate, sent_at, received_at, probe=probe)


class RateLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.limit = rates.RateLimit(1)

    def test_limit_begins_changes_and_ends(self) -> None:
        self.assertEqual(rates.Change.BEGAN, self.limit.record(report(2.0, 1.0, 1.2)))
        self.assertIsNone(self.limit.record(report(2.0, 1.3, 1.4)))
        self.assertEqual(rates.Change.CHANGED, self.limit.record(report(3.0, 1.5, 1.6)))
        self.assertEqual(3.0, self.limit.rate)
        self.assertEqual(rates.Change.ENDED, self.limit.record(report(None, 1.7, 1.8)))
        self.assertIsNone(self.limit.rate)

    def test_older_response_without_a_limit_does_not_end_it(self) -> None:
        self.limit.record(report(2.0, 1.0, 2.0))
        self.assertIsNone(self.limit.record(report(None, 0.5, 3.0)))
        self.assertIsNone(self.limit.record(report(None, 1.9, 2.1)))
        self.assertEqual(2.0, self.limit.rate)

    def test_older_response_with_a_limit_does_not_revive_it(self) -> None:
        self.limit.record(report(2.0, 1.0, 1.2))
        self.limit.record(report(None, 3.0, 3.1))
        self.assertIsNone(self.limit.record(report(2.0, 1.0, 2.9)))
        self.assertIsNone(self.limit.rate)

    def test_older_response_does_not_change_the_limit(self) -> None:
        self.limit.record(report(2.0, 1.0, 3.0))
        self.limit.record(report(9.0, 0.5, 2.0))
        self.assertEqual(2.0, self.limit.rate)

    def test_health_checks_that_never_name_limits_do_not_end_one(self) -> None:
        self.limit.record(report(2.0, 1.0, 1.2))
        self.assertIsNone(self.limit.record(report(None, 2.0, 2.1, probe=True)))
        self.limit.record(report(2.0, 3.0, 3.1, probe=True))
        self.assertEqual(rates.Change.ENDED, self.limit.record(report(None, 4.0, 4.1, probe=True)))

    def test_rate_of_zero_still_lets_requests_find_its_end(self) -> None:
        self.limit.record(report(0.0, 1.0, 1.2))
        self.assertEqual(rates.MIN_RATE, self.limit.rate)


class RateLimitsTest(unittest.TestCase):
    def make_upstream(self, started_ms: int) -> upstreams.Upstream:
        return upstreams.Upstream("u0", "tags", ("10.0.0.1", 80), "a", 4, False, 0.0, started_ms, 1)

    def test_new_incarnation_starts_without_a_limit(self) -> None:
        limits = rates.RateLimits()
        limits.record("u0", 1, report(2.0, 1.0, 1.2))
        self.assertEqual(2.0, limits.rate(self.make_upstream(1)))
        self.assertIsNone(limits.rate(self.make_upstream(2)))
        limits.record("u0", 2, report(5.0, 3.0, 3.2))
        self.assertIsNone(limits.record("u0", 1, report(None, 4.0, 4.2)))
        self.assertEqual(5.0, limits.rate(self.make_upstream(2)))

    def test_upstreams_that_have_left_are_forgotten(self) -> None:
        limits = rates.RateLimits()
        limits.record("u0", 1, report(2.0, 1.0, 1.2))
        limits.retain([])
        self.assertIsNone(limits.rate(self.make_upstream(1)))


class RateAccountTest(unittest.TestCase):
    def count_paid(self, accounts: int, rate: float, seconds: float, busy_from: float) -> int:
        """Return how many requests accounts with equal shares pay for.

        Requests come at every moment from ``busy_from`` on; until then there are none.
        """
        step_s, paid = 0.02, 0
        share = 1 / accounts
        group = [rates.RateAccount(random.Random(seed), 0.0) for seed in range(accounts)]
        for step in range(round((busy_from + seconds) / step_s)):
            now = step * step_s
            for account in group:
                account.refill(rate, share, now)
                while account.available and now >= busy_from:
                    account.pay()
                    paid += 1
        return paid

    def test_many_accounts_together_pay_no_more_than_one(self) -> None:
        for accounts in (1, 12, 139, 1000):
            for rate in (0.25, 1.0, 20.0):
                with self.subTest(accounts=accounts, rate=rate):
                    paid = self.count_paid(accounts, rate, 4.0, busy_from=6.0)
                    self.assertLessEqual(paid, 1.5 * rate * 4.0 + 5)

    def test_whole_rate_is_paid_out(self) -> None:
        for rate in (0.25, 1.0, 20.0, 200.0):
            with self.subTest(rate=rate):
                paid = self.count_paid(1, rate, 40.0, busy_from=0.0)
                self.assertAlmostEqual(40.0 * rate, paid, delta=0.05 * 40.0 * rate + 1)

    def test_account_starts_anew_after_its_share_was_lent(self) -> None:
        account = rates.RateAccount(random.Random(1), 0.0)
        account.refill(1.0, 1.0, 1.0)
        self.assertTrue(account.available)
        account.refill(1.0, 1.0, 100.0, since=100.0)
        self.assertFalse(account.available)


class SharesTest(unittest.TestCase):
    def test_share_is_lent_to_one_dispatcher_at_a_time(self) -> None:
        lender, owners = shares.Lender(), ["a"]
        first, second = shares.Loans(), shares.Loans()
        for step in range(200):
            now = step * 0.1
            wanted = "first" if step // 7 % 2 else "second"
            if lender.lend("tags", wanted, now):
                (first if wanted == "first" else second).record("a", now)
            total = first.share(owners, now) + second.share(owners, now)
            self.assertLessEqual(total, 1.0)

    def test_dispatcher_that_has_ended_loses_its_loans_at_once(self) -> None:
        lender = shares.Lender()
        lender.lend("tags", "first", 0.0)
        self.assertFalse(lender.lend("tags", "second", 0.1))
        lender.end_loans("first", 0.2)
        self.assertEqual(0.2, lender.free_since("tags"))
        self.assertTrue(lender.lend("tags", "second", 0.2))

    def test_balancers_that_do_not_own_the_limit_add_nothing(self) -> None:
        loans = shares.Loans()
        loans.record("other-region", 0.0)
        self.assertEqual(0.0, loans.share(["a", "b"], 0.1))


class LimitedDispatcherTest(unittest.TestCase):
    """Two upstreams, of which the first names a limit."""

    def setUp(self) -> None:
        self.limits = rates.RateLimits()
        self.dispatcher = slots.Dispatcher(random.Random(1), rate_limits=self.limits)
        self.targets = [
            upstreams.Upstream(f"u{n}", "tags", ("10.0.0.1", 80 + n), "a", 4, False, 0.0, 0, 1)
            for n in range(2)
        ]
        self.dispatcher.update(self.targets)
        self.keys = iter(range(10**6))
        self.limit("u0", 1.0)

    def limit(self, id_: str, rate: float | None, at: float = 0.0) -> None:
        self.limits.record(id_, 0, report(rate, at, at))

    def submit(self, now: float, **fields: object) -> slots.Decision | None:
        values = {"remaining_s": 5.0, "objective_s": 0.6, "priority": 1, **fields}
        request = slots.SlotRequest(next(self.keys), "vm", "a", **values)
        decision = self.dispatcher.submit(request, now)
        if isinstance(decision, slots.Grant):
            self.release(request.key, health.Outcome.ANSWERED, now)
        return decision

    def release(self, key: int, outcome: health.Outcome, now: float) -> None:
        self.dispatcher.release("vm", key, health.Report(outcome), now)

    def test_what_a_limit_leaves_over_goes_to_the_other_upstream(self) -> None:
        work_s, step_s = 0.1, 0.05
        granted: list[str] = []
        running: list[tuple[float, int]] = []
        for step in range(400):
            now = step * step_s
            while running and running[0][0] <= now:
                self.release(running.pop(0)[1], health.Outcome.ANSWERED, now)
            request = slots.SlotRequest(next(self.keys), "vm", "a", 5.0, 0.6, 1)
            granted.append(self.dispatcher.submit(request, now).upstream)
            running.append((now + work_s, request.key))
        self.assertLessEqual(granted.count("u0"), 21)
        self.assertGreaterEqual(granted.count("u0"), 18)
        self.assertEqual(400, len(granted))

    def test_request_is_refused_at_once_if_all_upstreams_are_at_their_limits(self) -> None:
        self.limit("u1", 1.0)
        decisions = [self.submit(step * 0.01) for step in range(1000)]
        refusals = [d for d in decisions if isinstance(d, slots.Refusal)]
        self.assertGreater(len(refusals), 700)
        self.assertEqual({"all upstreams are at their rate limits"}, {r.reason for r in refusals})

    def test_retry_after_tells_when_the_rate_leaves_room(self) -> None:
        for id_ in ("u0", "u1"):
            self.limit(id_, 0.25)
        refusal = self.submit(0.0, remaining_s=60.0)
        self.assertGreater(refusal.retry_after_s, 0.3)

    def test_urgent_requests_go_first(self) -> None:
        self.limit("u1", 1.0)
        by_priority = {0: 0, 1: 0}
        for step in range(4000):
            now = step * 0.01
            for priority in (1, 0):
                self.submit(now, priority=priority)
            for decision in self.dispatcher.poll(now):
                if isinstance(decision, slots.Grant):
                    by_priority[decision.request.priority] += 1
                    self.release(decision.request.key, health.Outcome.ANSWERED, now)
        self.assertGreater(by_priority[0], 4 * max(1, by_priority[1]))

    def test_hedge_gets_no_request_of_a_limited_upstream(self) -> None:
        self.submit(1.0)
        for step in range(300):
            decision = self.submit(2.0 + step * 0.01, hedge=True, excluded=("u1",))
            self.assertIsInstance(decision, slots.Refusal)

    def test_health_checks_count_against_the_limit(self) -> None:
        now, probes, requests = 0.0, 0, 0
        for _ in range(4000):
            now += 0.01
            probes += self.dispatcher.may_probe("u0", now)
            requests += self.submit(now, excluded=("u1",), objective_s=0.01) is not None and (
                self.dispatcher.paid_count > probes + requests
            )
        self.assertGreater(requests, 30)
        self.assertLessEqual(probes, 5)
        self.assertLessEqual(self.dispatcher.paid_count, 42)
        self.assertTrue(self.dispatcher.may_probe("u1", now))

    def test_request_that_was_not_sent_is_not_counted(self) -> None:
        sent = 0
        for step in range(400):
            now = 2.0 + step * 0.01
            request = slots.SlotRequest(next(self.keys), "vm", "a", 5.0, 0.6, 1, excluded=("u1",))
            decision = self.dispatcher.submit(request, now, may_wait=False)
            if isinstance(decision, slots.Grant):
                sent += 1
                self.release(request.key, health.Outcome.UNUSED, now)
        self.assertGreater(sent, 300)

    def test_limit_that_has_ended_leaves_nothing_behind(self) -> None:
        self.submit(1.0)
        self.limit("u0", None, at=2.0)
        granted = [self.submit(2.1, excluded=("u1",)) for _ in range(50)]
        self.assertTrue(all(isinstance(decision, slots.Grant) for decision in granted))
