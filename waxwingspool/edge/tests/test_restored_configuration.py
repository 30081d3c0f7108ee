"""The configuration around the return of the store from a copy."""

import json
from unittest import mock

from waxwingspool.edge import view
from waxwingspool.edge.tests import test_view
from waxwingspool.fleet import frames, tables
from waxwingspool.fleet.tests import test_row_order, test_tables
from waxwingspool.platform import configuration, store

TABLE, KEY = configuration.TABLE, configuration.KEY
# Epoch of the store after its return; the first listing is of epoch 0.
EPOCH = 1


def configuration_row(version: int, number: int, epoch: int = 0) -> store.Row:
    """Return the row of a version of the configuration, in a version of the store."""
    document = {**test_view.DOCUMENT, "version": version}
    return test_tables.row(KEY, number, json.dumps(document).encode(), epoch)


class RestoredConfigurationTest(test_row_order.CopiesCase):
    def setUp(self) -> None:
        super().setUp()
        patcher = mock.patch.object(view.eventlog, "event")
        self.event = patcher.start()
        self.addCleanup(patcher.stop)
        self.read(configuration_row(7, 900), complete=True)

    def read(self, row: store.Row, complete: bool) -> None:
        page = store.Page((row,), row.version, False)
        self.copies._merge_rows(TABLE, page, complete, tables.STORE, self.now)

    def version_told(self) -> int:
        """Return the version in force at a balancer that starts and follows this one."""
        link_to_it = mock.Mock(peer="10.0.0.9")
        self.copies.add_subscriber(link_to_it, frames.Subscribe({}, 0.0))
        starting = self.start_balancer(mock.Mock())
        reader_link = mock.Mock(peer="p", to_local_time=lambda sent_at, _: sent_at)
        for call in link_to_it.send.call_args_list:
            if isinstance(call.args[0], frames.Rows):
                starting.receive_rows(reader_link, call.args[0])
        return self.view.route_table.version

    def test_older_configuration_in_the_copy_does_not_replace_the_one_in_force(self) -> None:
        self.read(configuration_row(5, 10, EPOCH), complete=True)
        self.assertEqual(7, self.view.route_table.version)

    def test_balancer_that_starts_after_the_return_gets_the_configuration_in_force(self) -> None:
        # Guards against a route that was left and comes back through a balancer that starts.
        self.read(configuration_row(5, 10, EPOCH), complete=True)
        self.assertEqual(7, self.version_told())

    def test_next_configuration_is_in_force_although_its_row_has_a_lower_version(self) -> None:
        self.read(configuration_row(5, 10, EPOCH), complete=True)
        self.read(configuration_row(9, 11, EPOCH), complete=False)
        self.assertEqual(9, self.view.route_table.version)
        self.assertEqual(9, self.version_told())

    def test_row_that_is_no_configuration_does_not_hold_the_next_one_back(self) -> None:
        odd = store.Row(KEY, b'{"version": "x"}', test_tables.version(10, EPOCH))
        self.read(odd, complete=True)
        self.read(configuration_row(8, 11, EPOCH), complete=False)
        self.assertEqual(8, self.view.route_table.version)

    def test_version_that_is_lower_for_long_is_told_to_balancers_that_start(self) -> None:
        # Guards against a row that hides what the operator has written since.
        self.now += test_row_order.row_order.MAX_DELAY_S + 0.1
        self.read(configuration_row(5, 901), complete=False)
        self.assertEqual(7, self.view.route_table.version)
        self.assertEqual(5, self.version_told())
