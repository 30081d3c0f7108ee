"""Stateful fuzzing with fixed seeds, and checks that it detects each disabled mechanism."""

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

SETTINGS = fuzzing.deterministic_settings(examples=120, steps=40)
FAULT_SEARCH_SETTINGS = fuzzing.search_settings(examples=1500, steps=40)

real_decide = recovery.decide


def run(machine_class, settings=SETTINGS):
    """Run a state machine as a test."""
    stateful.run_state_machine_as_test(machine_class, settings=settings)


def decide_without_incarnation(e, fencing, now_ms, clock_error_ms, reply):
    """Decide as if each reply came from the incarnation that the attempt was sent to."""
    incarnation = reply.incarnation if reply is not None else ""
    return real_decide(
        dataclasses.replace(e, incarnation=incarnation), fencing, now_ms, clock_error_ms, reply
    )


def decide_without_reply(e, fencing, now_ms, clock_error_ms, reply):
    """Decide as if an upstream that does not reply had never started the attempt."""
    if reply is None and recovery.overdue(e, now_ms, clock_error_ms):
        return recovery.Decision.PERMIT
    return real_decide(e, fencing, now_ms, clock_error_ms, reply)


class AtMostOnceFuzzTest(unittest.TestCase):
    def setUp(self):
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)

    def test_upstreams_enforcing_deadlines(self):
        run(machine.DeadlineMachine)

    def test_upstreams_remembering_cancellations(self):
        run(machine.RememberingMachine)

    def test_upstreams_without_guarantees(self):
        run(machine.UnfencedMachine)

    def test_detects_decision_without_incarnation_check(self):
        self.check_detects("waxwingspool.once.recovery.decide", decide_without_incarnation)

    def test_detects_decision_without_reply(self):
        self.check_detects("waxwingspool.once.recovery.decide", decide_without_reply)

    def test_detects_decision_before_deadline(self):
        self.check_detects(
            "waxwingspool.once.recovery.overdue", lambda e, now_ms, clock_error_ms: True
        )

    def test_detects_second_upstream_after_indeterminate_result(self):
        async def send(*args):
            result = await real_send(*args)
            if isinstance(result, upstream.Indeterminate):
                return upstream.NotStarted(result.reason)
            return result

        real_send = attempt.send
        self.check_detects(
            "waxwingspool.routing.attempt.send", send, "ran 2 times|ran despite the outcome not-run"
        )

    def test_detects_claim_without_conditional_write(self):
        async def write(self, e, expected_version, timeout_s):
            return journal.Written(expected_version + 1)

        self.check_detects("waxwingspool.once.journal.Journal.write", write, r"ran \d+ times")

    def test_detects_intent_that_is_never_resolved(self):
        def wait(*args):
            return recovery.Decision.WAIT

        self.check_detects("waxwingspool.once.recovery.decide", wait, "has no final outcome")

    def test_detects_unknown_outcome_reported_as_not_run(self):
        async def execute_reporting_not_run(*args):
            outcome = await real_execute(*args)
            if isinstance(outcome, outcomes.Unknown) and not outcome.final:
                return outcomes.NotRun(outcome.reason)
            return outcome

        real_execute = execute.execute
        target = "waxwingspool.once.execute.execute"
        self.check_detects(target, execute_reporting_not_run, "ran despite the outcome not-run")

    def check_detects(self, target, replacement, message="ran 2 times"):
        """Check that the fuzz test fails when a function is replaced."""
        with mock.patch(target, replacement), self.assertRaisesRegex(AssertionError, message):
            run(machine.DeadlineMachine, FAULT_SEARCH_SETTINGS)
