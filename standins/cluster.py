"""Membership and configuration rollout of several balancers in one process.

The balancers run on a virtual clock against fakes of the table, the object store and the network.
"""

import asyncio
import dataclasses
import random

from standins import fakes, virtual
from waxwingspool.config import model, store, tree
from waxwingspool.membership import gossip, members, rollout

__all__ = ["Cluster", "Peer", "configuration", "publish"]


def configuration(variant: int, services: int = 2) -> model.Configuration:
    """Return a small configuration; each variant has a different latency objective.

    :param variant: added to the latency objective of the first service, in milliseconds.
    :param services: number of services.
    """
    objective = model.Objective(latency_ms=100 + variant, target=0.99)
    rules = [
        model.Rule(
            name="lookup",
            path=f"/s{n}/",
            methods=("GET",),
            kind=model.Kind.LOOKUP,
            idempotent=True,
            deadline_ms=1000,
            objective=objective if n == 0 else model.Objective(latency_ms=50, target=0.99),
        )
        for n in range(services)
    ]
    return model.Configuration(
        format=1,
        regions=(model.Region(name="r"),),
        data_centres=(model.DataCentre(name="d", region="r"),),
        measuring=model.Measuring(
            region_bytes_per_s=1000, cross_bytes_per_s=0, probe_work_ms_per_s=10
        ),
        services=tuple(model.Service(name=f"s{n}", rules=(rule,)) for n, rule in enumerate(rules)),
    )


def publish(peer: "Peer", variant: int, base: int | None = None):
    """Return a coroutine that publishes a small configuration at a balancer.

    :param base: version that the configuration replaces, ``None`` for any.
    """
    proposed = configuration(variant)
    return peer.rollout.publish(proposed, tree.build(proposed), base)


@dataclasses.dataclass
class Peer:
    """One balancer.

    :ivar gate: pauses and resumes the balancer.
    :ivar members: the balancer's view of the membership.
    :ivar versions: every configuration version in force since its last start, in order.
    :ivar departures: upstreams whose departure it has learned of, in order.
    """

    address: str
    gate: fakes.Gate
    members: members.Members
    rollout: rollout.Rollout
    gossip: gossip.Gossip
    versions: list[int]
    departures: list[str]
    tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)


class Cluster:
    """Balancers that share a table, an object store and a network.

    :param size: number of balancers.
    :param seed: seed of the random number generators.
    """

    def __init__(self, size: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self.loop = virtual.new_event_loop()
        asyncio.set_event_loop(self.loop)
        self.table = fakes.FakeTable()
        self.objects = fakes.FakeObjects()
        self.network = fakes.FakeNetwork()
        self.addresses = [f"127.0.0.1:{1000 + i}" for i in range(size)]
        self.peers: dict[str, Peer] = {}
        self.start_count = 0
        for address in self.addresses:
            self.start(address)

    def start(self, address: str) -> Peer:
        """Start a balancer that knows only the addresses of the others."""
        self.start_count += 1
        gate = fakes.Gate()
        local_member = members.Member(
            address, address, address, "d", self.start_count, 0, False, 0.0
        )
        rng = random.Random(self._rng.random())
        membership = members.Members(local_member, self.addresses, rng, self.loop.time)
        link = self.network.client_for(address, gate)
        versions: list[int] = []
        departures: list[str] = []

        def record_version(head: store.Head, configuration: model.Configuration) -> None:
            versions.append(head.version)

        peer_rollout = rollout.Rollout(
            self.table.client_for(gate), self.objects, link, membership, record_version, rng
        )
        peer_rollout.gossip = gossip.Gossip(
            membership,
            link,
            peer_rollout.head,
            peer_rollout.advance,
            lambda d: departures.append(d.upstream),
            lambda address, n: None,
        )
        peer = Peer(
            address, gate, membership, peer_rollout, peer_rollout.gossip, versions, departures
        )
        self.network.add_peer(
            address, gate, peer_rollout.gossip.handle_digest, peer_rollout.active.blobs
        )
        peer.tasks = [
            self.loop.create_task(peer_rollout.run()),
            self.loop.create_task(peer_rollout.gossip.run()),
        ]
        self.peers[address] = peer
        return peer

    def crash(self, address: str) -> None:
        """Crash a balancer: cancel its tasks without a clean shutdown."""
        peer = self.peers.pop(address)
        del self.network.peers[address]
        for task in peer.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*peer.tasks, return_exceptions=True))

    def run(self, coroutine):
        """Run a coroutine to completion and return its result."""
        return self.loop.run_until_complete(coroutine)

    def versions_in_force(self) -> set[int]:
        """Return the configuration versions in force on any balancer."""
        return {p.rollout.active.head.version for p in self.peers.values()}

    def wait_for_version(self, version: int, timeout_s: float) -> float:
        """Wait until a version is in force on all balancers.

        :returns: the time this took, in seconds of virtual time.
        """
        started_at = self.loop.time()
        while self.versions_in_force() != {version}:
            if self.loop.time() - started_at > timeout_s:
                raise AssertionError(
                    f"versions in force after {timeout_s} s: {self.versions_in_force()}"
                )
            self.loop.advance(0.01)
        return self.loop.time() - started_at

    def close(self) -> None:
        """Stop all balancers and close the event loop."""
        for address in list(self.peers):
            self.crash(address)
        self.loop.shutdown()
