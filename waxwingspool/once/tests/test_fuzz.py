"""The stateful fuzz with fixed seeds, and proof that it catches a mechanism taken out."""

import dataclasses
import unittest
from unittest import mock

import structlog
from hypothesis import stateful

from standins import fuzzing
from waxwingspool import outcomes
from waxwingspool.interfaces import upstream
from waxwingspool.once import execute, journal, recovery
from waxwingspool.once.tests import machine
from waxwingspool.routing import attempt

SETTINGS = fuzzing.fixed(examples=120, steps=40)
HUNT = fuzzing.hunt(examples=1500, steps=40)

decide = recovery.decide


def run(kind, settings=SETTINGS):
    """Run a state machine."""
    stateful.run_state_machine_as_test(kind, settings=settings)


def without_incarnation(e, fencing, now_ms, clock_error_ms, reply):
    """Decide as if every reply came from the incarnation that the attempt was sent to."""
    known = reply.incarnation if reply is not None else ""
    return decide(dataclasses.replace(e, incarnation=known), fencing, now_ms, clock_error_ms, reply)


def without_reply(e, fencing, now_ms, clock_error_ms, reply):
    """Decide as if an upstream that does not reply had never started."""
    if reply is None and recovery.overdue(e, now_ms, clock_error_ms):
        return recovery.Decision.PERMIT
    return decide(e, fencing, now_ms, clock_error_ms, reply)


class FuzzTest(unittest.TestCase):
    def setUp(self):
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)

    def test_upstreams_that_keep_deadlines(self):
        run(machine.Machine)

    def test_upstreams_that_remember_cancellations(self):
        run(machine.RememberingMachine)

    def test_upstreams_that_guarantee_nothing(self):
        run(machine.UnfencedMachine)

    def test_catches_a_decision_without_the_incarnation(self):
        self.catches("waxwingspool.once.recovery.decide", without_incarnation)

    def test_catches_a_decision_without_a_reply(self):
        self.catches("waxwingspool.once.recovery.decide", without_reply)

    def test_catches_a_decision_before_the_deadline(self):
        self.catches("waxwingspool.once.recovery.overdue", lambda e, now_ms, error_ms: True)

    def test_catches_a_second_upstream_after_an_unclear_result(self):
        async def send(*arguments):
            result = await real(*arguments)
            if isinstance(result, upstream.Unclear):
                return upstream.NotStarted(result.reason)
            return result

        real = attempt.send
        self.catches(
            "waxwingspool.routing.attempt.send", send, "ran 2 times|was told it did not run"
        )

    def test_catches_a_claim_that_does_not_ask_the_table(self):
        async def write(self, e, expected, timeout_s):
            return journal.Claimed(expected + 1)

        self.catches("waxwingspool.once.journal.Journal.write", write, r"ran \d+ times")

    def test_catches_a_row_that_stays_stuck(self):
        def wait(*arguments):
            return recovery.Decision.WAIT

        self.catches("waxwingspool.once.recovery.decide", wait, "is stuck")

    def test_catches_an_unclear_result_told_as_not_run(self):
        async def execute_falsely(*arguments):
            outcome = await real(*arguments)
            if isinstance(outcome, outcomes.Unknown) and not outcome.final:
                return outcomes.NotRun(outcome.reason)
            return outcome

        real = execute.execute
        place = "waxwingspool.once.execute.execute"
        self.catches(place, execute_falsely, "was told it did not run")

    def catches(self, place, broken, message="ran 2 times"):
        """Check that the fuzz fails with a function replaced."""
        with mock.patch(place, broken), self.assertRaisesRegex(AssertionError, message):
            run(machine.Machine, HUNT)
