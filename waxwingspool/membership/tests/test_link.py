"""Tests of the RPC link between balancers."""

import unittest

from standins import site
from waxwingspool import exceptions
from waxwingspool.membership import link, peer_pb2


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, protocol=link.PROTOCOL):
        """Start a peer that responds with a protocol version; return its address and a client."""

        async def exchange(digest):
            return peer_pb2.Digest(protocol=protocol, sender="peer", config_version=3)

        address = f"127.0.0.1:{site.free_port('127.0.0.1')}"
        server = await link.serve(address, exchange, lambda hashes: dict.fromkeys(hashes, b"x"))
        self.addAsyncCleanup(server.stop, 0)
        client = link.grpc_link()
        self.addAsyncCleanup(client.close)
        return address, client

    async def test_the_digest_and_the_blobs_of_a_peer_are_returned(self):
        address, client = await self.start()
        reply = await client.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))
        self.assertEqual(3, reply.config_version)
        self.assertEqual({"h": b"x"}, await client.fetch_blobs(address, ["h"]))

    async def test_a_request_with_another_protocol_version_is_rejected(self):
        address, client = await self.start()
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "FAILED_PRECONDITION"):
            await client.exchange(address, peer_pb2.Digest(protocol=99))

    async def test_a_response_with_another_protocol_version_is_rejected(self):
        address, client = await self.start(protocol=99)
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "uses protocol version 99"):
            await client.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))

    async def test_a_peer_that_refuses_connections_is_unavailable(self):
        client = link.grpc_link()
        self.addAsyncCleanup(client.close)
        with self.assertRaises(exceptions.PeerUnavailable):
            await client.exchange("127.0.0.1:9", peer_pb2.Digest(protocol=link.PROTOCOL))
