"""Limits on callers' requests while no configuration is known."""

import asyncio
import unittest

from waxwingspool.edge import process
from waxwingspool.fleet.tests import test_tables
from waxwingspool.proxy.tests import test_caller


class UnconfiguredLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def test_large_request_before_the_first_configuration_is_answered_503(self) -> None:
        cases = {
            "head": b"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 100_000 + b"\r\n\r\n",
            "body": b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000000\r\n\r\n",
        }
        balancer = process.Process(test_tables.make_settings())
        for name, data in cases.items():
            with self.subTest(name):
                connection = balancer._accept()
                transport = test_caller.FakeTransport()
                connection.connection_made(transport)
                for start in range(0, len(data), 20_000):
                    connection.data_received(data[start : start + 20_000])
                for _ in range(20):
                    await asyncio.sleep(0)
                connection.connection_lost(None)
                self.assertEqual(b"HTTP/1.1 503 Service Unavailable", transport.data[:32])
