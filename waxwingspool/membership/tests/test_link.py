"""Tests of the link between balancers."""

import unittest

from standins import site
from waxwingspool import exceptions
from waxwingspool.membership import link, peer_pb2


class LinkTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, protocol=link.PROTOCOL):
        """Start a peer that answers with a protocol version; return its address and a link."""

        async def exchange(digest):
            return peer_pb2.Digest(protocol=protocol, sender="peer", config_version=3)

        address = f"127.0.0.1:{site.free_port('127.0.0.1')}"
        server = await link.serve(address, exchange, lambda hashes: dict.fromkeys(hashes, b"x"))
        self.addAsyncCleanup(server.stop, 0)
        peers = link.grpc_link()
        self.addAsyncCleanup(peers.close)
        return address, peers

    async def test_an_exchange_returns_the_peers_digest(self):
        address, peers = await self.start()
        reply = await peers.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))
        self.assertEqual(3, reply.config_version)
        self.assertEqual({"h": b"x"}, await peers.blobs(address, ["h"]))

    async def test_a_digest_of_another_protocol_is_refused(self):
        address, peers = await self.start()
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "FAILED_PRECONDITION"):
            await peers.exchange(address, peer_pb2.Digest(protocol=99))

    async def test_a_peer_that_answers_in_another_protocol_is_refused(self):
        address, peers = await self.start(protocol=99)
        with self.assertRaisesRegex(exceptions.PeerUnavailable, "speaks protocol 99"):
            await peers.exchange(address, peer_pb2.Digest(protocol=link.PROTOCOL))

    async def test_a_peer_that_is_not_there_is_unavailable(self):
        peers = link.grpc_link()
        self.addAsyncCleanup(peers.close)
        with self.assertRaises(exceptions.PeerUnavailable):
            await peers.exchange("127.0.0.1:9", peer_pb2.Digest(protocol=link.PROTOCOL))
