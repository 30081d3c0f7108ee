"""Timeouts of calls to the store, on virtual time."""

import asyncio
import itertools
import unittest
from collections.abc import Iterable
from unittest import mock

from standins import virtual
from waxwingspool import exceptions
from waxwingspool.fleet import store
from waxwingspool.fleet.tests import test_tables
from waxwingspool.proxy import body, upstream

PIECE_INTERVAL_S = 0.4


class SlowResponseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = virtual.new_event_loop()
        self.addCleanup(self.loop.shutdown)

    def call(self, pieces: Iterable[bytes]) -> bytes:
        """Return the response of the store, whose pieces arrive at intervals."""
        stream = body.Body(lambda: None, lambda: None)

        async def respond() -> upstream.Response:
            self.loop.create_task(feed())
            return upstream.Response(200, b"", [], stream)

        async def feed() -> None:
            for piece in pieces:
                await asyncio.sleep(PIECE_INTERVAL_S)
                stream.feed(piece)
            stream.finish()

        connection = mock.Mock(read_response=respond)
        client = store.StoreClient(test_tables.make_settings())
        client._get_connection = mock.AsyncMock(return_value=connection)
        task = self.loop.create_task(client._call(b"GET", "/", b"", 0.0))
        self.loop.advance(60.0)
        return task.result()

    def test_large_response_that_keeps_arriving_is_not_abandoned(self) -> None:
        self.assertEqual(b"x" * 10, self.call([b"x"] * 10))

    def test_response_that_stops_arriving_is_abandoned(self) -> None:
        pieces = itertools.chain([b"x"], [b""] * 10)
        with self.assertRaises(exceptions.StoreUnavailable):
            self.call(pieces)

    def test_response_that_trickles_without_end_is_abandoned(self) -> None:
        with self.assertRaises(exceptions.StoreUnavailable):
            self.call(itertools.repeat(b"x", 1000))
