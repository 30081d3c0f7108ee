"""Any sequence of valid requests, however it is cut, gets exactly its own responses."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from waxwingspool.catalog import routes
from waxwingspool.proxy import body, caller
from waxwingspool.proxy.tests import test_caller

MAX_HEADER_BYTES, MAX_BODY_BYTES = 400, 300
LIMITS = (
    routes.Limits(MAX_HEADER_BYTES, MAX_BODY_BYTES),
    routes.Limits(MAX_HEADER_BYTES * 2, MAX_BODY_BYTES + 1),
)
HEADERS = (
    b"Connection: Upgrade\r\nUpgrade: h2c",
    b"Connection: keep-alive, X-Hop\r\nX-Hop: 1",
    b"Expect: 100-continue",
    b"X-Empty:",
    b"X-Text: \t a\xe9\tb \t",
    b"TE: trailers\r\nTrailer: X-T",
)
EXTENSIONS = (b"", b";a", b';a="b;\\"c"', b";a=b;c")
TRAILERS = (b"", b"X-T: 1\r\n", b"X-T:\r\nHost: other\r\n")


class PausingTransport(test_caller.FakeTransport):
    """A transport that says whether its connection reads."""

    def __init__(self) -> None:
        super().__init__()
        self.reading = True
        self.pause_reading = lambda: setattr(self, "reading", False)
        self.resume_reading = lambda: setattr(self, "reading", True)


@dataclasses.dataclass
class Message:
    """A valid request and how it is handled.

    :ivar early: whether the response is sent before the body is read.
    :ivar pipelined: whether it is sent before the previous response has arrived.
    """

    data: bytes
    body: bytes
    early: bool
    pipelined: bool


@strategies.composite
def messages(draw: strategies.DrawFn) -> Message:
    chunked, has_body = draw(strategies.booleans()), draw(strategies.booleans())
    size = draw(strategies.one_of(strategies.integers(0, 50), strategies.just(MAX_BODY_BYTES)))
    data = bytes(97 + i % 26 for i in range(size)) if has_body else b""
    headers = [b"Host: A.example \t", *draw(strategies.lists(strategies.sampled_from(HEADERS)))]
    content = data
    if chunked:
        headers.append(b"Transfer-Encoding: Chunked")
        extension = draw(strategies.sampled_from(EXTENSIONS))
        step = draw(strategies.integers(1, MAX_BODY_BYTES))
        pieces = [data[start : start + step] for start in range(0, size if has_body else 0, step)]
        content = b"".join(b"%X%b\r\n%b\r\n" % (len(p), extension, p) for p in pieces)
        content += b"0%b\r\n%b\r\n" % (extension, draw(strategies.sampled_from(TRAILERS)))
    elif has_body:
        headers.append(b"Content-Length: %d" % size)
    line = b"%b /t/x?y HTTP/1.1" % (b"POST" if has_body or chunked else b"GET")
    head = b"\r\n".join([line, *headers]) + b"\r\nX-Pad: "
    room = MAX_HEADER_BYTES - len(head) - 4
    hypothesis.assume(room >= 0)
    pad = draw(strategies.one_of(strategies.just(0), strategies.just(room)))
    head += b"p" * pad + b"\r\n\r\n"
    return Message(head + content, data, draw(strategies.booleans()), draw(strategies.booleans()))


class ValidRequestsTest(unittest.TestCase):
    @hypothesis.settings(max_examples=400, deadline=None, database=None, derandomize=True)
    @hypothesis.given(
        strategies.lists(messages(), min_size=1, max_size=4),
        strategies.lists(strategies.integers(1, 500), min_size=1, max_size=20),
        strategies.lists(strategies.sampled_from(LIMITS), min_size=1, max_size=9),
    )
    def test_valid_requests_get_their_own_responses(
        self, sent: list[Message], cuts: list[int], limits: list[routes.Limits]
    ) -> None:
        with (
            mock.patch.object(body, "HIGH_WATER_BYTES", 64),
            mock.patch.object(caller, "PIPELINE_HIGH_WATER_BYTES", 100),
        ):
            asyncio.run(self.exchange(sent, cuts, limits))

    async def exchange(
        self, sent: list[Message], cuts: list[int], limits: list[routes.Limits]
    ) -> None:
        """Send messages in pieces; with each piece, the limits in force change."""
        handled: list[bytes] = []
        routed: set[tuple[str, str]] = set()
        pieces_sent = 0

        async def handle(connection: caller.Connection, request: caller.Request) -> None:
            number = len(handled)
            handled.append(b"")
            routed.add((request.host, request.path))
            if sent[number].early:
                connection.respond(request, 200, f"number {number}", [])
                return
            while not request.body.complete or request.body.buffered_bytes:
                await request.body.wait_for_data()
                handled[number] += request.body.read_available()
                self.assertFalse(request.body.failed)
            connection.respond(request, 200, f"number {number}", [])

        transport = PausingTransport()
        connection = caller.Connection(
            handle, lambda: limits[pieces_sent % len(limits)], lambda: False, set()
        )
        connection.connection_made(transport)
        for number, item in enumerate(sent):
            if not item.pipelined:
                await self.run_until(lambda n=number: self.responses(transport, n))
            data = b"" if b"connection: close" in transport.data else item.data
            while data:
                await self.run_until(lambda: transport.reading)
                cut = cuts[pieces_sent % len(cuts)]
                connection.data_received(data[:cut])
                data = data[cut:]
                pieces_sent += 1
                if cut % 2:
                    await asyncio.sleep(0)
        await self.run_until(lambda: self.responses(transport, len(sent)))
        connection.connection_lost(None)
        self.assertEqual({("a.example", "/t/x")}, routed)
        self.check_responses(sent, handled, transport.data)

    def check_responses(self, sent: list[Message], handled: list[bytes], data: bytes) -> None:
        self.assertNotIn(b"HTTP/1.1 4", data)
        answered = data.count(b"HTTP/1.1 200 OK")
        self.assertTrue(answered == len(sent) or b"connection: close" in data, data)
        for number in range(answered):
            self.assertEqual(1, data.count(b"number %d\n" % number))
            if not sent[number].early:
                self.assertEqual(sent[number].body, handled[number])

    def responses(self, transport: PausingTransport, count: int) -> bool:
        """Whether that many responses have been sent, or no further one will be."""
        data = transport.data
        return transport.closed or b": close" in data or data.count(b"HTTP/1.1 200 OK") >= count

    async def run_until(self, condition) -> None:
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0)
        self.fail("nothing more happens")
