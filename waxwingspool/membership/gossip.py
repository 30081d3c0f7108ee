"""Gossip: digest exchanges with random peers, periodically and immediately after an update.

A digest contains the configuration version of its sender, the sender itself and a sample of the
members that it knows, and the departures of upstreams.

An update (a new configuration, the departure of an upstream, this balancer leaving) is sent to a
few peers immediately, and each of them forwards it. The number of rounds until every balancer has
it grows with the logarithm of the number of balancers (Demers et al., "Epidemic algorithms for
replicated database maintenance", 1987).
"""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool import exceptions
from waxwingspool.config import store
from waxwingspool.membership import link, members, peer_pb2
from waxwingspool.observe import logs

__all__ = ["Gossip"]

# Interval between periodic rounds, in seconds.
ROUND_INTERVAL_S = 1.0
# Number of peers in a periodic round.
FANOUT = 2
# Number of peers in a round that is triggered by an update.
UPDATE_FANOUT = 4
# Minimum interval between rounds that are triggered by updates, in seconds.
MIN_UPDATE_INTERVAL_S = 0.05


class Gossip:
    """Exchanges digests with peers.

    :param membership: the known balancers and departures.
    :param peer_link: RPC client for peers.
    :param head: returns the configuration version in force.
    :param on_head: called with a newer version and the address of a peer that has it.
    :param on_departure: called with each departure that was not known before.
    :param count_bytes: called after each exchange with the peer's address and the size of both
        digests in bytes.
    """

    def __init__(
        self,
        membership: members.Members,
        peer_link: link.PeerLink,
        head: Callable[[], store.Head],
        on_head: Callable[[store.Head, str], Awaitable[None]],
        on_departure: Callable[[members.Departure], None],
        count_bytes: Callable[[str, int], None],
    ) -> None:
        self._membership = membership
        self._peer_link = peer_link
        self._head = head
        self._on_head = on_head
        self._on_departure = on_departure
        self._count_bytes = count_bytes
        self._update_pending = asyncio.Event()

    def trigger_round(self) -> None:
        """Trigger a round for an update without waiting for the next periodic one."""
        self._update_pending.set()

    async def run(self) -> None:
        """Run gossip rounds until cancelled."""
        while True:
            fanout = FANOUT
            try:
                await asyncio.wait_for(self._update_pending.wait(), ROUND_INTERVAL_S)
                fanout = UPDATE_FANOUT
            except TimeoutError:
                pass
            self._update_pending.clear()
            await self.round(fanout)
            await asyncio.sleep(MIN_UPDATE_INTERVAL_S)

    async def round(self, fanout: int) -> list[int]:
        """Exchange digests with up to ``fanout`` random peers.

        :param fanout: maximum number of peers.
        :returns: the configuration version of each peer that responded.
        """
        self._membership.update_heartbeat()
        addresses = self._membership.sample_addresses(fanout)
        versions = await asyncio.gather(*(self._exchange(a) for a in addresses))
        return [version for version in versions if version is not None]

    async def handle_digest(self, digest: peer_pb2.Digest) -> peer_pb2.Digest:
        """Merge a peer's digest and return this balancer's.

        A newer configuration is fetched before the reply is sent, so the reply tells the peer that
        this balancer has it as well.
        """
        await self._merge(digest)
        reply = self._build_digest()
        self._count_bytes(self._sender_address(digest), digest.ByteSize() + reply.ByteSize())
        return reply

    async def _exchange(self, address: str) -> int | None:
        """Exchange digests with a peer; return its version or ``None`` if it did not respond."""
        digest = self._build_digest()
        try:
            reply = await self._peer_link.exchange(address, digest)
        except exceptions.PeerUnavailable as error:
            logs.logger().debug("peer.unavailable", peer=address, reason=str(error))
            return None
        self._count_bytes(address, digest.ByteSize() + reply.ByteSize())
        await self._merge(reply)
        return reply.config_version

    async def _merge(self, digest: peer_pb2.Digest) -> None:
        """Merge a digest, and fetch the configuration from its sender if it is newer."""
        for departure in self._membership.merge_digest(digest):
            self._on_departure(departure)
            self.trigger_round()
        head = store.Head(digest.config_version, digest.config_root)
        if head.version <= self._head().version:
            return
        await self._on_head(head, self._sender_address(digest))

    def _build_digest(self) -> peer_pb2.Digest:
        """Return a digest of this balancer's state."""
        head = self._head()
        digest = peer_pb2.Digest(
            protocol=link.PROTOCOL,
            sender=self._membership.local_member.id,
            config_version=head.version,
            config_root=head.root,
        )
        self._membership.fill_digest(digest)
        return digest

    @staticmethod
    def _sender_address(digest: peer_pb2.Digest) -> str:
        """Return the peer address of the sender, which is the first member in the digest."""
        return digest.members[0].peer_address if digest.members else ""
