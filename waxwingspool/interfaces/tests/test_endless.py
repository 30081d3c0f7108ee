"""Upstreams and services of the platform that respond without end."""

import asyncio
import unittest

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import objects, table, upstream, vms

PIECE = b"x" * 64 * 1024
# Bytes that may be on the way between the two ends, beyond what the client accepts.
ON_THE_WAY_BYTES = 16 * 1024 * 1024
TIMEOUT_S = 30.0


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.sent_bytes = 0
        self.server = await asyncio.start_server(self.respond, "127.0.0.1")
        self.addCleanup(self.server.close)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)

    async def respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                writer.write(PIECE)
                await writer.drain()
                self.sent_bytes += len(PIECE)
        except ConnectionError:
            writer.close()

    def check_cut_off(self, max_bytes: int) -> None:
        self.assertLess(self.sent_bytes, max_bytes + ON_THE_WAY_BYTES)

    async def test_endless_response_to_a_probe_or_a_cancellation_is_cut_off(self) -> None:
        # Guards against control calls that read whatever an upstream sends within their timeout.
        client = upstream.http_upstream_client(None)
        self.addAsyncCleanup(client.close)
        self.assertIsNone(await client.probe(self.address))
        self.check_cut_off(upstream.MAX_CONTROL_BYTES)
        self.sent_bytes = 0
        self.assertIsNone(await client.cancel(self.address, "a1"))
        self.check_cut_off(upstream.MAX_CONTROL_BYTES)

    async def test_endless_response_of_a_service_of_the_platform_is_an_outage(self) -> None:
        url = f"http://{self.address}"
        object_store = objects.http_object_store(self.session, url, TIMEOUT_S)
        table_service = table.http_table(self.session, url, TIMEOUT_S)
        vm_list = vms.http_vm_list(self.session, url, TIMEOUT_S)
        calls = object_store.fetch("a"), table_service.read(["a"]), vm_list.read()
        for call in calls:
            self.sent_bytes = 0
            with self.assertRaises(exceptions.StoreUnavailable):
                await call
            self.check_cut_off(16 * 1024 * 1024)

    async def test_response_that_is_no_json_is_an_outage(self) -> None:
        async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n<html>")
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1")
        self.addCleanup(server.close)
        url = "http://{}:{}".format(*server.sockets[0].getsockname())
        for call in (
            table.http_table(self.session, url, TIMEOUT_S).read(["a"]),
            vms.http_vm_list(self.session, url, TIMEOUT_S).read(),
        ):
            with self.assertRaises(exceptions.StoreUnavailable):
                await call


if __name__ == "__main__":
    unittest.main()
