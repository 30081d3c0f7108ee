"""The way back of a store that was restored from a copy, on virtual time."""

import unittest

from waxwingspool.catalog import node
from waxwingspool.fleet import members
from waxwingspool.fleet.tests import model

# Time in seconds after the end of a disruption from which the bounds of calm balancers hold again.
STABILITY_WINDOW_S = 4.0
# Time in seconds for which the store is away, and after which the operator writes again.
AWAY_S = 1.0
WRITTEN_AGAIN_AFTER_S = 0.2
# Age of the copy in seconds, number of versions that the store loses, and balancers.
DRILLS = (
    (0.5, 0, 1),
    (0.5, 5, 3),
    (3.0, 40, 1),
    (3.0, 40, 12),
    (7.0, 14, 3),
    (8.0, 200, 3),
    (10.0, 200, 12),
)
# Rates of the store, in calls per second of all balancers together, and balancers.
CALL_RATES = ((2000, 12), (6000, 139))


class RestoredStoreTest(unittest.TestCase):
    def start(self, **sizes: float) -> model.Region:
        region = model.Region(routes=20, others=0, **sizes)
        self.addCleanup(region.close)
        return region

    def lose(self, region: model.Region, age_s: float, lost: int) -> None:
        """Let the store come back from a copy; the operator writes again what it wrote last."""
        copy = region.copy()
        for number in range(lost):
            region.loop.advance(age_s / lost)
            region.put("op", "config", model.configuration(20, 100 + number))
        region.loop.advance(0.0 if lost else age_s)
        self.be_away(region, AWAY_S)
        written = region.rows["op"]["config"].value
        region.restore(copy)
        region.loop.advance(WRITTEN_AGAIN_AFTER_S)
        region.put("op", "config", written)

    def be_away(self, region: model.Region, seconds: float) -> None:
        for balancer in region.balancers.values():
            balancer.store_refuses = True
        region.loop.advance(seconds)
        for balancer in region.balancers.values():
            balancer.store_refuses = False

    def check_changes_in_time(self, region: model.Region) -> None:
        """Check when a configuration and a report of draining have reached all balancers."""
        bound_s = node.Bounds().config_apply_s
        self.assertLess(region.apply_configuration(30, 6.0), bound_s)
        self.assertLess(region.apply_configuration(31, 6.0), bound_s)
        region.put("servers", "i-leaving", b"draining")
        reported_in = region.rows["servers"]["i-leaving"].version
        region.loop.advance(bound_s)
        for balancer in region.balancers.values():
            self.assertGreaterEqual(balancer.tables.versions()["servers"], reported_in)

    def test_configuration_and_drain_after_a_return_from_a_copy_are_in_force_in_time(self) -> None:
        # Guards against versions of two epochs that are compared by their numbers.
        for age_s, lost, balancers in DRILLS:
            with self.subTest(age_s=age_s, lost=lost, balancers=balancers):
                region = self.start(readers=balancers)
                self.lose(region, age_s, lost)
                region.loop.advance(STABILITY_WINDOW_S)
                self.check_changes_in_time(region)

    def test_changes_after_two_returns_in_a_row_are_in_force_in_time(self) -> None:
        # Guards against a second epoch that begins before the first has reached all balancers.
        for pause_s in (0.0, 0.3, 1.0, 3.0):
            with self.subTest(pause_s=pause_s):
                region = self.start(readers=6)
                self.lose(region, 5.0, 100)
                region.loop.advance(pause_s)
                self.lose(region, 1.0, 30)
                region.loop.advance(STABILITY_WINDOW_S)
                self.check_changes_in_time(region)

    def test_changes_after_a_return_are_in_force_in_time_in_a_remote_region(self) -> None:
        # Guards against the same behind balancers of another region.
        for readers in (1, 4):
            region = self.start(readers=readers, remote=readers)
            self.lose(region, 6.0, 120)
            region.loop.advance(STABILITY_WINDOW_S)
            self.check_changes_in_time(region)

    def test_rows_are_those_of_the_restored_store_on_all_balancers(self) -> None:
        # Guards against rows of the earlier epoch that stay in copies, or changes that are skipped
        # because the counter has passed the versions of before.
        for away_s in (0.0, 0.05, 1.0):
            for changes in (0, 300):
                with self.subTest(away_s=away_s, changes=changes):
                    region = self.start(readers=4)
                    copy = region.copy()
                    for number in range(200):
                        region.put("servers", f"i-lost-{number}", b"ready")
                    region.loop.advance(2.0)
                    self.be_away(region, away_s)
                    region.restore(copy)
                    for number in range(changes):
                        region.put("servers", f"i-new-{number}", b"ready")
                    region.loop.advance(STABILITY_WINDOW_S)
                    for balancer in region.balancers.values():
                        rows = balancer.tables._copies["servers"].rows
                        self.assertEqual(set(region.rows["servers"]), set(rows))

    def test_cut_off_balancer_follows_the_restored_store_once_it_is_back(self) -> None:
        # Guards against subscribers and readers of different epochs.
        for cut in (0, 1, 3):
            with self.subTest(cut=cut):
                region = self.start(readers=4)
                region.readers[cut].cut = True
                self.lose(region, 5.0, 100)
                region.loop.advance(3.0)
                region.readers[cut].cut = False
                region.loop.advance(STABILITY_WINDOW_S)
                self.check_changes_in_time(region)

    def test_balancers_that_start_around_a_return_follow_the_restored_store(self) -> None:
        # Guards against copies that are filled by peers that know an earlier epoch only.
        for started_after_s in (0.0, 0.5, 2.0):
            with self.subTest(started_after_s=started_after_s):
                region = self.start(readers=4)
                self.lose(region, 5.0, 100)
                region.loop.advance(started_after_s)
                region.balancers["10.0.0.2"].restart()
                region.loop.advance(STABILITY_WINDOW_S)
                self.check_changes_in_time(region)

    def test_calls_after_a_return_stay_within_the_rates_of_the_store(self) -> None:
        # Guards against all balancers that list all tables at once.
        for rate, balancers in CALL_RATES:
            with self.subTest(balancers=balancers):
                region = model.Region(routes=20, readers=8, others=balancers - 8)
                self.addCleanup(region.close)
                self.lose(region, 5.0, 100)
                for _ in range(8):
                    calls = region.store_calls
                    region.loop.advance(1.0)
                    self.assertLess(region.store_calls - calls, rate / 10)

    def test_members_that_the_copy_lacks_stay_known(self) -> None:
        # Guards against balancers that believe to be alone and take the shares of all others.
        region = self.start(readers=6)
        members_of_before = dict(region.rows[members.TABLE])
        region.rows[members.TABLE] = {"10.0.0.1": members_of_before["10.0.0.1"]}
        copy = region.copy()
        region.rows[members.TABLE] = members_of_before
        region.loop.advance(1.0)
        self.be_away(region, AWAY_S)
        region.restore(copy)
        region.loop.advance(STABILITY_WINDOW_S)
        self.assertEqual({6}, {balancer.members.count for balancer in region.balancers.values()})
