"""Brings every accepted configuration into force: from the table, from peers, and from operators.

The table decides; peers make it fast and carry it on while the table is down.
"""

import asyncio
import random
from collections.abc import Callable

import expression

from waxwingspool import exceptions
from waxwingspool.config import model, store, tree
from waxwingspool.interfaces import objects, table
from waxwingspool.membership import gossip, link, members
from waxwingspool.observe import logs

__all__ = ["Rollout"]

# Time between two reads of the head, in seconds.
HEAD_EVERY_S = 1.0
# The same while this process does not know yet whether it has the newest version, in seconds.
SETTLING_EVERY_S = 0.2
# Peers told at once of a configuration that was published here, before its apply returns.
APPLY_PEERS = 3
# Peers that are asked for blobs beside the one that told of them.
BLOB_PEERS = 2


class Rollout:
    """The configuration in force at this balancer, and how it follows the newest.

    :param store_table: the table.
    :param blobs: the object store.
    :param peers: the link to peers.
    :param known: the members.
    :param on_change: called with each configuration as it comes into force.
    :param rng: source of random numbers.
    """

    def __init__(
        self,
        store_table: table.Table,
        blobs: objects.Objects,
        peers: link.PeerLink,
        known: members.Members,
        on_change: Callable[[store.Head, model.Configuration], None],
        rng: random.Random,
    ) -> None:
        self._table = store_table
        self._objects = blobs
        self._peers = peers
        self._known = known
        self._on_change = on_change
        self._rng = rng
        self._settled = False
        self._table_answers = True
        self._source = ""
        self._advancing = asyncio.Lock()
        self.holder = store.Holder(blobs, self._peer_blobs, self._changed)
        self.gossip: gossip.Gossip | None = None

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force that was the newest to be had at the start."""
        return self._settled and self.holder.configuration is not None

    def head(self) -> store.Head:
        """Return the version in force."""
        return self.holder.head

    async def run(self) -> None:
        """Follow the head in the table until cancelled."""
        while True:
            newest = await self._read_head()
            if newest is not None:
                await self.advance(newest, "")
            if not self._settled:
                self._settled = await self._is_settled(newest)
            pause_s = HEAD_EVERY_S if self._settled else SETTLING_EVERY_S
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))

    async def advance(self, head: store.Head, source: str) -> None:
        """Bring a newer version into force.

        :param head: the version.
        :param source: peer address that has its content, empty if none is known.
        """
        async with self._advancing:
            self._source = source
            try:
                await self.holder.advance(head)
            except exceptions.BlobMissing as error:
                logs.logger().warning("config.incomplete", version=head.version, reason=str(error))

    async def publish(
        self, configuration: model.Configuration, built: tree.Tree, base: int | None
    ) -> expression.Result[store.Accepted, store.Outdated]:
        """Publish a configuration, put it into force here, and tell some peers at once.

        :param configuration: the whole configuration.
        :param built: its tree.
        :param base: the version that it was made from, ``None`` for whatever is in force.
        :returns: the accepted version, or the version that won.
        :raises waxwingspool.exceptions.StoreUnavailable: if it was not accepted.
        :raises waxwingspool.exceptions.StoreAnswerLost: if whether it was accepted is not known.
        """
        stored = self.holder.blobs(list(built.blobs))
        result = await store.publish(self._table, self._objects, built, base, stored)
        if result.is_error():
            return result
        head = result.ok.head
        self.holder.install(head, configuration, built)
        found = await self.gossip.round(APPLY_PEERS) if self.gossip is not None else []
        return expression.Ok(store.Accepted(head, sum(v >= head.version for v in found)))

    async def _read_head(self) -> store.Head | None:
        """Return the head in the table; an empty one if there is none, ``None`` if it is down."""
        try:
            head = await store.read_head(self._table)
        except exceptions.StoreUnavailable as error:
            if self._table_answers:
                logs.logger().warning("table.unavailable", reason=str(error))
            self._table_answers = False
            return None
        if not self._table_answers:
            logs.logger().info("table.available")
        self._table_answers = True
        return head or store.Head(0, "")

    async def _is_settled(self, newest: store.Head | None) -> bool:
        """Return whether this process has the newest version that can be had.

        The table's word is enough. While it is down, every known peer is asked, so that a balancer
        that has restarted does not serve an older version than its peers hold.
        """
        if newest is not None:
            return self.holder.head.version >= newest.version
        if self.gossip is None:
            return False
        answered = await self.gossip.round(len(self._known.addresses()))
        return bool(answered) and self.holder.configuration is not None

    async def _peer_blobs(self, hashes: list[str]) -> dict[str, bytes]:
        """Return blobs from peers: first the one that told of them, then others."""
        found: dict[str, bytes] = {}
        for address in filter(None, [self._source, *self._known.pick(BLOB_PEERS)]):
            missing = [h for h in hashes if h not in found]
            if not missing:
                break
            try:
                found.update(await self._peers.blobs(address, missing))
            except exceptions.PeerUnavailable as error:
                logs.logger().debug("peer.unavailable", peer=address, reason=str(error))
        return found

    def _changed(self, head: store.Head, configuration: model.Configuration) -> None:
        """Put a configuration into force and pass it on."""
        logs.logger().info("config.in_force", version=head.version, root=head.root)
        self._on_change(head, configuration)
        if self.gossip is not None:
            self.gossip.spread()
