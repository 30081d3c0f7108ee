"""What callers get for the answers of upstreams, over loopback sockets."""

import asyncio
import itertools
import unittest
from unittest import mock

from waxwingspool.catalog import routes, upstreams
from waxwingspool.dispatch import budget
from waxwingspool.fleet import frames, slots
from waxwingspool.platform import headers
from waxwingspool.proxy import caller, forward, pool

SIGNED = b"X-Server-Signature: s\r\nX-Request-Id: %b\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\nX-Request-Id: %b\r\n"
# Name of an answer, its bytes with the request's id for %b, and the status that the caller gets.
ANSWERS = (
    ("success", b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nhi", 200),
    ("own 404", b"HTTP/1.1 404 No\r\n" + SIGNED + b"Content-Length: 2\r\n\r\nhi", 404),
    ("own 304", b"HTTP/1.1 304 No\r\n" + SIGNED + b"\r\n", 304),
    ("without length", b"HTTP/1.1 400 No\r\n" + SIGNED + b"Connection: close\r\n\r\nhi", 400),
    ("late extra", b"HTTP/1.1 404 No\r\n" + SIGNED + b"Content-Length: 0\r\n\r\n" * 2, 404),
    ("404 without proof", b"HTTP/1.1 404 No\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n", 502),
    ("302 without proof", b"HTTP/1.1 302 No\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n", 502),
    ("truncated 404", b"HTTP/1.1 404 No\r\n" + SIGNED + b"Content-Length: 9\r\n\r\nhi", 502),
    ("cut head", b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Le", 502),
    ("encoded 404", b"HTTP/1.1 404 No\r\n" + SIGNED + b"Content-Encoding: br\r\n\r\n", 502),
    ("400 not run", b"HTTP/1.1 400 No\r\n" + NOT_RUN + b"Content-Length: 0\r\n\r\n", 503),
    ("429 not run", b"HTTP/1.1 429 No\r\n" + NOT_RUN + b"Content-Length: 0\r\n\r\n", 503),
    ("misdirected", b"HTTP/1.1 421 No\r\nX-Request-Id: %b\r\nContent-Length: 0\r\n\r\n", 503),
    ("no answer", b"\x00\x01\r\n\r\n", 502),
)
# Above the back-pressure mark and above what socket buffers hold.
LARGE_BODY = bytes(8 * 1024 * 1024)


class ResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.answers = dict((name, answer) for name, answer, _ in ANSWERS)
        self.upstream = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        address = self.upstream.sockets[0].getsockname()
        target = upstreams.Upstream("u1", "tags", address, "a", 4, False, 0.0, 0, 1)
        parts = (routes.WeightedService("tags", 1.0),)
        kind = routes.Kind.NON_IDEMPOTENT
        route = routes.Route("r", "a", "/t/", kind, parts, 60.0, 60.0, 1, 1)
        limits = routes.Limits()
        table = routes.build_route_table(1, limits, [routes.Service("tags", "/h", 9)], [route])
        keys = itertools.count()

        async def acquire(*_: object) -> slots.Slot:
            request = frames.SlotRequest("tags", next(keys), "a", 60, 60, 1, 0, (), False, False)
            return slots.Slot(request.key, "tags", target, 60.0, "127.0.0.1", request)

        self.pool = pool.Pool("127.0.0.1", headers.HEADER_NAMES.request_id)
        forwarder = forward.Forwarder(
            mock.Mock(route_table=table, balancer_count=1),
            mock.Mock(acquire=acquire),
            self.pool,
            headers.HEADER_NAMES,
            lambda: budget.RetryBudget(0.2, 50.0, 10.0, float("-inf")),
            mock.Mock(pick=lambda route: "tags"),
            lambda: 0.0,
            lambda objective_s: True,
        )
        connections: set[caller.Connection] = set()
        self.balancer = await asyncio.get_running_loop().create_server(
            lambda: caller.Connection(forwarder.handle, lambda: limits, lambda: False, connections),
            "127.0.0.1",
        )

    async def asyncTearDown(self) -> None:
        self.pool.close()
        for server in (self.balancer, self.upstream):
            server.close()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests before their bodies are read, unless the answer ends the connection."""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                request_id = fields[b"x-request-id"]
                answer = self.answers[request_id.decode().partition(":")[0].replace("_", " ")]
                ends = b"Content-Length: 9" in answer or b"Content-Length" not in answer
                if not ends:
                    writer.write(answer.replace(b"%b", request_id))
                await reader.readexactly(int(fields[b"content-length"]))
                if ends:
                    writer.write(answer.replace(b"%b", request_id))
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def ask(self, name: str, number: int, content: bytes) -> tuple[int, bytes, bytes]:
        """Send a request on a connection of its own and return its response."""
        reader, writer = await asyncio.open_connection(*self.balancer.sockets[0].getsockname())
        head = b"POST /t/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: %b:%d\r\nConnection: close\r\n"
        head %= (name.replace(" ", "_").encode(), number)
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(content) + content)
        response = await reader.read()
        writer.close()
        return int(response[9:12]), *response.split(b"\r\n\r\n", 1)

    async def test_only_an_upstreams_proven_refusal_reaches_the_caller_as_one(self) -> None:
        for content in (b"abc", LARGE_BODY):
            for number, (name, answer, status) in enumerate(ANSWERS):
                with self.subTest(name, size=len(content)):
                    received, head, data = await self.ask(name, number, content)
                    self.assertEqual(status, received, data)
                    proven = status not in (502, 503)
                    self.assertEqual(proven, b"x-server-signature: s" in head)
                    if proven and b"hi" in answer:
                        self.assertTrue(data in (b"hi", b"2\r\nhi\r\n0\r\n\r\n"), data)

    async def test_refusal_written_once_more_is_not_taken_for_that_of_the_next_request(
        self,
    ) -> None:
        refusal = b"HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        self.answers["without id"] = refusal
        statuses = [(await self.ask("without id", number, b"abc"))[0] for number in range(2)]
        self.assertEqual(1, self.pool.opened_connections)
        self.assertEqual([503, 502], statuses)
