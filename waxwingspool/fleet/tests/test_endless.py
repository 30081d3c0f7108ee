"""A store and upstreams that answer calls and probes without end, on a virtual clock."""

import asyncio
import unittest
from unittest import mock

from standins import virtual
from waxwingspool import exceptions
from waxwingspool.catalog import upstreams
from waxwingspool.fleet import probes, store
from waxwingspool.fleet.tests import test_tables
from waxwingspool.platform import headers
from waxwingspool.proxy import upstream
from waxwingspool.proxy.tests import test_endless

MAX_CONNECTIONS = 100
UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
MEBIBYTE = b"x" * 1024 * 1024
PAGE = b'{"ver": 1, "rows": [{"key": "a", "ver": 1, "value": "%b"}], "has-more": true}'


class EndlessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = virtual.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.addCleanup(self.loop.shutdown)
        patcher = mock.patch.object(upstream, "connect", self.connect)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.transports: list[test_endless.UpstreamTransport] = []

    async def connect(self, *_: object) -> upstream.Connection:
        if len(self.transports) == MAX_CONNECTIONS:
            raise OSError("no end of connections")
        connection = upstream.Connection(None)
        self.transports.append(test_endless.UpstreamTransport(connection, self.script))
        connection.connection_made(self.transports[-1])
        return connection

    def get_listing(self) -> str:
        """Request a listing and return why it failed."""
        client = store.StoreClient(test_tables.make_settings())
        with self.assertRaises(exceptions.StoreUnavailable) as caught:
            self.loop.run_until_complete(client.get_listing("servers"))
        return str(caught.exception)

    def test_endless_response_of_store_is_cut_off(self) -> None:
        self.script = test_endless.Script(UNFRAMED_HEAD, MEBIBYTE, 0.001, pieces=64)
        self.assertIn(f"over {16 * len(MEBIBYTE)} bytes", self.get_listing())
        self.assertIsNotNone(self.transports[0].closed_at)

    def test_endless_listing_of_store_is_cut_off(self) -> None:
        page = PAGE % MEBIBYTE
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(page)
        self.script = test_endless.Script(head + page)
        self.assertIn(f"over {32 * len(MEBIBYTE)} bytes", self.get_listing())
        self.assertEqual(len(self.transports), 32)

    def test_endless_listing_of_small_rows_is_cut_off(self) -> None:
        # Guards against rows that take many times the memory of the bytes that were received.
        count = 25_000
        rows = b",".join([b'{"key":"a","ver":1}'] * count)
        page = b'{"ver": 1, "rows": [%b], "has-more": true}' % rows
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(page)
        self.script = test_endless.Script(head + page)
        self.assertIn("rows", self.get_listing())
        self.assertEqual(len(self.transports), 3)

    def test_endless_response_to_probe_counts_as_failed(self) -> None:
        target = upstreams.Upstream("u1", "tags", ("10.0.0.1", 1), "a", 4, False, 0.0, 0, 1)
        for start in (UNFRAMED_HEAD, b"HTTP/1.1 200 "):
            slot_manager = mock.Mock(active_upstreams=lambda window_s: [target])
            prober = probes.Prober(
                "127.0.0.1", slot_manager, lambda service: "/health", headers.HEADER_NAMES
            )
            self.transports.clear()
            self.script = test_endless.Script(start, MEBIBYTE[: 64 * 1024], 0.001)
            probing = self.loop.create_task(prober.run())
            self.loop.advance(5.0)
            probing.cancel()
            self.loop.advance(0.1)
            self.assertGreater(slot_manager.record_failed_probe.call_count, 5)
            slot_manager.record_probe.assert_not_called()
            for transport in self.transports:
                self.assertIsNotNone(transport.closed_at)
                self.assertLess(transport.sent_bytes, len(MEBIBYTE))
