"""Upstreams around the return of the store from a copy."""

from unittest import mock

from waxwingspool.catalog import upstreams
from waxwingspool.fleet import frames
from waxwingspool.fleet.tests import test_row_order, test_tables

TABLE = test_row_order.TABLE
report, other = test_row_order.report, test_row_order.other_upstream
# Epoch of the store after its return; the first listing is of epoch 0.
EPOCH = 1


class RestoredCase(test_row_order.CopiesCase):
    """Upstream ``u`` is known from report 5, in version 10 of the store."""

    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(test_row_order.view.eventlog, "event")
        patcher.start()
        self.addCleanup(patcher.stop)

    def restore(self, *rows: test_row_order.store.Row, version: int = 10) -> None:
        """List the rows of the restored store."""
        self.list_rows(*rows, version=version, epoch=EPOCH)


class RestoredRowsTest(RestoredCase):
    def test_upstream_that_reported_draining_is_not_taken_back(self) -> None:
        # Guards against the older report in the copy, from before the upstream drained.
        self.read_changes(report(6, 900, "draining"))
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_removed_upstream_is_not_taken_back(self) -> None:
        # Guards against the row in the copy, which is the one that was removed.
        self.read_changes(test_tables.row("u", 900, None))
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())
        self.read_changes(report(5, 11, epoch=EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_removed_upstream_is_not_taken_back_if_a_listing_showed_its_removal(self) -> None:
        # Guards against removals that a balancer missed as changes.
        self.list_rows(other(), version=900)
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_removed_upstream_that_a_peer_relays_is_not_taken_back(self) -> None:
        # Guards against a reader that did not know the removal.
        self.read_changes(test_tables.row("u", 900, None))
        row = report(5, 10, epoch=EPOCH)
        frame = frames.Rows(TABLE, None, 10, [(row.key, 10, row.value)], epoch=EPOCH)
        self.copies.receive_rows(mock.Mock(peer=test_tables.READER_IP), frame)
        self.check_drained()

    def test_removed_upstream_is_taken_once_it_reports_again(self) -> None:
        self.read_changes(test_tables.row("u", 900, None))
        self.restore(report(5, 10, epoch=EPOCH))
        self.read_changes(report(6, 11, epoch=EPOCH))
        self.assertEqual(["u"], self.usable_ids())

    def test_known_report_is_replaced_by_the_next_one_although_its_version_is_lower(self) -> None:
        # Guards against a kept row that has a version of the earlier epoch.
        self.read_changes(report(7, 900))
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.read_changes(report(8, 12, "draining", epoch=EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_kept_row_reaches_followers_in_the_epoch_of_its_copy(self) -> None:
        # Guards against a follower that takes the number of the lost version for one of the epoch.
        self.read_changes(report(6, 900, "draining"))
        subscriber = mock.Mock(peer="10.0.0.7")
        self.copies.add_subscriber(subscriber, frames.Subscribe({TABLE: 900}, 0.0))
        self.restore(report(5, 10, epoch=EPOCH))
        data = bytearray(subscriber.send_encoded.call_args.args[0])
        rows = frames.decode(next(frames.split(data)))
        self.assertEqual(
            (EPOCH, [("u", 10)]), (rows.epoch, [(key, number) for key, number, _ in rows.rows])
        )

    def test_new_start_that_the_copy_lacks_takes_precedence_over_the_former_one(self) -> None:
        # Guards against a request that names a start of the upstream that has ended.
        later_ms = test_row_order.STARTED_MS + 60_000
        self.read_changes(report(1, 900, started_ms=later_ms))
        self.restore(report(5, 10, epoch=EPOCH))
        self.assertEqual([later_ms], [upstream.started_ms for upstream in self.usable])


class MissingUpstreamsTest(RestoredCase):
    def test_upstream_that_started_after_the_copy_is_kept_until_it_can_report_again(self) -> None:
        # Guards against a service without upstreams because the copy lacks their rows.
        self.restore(other(EPOCH))
        self.assertEqual(["u", "v"], self.usable_ids())
        self.now += upstreams.REREGISTRATION_S - 0.1
        self.view.expire()
        self.assertEqual(["u", "v"], self.usable_ids())
        self.read_changes(report(6, 11, epoch=EPOCH))
        self.now += 1.0
        self.view.expire()
        self.assertEqual(["u", "v"], self.usable_ids())

    def test_upstream_that_the_copy_lacks_is_dropped_if_it_does_not_report_again(self) -> None:
        self.restore(other(EPOCH))
        self.now += upstreams.REREGISTRATION_S + 0.1
        self.view.expire()
        self.assertEqual(["v"], self.usable_ids())

    def test_second_listing_does_not_end_the_time_to_report_again(self) -> None:
        # Guards against a history that is gone once more, right after the return.
        self.restore(other(EPOCH))
        self.restore(other(EPOCH), version=12)
        self.assertEqual(["u", "v"], self.usable_ids())
        self.now += upstreams.REREGISTRATION_S + 0.1
        self.view.expire()
        self.assertEqual(["v"], self.usable_ids())

    def test_upstream_that_is_removed_after_the_return_is_dropped_at_once(self) -> None:
        # Guards against a time to report again that outlasts a removal.
        third = test_row_order.other_upstream(port=8081)
        self.list_rows(report(5, 10), other(), third, version=900)
        self.restore(other(EPOCH), test_tables.row(third.key, 9, third.value, EPOCH))
        self.assertEqual(["u", "v", "v8081"], self.usable_ids())
        self.read_changes(test_tables.row("u", 12, None, EPOCH))
        self.assertEqual(["v", "v8081"], self.usable_ids())

    def test_draining_upstream_that_the_copy_lacks_is_not_kept(self) -> None:
        self.read_changes(report(6, 900, "draining"))
        self.restore(other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_upstream_at_a_reused_address_is_not_hidden_by_the_former_one(self) -> None:
        # Guards against the row of an upstream whose address belongs to another one since.
        row = report(1, 901)
        self.read_changes(test_tables.row("u", 900, None), test_tables.row("new", 901, row.value))
        self.restore(report(5, 10, epoch=EPOCH))
        self.assertEqual(["new"], self.usable_ids())


class DepartedUpstreamsTest(RestoredCase):
    """Upstream ``u`` has said in a response that it is leaving; the store does not know."""

    def setUp(self) -> None:
        super().setUp()
        (upstream,) = self.usable
        self.departures.record(upstream, "response", True)
        self.check_drained()

    def test_departed_upstream_is_not_taken_back_when_its_row_changes(self) -> None:
        # Guards against an entry that goes on saying ready.
        self.read_changes(report(6, 11))
        self.check_drained()

    def test_departed_upstream_is_not_taken_back_by_a_copy_in_which_its_row_stands(self) -> None:
        # Guards against a restored store: versions of its epoch are newer than the removal.
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())
        self.read_changes(report(6, 12, epoch=EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_departed_upstream_is_not_kept_when_the_copy_lacks_it(self) -> None:
        self.restore(other(EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_removed_and_departed_upstream_stays_away(self) -> None:
        self.read_changes(test_tables.row("u", 900, None))
        self.now += 10.0
        self.view.expire()
        self.restore(report(5, 10, epoch=EPOCH), other(EPOCH))
        self.read_changes(report(6, 12, epoch=EPOCH))
        self.assertEqual(["v"], self.usable_ids())

    def test_new_start_is_used_at_once_around_a_return(self) -> None:
        # Guards against a departure that outlives the start that it is about.
        later_ms = test_row_order.STARTED_MS + 60_000
        self.restore(report(5, 10, epoch=EPOCH))
        self.read_changes(report(1, 12, started_ms=later_ms, epoch=EPOCH))
        self.assertEqual(["u"], self.usable_ids())
