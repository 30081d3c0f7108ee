"""What is believed of upstreams through outages, reuse of addresses and restarts."""

import unittest

from waxwingspool.catalog import upstreams


def entry(id_: str, version: int, address: int = 1, draining: bool = False, born: int = 0):
    return upstreams.Upstream(
        id_, "tags", ("10.0.0.1", address), "a", 4, draining, 0.0, born, version
    )


class RegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.registry = upstreams.Registry(lambda: self.now)

    def usable(self) -> list[str]:
        return sorted(upstream.id for upstream in self.registry.usable())

    def test_older_row_never_replaces_a_newer_one(self) -> None:
        self.registry.apply([entry("u", 5, draining=True), entry("u", 4)])
        self.assertEqual([], self.usable())

    def test_draining_upstream_is_not_usable(self) -> None:
        self.registry.apply([entry("u", 1), entry("v", 2, address=2)])
        self.registry.apply([entry("u", 3, draining=True)])
        self.assertEqual(["v"], self.usable())

    def test_reused_address_belongs_to_the_newer_row(self) -> None:
        self.registry.apply([entry("old", 1), entry("new", 2)])
        self.assertEqual(["new"], self.usable())

    def test_removal_takes_effect_at_once_in_calm(self) -> None:
        self.registry.apply([entry("u", 1), upstreams.Removal("u", 2)])
        self.assertEqual([], self.usable())

    def test_lapsed_upstream_is_kept_until_it_should_be_back(self) -> None:
        self.registry.apply([entry("u", 1)])
        self.registry.store_returned()
        self.registry.apply([upstreams.Removal("u", 2)])
        self.assertEqual(["u"], self.usable())
        self.now += upstreams.RETURN_S + 0.01
        self.registry.expire()
        self.assertEqual([], self.usable())

    def test_lapsed_upstream_that_is_back_stays(self) -> None:
        self.registry.apply([entry("u", 1)])
        self.registry.store_returned()
        self.registry.apply([upstreams.Removal("u", 2), entry("u", 3)])
        self.now += upstreams.RETURN_S + 0.01
        self.registry.expire()
        self.assertEqual(["u"], self.usable())

    def test_draining_upstream_is_dropped_also_after_an_outage(self) -> None:
        self.registry.apply([entry("u", 1, draining=True)])
        self.registry.store_returned()
        self.registry.apply([upstreams.Removal("u", 2)])
        self.assertEqual({}, self.registry.upstreams)

    def test_complete_listing_removes_what_it_lacks(self) -> None:
        self.registry.apply([entry("u", 1), entry("v", 2, address=2)])
        self.registry.replace([entry("v", 2, address=2)])
        self.assertEqual(["v"], self.usable())
