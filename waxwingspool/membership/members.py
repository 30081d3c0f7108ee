"""This balancer's view of the other balancers, which may be incomplete or out of date."""

import dataclasses
import hashlib
import random
import time
from collections.abc import Callable, Container, Iterable

from waxwingspool.interfaces import vms
from waxwingspool.membership import peer_pb2

__all__ = ["Departure", "Member", "Members"]

# Time without a new heartbeat after which a member is no longer considered live, in seconds.
HEARTBEAT_TIMEOUT_S = 30.0
# Time without a new heartbeat after which a member is removed, in seconds.
MEMBER_RETENTION_S = 120.0
# Time for which a departure is gossiped after it was first observed, in seconds.
DEPARTURE_RETENTION_S = 120.0
# Maximum number of other members in a digest.
MAX_DIGEST_MEMBERS = 10


@dataclasses.dataclass(slots=True)
class Member:
    """A balancer.

    :ivar heartbeat_at: monotonic time in seconds at which a newer heartbeat was last received; not
        updated for this balancer itself.
    """

    id: str
    peer_address: str
    operator_address: str
    data_centre: str
    incarnation: int
    heartbeat: int
    leaving: bool
    heartbeat_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An incarnation of an upstream that has started to shut down.

    :ivar seen_at: monotonic time in seconds at which it was first observed by any balancer.
    """

    upstream: str
    incarnation: str
    seen_at: float


class Members:
    """The balancers and the departures of upstreams that are known to this balancer.

    :param local_member: this balancer.
    :param seed_addresses: peer addresses to contact while no other balancer is known.
    :param rng: random number generator.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        local_member: Member,
        seed_addresses: Iterable[str],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._seed_addresses = tuple(seed_addresses)
        self._listed_balancers: dict[str, vms.Vm] = {}
        self._members: dict[str, Member] = {}
        self._departures: dict[str, Departure] = {}
        self._rng = rng
        self._clock = clock
        self.local_member = local_member

    def live(self) -> list[Member]:
        """Return the other members with a recent heartbeat that are not leaving."""
        now = self._clock()
        return [
            m
            for m in self._members.values()
            if now - m.heartbeat_at < HEARTBEAT_TIMEOUT_S and not m.leaving
        ]

    def balancer_count(self) -> int:
        """Return an upper estimate of the number of balancers, including this one.

        It is the larger of the numbers of live balancers and of listed balancers that are not
        leaving.
        """
        listed = sum(1 for vm in self._listed_balancers.values() if not vm.leaving)
        return max(1 + len(self.live()), listed)

    def addresses(self) -> list[str]:
        """Return the addresses of live and listed peers, the seed addresses if there are none."""
        addresses = {m.peer_address for m in self.live()}
        addresses.update(vm.address for vm in self._listed_balancers.values() if not vm.leaving)
        if not addresses - {self.local_member.peer_address}:
            addresses.update(self._seed_addresses)
        addresses.discard(self.local_member.peer_address)
        return sorted(addresses)

    def data_centre_of(self, peer_address: str) -> str | None:
        """Return the data centre of the peer at an address, or ``None`` if it is not known."""
        data_centres = (
            m.data_centre for m in self._members.values() if m.peer_address == peer_address
        )
        return next(data_centres, None)

    def is_responsible(self, name: str, data_centres: Container[str]) -> bool:
        """Return whether this balancer is responsible for a shared task, by rendezvous hashing.

        :param name: name of the task.
        :param data_centres: preferred data centres; ignored if no balancer is in any of them.
        :returns: true at exactly one balancer, provided that all balancers agree on the live
            members (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
            1998).
        """
        candidates = [self.local_member, *self.live()]
        preferred = [m for m in candidates if m.data_centre in data_centres] or candidates
        return max(preferred, key=lambda m: _rendezvous_weight(m.id, name)) is self.local_member

    def sample_addresses(self, n: int) -> list[str]:
        """Return a random sample of up to ``n`` peer addresses."""
        addresses = self.addresses()
        return self._rng.sample(addresses, min(n, len(addresses)))

    def update_heartbeat(self) -> None:
        """Increment this balancer's heartbeat and remove expired members and departures."""
        self.local_member.heartbeat += 1
        now = self._clock()
        for m in list(self._members.values()):
            if now - m.heartbeat_at > MEMBER_RETENTION_S:
                del self._members[m.id]
        for d in list(self._departures.values()):
            if now - d.seen_at > DEPARTURE_RETENTION_S:
                del self._departures[d.upstream]

    def update_listed_balancers(self, listed: Iterable[vms.Vm]) -> None:
        """Update the listed balancers from the platform's VM list."""
        self._listed_balancers = {vm.name: vm for vm in listed if vm.role == "balancer"}

    def record_departure(self, upstream: str, incarnation: str, age_s: float = 0.0) -> bool:
        """Record a departure; return whether it was not known before."""
        known = self._departures.get(upstream)
        if known is not None and known.incarnation == incarnation:
            return False
        seen_at = self._clock() - age_s
        if age_s > DEPARTURE_RETENTION_S or (known is not None and known.seen_at >= seen_at):
            return False
        self._departures[upstream] = Departure(upstream, incarnation, seen_at)
        return True

    def departures(self) -> list[Departure]:
        """Return the departures that are being gossiped."""
        return list(self._departures.values())

    def fill_digest(self, digest: peer_pb2.Digest) -> None:
        """Add members and departures to a digest.

        :param digest: the message, modified in place. Its number of members is bounded, however
            many are known: this balancer comes first, then a random sample of the others without
            those whose heartbeat has timed out.
        """
        now = self._clock()
        sample = list(self._members.values())
        if len(sample) > MAX_DIGEST_MEMBERS:
            sample = self._rng.sample(sample, MAX_DIGEST_MEMBERS)
        for m in [self.local_member, *sample]:
            if now - m.heartbeat_at < HEARTBEAT_TIMEOUT_S or m is self.local_member:
                digest.members.append(_member_message(m))
        for d in self._departures.values():
            age_ms = int((now - d.seen_at) * 1000)
            message = peer_pb2.Departure(
                upstream=d.upstream, incarnation=d.incarnation, age_ms=age_ms
            )
            digest.departures.append(message)

    def merge_digest(self, digest: peer_pb2.Digest) -> list[Departure]:
        """Merge a peer's digest.

        :param digest: the message.
        :returns: the departures that were not known before.
        """
        now = self._clock()
        for message in digest.members:
            self._merge_member(message, now)
        new_departures = []
        for d in digest.departures:
            if self.record_departure(d.upstream, d.incarnation, d.age_ms / 1000):
                new_departures.append(self._departures[d.upstream])
        return new_departures

    def _merge_member(self, message: peer_pb2.Member, now: float) -> None:
        """Update a member if the message is newer than the known state."""
        if message.id == self.local_member.id:
            return
        known = self._members.get(message.id)
        received = (message.incarnation, message.heartbeat)
        if known is not None and received <= (known.incarnation, known.heartbeat):
            return
        self._members[message.id] = Member(
            message.id,
            message.peer_address,
            message.operator_address,
            message.data_centre,
            message.incarnation,
            message.heartbeat,
            message.leaving,
            now,
        )


def _rendezvous_weight(member_id: str, name: str) -> bytes:
    """Return the rendezvous hash of a member for a task."""
    return hashlib.blake2b(f"{member_id}/{name}".encode(), digest_size=8).digest()


def _member_message(m: Member) -> peer_pb2.Member:
    """Return the protobuf message for a member."""
    return peer_pb2.Member(
        id=m.id,
        peer_address=m.peer_address,
        operator_address=m.operator_address,
        data_centre=m.data_centre,
        incarnation=m.incarnation,
        heartbeat=m.heartbeat,
        leaving=m.leaving,
    )
