"""Rate limits of upstreams kept by whole fleets, on virtual time.

Two upstreams of seven name a limit. The most requests that reach one in four seconds are compared
with what the users allow, and those of balancers that were told with the limit itself.
"""

import unittest
from collections.abc import Callable
from unittest import mock

from waxwingspool.fleet import slots
from waxwingspool.fleet.tests import rate_model

LIMITED = "u0", "u1"
# Time after a limit is named from which it must be kept, and time for which it is watched.
SETTLING_S, WATCHED_S = 4.0, 16.0
# Requests beyond the limit in a window: a token that is kept, and requests that were on their way.
SLACK = 3


class FleetTest(unittest.TestCase):
    def start(self, balancers: int, **arguments: object) -> rate_model.Fleet:
        fleet = rate_model.Fleet((balancers,), **arguments)
        self.addCleanup(fleet.close)
        fleet.loop.advance(3.0)
        return fleet

    def check(
        self,
        balancers: int,
        disturb: Callable[[rate_model.Fleet], None],
        rate: float = 1.0,
        load: float = 30.0,
    ) -> rate_model.Fleet:
        """Check that a fleet keeps the limits while something happens to it."""
        fleet = self.start(balancers, rate=load)
        for id_ in LIMITED:
            fleet.upstreams[id_].rate = rate
        fleet.loop.advance(SETTLING_S)
        start = fleet.loop.time()
        disturb(fleet)
        for id_ in LIMITED:
            allowed = 1.5 * rate * rate_model.WINDOW_S + 5
            self.assertLessEqual(fleet.most_arrivals(id_, start), allowed)
            strict = rate * rate_model.WINDOW_S + SLACK
            self.assertLessEqual(fleet.most_arrivals(id_, start, only_told=True), strict)
        return fleet

    def watch(self, fleet: rate_model.Fleet) -> None:
        fleet.loop.advance(WATCHED_S)

    def kill_dispatchers(self, fleet: rate_model.Fleet) -> None:
        fleet.kill_dispatchers(WATCHED_S)

    def split(self, fleet: rate_model.Fleet) -> None:
        fleet.split(WATCHED_S)

    def isolate(self, fleet: rate_model.Fleet) -> None:
        fleet.isolate(WATCHED_S)

    def split_again_and_again(self, fleet: rate_model.Fleet) -> None:
        def change() -> None:
            ranking = fleet.ranking()
            if fleet.cut:
                fleet.cut = set()
            else:
                fleet.part([ranking[0::2], ranking[1::2]])

        fleet.repeat(WATCHED_S, 2.0, change)

    def freeze_dispatcher(self, fleet: rate_model.Fleet) -> None:
        def freeze() -> None:
            fleet.ranking()[0].frozen_until = fleet.loop.time() + 2.0

        fleet.repeat(WATCHED_S, 4.0, freeze)

    def restart_all(self, fleet: rate_model.Fleet) -> None:
        def restart() -> None:
            for balancer in fleet.balancers.values():
                balancer.kill()
            fleet.loop.advance(0.5)
            for balancer in fleet.balancers.values():
                balancer.start()

        fleet.repeat(WATCHED_S, 5.0, restart)

    def test_limits_are_kept_and_used(self) -> None:
        for rate in (0.5, 1.0, 20.0):
            with self.subTest(rate=rate):
                fleet = self.check(12, self.watch, rate=rate, load=100.0)
                for id_ in LIMITED:
                    sent = fleet.arrivals_between(id_, 8.0, fleet.loop.time())
                    # The fastest of the rates is more than the slots of an upstream carry.
                    self.assertGreater(sent, 0.7 * min(rate, 12.0) * (fleet.loop.time() - 8.0) - 1)

    def test_balancers_that_seldom_send_still_lend_their_shares(self) -> None:
        fleet = self.check(139, self.watch, load=40.0)
        fleet.loop.advance(10.0)
        start, end = fleet.loop.time(), fleet.loop.time() + 20.0
        fleet.loop.advance(20.0)
        for id_ in LIMITED:
            self.assertGreater(fleet.arrivals_between(id_, start, end), 0.8 * 20.0)

    def test_limits_are_kept_while_dispatchers_are_killed(self) -> None:
        self.check(12, self.kill_dispatchers)

    def test_limits_are_kept_by_two_dispatchers_at_once(self) -> None:
        self.check(12, self.split)

    def test_limits_are_kept_while_dispatchers_change_again_and_again(self) -> None:
        self.check(12, self.split_again_and_again)

    def test_limits_are_kept_by_isolated_balancers(self) -> None:
        self.check(12, self.isolate)

    def test_limits_are_kept_by_a_dispatcher_that_wakes_up(self) -> None:
        self.check(12, self.freeze_dispatcher)

    def test_limits_are_kept_after_all_balancers_have_restarted(self) -> None:
        self.check(12, self.restart_all)

    def test_limits_are_kept_by_139_balancers(self) -> None:
        for disturb in (self.kill_dispatchers, self.split_again_and_again, self.isolate):
            with self.subTest(disturb.__name__):
                self.check(139, disturb, load=60.0)

    def test_limits_are_kept_when_regions_borrow_from_each_other(self) -> None:
        fleet = rate_model.Fleet((6, 6), (7, 2), rate=30.0)
        self.addCleanup(fleet.close)
        fleet.loop.advance(3.0)
        for id_ in LIMITED:
            fleet.upstreams[id_].rate = 1.0
        fleet.loop.advance(SETTLING_S)
        start = fleet.loop.time()
        fleet.loop.advance(WATCHED_S)
        for id_ in LIMITED:
            self.assertLessEqual(fleet.most_arrivals(id_, start), rate_model.WINDOW_S + SLACK)

    def test_share_is_not_lent_again_with_a_borrowed_slot(self) -> None:
        fleet = rate_model.Fleet((6, 6), (2, 0), rate=30.0)
        self.addCleanup(fleet.close)
        fleet.loop.advance(3.0)
        for id_ in LIMITED:
            fleet.upstreams[id_].rate = 1.0
        fleet.loop.advance(SETTLING_S)
        start = fleet.loop.time()
        fleet.loop.advance(WATCHED_S)
        for id_ in LIMITED:
            sent = fleet.arrivals_between(id_, start, start + WATCHED_S)
            self.assertLessEqual(sent, WATCHED_S + SLACK)

    def test_new_dispatcher_knows_the_limits_from_its_first_requester(self) -> None:
        fleet = self.check(12, self.watch)
        fleet.dispatcher().kill()
        fleet.loop.advance(0.5)
        known = fleet.dispatcher().slot_manager.known_rate_limits()
        self.assertEqual(dict.fromkeys(LIMITED, 1.0), known)

    def test_end_of_a_limit_is_found_within_seconds(self) -> None:
        for rate in (0.0, 0.2, 1.0):
            with self.subTest(rate=rate):
                fleet = self.check(12, self.watch, rate=rate)
                for id_ in LIMITED:
                    fleet.upstreams[id_].rate = None
                fleet.loop.advance(5.0)
                self.assertEqual({}, fleet.dispatcher().slot_manager.known_rate_limits())

    def test_service_stays_up_while_its_upstreams_name_limits_in_turn(self) -> None:
        fleet = self.start(12, rate=60.0)
        names = list(fleet.upstreams)
        before = fleet.outcomes["answered"]
        for index, id_ in enumerate(names):
            fleet.upstreams[id_].rate = 1.0
            if index >= 2:
                fleet.upstreams[names[index - 2]].rate = None
            fleet.loop.advance(4.0)
        during = (fleet.outcomes["answered"] - before) / (4.0 * len(names))
        for upstream in fleet.upstreams.values():
            upstream.rate = None
        fleet.loop.advance(5.0)
        before, refused = fleet.outcomes["answered"], fleet.outcomes["refused"]
        fleet.loop.advance(4.0)
        self.assertGreater(during, 0.8 * 60.0)
        self.assertGreater(fleet.outcomes["answered"] - before, 0.9 * 60.0 * 4.0)
        self.assertLess(fleet.outcomes["refused"] - refused, 0.02 * 60.0 * 4.0)

    def test_limits_are_overrun_without_shares(self) -> None:
        def take_whole_rate(self, upstream, now):
            return 1.0

        with (
            mock.patch.object(slots.rate_limits._LentShares, "value", take_whole_rate),
            mock.patch.object(slots.rate_limits._OwnShare, "value", take_whole_rate),
        ):
            for disturb in (self.isolate, self.split):
                with self.subTest(disturb.__name__), self.assertRaises(AssertionError):
                    self.check(12, disturb, load=60.0)
