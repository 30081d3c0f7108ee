"""Tests of the checks of the ledger and of the lag that they discount."""

import unittest

from standins import virtual
from standins.deployment import checker, lag, upstream

DISCONNECTED_AT = 2.0
ENDED_AT = 2.9


class CancelledWorkTest(unittest.TestCase):
    def is_overdue(self, standstill: tuple[float, float] | None) -> bool:
        """Check work that ended 0.9 s after its caller had left.

        :param standstill: when the event loop stands still and for how long, in seconds.
        """
        loop = virtual.new_event_loop()
        self.addCleanup(loop.shutdown)
        meter = lag.LagMeter()
        loop.create_task(meter.run())
        if standstill is not None:
            at, for_s = standstill
            loop.call_at(at, loop.stand_still, for_s)
        loop.advance(5.0)
        ledger = upstream.Ledger()
        ledger.ended_at["request"] = ENDED_AT
        lag_s = meter.lag_s(DISCONNECTED_AT, ENDED_AT)
        return checker.is_work_overdue(ledger, "request", DISCONNECTED_AT, lag_s)

    def test_work_goes_on_after_its_caller_has_left(self) -> None:
        self.assertTrue(self.is_overdue(None))

    def test_standstill_of_the_soak_itself_is_not_work_for_nobody(self) -> None:
        self.assertFalse(self.is_overdue((2.1, 0.7)))

    def test_standstill_is_counted_as_far_as_it_overlaps(self) -> None:
        self.assertFalse(self.is_overdue((2.3, 2.0)))
        self.assertTrue(self.is_overdue((2.7, 2.0)))
        self.assertTrue(self.is_overdue((1.0, 0.9)))

    def test_short_standstill_excuses_no_more_than_its_length(self) -> None:
        self.assertTrue(self.is_overdue((2.1, 0.3)))


if __name__ == "__main__":
    unittest.main()
