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


class AgeTest(unittest.TestCase):
    """When the store confirmed what was read, although responses wait on their way."""

    def setUp(self) -> None:
        self.loop = virtual.new_event_loop()
        self.addCleanup(self.loop.shutdown)
        self.client = store.StoreClient(test_tables.make_settings())
        self.clock_ahead_s = 500.0

    def read(
        self, answer_delay_s: float, transit_s: float, wait_s: float = 0.0, rows: str = ""
    ) -> float:
        """Return by how much a reading is taken for older than it is, in seconds."""

        async def call(*_: object) -> store._Answer:
            await asyncio.sleep(answer_delay_s)
            self.answered_at = self.loop.time()
            now_ms = (self.answered_at + self.clock_ahead_s) * 1000
            await asyncio.sleep(transit_s)
            data = b'{"ver": 7, "rows": [%b], "now-ms": %d}' % (rows.encode(), round(now_ms))
            return store._Answer(200, data, 0)

        self.client._call = call
        task = self.loop.create_task(self.client.get_changes("op", test_tables.version(6), wait_s))
        self.loop.advance(60.0)
        return self.answered_at - task.result().confirmed_at

    def test_response_that_waited_on_its_way_is_as_old_as_when_the_store_answered(self) -> None:
        self.assertAlmostEqual(0.02, self.read(0.02, 3.0), places=2)
        self.assertAlmostEqual(0.02, self.read(0.02, 0.02), places=2)
        rows = '{"key": "config", "ver": 7, "value": ""}'
        self.assertAlmostEqual(0.08, self.read(0.5, 3.0, 0.9, rows), places=2)

    def test_clock_of_the_store_is_followed_while_nothing_changes(self) -> None:
        for _ in range(60):
            self.assertAlmostEqual(0.02, self.read(0.92, 0.02, 0.9), places=2)

    def test_response_that_came_before_its_wait_was_over_is_not_taken_for_newer(self) -> None:
        self.assertGreaterEqual(self.read(0.1, 0.1, 0.9), 0.1 - 0.001)

    def test_store_whose_clock_starts_anew_is_followed(self) -> None:
        self.read(0.02, 0.02)
        for self.clock_ahead_s in (0.0, 900.0):
            self.assertAlmostEqual(0.02, self.read(0.02, 0.02), places=2)


class RoundTripTimeTest(unittest.TestCase):
    def test_round_trip_time_is_the_shortest_time_to_connect(self) -> None:
        loop = virtual.new_event_loop()
        self.addCleanup(loop.shutdown)
        client = store.StoreClient(test_tables.make_settings())
        delays_s = iter((0.2, 0.06, 0.09))

        async def connect(*_: object) -> mock.Mock:
            await asyncio.sleep(next(delays_s))
            return mock.Mock(usable=True)

        with mock.patch.object(store.upstream, "connect", connect):
            loop.run_until_complete(client.measure_rtt())
        self.assertAlmostEqual(0.06, client.rtt_s, places=3)
        self.assertEqual(1, len(client._idle))


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
        return task.result().data

    def test_large_response_that_keeps_arriving_is_not_abandoned(self) -> None:
        self.assertEqual(b"x" * 10, self.call([b"x"] * 10))

    def test_response_that_stops_arriving_is_abandoned(self) -> None:
        pieces = itertools.chain([b"x"], [b""] * 10)
        with self.assertRaises(exceptions.StoreUnavailable):
            self.call(pieces)

    def test_response_that_trickles_without_end_is_abandoned(self) -> None:
        with self.assertRaises(exceptions.StoreUnavailable):
            self.call(itertools.repeat(b"x", 1000))
