"""Rollout of accepted configurations, received from the table, from peers and from operators.

The table is authoritative. Gossip between peers speeds up the rollout and continues it while the
table is unavailable.
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

# Mean interval between reads of the head (the newest version) in the table, in seconds.
HEAD_POLL_INTERVAL_S = 1.0
# Mean interval until this process, once started, has caught up with the newest version, in seconds.
STARTUP_POLL_INTERVAL_S = 0.2
# Number of random peers to which a configuration published at this balancer is announced before
# ``publish`` returns.
PUBLISH_FANOUT = 3
# Number of random peers that are asked for blobs after the peer that announced the version.
EXTRA_BLOB_PEERS = 2


class Rollout:
    """Keeps the configuration in force at this balancer up to date.

    :param store_table: the table.
    :param object_store: the object store.
    :param peer_link: RPC client for peers.
    :param membership: the known balancers.
    :param on_change: called with each configuration when it comes into force.
    :param rng: random number generator.
    :ivar active: the configuration in force at this balancer.
    """

    def __init__(
        self,
        store_table: table.Table,
        object_store: objects.ObjectStore,
        peer_link: link.PeerLink,
        membership: members.Members,
        on_change: Callable[[store.Head, model.Configuration], None],
        rng: random.Random,
    ) -> None:
        self._table = store_table
        self._object_store = object_store
        self._peer_link = peer_link
        self._membership = membership
        self._on_change = on_change
        self._rng = rng
        self._caught_up = False
        self._table_available = True
        self._source = ""
        self._advance_lock = asyncio.Lock()
        self.active = store.ActiveConfiguration(
            object_store, self._fetch_peer_blobs, self._handle_change
        )
        self.gossip: gossip.Gossip | None = None

    @property
    def ready(self) -> bool:
        """Whether this process has caught up with the newest version available at startup."""
        return self._caught_up and self.active.configuration is not None

    def head(self) -> store.Head:
        """Return the version in force and its root hash."""
        return self.active.head

    async def run(self) -> None:
        """Poll the table for newer versions until cancelled."""
        while True:
            newest = await self._read_head()
            if newest is not None:
                await self.advance(newest, "")
            if not self._caught_up:
                self._caught_up = await self._is_caught_up(newest)
            pause_s = HEAD_POLL_INTERVAL_S if self._caught_up else STARTUP_POLL_INTERVAL_S
            await asyncio.sleep(pause_s * (0.5 + self._rng.random()))

    async def advance(self, head: store.Head, source: str) -> None:
        """Bring a version into force if it is newer than the current one.

        :param head: the version.
        :param source: address of a peer that has its content, empty if none is known.
        """
        async with self._advance_lock:
            self._source = source
            try:
                await self.active.advance(head)
            except exceptions.BlobMissing as error:
                logs.logger().warning("config.incomplete", version=head.version, reason=str(error))

    async def publish(
        self, configuration: model.Configuration, built: tree.Tree, base: int | None
    ) -> expression.Result[store.Accepted, store.Outdated]:
        """Publish a configuration, bring it into force here, and announce it to some peers.

        :param configuration: the complete configuration.
        :param built: its tree.
        :param base: the version that it is based on, ``None`` for the version in the table.
        :returns: the accepted version, or the conflicting version in the table.
        :raises waxwingspool.exceptions.StoreUnavailable: if it was not accepted.
        :raises waxwingspool.exceptions.StoreAnswerLost: if it is unknown whether it was accepted.
        """
        stored = self.active.blobs(list(built.blobs))
        result = await store.publish(self._table, self._object_store, built, base, stored)
        if result.is_error():
            return result
        head = result.ok.head
        self.active.install(head, configuration, built)
        peer_versions = await self.gossip.round(PUBLISH_FANOUT) if self.gossip is not None else []
        return expression.Ok(store.Accepted(head, sum(v >= head.version for v in peer_versions)))

    async def _read_head(self) -> store.Head | None:
        """Return the table's head (version 0 if it has none), or ``None`` if it is unavailable."""
        try:
            head = await store.read_head(self._table)
        except exceptions.StoreUnavailable as error:
            if self._table_available:
                logs.logger().warning("table.unavailable", reason=str(error))
            self._table_available = False
            return None
        if not self._table_available:
            logs.logger().info("table.available")
        self._table_available = True
        return head or store.Head(0, "")

    async def _is_caught_up(self, newest: store.Head | None) -> bool:
        """Return whether this process has the newest version available.

        If the table responds, its version decides. Otherwise digests are exchanged with all known
        peers, so that a restarted balancer does not serve an older version than its peers have; at
        least one of them must respond.
        """
        if newest is not None:
            return self.active.head.version >= newest.version
        if self.gossip is None:
            return False
        versions = await self.gossip.round(len(self._membership.addresses()))
        return bool(versions) and self.active.configuration is not None

    async def _fetch_peer_blobs(self, hashes: list[str]) -> dict[str, bytes]:
        """Fetch blobs from the peer that announced the version, then from random peers."""
        found: dict[str, bytes] = {}
        for address in filter(
            None, [self._source, *self._membership.sample_addresses(EXTRA_BLOB_PEERS)]
        ):
            missing = [h for h in hashes if h not in found]
            if not missing:
                break
            try:
                found.update(await self._peer_link.fetch_blobs(address, missing))
            except exceptions.PeerUnavailable as error:
                logs.logger().debug("peer.unavailable", peer=address, reason=str(error))
        return found

    def _handle_change(self, head: store.Head, configuration: model.Configuration) -> None:
        """Report a configuration that has come into force and trigger a gossip round for it."""
        logs.logger().info("config.in_force", version=head.version, root=head.root)
        self._on_change(head, configuration)
        if self.gossip is not None:
            self.gossip.trigger_round()
