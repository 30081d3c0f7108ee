"""A balancer's request path on real sockets, before an upstream that a test plays."""

import asyncio
import socket
import unittest
from unittest import mock

from waxwingspool.catalog import routes, upstreams
from waxwingspool.dispatch import budget, split
from waxwingspool.platform import headers
from waxwingspool.proxy import caller, forward, pool, stalled
from waxwingspool.proxy.tests import test_forward

__all__ = ["SocketTestCase", "TIMEOUT_S"]

TIMEOUT_S = 30.0
MAX_BODY_BYTES = 16 * 1024 * 1024


class SocketTestCase(unittest.IsolatedAsyncioTestCase):
    """A test whose requests are accepted by ``server`` and sent to ``upstream_socket``."""

    async def asyncSetUp(self) -> None:
        self.upstream_socket = self.listen()
        self.addCleanup(self.upstream_socket.close)
        loop = asyncio.get_running_loop()
        self.forwarder = self.make_forwarder()
        self.connections: set[caller.Connection] = set()
        self.stalled_callers = stalled.StalledCallers()
        self.server = await loop.create_server(self.accept, "127.0.0.1", 0)

    async def asyncTearDown(self) -> None:
        self.server.close()
        for connection in list(self.connections):
            connection.abort()

    def accept(self) -> caller.Connection:
        return caller.Connection(
            self.forwarder.handle,
            routes.Limits,
            lambda: False,
            self.connections,
            b"x-request-id",
            stalled_callers=self.stalled_callers,
        )

    def listen(self) -> socket.socket:
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setblocking(False)
        return listener

    def make_forwarder(self) -> forward.Forwarder:
        service = (routes.WeightedService("tags", 1.0),)
        kind = routes.Kind.NON_IDEMPOTENT
        route = routes.Route("r", "a", "/t/", kind, service, TIMEOUT_S, TIMEOUT_S, 2, 1)
        services = [routes.Service("tags", "/health", 100)]
        limits = routes.Limits(max_body_bytes=MAX_BODY_BYTES)
        table = routes.build_route_table(1, limits, services, [route])
        slot_manager = mock.Mock()
        slot = test_forward.make_slot(1)
        address = self.upstream_socket.getsockname()
        slot.upstream = upstreams.Upstream("u1", "tags", address, "a", 4, False, 0.0, 0, 1)
        slot_manager.acquire = mock.AsyncMock(return_value=slot)
        return forward.Forwarder(
            mock.Mock(route_table=table, balancer_count=1),
            slot_manager,
            pool.Pool("127.0.0.1", headers.HEADER_NAMES.request_id),
            headers.HEADER_NAMES,
            lambda: budget.RetryBudget(0.2, 50.0, 10.0, float("-inf")),
            mock.Mock(spec=split.Splitter, pick=lambda route: "tags"),
            lambda: 0.0,
            lambda objective_s: True,
        )
