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
        peers = link.grpc_link()
        self.addAsyncCleanup(peers.close)
        return address, peers

    async def test_an_exchange_returns_the_digest_of_the_peer(self):
        address, peers = await self.start()
        reply = await peers.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))
        self.assertEqual(3, reply.config_version)
        self.assertEqual({"h": b"x"}, await peers.blobs(address, ["h"]))

    async def test_a_request_with_another_protocol_version_is_rejected(self):
        address, peers = await self.start()
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "FAILED_PRECONDITION"):
            await peers.exchange(address, peer_pb2.Digest(protocol=99))

    async def test_a_response_with_another_protocol_version_is_rejected(self):
        address, peers = await self.start(protocol=99)
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "uses protocol version 99"):
            await peers.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))

    async def test_a_peer_that_refuses_connections_is_unavailable(self):
        peers = link.grpc_link()
        self.addAsyncCleanup(peers.close)
        with self.assertRaises(exceptions.PeerUnavailable):
            await peers.exchange("127.0.0.1:9", peer_pb2.Digest(protocol=link.PROTOCOL))
