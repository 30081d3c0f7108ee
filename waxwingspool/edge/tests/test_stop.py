"""Requests during a planned stop, on virtual time."""

import unittest
from unittest import mock

from standins import virtual
from waxwingspool.catalog import routes
from waxwingspool.edge import process
from waxwingspool.fleet import slots
from waxwingspool.fleet.tests import test_tables
from waxwingspool.proxy.tests import test_forward

OBJECTIVE_S = 0.8


class StopTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = virtual.new_event_loop()
        self.addCleanup(self.loop.shutdown)

    def get_status_and_slot_requests(self, after_s: float) -> tuple[int, int]:
        """Return status of a request that comes during a stop, and how many slots it asked for."""
        return self.loop.run_until_complete(self.handle_during_stop(after_s))

    async def handle_during_stop(self, after_s: float) -> tuple[int, int]:
        balancer = process.Process(test_tables.make_settings())
        services = (routes.WeightedService("tags", 1.0),)
        kind = routes.Kind.NON_IDEMPOTENT
        route = routes.Route("r", "a", "/t/", kind, services, 600.0, OBJECTIVE_S, 1, 1)
        table = routes.build_route_table(
            1, routes.Limits(), [routes.Service("tags", "/h", 9)], [route]
        )
        forwarder = balancer._forwarder
        forwarder._state = mock.Mock(route_table=table, balancer_count=1)
        forwarder._slot_manager = mock.Mock()
        acquire = mock.AsyncMock(return_value=slots.Refused(0.1, "busy"))
        forwarder._slot_manager.acquire = acquire
        # A connection that sends nothing keeps the stop going until its end.
        balancer._connections.add(mock.Mock())
        stop = self.loop.create_task(balancer._stop([mock.Mock()]))
        await process.asyncio.sleep(after_s)
        connection = mock.Mock(disconnected=False)
        connection.connection_closed = self.loop.create_future()
        await forwarder.handle(connection, test_forward.make_request())
        await stop
        return connection.respond.call_args.args[1], acquire.call_count

    def test_request_late_in_the_grace_time_is_refused_and_not_passed_on(self) -> None:
        for after_s in (3.1, 4.0, 5.6):
            with self.subTest(after_s=after_s):
                self.assertEqual((503, 0), self.get_status_and_slot_requests(after_s))

    def test_request_early_in_the_grace_time_is_passed_on(self) -> None:
        self.assertEqual((503, 1), self.get_status_and_slot_requests(1.0))
