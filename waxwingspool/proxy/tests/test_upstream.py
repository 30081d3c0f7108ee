"""Tests of response parsing on connections to upstreams, with fake transports."""

import asyncio
import unittest
from unittest import mock

from waxwingspool.proxy import upstream

ID_HEADER = b"x-id"
# Bytes after which a stand-in counts as sending without end.
ENDLESS_BYTES = 4 * 1024 * 1024
KIBIBYTE = b"x" * 1024
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nTransfer-Encoding: chunked\r\n\r\n"


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

    def feed_endlessly(self, connection: upstream.Connection, start: bytes, piece: bytes) -> None:
        """Feed bytes without end, and check that the connection is aborted."""
        connection.data_received(start)
        for _ in range(ENDLESS_BYTES // len(piece)):
            if self.transport.abort.called:
                return
            connection.data_received(piece)
        self.fail(f"the connection is still open after {ENDLESS_BYTES} bytes")

    async def test_endless_response_head_is_cut_off(self) -> None:
        cases = {
            "status line": (b"HTTP/1.1 200 ", KIBIBYTE),
            "header name": (b"HTTP/1.1 200 OK\r\nX", KIBIBYTE),
            "header value": (b"HTTP/1.1 200 OK\r\nX: ", KIBIBYTE),
            "header lines": (b"HTTP/1.1 200 OK\r\n", b"X: a\r\n" * 100),
            "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
            "line ends": (b"", b"\r\n" * 100),
            "responses to other requests": (b"", response_bytes(b"zero", b"late") * 100),
            "body of a response to another request": (CHUNKED_HEAD % b"zero", b"1\r\nx\r\n" * 100),
            "long body of such a response": (
                CHUNKED_HEAD % b"zero",
                b"400\r\n" + KIBIBYTE + b"\r\n",
            ),
        }
        for name, (start, piece) in cases.items():
            with self.subTest(name):
                self.transport = FakeTransport()
                connection = self.start_exchange()
                self.feed_endlessly(connection, start, piece)
                connection.connection_lost(None)
                with self.assertRaises(upstream.Broken) as caught:
                    await connection.read_response()
                self.assertEqual(caught.exception.failure, upstream.ExchangeFailure.MALFORMED)
                self.assertFalse(connection.finish())

    async def test_endless_chunk_framing_is_cut_off(self) -> None:
        start = CHUNKED_HEAD % b"one" + b"1\r\nx\r\n"
        cases = {
            "chunk size": (start, b"0" * 1024),
            "chunk extension": (start + b"1;a=", KIBIBYTE),
            "trailer value": (start + b"0\r\nX: ", KIBIBYTE),
            "trailer lines": (start + b"0\r\n", b"X: a\r\n" * 100),
            "extensions of small chunks": (start, (b"1;a=" + KIBIBYTE + b"\r\nx\r\n") * 10),
        }
        for name, (start, piece) in cases.items():
            with self.subTest(name):
                self.transport = FakeTransport()
                connection = self.start_exchange()
                self.feed_endlessly(connection, start, piece)
                response = await connection.read_response()
                self.assertTrue(response.body.failed)
                self.assertEqual(connection.failure.failure, upstream.ExchangeFailure.MALFORMED)

    async def test_line_ends_without_end_after_response_are_cut_off(self) -> None:
        connection = self.start_exchange()
        self.feed_endlessly(connection, response_bytes(b"one", b"abc"), b"\r\n" * 100)
        response = await connection.read_response()
        self.assertTrue(response.body.complete)
        self.assertEqual(response.body.read_available(), b"abc")
        self.assertFalse(connection.finish())

    async def test_body_in_single_bytes_is_accepted(self) -> None:
        connection = self.start_exchange()
        connection.data_received(CHUNKED_HEAD % b"one")
        for _ in range(40):
            connection.data_received(b"0001;a=b\r\nx\r\n" * 1000)
        connection.data_received(b"0\r\nX: " + KIBIBYTE + b"\r\n\r\n")
        response = await connection.read_response()
        self.assertTrue(response.body.complete)
        self.assertEqual(len(response.body.read_available()), 40_000)

    async def test_long_head_and_long_late_response_are_accepted(self) -> None:
        connection = self.start_exchange()
        for _ in range(3):
            connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
        late = response_bytes(b"zero", KIBIBYTE * 512)
        own = response_bytes(b"one", KIBIBYTE * 100, b"X-Long: " + KIBIBYTE * 32)
        data = late + own
        for start in range(0, len(data), 1000):
            connection.data_received(data[start : start + 1000])
        response = await connection.read_response()
        self.assertEqual(response.body.read_available(), KIBIBYTE * 100)
        self.assertTrue(response.body.complete)

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

    async def test_head_cut_off_at_any_byte_is_no_response(self) -> None:
        heads = response_bytes(b"one", b""), CHUNKED_HEAD % b"one", b"HTTP/1.1 200 OK\r\n\r\n"
        for head in heads:
            for end in range(len(head)):
                connection = self.start_exchange()
                connection.data_received(b"HTTP/1.1 103 Early Hints\r\n\r\n" + head[:end])
                connection.eof_received()
                connection.connection_lost(None)
                with self.subTest(head=head, end=end), self.assertRaises(upstream.Broken):
                    await connection.read_response()

    async def test_refusal_without_id_on_a_kept_connection_is_not_attributed(self) -> None:
        refusal = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        connection = self.start_exchange()
        connection.data_received(refusal)
        self.assertTrue((await connection.read_response()).attributed)
        self.assertTrue(connection.finish())
        connection.send_head(b"GET / HTTP/1.1\r\n\r\n", b"two")
        connection.data_received(refusal)
        self.assertFalse((await connection.read_response()).attributed)

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

    async def test_status_outside_of_the_defined_classes_is_no_response(self) -> None:
        # Guards against an upstream in trouble whose invalid status reaches the caller.
        for status in (0, 1, 99, 600, 999):
            connection = self.start_exchange()
            connection.data_received(
                b"HTTP/1.1 %03d Odd\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n" % status
            )
            reading = asyncio.ensure_future(connection.read_response())
            self.addCleanup(reading.cancel)
            for _ in range(3):
                await asyncio.sleep(0)
            with self.subTest(status), self.assertRaises(upstream.Broken) as caught:
                reading.result()
            self.assertEqual(caught.exception.failure, upstream.ExchangeFailure.MALFORMED)
            self.assertFalse(connection.usable)

    async def test_invalid_status_of_a_late_response_is_skipped(self) -> None:
        connection = self.start_exchange(b"two")
        late = b"HTTP/1.1 000 Odd\r\nX-Id: one\r\nContent-Length: 0\r\n\r\n"
        connection.data_received(late + response_bytes(b"two", b"own"))
        response = await connection.read_response()
        self.assertEqual(response.body.read_available(), b"own")
        self.assertFalse(connection.finish())

    async def test_switch_of_protocols_raises_broken(self) -> None:
        connection = self.start_exchange()
        head = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: a\r\n\r\n"
        connection.data_received(head + KIBIBYTE)
        with self.assertRaises(upstream.Broken) as caught:
            await connection.read_response()
        self.assertEqual(caught.exception.failure, upstream.ExchangeFailure.MALFORMED)
        self.assertFalse(connection.usable)

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
