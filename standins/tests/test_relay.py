"""Tests of the relay with real connections on loopback."""

import asyncio
import unittest

from standins.deployment import relay

IP = "127.250.0.1"
SERVER_PORT, RELAY_PORT = 18100, 18400


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.accepted: asyncio.Queue = asyncio.Queue()
        server = await asyncio.start_server(
            lambda reader, writer: self.accepted.put_nowait((reader, writer)), IP, SERVER_PORT
        )
        self.relay = relay.Relay(IP, SERVER_PORT)
        relay_server = await self.relay.start(IP, RELAY_PORT)
        self.addCleanup(server.close)
        self.addCleanup(relay_server.close)
        self.reader, self.writer = await asyncio.open_connection(IP, RELAY_PORT)
        self.addCleanup(self.writer.close)
        self.server_reader, self.server_writer = await self.accepted.get()
        self.addCleanup(self.server_writer.close)
        self.writer.write(b"request")
        self.assertEqual(b"request", await self.server_reader.readexactly(7))
        self.server_writer.write(b"body")
        self.assertEqual(b"body", await self.reader.readexactly(4))

    async def test_reset_is_not_taken_for_the_end_of_a_body(self) -> None:
        self.relay.reset()
        for reader in (self.reader, self.server_reader):
            with self.assertRaises(ConnectionResetError):
                await reader.read()

    async def test_reset_by_one_end_is_not_an_orderly_close_at_the_other(self) -> None:
        relay.reset(self.server_writer)
        with self.assertRaises(ConnectionResetError):
            await self.reader.read()

    async def test_orderly_close_is_forwarded_after_the_data(self) -> None:
        data = b"x" * 1_000_000
        self.server_writer.write(data)
        self.server_writer.close()
        self.assertEqual(data, await self.reader.read())


if __name__ == "__main__":
    unittest.main()
