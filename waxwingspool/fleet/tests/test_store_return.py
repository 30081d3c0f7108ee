"""The way back from an outage of the store, on virtual time."""

import unittest
from collections.abc import Callable, Iterable, Iterator

from waxwingspool.catalog import node
from waxwingspool.fleet import members
from waxwingspool.fleet.tests import model

# Time in seconds after the end of an outage from which the bounds of calm balancers hold again.
STABILITY_WINDOW_S = 4.0
# Durations of outages in seconds; they end at different moments of calls and delays.
OUTAGES_S = [2.0 + 0.7 * step for step in range(12)]
# Times in seconds from the end of an outage to the next configuration.
ACCEPTED_AFTER_S = 0.1, 1.5


def _set_silent(balancers: Iterable[model.Balancer], silent: bool) -> None:
    for balancer in balancers:
        balancer.store_silent = silent


def _set_refusing(balancers: Iterable[model.Balancer], refusing: bool) -> None:
    for balancer in balancers:
        balancer.store_refuses = refusing


class StoreReturnTest(unittest.TestCase):
    def start(self, **sizes: float) -> model.Region:
        region = model.Region(routes=20, **sizes)
        self.addCleanup(region.close)
        return region

    def disturb(
        self, region: model.Region, fail: Callable[[Iterable[model.Balancer], bool], None]
    ) -> Iterator[float]:
        """Yield after each of several outages how long a change may take to reach all balancers."""
        for outage_s in OUTAGES_S:
            for accepted_after_s in ACCEPTED_AFTER_S:
                fail(region.balancers.values(), True)
                region.loop.advance(outage_s)
                fail(region.balancers.values(), False)
                region.loop.advance(accepted_after_s)
                yield max(node.Bounds().config_apply_s, STABILITY_WINDOW_S - accepted_after_s)

    def check_in_force_in_time(
        self, fail: Callable[[Iterable[model.Balancer], bool], None], **sizes: float
    ) -> None:
        """Check when balancers have a configuration that is accepted after an outage."""
        region = self.start(**sizes)
        for number, bound_s in enumerate(self.disturb(region, fail), start=1):
            with self.subTest(number=number, **sizes):
                self.assertLess(region.apply_configuration(20 + number, 10.0), bound_s)

    def test_configuration_after_a_silent_store_returned_is_in_force_in_time(self) -> None:
        # Guards against calls without a response that outlive the outage by seconds.
        for readers in (1, 2, 3, 12):
            self.check_in_force_in_time(_set_silent, readers=readers, others=0)

    def test_configuration_after_a_refusing_store_returned_is_in_force_in_time(self) -> None:
        # Guards against pauses between failed calls that grow with the outage.
        for readers in (1, 2, 3, 12):
            self.check_in_force_in_time(_set_refusing, readers=readers, others=0)

    def test_configuration_after_an_outage_is_in_force_in_time_in_a_remote_region(self) -> None:
        # Guards against the same behind balancers of another region.
        for readers in (1, 2, 6):
            self.check_in_force_in_time(_set_silent, readers=readers, others=0, remote=readers)

    def test_report_of_draining_after_an_outage_is_known_in_time(self) -> None:
        # Guards against upstreams' rows that wait longer than the configuration.
        for readers in (1, 2, 12):
            region = self.start(readers=readers, others=0)
            for number, bound_s in enumerate(self.disturb(region, _set_silent), start=1):
                with self.subTest(number=number, readers=readers):
                    region.put("servers", "i-leaving", b"draining")
                    version = region.rows["servers"]["i-leaving"].version
                    region.loop.advance(bound_s)
                    known = [b.tables.versions()["servers"] for b in region.balancers.values()]
                    self.assertGreaterEqual(min(known), version)
                region.loop.advance(8.0)

    def test_balancer_that_joined_during_an_outage_is_known_once_the_store_returned(self) -> None:
        # Guards against long polls whose response was lost and that are still waited for.
        for readers in (1, 3, 12):
            region = self.start(readers=readers, others=0)
            balancers = region.balancers.values()
            for number in range(4):
                with self.subTest(readers=readers, number=number):
                    _set_silent(balancers, True)
                    region.loop.advance(2.0)
                    region.put(members.TABLE, f"10.0.0.{100 + number}", b"{}")
                    joined_in = region.rows[members.TABLE][f"10.0.0.{100 + number}"].version
                    region.loop.advance(1.0)
                    _set_silent(balancers, False)
                    region.loop.advance(STABILITY_WINDOW_S)
                    known = [b.tables.versions()[members.TABLE] for b in balancers]
                    self.assertGreaterEqual(min(known), joined_in)
                region.loop.advance(6.1)

    def test_store_that_responds_more_slowly_than_the_shortest_timeout_is_read(self) -> None:
        # Guards against timeouts that never suffice for a slow store.
        region = self.start(readers=2, others=0)
        region.store_delay_s = 2.0
        self.assertLess(region.apply_configuration(21, 20.0), float("inf"))
