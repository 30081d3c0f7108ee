"""Tests of hedges and retries, over a fake client on a virtual clock."""

import asyncio
import random
import time
import unittest
from unittest import mock

from standins import small, virtual
from waxwingspool import outcomes
from waxwingspool.config import check
from waxwingspool.interfaces import upstream
from waxwingspool.routing import fleet, hedged

GOOD = upstream.Answer(200, (), b"good", upstream.Load(1, 0, False, "i"))
BAD = upstream.Answer(500, (), b"bad", upstream.Load(1, 0, False, "i"))
REFUSED = upstream.NotStarted("refused", upstream.Load(1, 0, False, "i"))
UNREACHABLE = upstream.NotStarted("can't be reached")
BROKEN = upstream.Unclear("broke off")


class Client:
    """Upstreams that answer from a script: pairs of seconds and result, one for each attempt."""

    def __init__(self, *script):
        self._script = list(script)
        self.sent = []
        self.cancelled = []

    async def send(self, address, request, attempt, timeout_s):
        self.sent.append(address)
        took_s, result = self._script.pop(0)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(took_s)
        except TimeoutError:
            return upstream.Unclear("no answer in time")
        except asyncio.CancelledError:
            self.cancelled.append(address)
            raise
        return result


class HedgedTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.loop()
        self.addCleanup(self.loop.close)
        self.enterContext(mock.patch.object(time, "monotonic", self.loop.time))
        services = fleet.Fleet(
            "accra", "expected", random.Random(3), lambda t: None, self.loop.time
        )
        services.configure(check.check(small.json.dumps(small.small())).ok)
        self.pool = services.pools["tagcheck"]
        self.rule = self.pool.service.rules[0]
        self.pool.earn(self.rule, 10_000.0)
        self.extra = []

    def run_request(self, *script, body=b""):
        """Run a request and return its outcome and the client."""
        client = Client(*script)
        request = upstream.Request("GET", "/tagcheck/1", (), body)
        work = hedged.execute(client, self.pool, self.rule, request, self.extra.append)
        outcome = self.loop.run_until_complete(work)
        self.loop.advance(0.001)
        in_flight = [t for t in self.pool.targets.values() if t.in_flight]
        self.assertEqual([], in_flight)
        return outcome, client

    def test_a_fast_answer_is_not_hedged(self):
        outcome, client = self.run_request((0.01, GOOD))
        self.assertEqual(GOOD, outcome.answer)
        self.assertEqual([], self.extra)

    def test_a_late_one_is_hedged_elsewhere_and_the_loser_cancelled(self):
        outcome, client = self.run_request((1.0, GOOD), (0.01, GOOD))
        self.assertEqual(GOOD, outcome.answer)
        self.assertEqual(["hedge"], self.extra)
        self.assertEqual(2, len(set(client.sent)))
        self.assertEqual(client.sent[:1], client.cancelled)
        self.assertLess(self.loop.time(), 0.2)

    def test_the_first_may_still_win(self):
        outcome, client = self.run_request((0.06, GOOD), (1.0, BAD))
        self.assertEqual(GOOD, outcome.answer)
        self.assertEqual(client.sent[1:], client.cancelled)

    def test_a_failed_hedge_does_not_end_the_request(self):
        outcome, _ = self.run_request((0.5, GOOD), (0.01, BAD))
        self.assertEqual(GOOD, outcome.answer)

    def test_a_failed_first_waits_for_its_hedge(self):
        outcome, _ = self.run_request((0.06, BAD), (0.5, GOOD))
        self.assertEqual(GOOD, outcome.answer)

    def test_a_failure_is_retried_within_the_budget(self):
        outcome, _ = self.run_request((0.01, BAD), (0.01, GOOD))
        self.assertEqual((GOOD, ["retry"]), (outcome.answer, self.extra))
        self.pool.spend_retry(10_000.0)
        outcome, _ = self.run_request((0.01, BAD))
        self.assertEqual(BAD, outcome.answer)

    def test_unreachable_upstreams_are_passed_over_without_a_budget(self):
        self.pool.spend_retry(10_000.0)
        outcome, client = self.run_request((0.0, UNREACHABLE), (0.0, UNREACHABLE), (0.01, GOOD))
        self.assertEqual(GOOD, outcome.answer)
        self.assertEqual(3, len(set(client.sent)))

    def test_not_run_is_said_only_if_nothing_was_started(self):
        outcome, _ = self.run_request((0.0, REFUSED), (0.0, REFUSED))
        self.assertIsInstance(outcome, outcomes.NotRun)
        outcome, _ = self.run_request((0.0, BROKEN), (0.0, REFUSED))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_no_answer_within_the_deadline_is_unknown(self):
        outcome, _ = self.run_request((60.0, GOOD), (60.0, GOOD))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertLess(self.loop.time(), 2.1)

    def test_a_streamed_body_is_sent_once(self):
        async def chunks():
            yield b""

        outcome, client = self.run_request((1.0, BROKEN), body=chunks())
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(1, len(client.sent))
