"""Tests of request parsing and responses on connections of callers, with fake transports."""

import asyncio
import unittest
from unittest import mock

from waxwingspool.catalog import routes
from waxwingspool.observe import counters, eventlog
from waxwingspool.proxy import body, caller


class FakeTransport:
    """A transport that records the written data."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = False
        self.pause_reading = mock.Mock()
        self.resume_reading = mock.Mock()
        self.set_write_buffer_limits = mock.Mock()
        self.get_write_buffer_size = lambda: len(self.data)

    def write(self, data: bytes) -> None:
        self.data += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def is_closing(self) -> bool:
        return self.closed


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.requests: list[caller.Request] = []
        self.transport = FakeTransport()

    async def handle(self, connection: caller.Connection, request: caller.Request) -> None:
        self.requests.append(request)
        await request.body.wait_for_data(1 << 30)
        connection.respond(request, 200, "done", [])

    def connect(self, limits: routes.Limits | None = None, is_stopping: bool = False):
        connection = caller.Connection(
            self.handle, lambda: limits or routes.Limits(), lambda: is_stopping, set()
        )
        connection.connection_made(self.transport)
        self.addCleanup(connection.connection_lost, None)
        return connection

    async def feed(self, data: bytes, limits: routes.Limits | None = None) -> bytes:
        connection = self.connect(limits)
        connection.data_received(data)
        for _ in range(10):
            await asyncio.sleep(0)
        return self.transport.data

    async def test_caller_that_reads_slowly_is_not_taken_for_one_that_does_not(self) -> None:
        sizes = iter([300, 200, 200, 200])
        self.transport.get_write_buffer_size = lambda: next(sizes)
        connection = self.connect(routes.Limits(idle_timeout_s=0.01))
        connection._drain_waiter = asyncio.get_running_loop().create_future()
        self.assertFalse(await connection._is_read())
        self.assertEqual([], list(sizes))

    async def test_complete_request_is_parsed(self) -> None:
        data = b"POST /a/b?c=d HTTP/1.1\r\nHost: A.example:80\r\nContent-Length: 3\r\n\r\nabc"
        response = await self.feed(data)
        (request,) = self.requests
        self.assertEqual((request.host, request.path), ("a.example", "/a/b"))
        self.assertEqual(request.target, b"/a/b?c=d")
        self.assertEqual(request.body.read_available(), b"abc")
        self.assertIn(b"200 OK", response)
        self.assertFalse(self.transport.closed)

    async def test_pipelined_requests_are_processed_in_order(self) -> None:
        template = b"GET /a/%d HTTP/1.1\r\nHost: a\r\n\r\n"
        response = await self.feed(template % 1 + template % 2)
        self.assertEqual([r.path for r in self.requests], ["/a/1", "/a/2"])
        self.assertEqual(response.count(b"200 OK"), 2)

    async def test_request_with_upgrade_header_gets_one_response_and_keeps_its_body(self) -> None:
        upgrade = b"Host: a\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        first = b"GET /a/1 HTTP/1.1\r\n" + upgrade + b"\r\n"
        second = b"POST /a/2 HTTP/1.1\r\n" + upgrade + b"Content-Length: 3\r\n\r\nabc"
        last = b"POST /a/3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        last += b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n3\r\ndef\r\n0\r\n\r\n"
        data = first + second + last
        for step in (1, 7, len(data)):
            with self.subTest(step=step):
                self.requests, self.transport = [], FakeTransport()
                connection = self.connect()
                for start in range(0, len(data), step):
                    connection.data_received(data[start : start + step])
                    await asyncio.sleep(0)
                for _ in range(20):
                    await asyncio.sleep(0)
                bodies = [request.body.read_available() for request in self.requests]
                self.assertEqual([b"", b"abc", b"def"], bodies)
                self.assertEqual(3, self.transport.data.count(b"HTTP/1.1 200 OK"))
                self.assertNotIn(b" 400 ", self.transport.data)

    async def test_white_space_after_a_header_value_is_not_part_of_it(self) -> None:
        await self.feed(b"GET /a/ HTTP/1.1\r\nHost: a \t\r\nX-Request-Id: r1 \r\n\r\n")
        (request,) = self.requests
        self.assertEqual("a", request.host)
        self.assertEqual([(b"host", b"a"), (b"x-request-id", b"r1")], request.headers)

    async def test_request_smuggling_vectors_are_rejected(self) -> None:
        start = b"POST /a/ HTTP/1.1\r\n"
        host = b"Host: a\r\n"
        cases = {
            "length and chunks": start
            + host
            + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "two lengths": start + host + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
            "signed length": start + host + b"Content-Length: +3\r\n\r\nabc",
            "folded header": start + host + b"X: a\r\n b\r\n\r\n",
            "bare line feed": start + b"Host: a\nX: b\r\n\r\n",
            "bare carriage return": start + host + b"X: b\rc\r\n\r\n",
            "space before the colon": start + b"Host : a\r\n\r\n",
            "two hosts": start + host + host + b"\r\n",
            "no host": start + b"\r\n",
            "absolute target": b"GET http://a/b HTTP/1.1\r\n" + host + b"\r\n",
            "fragment": b"GET /a#b HTTP/1.1\r\n" + host + b"\r\n",
            "tunnel": b"CONNECT a:1 HTTP/1.1\r\n" + host + b"\r\n",
            "tunnel to a path": b"CONNECT /a HTTP/1.1\r\n" + host + b"\r\n",
            "other coding": start + host + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.transport = FakeTransport()
                response = await self.feed(data)
                self.assertTrue(response.startswith(b"HTTP/1.1 400 "), response)
                self.assertTrue(self.transport.closed)
        self.assertEqual([], self.requests)

    async def test_body_with_invalid_chunk_size_fails(self) -> None:
        data = b"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n"
        await self.feed(data)
        for request in self.requests:
            self.assertFalse(request.body.complete)
            self.assertTrue(request.body.failed)

    async def test_head_or_body_above_size_limit_is_rejected(self) -> None:
        limits = routes.Limits(max_header_bytes=200, max_body_bytes=10)
        large_head = b"GET /a/ HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 300
        self.assertIn(b" 431 ", await self.feed(large_head, limits))
        self.transport = FakeTransport()
        large_body = b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n"
        self.assertIn(b" 413 ", await self.feed(large_body, limits))

    async def test_failure_of_our_own_while_parsing_is_not_told_as_the_callers(self) -> None:
        with (
            mock.patch.object(body, "Body", side_effect=RuntimeError("broken")),
            mock.patch.object(eventlog, "event") as event,
        ):
            response = await self.feed(b"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"HTTP/1.1 503 ", response)
        event.assert_any_call("connection.failed", error="RuntimeError('broken')")

    async def test_rejection_is_logged_with_its_inputs_and_counted(self) -> None:
        limits = routes.Limits(max_body_bytes=10)
        connection = caller.Connection(
            self.handle, lambda: limits, lambda: False, set(), b"x-id", lambda: {"version": 7}
        )
        connection.connection_made(self.transport)
        self.addCleanup(connection.connection_lost, None)
        head = b"POST /a/ HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n"
        with mock.patch.object(eventlog, "event") as event, mock.patch.object(counters, "count"):
            connection.data_received(head + b"Content-Length: 11\r\n\r\n")
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            counters.count.assert_called_once_with(mock.ANY, service="own", status="413")
        (call,) = event.call_args_list
        self.assertEqual(("request.rejected",), call.args)
        fields = ("id", "status", "host", "path", "length", "body_limit", "version")
        values = tuple(call.kwargs[field] for field in fields)
        self.assertEqual((b"r1", 413, b"a", b"/a/", b"11", 10, 7), values)

    async def test_invalid_body_is_logged_with_the_id_of_its_request(self) -> None:
        data = b"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd"
        with mock.patch.object(eventlog, "event") as event:
            await self.feed(data)
        (call,) = (c for c in event.call_args_list if c.args == ("request.rejected",))
        self.assertEqual((b"/a/", 3), (call.kwargs["path"], call.kwargs["body_bytes"]))

    async def test_body_keeps_the_limit_that_its_request_was_admitted_under(self) -> None:
        limits = [routes.Limits(max_body_bytes=100)]
        connection = caller.Connection(self.handle, lambda: limits[-1], lambda: False, set())
        connection.connection_made(self.transport)
        self.addCleanup(connection.connection_lost, None)
        head = b"POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\n"
        for data in (head, b"x" * 20):
            connection.data_received(data)
            limits.append(routes.Limits(max_body_bytes=10))
            for _ in range(10):
                await asyncio.sleep(0)
        self.assertIn(b"HTTP/1.1 200 OK", self.transport.data)
        self.assertTrue(self.requests[0].body.complete)

    async def test_head_that_arrives_during_a_response_is_not_late(self) -> None:
        release = asyncio.Event()

        async def handle(connection: caller.Connection, request: caller.Request) -> None:
            await release.wait()
            connection.respond(request, 200, "done", [])

        limits = routes.Limits(header_timeout_s=0.0)
        connection = caller.Connection(handle, lambda: limits, lambda: False, set())
        connection.connection_made(self.transport)
        self.addCleanup(connection.connection_lost, None)
        head = b"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n"
        for data in (head + head[:10], head[10:]):
            connection.data_received(data)
            for _ in range(10):
                await asyncio.sleep(0)
        release.set()
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertEqual(2, self.transport.data.count(b"HTTP/1.1 200 OK"))

    async def test_connection_is_closed_after_response_while_stopping(self) -> None:
        connection = self.connect(is_stopping=True)
        connection.data_received(b"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")
        for _ in range(10):
            await asyncio.sleep(0)
        self.assertIn(b"connection: close", self.transport.data)
        self.assertTrue(self.transport.closed)

    async def test_reading_continues_while_request_is_processed(self) -> None:
        # Only a read detects that the caller has disconnected.
        release = asyncio.Event()

        async def wait_for_release(connection: caller.Connection, request: caller.Request) -> None:
            await release.wait()

        connection = caller.Connection(wait_for_release, routes.Limits, lambda: False, set())
        connection.connection_made(self.transport)
        connection.data_received(b"GET /a/ HTTP/1.1\r\nHost: a\r\n\r\n")
        await asyncio.sleep(0)
        self.transport.pause_reading.assert_not_called()
        connection.connection_lost(None)
        self.assertTrue(connection.connection_closed.done())
        release.set()
