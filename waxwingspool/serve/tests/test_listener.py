"""Tests of the HTTP listener and of the supervisor that keeps it."""

import asyncio
import socket
import unittest

import structlog

from standins import site
from waxwingspool import exceptions
from waxwingspool.serve import listener, supervisor


async def app(scope, receive, send):
    """Answer every request."""
    if scope["type"] == "lifespan":
        return
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b"served"})


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
        self.addCleanup(structlog.reset_defaults)
        self.port = site.free_port("127.0.0.1")
        self.address = f"127.0.0.1:{self.port}"

    def taken(self):
        """Return a socket that takes the address."""
        s = socket.socket()
        self.addCleanup(s.close)
        s.bind(("127.0.0.1", self.port))
        s.listen()
        return s

    async def test_a_taken_address_is_an_error_that_names_it(self):
        self.taken()
        with self.assertRaisesRegex(exceptions.ListenError, self.address):
            await listener.Listener(app, self.address, 1.0).run()

    async def test_the_supervisor_listens_once_the_address_is_free(self):
        taken = self.taken()
        root = supervisor.Supervisor("test")
        root.add("listener", listener.Listener(app, self.address, 1.0).run)
        running = asyncio.create_task(root.run())
        await asyncio.sleep(0.05)
        taken.close()
        self.assertIn(b"served", await self.ask())
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def ask(self):
        """Return the answer to a request, sent until somebody listens."""
        async with asyncio.timeout(30):
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                return answer

    async def test_a_part_that_fails_starts_again(self):
        starts = []

        async def part():
            starts.append(len(starts))
            if len(starts) < 3:
                raise ValueError("failed")
            await asyncio.Event().wait()

        root = supervisor.Supervisor("test")
        root.add("part", part)
        running = asyncio.create_task(root.run())
        async with asyncio.timeout(30):
            while len(starts) < 3:
                await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        self.assertEqual([0, 1, 2], starts)
