"""What responses and health checks tell about rate limits, over loopback sockets."""

import asyncio
import contextlib
import unittest
from unittest import mock

from waxwingspool.catalog import upstreams
from waxwingspool.fleet import probes
from waxwingspool.observe import eventlog
from waxwingspool.platform import headers
from waxwingspool.proxy import body, caller, exchange, pool

SIGNED = b"X-Server-Signature: s\r\nX-Request-Id: r1\r\n"
NOT_RUN = b"X-Not-Executed: 1\r\nX-Request-Id: r1\r\n"
NOTHING = "nothing"
# Status and headers of a response, and the limit that it tells: a rate, None for none, or nothing.
RESPONSES = (
    (b"200 OK", SIGNED + b"Server-Limit: 2.2\r\n", 2.2),
    (b"200 OK", SIGNED, None),
    (b"500 No", SIGNED + b"Server-Limit: 1\r\n", 1.0),
    (b"503 No", NOT_RUN + b"Server-Limit: 1\r\n", 1.0),
    (b"200 OK", SIGNED + b"Server-Limit: 3\r\nServer-Limit: 1\r\n", 1.0),
    (b"200 OK", SIGNED + b"Server-Limit: 0\r\n", 0.0),
    # A refusal without the header need not mean that the limit has ended.
    (b"503 No", NOT_RUN, NOTHING),
    # Another upstream has got the address.
    (b"421 No", b"X-Request-Id: r1\r\nServer-Limit: 1\r\n", NOTHING),
    (b"200 OK", b"X-Request-Id: r1\r\nServer-Limit: 1\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: -1\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: nan\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: inf\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: 1e400\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: many\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: \xff\xb2\r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: \r\n", NOTHING),
    (b"200 OK", SIGNED + b"Server-Limit: " + b"9" * 5000 + b"\r\n", NOTHING),
)


class LimitHeaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.response = b""
        self.writers: list[asyncio.StreamWriter] = []
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.target = upstreams.Upstream("u1", "tags", address, "a", 4, False, 0.0, 0, 1)
        self.pool = pool.Pool("127.0.0.1", headers.HEADER_NAMES.request_id)
        patcher = mock.patch.object(eventlog, "event")
        self.event = patcher.start()
        self.addCleanup(patcher.stop)

    async def asyncTearDown(self) -> None:
        self.pool.close()
        self.server.close()
        for writer in self.writers:
            writer.close()
            with contextlib.suppress(ConnectionError):
                await writer.wait_closed()

    async def answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.response)

    async def send(self) -> exchange.Result:
        stream = body.Body(mock.Mock(), mock.Mock())
        stream.finish()
        now = asyncio.get_running_loop().time()
        fields = [(b"x-request-id", b"r1")]
        request = caller.Request(b"GET", b"/t/x", "/t/x", "a", fields, stream, 0, now, True, 0)
        attempt = exchange.Attempt(request, b"", self.target, now + 60.0, mock.Mock())
        return await exchange.send(attempt, self.pool, headers.HEADER_NAMES)

    async def test_only_an_upstreams_own_readable_limit_counts(self) -> None:
        for status, fields, told in RESPONSES:
            with self.subTest(status=status, fields=fields[:80]):
                head = b"HTTP/1.1 " + status + b"\r\n" + fields
                self.response = head + b"Content-Length: 0\r\n\r\n"
                started_at = asyncio.get_running_loop().time()
                limit = (await self.send()).limit
                if told == NOTHING:
                    self.assertIsNone(limit)
                    continue
                self.assertEqual((told, "r1"), (limit.rate, limit.request_id))
                self.assertLessEqual(started_at, limit.sent_at)
                self.assertLess(limit.sent_at, limit.received_at)

    async def test_limit_that_cannot_be_read_is_logged_in_few_characters(self) -> None:
        value = b"9" * 5000
        self.response = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Server-Limit: " + value + b"\r\n"
        self.response += b"Content-Length: 0\r\n\r\n"
        await self.send()
        self.assertEqual("upstream.limit.unreadable", self.event.call_args.args[0])
        self.assertLess(len(str(self.event.call_args.kwargs["error"])), 100)

    async def probe(self, fields: bytes) -> mock.Mock:
        """Return the slot manager after some health checks with these response headers."""
        load = b"X-Server-Load: 1,0,4,100\r\n"
        self.response = b"HTTP/1.1 200 OK\r\n" + load + fields + b"Content-Length: 0\r\n\r\n"
        slot_manager = mock.Mock()
        probed = asyncio.Event()
        slot_manager.record_probe.side_effect = lambda *_: probed.set()
        prober = probes.Prober(
            "127.0.0.1", slot_manager, lambda service: "/health", headers.HEADER_NAMES
        )
        task = asyncio.create_task(prober._probe(self.target))
        await probed.wait()
        task.cancel()
        await asyncio.wait((task,))
        return slot_manager

    async def test_health_check_tells_the_limit(self) -> None:
        slot_manager = await self.probe(b"X-Instance-Id: u1\r\nServer-Limit: 2\r\n")
        target, limit = slot_manager.record_probed_limit.call_args.args
        self.assertEqual((self.target, 2.0, True), (target, limit.rate, limit.probe))

    async def test_health_check_that_another_upstream_answers_tells_nothing(self) -> None:
        slot_manager = await self.probe(b"X-Instance-Id: u2\r\nServer-Limit: 2\r\n")
        slot_manager.record_probed_limit.assert_not_called()

    async def test_unreadable_load_does_not_end_the_health_checks(self) -> None:
        self.response = b"HTTP/1.1 200 OK\r\nX-Server-Load: nan,0,4\r\nContent-Length: 0\r\n\r\n"
        slot_manager = mock.Mock()
        checks = iter(range(100))

        def may_probe(target: upstreams.Upstream) -> bool:
            if next(checks) == 2:
                load = b"X-Server-Load: 1,0,4,100\r\n"
                self.response = b"HTTP/1.1 200 OK\r\n" + load + b"Content-Length: 0\r\n\r\n"
            return True

        probed = asyncio.Event()
        slot_manager.may_probe.side_effect = may_probe
        slot_manager.record_probe.side_effect = lambda *_: probed.set()
        prober = probes.Prober(
            "127.0.0.1", slot_manager, lambda service: "/health", headers.HEADER_NAMES
        )
        task = asyncio.create_task(prober._probe(self.target))
        async with asyncio.timeout(10.0):
            await probed.wait()
        task.cancel()
        await asyncio.wait((task,))
