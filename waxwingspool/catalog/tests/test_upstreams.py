"""Tests of the upstream registry: row order, address reuse and store outages."""

import dataclasses
import unittest

from waxwingspool.catalog import store_version, upstreams


def make_upstream(
    id_: str,
    version: int,
    port: int = 1,
    draining: bool = False,
    started_ms: int = 0,
    epoch: int = 1,
) -> upstreams.Upstream:
    return upstreams.Upstream(
        id_,
        "tags",
        ("10.0.0.1", port),
        "a",
        4,
        draining,
        0.0,
        started_ms,
        store_version.StoreVersion(epoch, version),
    )


def removal(id_: str, version: int, epoch: int = 1) -> upstreams.Removal:
    return upstreams.Removal(id_, store_version.StoreVersion(epoch, version))


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.registry = upstreams.Registry(lambda: self.now)

    def usable(self) -> list[str]:
        return sorted(upstream.id for upstream in self.registry.usable())

    def test_older_row_does_not_replace_newer_row(self) -> None:
        self.registry.apply([make_upstream("u", 5, draining=True), make_upstream("u", 4)])
        self.assertEqual([], self.usable())

    def test_draining_upstream_is_not_usable(self) -> None:
        self.registry.apply([make_upstream("u", 1), make_upstream("v", 2, port=2)])
        self.registry.apply([make_upstream("u", 3, draining=True)])
        self.assertEqual(["v"], self.usable())

    def test_reused_address_belongs_to_upstream_with_newer_row(self) -> None:
        self.registry.apply([make_upstream("old", 1), make_upstream("new", 2)])
        self.assertEqual(["new"], self.usable())

    def test_removal_is_immediate_without_a_store_outage(self) -> None:
        self.registry.apply([make_upstream("u", 1), removal("u", 2)])
        self.assertEqual([], self.usable())

    def test_removal_after_store_recovery_is_delayed(self) -> None:
        self.registry.apply([make_upstream("u", 1)])
        self.registry.record_store_recovery()
        self.registry.apply([removal("u", 2)])
        self.assertEqual(["u"], self.usable())
        self.now += upstreams.REREGISTRATION_S + 0.01
        self.registry.expire()
        self.assertEqual([], self.usable())

    def register(self, count: int) -> list[str]:
        """Register upstreams of one service and return their ids."""
        ids = [f"u{number}" for number in range(count)]
        self.registry.apply(make_upstream(id_, 1, port=port) for port, id_ in enumerate(ids))
        return ids

    def test_single_upstream_that_left_while_rows_were_late_is_removed_at_once(self) -> None:
        ids = self.register(9)
        self.registry.record_store_recovery()
        self.registry.apply([removal("u0", 2)])
        self.assertEqual(ids[1:], self.usable())

    def test_upstream_missing_from_a_listing_after_late_rows_is_removed_at_once(self) -> None:
        ids = self.register(9)
        self.registry.record_store_recovery()
        self.registry.replace(
            make_upstream(id_, 2, port=port) for port, id_ in enumerate(ids[1:], start=1)
        )
        self.assertEqual(ids[1:], self.usable())

    def test_lapse_of_half_a_service_is_delayed(self) -> None:
        ids = self.register(8)
        self.registry.record_store_recovery()
        self.registry.apply(removal(id_, 2) for id_ in ids[:4])
        self.assertEqual(ids, self.usable())

    def test_lapses_that_arrive_one_by_one_leave_over_half_a_service(self) -> None:
        ids = self.register(8)
        self.registry.record_store_recovery()
        for id_ in ids:
            self.registry.apply([removal(id_, 2)])
        self.assertEqual(ids[3:], self.usable())
        self.now += upstreams.REREGISTRATION_S + 0.01
        self.registry.expire()
        self.assertEqual([], self.usable())

    def test_removals_long_after_a_recovery_are_not_counted_as_lapses(self) -> None:
        ids = self.register(8)
        self.registry.record_store_recovery()
        self.now += upstreams.REREGISTRATION_S + 0.01
        for id_ in ids[:4]:
            self.registry.apply([removal(id_, 2)])
            self.assertNotIn(id_, self.usable())
        self.registry.record_store_recovery()
        self.registry.apply([removal(ids[4], 2)])
        self.assertEqual(ids[5:], self.usable())

    def test_lapse_of_a_small_service_is_delayed_beside_a_large_one(self) -> None:
        self.register(9)
        other = dataclasses.replace(make_upstream("v", 1, port=20), service="till")
        self.registry.apply([other])
        self.registry.record_store_recovery()
        self.registry.apply([removal("v", 2)])
        self.assertIn("v", self.usable())

    def test_reregistration_cancels_a_delayed_removal(self) -> None:
        self.registry.apply([make_upstream("u", 1)])
        self.registry.record_store_recovery()
        self.registry.apply([removal("u", 2), make_upstream("u", 3)])
        self.now += upstreams.REREGISTRATION_S + 0.01
        self.registry.expire()
        self.assertEqual(["u"], self.usable())

    def test_draining_upstream_is_removed_immediately_after_store_recovery(self) -> None:
        self.registry.apply([make_upstream("u", 1, draining=True)])
        self.registry.record_store_recovery()
        self.registry.apply([removal("u", 2)])
        self.assertEqual({}, self.registry.upstreams)

    def test_complete_listing_removes_unlisted_upstreams(self) -> None:
        self.registry.apply([make_upstream("u", 1), make_upstream("v", 2, port=2)])
        self.registry.replace([make_upstream("v", 2, port=2)])
        self.assertEqual(["v"], self.usable())
