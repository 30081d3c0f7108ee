"""Tests of the client for upstreams, against a local server with injected faults."""

import asyncio
import contextlib
import socket
import struct
import unittest

from aiohttp import web

from standins import site
from standins import web as serving
from waxwingspool.interfaces import upstream

ATTEMPT = upstream.Attempt("a1", 4_000_000_000_000)


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, handler):
        """Start a server; return its address and a client for it."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        address = f"127.0.0.1:{site.free_port('127.0.0.1')}"
        runner = await serving.listen(app, address)
        self.addAsyncCleanup(runner.cleanup)
        client = upstream.http_upstream_client(None)
        self.addAsyncCleanup(client.close)
        return address, client

    async def send(self, handler, timeout_s=5.0, headers=()):
        """Send a request to a new server; return the result."""
        address, client = await self.start(handler)
        request = upstream.Request("GET", "/x?y=1", headers, b"")
        return await client.send(address, request, ATTEMPT, timeout_s)

    async def test_a_response_is_returned_with_its_load(self):
        async def handler(request):
            load = "running=2;queued=1;draining=0;incarnation=ab"
            response_headers = {
                "Waxwing-Attempt": request.headers["Waxwing-Attempt"],
                "Waxwing-Load": load,
            }
            return web.Response(text=request.path_qs, headers=response_headers)

        result = await self.send(handler)
        self.assertEqual((200, b"/x?y=1"), (result.status, result.body))
        self.assertEqual(upstream.Load(2, 1, False, "ab"), result.load)
        self.assertNotIn("waxwing-load", [k.lower() for k, _ in result.headers])

    async def send_to_socket(
        self, response: bytes, resets: bool, body: bytes = b""
    ) -> upstream.Result:
        """Send a request to a server that sends some bytes and ends the connection."""

        handlers: list[asyncio.Task] = []

        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            handlers.append(asyncio.current_task())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            # Until then the client has read the response.
            await asyncio.sleep(0.05)
            if resets:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
            writer.close()

        server = await asyncio.start_server(handle, "127.0.0.1")
        self.addCleanup(server.close)
        client = upstream.http_upstream_client(None)
        self.addAsyncCleanup(client.close)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        request = upstream.Request("POST", "/x", (), body)
        try:
            return await client.send(address, request, ATTEMPT, 5.0)
        finally:
            await asyncio.wait(handlers)

    async def test_part_of_a_response_without_a_length_is_indeterminate_after_a_reset(self):
        # Guards against a part of a response that is delivered as the whole.
        response = b"HTTP/1.1 200 OK\r\nWaxwing-Attempt: a1\r\n\r\npart"
        for body in (b"", b"u" * 1_000_000):
            with self.subTest(body_bytes=len(body)):
                result = await self.send_to_socket(response, True, body)
                self.assertIsInstance(result, upstream.Indeterminate)

    async def test_response_without_a_length_is_complete_once_the_connection_ends(self):
        response = b"HTTP/1.1 200 OK\r\nWaxwing-Attempt: a1\r\n\r\nwhole"
        self.assertEqual(b"whole", (await self.send_to_socket(response, False)).body)

    async def test_response_with_a_length_is_complete_although_a_reset_follows(self):
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
        self.assertEqual(b"whole", (await self.send_to_socket(response, True)).body)

    async def test_status_outside_of_the_defined_classes_is_indeterminate(self):
        # Guards against an upstream in trouble whose invalid status reaches the caller.
        for status in (b"000", b"099", b"600", b"999"):
            head = b"HTTP/1.1 %b Odd\r\nWaxwing-Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
            with self.subTest(status):
                result = await self.send_to_socket(head % status, False)
                self.assertIsInstance(result, upstream.Indeterminate)

    async def test_headers_are_forwarded_except_hop_by_hop_headers(self):
        async def handler(request):
            return web.json_response(dict(request.headers))

        request_headers = (("Host", "shop.example"), ("Connection", "close"), ("X-Own", "1"))
        result = await self.send(handler, headers=request_headers)
        self.assertIn(b'"Host": "shop.example"', result.body)
        self.assertIn(b'"X-Own": "1"', result.body)
        self.assertNotIn(b"close", result.body)

    async def test_a_response_to_another_attempt_is_indeterminate(self):
        async def handler(request):
            return web.Response(text="foreign", headers={"Waxwing-Attempt": "a0"})

        self.assertIsInstance(await self.send(handler), upstream.Indeterminate)

    async def test_a_truncated_response_is_indeterminate(self):
        async def handler(request):
            response = web.StreamResponse(headers={"Content-Length": "100"})
            await response.prepare(request)
            await response.write(b"half")
            request.transport.abort()
            return response

        self.assertIsInstance(await self.send(handler), upstream.Indeterminate)

    async def test_a_truncated_chunked_response_is_indeterminate(self):
        async def handler(request):
            response = web.StreamResponse()
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(b"half")
            request.transport.close()
            return response

        self.assertIsInstance(await self.send(handler), upstream.Indeterminate)

    async def test_a_response_that_is_too_large_is_indeterminate(self):
        async def handler(request):
            return web.Response(body=b"x" * (upstream.MAX_RESPONSE_BYTES + 1))

        self.assertIsInstance(await self.send(handler), upstream.Indeterminate)

    async def test_a_request_refused_before_processing_is_not_started(self):
        async def handler(request):
            return web.Response(status=503, headers={"Waxwing-Not-Started": "1"})

        self.assertIsInstance(await self.send(handler), upstream.NotStarted)

    async def test_a_request_on_a_refused_connection_is_not_started(self):
        client = upstream.http_upstream_client(None)
        self.addAsyncCleanup(client.close)
        request = upstream.Request("POST", "/", (), b"")
        result = await client.send("127.0.0.1:9", request, ATTEMPT, 5.0)
        self.assertIsInstance(result, upstream.NotStarted)

    async def test_a_late_response_is_not_delivered_to_the_next_request(self):
        bodies = iter(["late", "own"])

        async def handler(request):
            text = next(bodies)
            if text == "late":
                await asyncio.sleep(0.2)
            return web.Response(text=text)

        address, client = await self.start(handler)
        request = upstream.Request("GET", "/", (), b"")
        first = await client.send(address, request, ATTEMPT, 0.05)
        second = await client.send(address, request, ATTEMPT, 5.0)
        self.assertIsInstance(first, upstream.Indeterminate)
        self.assertEqual(b"own", second.body)
