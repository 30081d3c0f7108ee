"""Tests of response parsing on connections to upstreams, with fake transports."""

import asyncio
import unittest
from unittest import mock

from waxwingspool.proxy import upstream

ID_HEADER = b"x-id"


def response_bytes(request_id: bytes, data: bytes, *headers: bytes) -> bytes:
    """Return a response with a ``Content-Length``."""
    lines = [b"HTTP/1.1 200 OK", b"X-Id: " + request_id, *headers]
    lines.append(b"Content-Length: %d" % len(data))
    return b"\r\n".join(lines) + b"\r\n\r\n" + data


class FakeTransport(mock.Mock):
    """A transport that counts as closing once it was aborted."""

    def is_closing(self) -> bool:
        return self.abort.called


class UpstreamConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.transport = FakeTransport()

    def start_exchange(self, request_id: bytes = b"one") -> upstream.Connection:
        connection = upstream.Connection(ID_HEADER)
        connection.connection_made(self.transport)
        connection.send_head(b"GET / HTTP/1.1\r\n\r\n", request_id)
        return connection

    async def test_complete_response_leaves_connection_usable(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one", b"abc"))
        response = await connection.read_response()
        self.assertTrue(response.body.complete)
        self.assertEqual(response.body.read_available(), b"abc")
        self.assertTrue(connection.finish())
        self.assertTrue(connection.usable)

    async def test_late_response_to_another_request_is_skipped(self) -> None:
        connection = self.start_exchange(b"two")
        connection.data_received(response_bytes(b"one", b"late") + response_bytes(b"two", b"own"))
        response = await connection.read_response()
        self.assertEqual(response.body.read_available(), b"own")
        self.assertTrue(response.body.complete)
        self.assertFalse(connection.finish())

    async def test_white_space_after_the_request_id_is_not_part_of_it(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one \t", b"abc"))
        reading = asyncio.ensure_future(connection.read_response())
        self.addCleanup(reading.cancel)
        for _ in range(3):
            await asyncio.sleep(0)
        self.assertTrue(reading.done())

    async def test_bytes_after_response_make_connection_unusable(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one", b"abc") + response_bytes(b"one", b"again"))
        response = await connection.read_response()
        self.assertEqual(response.body.read_available(), b"abc")
        self.assertFalse(connection.finish())

    async def test_bytes_on_idle_connection_make_it_unusable(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one", b"abc"))
        await connection.read_response()
        connection.finish()
        connection.data_received(b"HTTP/1.1 200 OK\r\n")
        self.assertFalse(connection.usable)

    async def test_truncated_response_with_content_length_fails(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one", b"abcdef")[:-2])
        response = await connection.read_response()
        connection.eof_received()
        connection.connection_lost(None)
        self.assertFalse(response.body.complete)
        self.assertTrue(response.body.failed)

    async def test_close_delimited_response_completes_on_eof_and_fails_on_reset(self) -> None:
        for clean_close in (True, False):
            connection = self.start_exchange()
            connection.data_received(b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nabc")
            response = await connection.read_response()
            if clean_close:
                connection.eof_received()
            connection.connection_lost(None if clean_close else ConnectionResetError())
            self.assertEqual(response.body.complete, clean_close)
            self.assertEqual(response.body.failed, not clean_close)

    async def test_malformed_response_raises_broken(self) -> None:
        connection = self.start_exchange()
        connection.data_received(b"\x00\x01garbage\r\n\r\n")
        with self.assertRaises(upstream.Broken):
            await connection.read_response()

    async def test_close_before_response_raises_broken(self) -> None:
        connection = self.start_exchange()
        connection.connection_lost(None)
        with self.assertRaises(upstream.Broken) as caught:
            await connection.read_response()
        self.assertEqual(caught.exception.failure, upstream.ExchangeFailure.CLOSED)

    async def test_connection_with_close_header_is_not_reused(self) -> None:
        connection = self.start_exchange()
        connection.data_received(response_bytes(b"one", b"abc", b"Connection: close"))
        await connection.read_response()
        self.assertFalse(connection.finish())
