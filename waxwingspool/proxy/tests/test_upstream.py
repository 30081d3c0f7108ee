"""Answers of upstreams, byte by byte, without sockets."""

import unittest
from unittest import mock

from waxwingspool.proxy import upstream

ID = b"x-id"


def answer(request_id: bytes, data: bytes, *headers: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [b"HTTP/1.1 200 OK", b"X-Id: " + request_id, *headers]
    lines.append(b"Content-Length: %d" % len(data))
    return b"\r\n".join(lines) + b"\r\n\r\n" + data


class Transport(mock.Mock):
    """Remembers whether it was aborted."""

    def is_closing(self) -> bool:
        return self.abort.called


class UpstreamConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.transport = Transport()

    def begin(self, request_id: bytes = b"one") -> upstream.Connection:
        connection = upstream.Connection(ID)
        connection.connection_made(self.transport)
        connection.begin(b"GET / HTTP/1.1\r\n\r\n", request_id)
        return connection

    async def test_whole_answer_leaves_the_connection_usable(self) -> None:
        connection = self.begin()
        connection.data_received(answer(b"one", b"abc"))
        response = await connection.response()
        self.assertTrue(response.body.complete)
        self.assertEqual(response.body.take(), b"abc")
        self.assertTrue(connection.finish())
        self.assertTrue(connection.usable)

    async def test_late_extra_answer_is_skipped_and_the_own_one_is_whole(self) -> None:
        connection = self.begin(b"two")
        connection.data_received(answer(b"one", b"late") + answer(b"two", b"own"))
        response = await connection.response()
        self.assertEqual(response.body.take(), b"own")
        self.assertTrue(response.body.complete)
        self.assertFalse(connection.finish())

    async def test_bytes_after_the_answer_spoil_the_connection(self) -> None:
        connection = self.begin()
        connection.data_received(answer(b"one", b"abc") + answer(b"one", b"again"))
        response = await connection.response()
        self.assertEqual(response.body.take(), b"abc")
        self.assertFalse(connection.finish())

    async def test_bytes_on_an_idle_connection_spoil_it(self) -> None:
        connection = self.begin()
        connection.data_received(answer(b"one", b"abc"))
        await connection.response()
        connection.finish()
        connection.data_received(b"HTTP/1.1 200 OK\r\n")
        self.assertFalse(connection.usable)

    async def test_cut_answer_with_a_length_is_not_complete(self) -> None:
        connection = self.begin()
        connection.data_received(answer(b"one", b"abcdef")[:-2])
        response = await connection.response()
        connection.eof_received()
        connection.connection_lost(None)
        self.assertFalse(response.body.complete)
        self.assertTrue(response.body.failed)

    async def test_unframed_answer_is_complete_at_its_end_but_not_after_a_reset(self) -> None:
        for orderly in (True, False):
            connection = self.begin()
            connection.data_received(b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nabc")
            response = await connection.response()
            if orderly:
                connection.eof_received()
            connection.connection_lost(None if orderly else ConnectionResetError())
            self.assertEqual(response.body.complete, orderly)
            self.assertEqual(response.body.failed, not orderly)

    async def test_bytes_that_are_no_answer_break_the_exchange(self) -> None:
        connection = self.begin()
        connection.data_received(b"\x00\x01garbage\r\n\r\n")
        with self.assertRaises(upstream.Broken):
            await connection.response()

    async def test_close_before_the_answer_breaks_the_exchange(self) -> None:
        connection = self.begin()
        connection.connection_lost(None)
        with self.assertRaises(upstream.Broken) as caught:
            await connection.response()
        self.assertEqual(caught.exception.fault, upstream.Fault.CLOSED)

    async def test_connection_close_is_not_used_again(self) -> None:
        connection = self.begin()
        connection.data_received(answer(b"one", b"abc", b"Connection: close"))
        await connection.response()
        self.assertFalse(connection.finish())
