"""Tests of the HTTP listener and of the supervisor that restarts it."""

import asyncio
import socket
import unittest

import structlog

from standins import site
from waxwingspool import exceptions
from waxwingspool.serve import listener, supervisor


async def respond_ok(scope, receive, send):
    """Respond to every request with status 200."""
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

    def occupy_address(self):
        """Return a socket that listens on the address under test."""
        listening = socket.socket()
        self.addCleanup(listening.close)
        listening.bind(("127.0.0.1", self.port))
        listening.listen()
        return listening

    async def test_address_in_use_raises_listen_error_with_address(self):
        self.occupy_address()
        with self.assertRaisesRegex(exceptions.ListenError, self.address):
            await listener.Listener(respond_ok, self.address, 1.0).run()

    async def test_supervisor_retries_until_address_is_free(self):
        occupant = self.occupy_address()
        root = supervisor.Supervisor("test")
        root.add("listener", listener.Listener(respond_ok, self.address, 1.0).run)
        supervisor_task = asyncio.create_task(root.run())
        await asyncio.sleep(0.05)
        occupant.close()
        self.assertIn(b"served", await self.send_request())
        supervisor_task.cancel()
        await asyncio.gather(supervisor_task, return_exceptions=True)

    async def send_request(self):
        """Return the response to a request, retried until the listener accepts connections."""
        async with asyncio.timeout(30):
            while True:
                try:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                except OSError:
                    await asyncio.sleep(0.02)
                    continue
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                response = await reader.read()
                writer.close()
                return response

    async def test_failed_child_is_restarted(self):
        starts = []

        async def child():
            starts.append(len(starts))
            if len(starts) < 3:
                raise ValueError("failed")
            await asyncio.Event().wait()

        root = supervisor.Supervisor("test")
        root.add("part", child)
        supervisor_task = asyncio.create_task(root.run())
        async with asyncio.timeout(30):
            while len(starts) < 3:
                await asyncio.sleep(0.01)
        supervisor_task.cancel()
        await asyncio.gather(supervisor_task, return_exceptions=True)
        self.assertEqual([0, 1, 2], starts)
