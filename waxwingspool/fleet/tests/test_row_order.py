"""Reports of one upstream that arrive late, by each way in which a row comes in."""

import json
import unittest
from unittest import mock

from waxwingspool.catalog import upstreams
from waxwingspool.edge import view
from waxwingspool.fleet import departures, frames, members, row_order, tables
from waxwingspool.fleet.tests import test_tables
from waxwingspool.platform import store
from waxwingspool.platform.tests import test_decoding

TABLE = "servers"
STARTED_MS = 1_700_000_000_000


def report(
    number: int,
    version: int,
    state: str = "ready",
    started_ms: int = STARTED_MS,
    epoch: int = 0,
) -> store.Row:
    """Return the row of upstream ``u`` with the report of a number, in a version of the store."""
    fields = {"seq": number, "state": state, "born": started_ms}
    entry = {**test_decoding.RegistrationTest.row, **fields}
    return store.Row("u", json.dumps(entry).encode(), test_tables.version(version, epoch))


def other_upstream(epoch: int = 0, port: int = 8080) -> store.Row:
    """Return the row of upstream ``v``, or that of another one at a port of its own."""
    entry = {**test_decoding.RegistrationTest.row, "address": f"10.0.0.8:{port}"}
    key = "v" if port == 8080 else f"v{port}"
    return store.Row(key, json.dumps(entry).encode(), test_tables.version(9, epoch))


class CopiesCase(unittest.TestCase):
    """A balancer with the tables and what it takes from them."""

    def setUp(self) -> None:
        self.now = 1000.0
        patcher = mock.patch.object(tables.time, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.usable: list[upstreams.Upstream] = []
        self.copies = self.start_balancer(self.set_usable)
        self.list_rows(report(5, 10))

    def start_balancer(self, on_upstreams) -> tables.TableCopies:
        node_settings = test_tables.make_settings()
        membership = members.Members(node_settings)
        self.departures = departures.Departures(lambda: self.view.publish_upstreams())
        self.view = view.View(node_settings, membership, on_upstreams, mock.Mock(), self.departures)
        return tables.TableCopies(
            node_settings,
            mock.Mock(),
            mock.Mock(),
            membership,
            view.TABLES,
            self.view.update,
            mock.Mock(),
            view.POSITION_READERS,
        )

    def set_usable(self, usable: list[upstreams.Upstream]) -> None:
        self.usable = usable

    def usable_ids(self) -> list[str]:
        return sorted(upstream.id for upstream in self.usable)

    def read_changes(self, *rows: store.Row) -> None:
        """Read changes from the feed of the store."""
        page = store.Page(rows, max(row.version for row in rows), False)
        self.copies._merge_rows(TABLE, page, False, tables.STORE, self.now)

    def list_rows(self, *rows: store.Row, version: int = 0, epoch: int = 0) -> None:
        """Read a listing from the store, at first or after its history is gone."""
        found = test_tables.version(version, epoch)
        if not version:
            found = max(row.version for row in rows)
        page = store.Page(rows, found, False)
        self.copies._merge_rows(TABLE, page, True, tables.STORE, self.now)

    def relay_rows(self, after: int | None, *rows: store.Row) -> None:
        """Receive rows from the reader."""
        encoded = [(row.key, row.version.number, row.value) for row in rows]
        newest = max(row.version.number for row in rows)
        frame = frames.Rows(TABLE, after, newest, encoded)
        peer_link = mock.Mock(peer=test_tables.READER_IP)
        self.assertFalse(self.copies.receive_rows(peer_link, frame))

    def check_drained(self) -> None:
        self.assertEqual([], self.usable_ids())


class LateReportTest(CopiesCase):
    def test_late_report_does_not_take_a_draining_upstream_back(self) -> None:
        # Guards against a heartbeat that was held up and undoes a later report of draining.
        self.read_changes(report(10, 11, "draining"))
        self.read_changes(report(7, 12))
        self.check_drained()

    def test_late_report_in_one_response_with_the_newer_one_is_ignored(self) -> None:
        self.read_changes(report(10, 11, "draining"), report(7, 12))
        self.check_drained()

    def test_late_report_in_a_listing_is_ignored(self) -> None:
        self.read_changes(report(10, 11, "draining"))
        self.list_rows(report(7, 12), other_upstream())
        self.assertEqual(["v"], self.usable_ids())

    def test_late_report_that_a_peer_relays_is_ignored(self) -> None:
        self.relay_rows(10, report(10, 11, "draining"))
        self.relay_rows(11, report(7, 12))
        self.relay_rows(None, report(7, 13))
        self.check_drained()

    def test_several_late_reports_are_ignored(self) -> None:
        self.read_changes(report(10, 11, "draining"))
        for number in (6, 7, 8, 9):
            self.read_changes(report(number, 6 + number))
        self.check_drained()

    def test_late_report_does_not_bring_a_removed_upstream_back(self) -> None:
        self.read_changes(report(10, 11, "draining"), test_tables.row("u", 12, None))
        self.read_changes(report(7, 13))
        self.check_drained()
        self.list_rows(report(7, 14), other_upstream())
        self.assertEqual(["v"], self.usable_ids())

    def test_late_report_after_a_removal_that_a_listing_showed_is_ignored(self) -> None:
        self.read_changes(report(10, 11, "draining"))
        self.list_rows(other_upstream(), version=12)
        self.read_changes(report(7, 13))
        self.assertEqual(["v"], self.usable_ids())

    def test_late_report_of_an_earlier_start_is_ignored(self) -> None:
        self.read_changes(report(1, 11, "draining", STARTED_MS + 5000))
        self.read_changes(report(900, 12))
        self.check_drained()

    def test_new_balancer_is_told_the_newer_report_by_a_peer(self) -> None:
        self.read_changes(report(10, 11, "draining"))
        self.read_changes(report(7, 12))
        peer_link = mock.Mock()
        self.copies.add_subscriber(peer_link, frames.Subscribe({}, 0.0))
        sent = [call.args[0] for call in peer_link.send.call_args_list]
        listing = next(frame for frame in sent if isinstance(frame, frames.Rows))
        told: list[upstreams.Upstream] = []
        new_balancer = self.start_balancer(lambda usable: told.extend(usable))
        reader_link = mock.Mock(peer="p", to_local_time=lambda sent_at, _: sent_at)
        new_balancer.receive_rows(reader_link, listing)
        self.assertEqual([], told)
        self.assertEqual(test_tables.version(12), new_balancer.versions()[TABLE])

    def test_restarted_upstream_is_used_at_once_although_its_numbers_are_lower(self) -> None:
        # Guards against an order that holds new starts back.
        self.read_changes(report(10, 11, "draining"))
        self.read_changes(report(0, 12, started_ms=STARTED_MS + 1))
        self.assertEqual(["u"], self.usable_ids())
        self.read_changes(test_tables.row("u", 13, None))
        self.read_changes(report(0, 14, started_ms=STARTED_MS + 2))
        self.assertEqual(["u"], self.usable_ids())

    def test_upstream_whose_lease_lapsed_is_used_once_it_reports_again(self) -> None:
        self.read_changes(test_tables.row("u", 11, None))
        self.read_changes(report(6, 12))
        self.assertEqual(["u"], self.usable_ids())

    def test_repeated_report_is_taken(self) -> None:
        self.read_changes(test_tables.row("u", 11, None))
        self.read_changes(report(5, 12))
        self.assertEqual(["u"], self.usable_ids())

    def test_lower_number_is_taken_once_writes_are_no_longer_held_up(self) -> None:
        # Guards against a clock that was set back, or an odd entry, that bars an upstream for good.
        self.read_changes(report(10, 11, started_ms=STARTED_MS * 2))
        self.read_changes(test_tables.row("u", 12, None))
        self.now += row_order.MAX_DELAY_S + 0.1
        self.read_changes(report(0, 13))
        self.assertEqual(["u"], self.usable_ids())

    def test_entry_of_another_writer_has_no_place_in_the_order(self) -> None:
        self.read_changes(report(2**62, 11, "asleep"))
        self.check_drained()
        self.read_changes(report(6, 12))
        self.assertEqual(["u"], self.usable_ids())

    def test_report_without_a_number_is_ordered_by_the_store(self) -> None:
        entry = {**test_decoding.RegistrationTest.row}
        del entry["seq"]
        self.read_changes(report(10, 11, "draining"))
        self.read_changes(store.Row("u", json.dumps(entry).encode(), test_tables.version(12)))
        self.assertEqual(["u"], self.usable_ids())

    def test_late_report_is_logged(self) -> None:
        self.read_changes(report(10, 11, "draining"))
        with mock.patch.object(row_order.eventlog, "event") as event:
            self.read_changes(report(7, 12))
        self.assertEqual("row.late", event.call_args_list[0].args[0])


class MemoryTest(unittest.TestCase):
    def test_number_of_remembered_keys_is_bounded(self) -> None:
        now = 0.0
        order = row_order.RowOrder(TABLE, lambda value: (1, int(value)), lambda: now)
        with mock.patch.object(row_order, "MAX_KEYS", 100):
            for number in range(1000):
                version = test_tables.version(number)
                order.replace_late([store.Row(f"u{number}", b"1", version)], {})
        self.assertEqual(100, len(order._last))
        now = row_order.MAX_DELAY_S + 0.1
        order.replace_late([], {})
        self.assertEqual(0, len(order._last))


if __name__ == "__main__":
    unittest.main()
