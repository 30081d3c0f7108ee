"""Gossip: periodic exchanges with random peers, and at once when there is news.

News (a configuration, the departure of an upstream, this balancer leaving) goes to a few peers at
once, and each of them passes it on, so it reaches every balancer in a number of rounds that grows
with the logarithm of their number (Demers et al., "Epidemic algorithms for replicated database
maintenance", 1987).
"""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool import exceptions
from waxwingspool.config import store
from waxwingspool.membership import link, members, peer_pb2
from waxwingspool.observe import logs

__all__ = ["Gossip"]

# Time between two rounds, in seconds.
ROUND_S = 1.0
# Peers that a round exchanges digests with.
FANOUT = 2
# Peers that news is sent to at once.
NEWS_FANOUT = 4
# Shortest time between two rounds for news, in seconds.
NEWS_EVERY_S = 0.05


class Gossip:
    """Exchanges digests with peers.

    :param known: the members.
    :param peers: the link to them.
    :param head: returns the configuration version in force.
    :param on_head: called with a newer version and the address of a peer that has it.
    :param on_departure: called with each departure that is news.
    :param count_bytes: called with a peer's address and the bytes of a message.
    """

    def __init__(
        self,
        known: members.Members,
        peers: link.PeerLink,
        head: Callable[[], store.Head],
        on_head: Callable[[store.Head, str], Awaitable[None]],
        on_departure: Callable[[members.Departure], None],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._known = known
        self._peers = peers
        self._head = head
        self._on_head = on_head
        self._on_departure = on_departure
        self._count_bytes = count_bytes
        self._news = asyncio.Event()

    def spread(self) -> None:
        """Start a round for news as soon as may be."""
        self._news.set()

    async def run(self) -> None:
        """Exchange digests until cancelled."""
        while True:
            fanout = FANOUT
            try:
                await asyncio.wait_for(self._news.wait(), ROUND_S)
                fanout = NEWS_FANOUT
            except TimeoutError:
                pass
            self._news.clear()
            await self.round(fanout)
            await asyncio.sleep(NEWS_EVERY_S)

    async def round(self, fanout: int) -> list[int]:
        """Exchange digests with up to ``fanout`` random peers.

        :param fanout: most peers.
        :returns: the configuration version of each peer that answered.
        """
        self._known.beat()
        addresses = self._known.pick(fanout)
        answered = await asyncio.gather(*(self._exchange(a) for a in addresses))
        return [version for version in answered if version is not None]

    async def answer(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Take in a peer's digest and return this balancer's.

        A newer configuration is fetched before the answer goes out, so the peer learns from the
        answer that this balancer has it too.
        """
        await self._merge(digest)
        reply = self._digest()
        self._count_bytes(self._address_of(digest), digest.ByteSize() + reply.ByteSize())
        return reply

    async def _exchange(self, address: str) -> int | None:
        """Exchange digests with one peer; return its version, ``None`` if it did not answer."""
        digest = self._digest()
        try:
            reply = await self._peers.exchange(address, digest)
        except exceptions.PeerUnavailable as error:
            logs.logger().debug("peer.unavailable", peer=address, reason=str(error))
            return None
        self._count_bytes(address, digest.ByteSize() + reply.ByteSize())
        await self._merge(reply)
        return reply.config_version

    async def _merge(self, digest: peer_pb2.Digest) -> None:
        """Take in a digest; fetch a newer configuration from its sender."""
        for departure in self._known.merge(digest):
            self._on_departure(departure)
            self.spread()
        head = store.Head(digest.config_version, digest.config_root)
        if head.version <= self._head().version:
            return
        await self._on_head(head, self._address_of(digest))

    def _digest(self) -> peer_pb2.Digest:
        """Return this balancer's digest."""
        head = self._head()
        digest = peer_pb2.Digest(
            protocol=link.PROTOCOL,
            sender=self._known.own.id,
            config_version=head.version,
            config_root=head.root,
        )
        self._known.fill(digest)
        return digest

    @staticmethod
    def _address_of(digest: peer_pb2.Digest) -> str:
        """Return the peer address of a digest's sender, which is its first member."""
        return digest.members[0].peer_address if digest.members else ""
