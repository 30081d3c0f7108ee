"""Tests of hedges and retries, with a fake upstream client and a virtual clock."""

import asyncio
import random
import time
import unittest
from unittest import mock

from standins import example_configurations, virtual
from waxwingspool import outcomes
from waxwingspool.config import check
from waxwingspool.interfaces import upstream
from waxwingspool.routing import hedged, service_pools

SUCCESS = upstream.Response(200, (), b"good", upstream.Load(1, 0, False, "i"))
SERVER_ERROR = upstream.Response(500, (), b"bad", upstream.Load(1, 0, False, "i"))
REFUSED = upstream.NotStarted("refused", upstream.Load(1, 0, False, "i"))
UNREACHABLE = upstream.NotStarted("connection failed")
INTERRUPTED = upstream.Indeterminate("connection closed before the response was complete")


class ScriptedClient:
    """Fake upstream client that returns scripted results.

    The script has a pair for each attempt: the delay in seconds and the result.
    """

    def __init__(self, *script):
        self._script = list(script)
        self.sent = []
        self.cancelled = []

    async def send(self, address, request, attempt, timeout_s):
        self.sent.append(address)
        delay_s, result = self._script.pop(0)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(delay_s)
        except TimeoutError:
            return upstream.Indeterminate("no response within the time limit")
        except asyncio.CancelledError:
            self.cancelled.append(address)
            raise
        return result


class HedgedRequestTest(unittest.TestCase):
    def setUp(self):
        self.loop = virtual.new_event_loop()
        self.addCleanup(self.loop.close)
        self.enterContext(mock.patch.object(time, "monotonic", self.loop.time))
        pools = service_pools.ServicePools(
            "accra", "expected", random.Random(3), lambda t: None, self.loop.time
        )
        pools.configure(
            check.check(example_configurations.json.dumps(example_configurations.load_reduced())).ok
        )
        self.pool = pools.pools["tagcheck"]
        self.rule = self.pool.service.rules[0]
        # Fills the hedge and retry budgets.
        self.pool.record_first_attempt(self.rule, 10_000.0)
        self.extra_attempts = []

    def run_request(self, *script, body=b""):
        """Run a request and return its outcome and the client.

        Checks that no attempt is left in flight.
        """
        client = ScriptedClient(*script)
        request = upstream.Request("GET", "/tagcheck/1", (), body)
        execution = hedged.execute(
            client, self.pool, self.rule, request, self.extra_attempts.append
        )
        outcome = self.loop.run_until_complete(execution)
        self.loop.advance(0.001)
        in_flight = [t for t in self.pool.targets.values() if t.in_flight]
        self.assertEqual([], in_flight)
        return outcome, client

    def test_fast_first_attempt_is_not_hedged(self):
        outcome, client = self.run_request((0.01, SUCCESS))
        self.assertEqual(SUCCESS, outcome.answer)
        self.assertEqual([], self.extra_attempts)

    def test_slow_first_attempt_is_hedged_at_another_upstream_and_cancelled(self):
        outcome, client = self.run_request((1.0, SUCCESS), (0.01, SUCCESS))
        self.assertEqual(SUCCESS, outcome.answer)
        self.assertEqual(["hedge"], self.extra_attempts)
        self.assertEqual(2, len(set(client.sent)))
        self.assertEqual(client.sent[:1], client.cancelled)
        self.assertLess(self.loop.time(), 0.2)

    def test_first_attempt_that_ends_before_its_hedge_is_used(self):
        outcome, client = self.run_request((0.06, SUCCESS), (1.0, SERVER_ERROR))
        self.assertEqual(SUCCESS, outcome.answer)
        self.assertEqual(client.sent[1:], client.cancelled)

    def test_request_continues_after_a_failed_hedge(self):
        outcome, _ = self.run_request((0.5, SUCCESS), (0.01, SERVER_ERROR))
        self.assertEqual(SUCCESS, outcome.answer)

    def test_request_waits_for_the_hedge_after_a_failed_first_attempt(self):
        outcome, _ = self.run_request((0.06, SERVER_ERROR), (0.5, SUCCESS))
        self.assertEqual(SUCCESS, outcome.answer)

    def test_failed_attempt_is_retried_only_within_the_budget(self):
        outcome, _ = self.run_request((0.01, SERVER_ERROR), (0.01, SUCCESS))
        self.assertEqual((SUCCESS, ["retry"]), (outcome.answer, self.extra_attempts))
        # Overdraws the retry budget.
        self.pool.record_retry(10_000.0)
        outcome, _ = self.run_request((0.01, SERVER_ERROR))
        self.assertEqual(SERVER_ERROR, outcome.answer)

    def test_unreachable_upstreams_are_skipped_without_retry_budget(self):
        # Overdraws the retry budget.
        self.pool.record_retry(10_000.0)
        outcome, client = self.run_request((0.0, UNREACHABLE), (0.0, UNREACHABLE), (0.01, SUCCESS))
        self.assertEqual(SUCCESS, outcome.answer)
        self.assertEqual(3, len(set(client.sent)))

    def test_outcome_is_not_run_only_if_no_attempt_started(self):
        outcome, _ = self.run_request((0.0, REFUSED), (0.0, REFUSED))
        self.assertIsInstance(outcome, outcomes.NotRun)
        outcome, _ = self.run_request((0.0, INTERRUPTED), (0.0, REFUSED))
        self.assertIsInstance(outcome, outcomes.Unknown)

    def test_outcome_is_unknown_without_a_response_before_the_deadline(self):
        outcome, _ = self.run_request((60.0, SUCCESS), (60.0, SUCCESS))
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertLess(self.loop.time(), 2.1)

    def test_streamed_body_is_sent_only_once(self):
        async def chunks():
            yield b""

        outcome, client = self.run_request((1.0, INTERRUPTED), body=chunks())
        self.assertIsInstance(outcome, outcomes.Unknown)
        self.assertEqual(1, len(client.sent))
