"""What this balancer knows of the others: hints, never the truth."""

import dataclasses
import hashlib
import random
import time
from collections.abc import Callable, Container, Iterable

from waxwingspool.interfaces import vms
from waxwingspool.membership import peer_pb2

__all__ = ["Departure", "Member", "Members"]

# Time without a new heartbeat after which a member is no longer taken to be live, in seconds.
SILENT_S = 30.0
# Time after which a silent member is forgotten, in seconds.
FORGET_S = 120.0
# How long a departure is passed on, in seconds.
DEPARTURE_S = 120.0
# Most members that one digest carries.
DIGEST_MEMBERS = 10


@dataclasses.dataclass(slots=True)
class Member:
    """Another balancer.

    :ivar heard_at: monotonic time in seconds at which its heartbeat last grew.
    """

    id: str
    peer_address: str
    operator_address: str
    data_centre: str
    incarnation: int
    heartbeat: int
    leaving: bool
    heard_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """An upstream's incarnation that has started to leave.

    :ivar seen_at: monotonic time in seconds at which some balancer first saw it.
    """

    upstream: str
    incarnation: str
    seen_at: float


class Members:
    """The balancers and the departures of upstreams that this balancer has heard of.

    :param own: this balancer.
    :param hints: peer addresses to try when nobody is known.
    :param rng: source of random numbers.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        own: Member,
        hints: Iterable[str],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._hints = tuple(hints)
        self._listed: dict[str, vms.Vm] = {}
        self._members: dict[str, Member] = {}
        self._departures: dict[str, Departure] = {}
        self._rng = rng
        self._clock = clock
        self.own = own

    def live(self) -> list[Member]:
        """Return the members heard of lately, without this balancer."""
        now = self._clock()
        return [m for m in self._members.values() if now - m.heard_at < SILENT_S and not m.leaving]

    def count(self) -> int:
        """Return how many balancers there are, this one included, at the most."""
        listed = sum(1 for vm in self._listed.values() if not vm.leaving)
        return max(1 + len(self.live()), listed)

    def addresses(self) -> list[str]:
        """Return the peer addresses worth trying: live, listed and hinted ones."""
        found = {m.peer_address for m in self.live()}
        found.update(vm.address for vm in self._listed.values() if not vm.leaving)
        if not found - {self.own.peer_address}:
            found.update(self._hints)
        found.discard(self.own.peer_address)
        return sorted(found)

    def data_centre_of(self, peer_address: str) -> str | None:
        """Return the data centre of a peer, ``None`` if it is not known.

        :param peer_address: the peer's address.
        """
        found = (m.data_centre for m in self._members.values() if m.peer_address == peer_address)
        return next(found, None)

    def is_responsible(self, name: str, data_centres: Container[str]) -> bool:
        """Return whether a piece of shared work is this balancer's.

        :param name: names the work.
        :param data_centres: where the work is best done; any place if no balancer is there.
        :returns: true at one balancer, as far as balancers agree on who is live (Thaler and
            Ravishankar, "Using name-based mappings to increase hit rates", 1998).
        """
        everyone = [self.own, *self.live()]
        near = [m for m in everyone if m.data_centre in data_centres] or everyone
        return max(near, key=lambda m: _weight(m.id, name)) is self.own

    def pick(self, n: int) -> list[str]:
        """Return up to ``n`` peer addresses at random."""
        addresses = self.addresses()
        return self._rng.sample(addresses, min(n, len(addresses)))

    def beat(self) -> None:
        """Raise this balancer's heartbeat and forget members that have long been silent."""
        self.own.heartbeat += 1
        now = self._clock()
        for m in list(self._members.values()):
            if now - m.heard_at > FORGET_S:
                del self._members[m.id]
        for d in list(self._departures.values()):
            if now - d.seen_at > DEPARTURE_S:
                del self._departures[d.upstream]

    def take_list(self, listed: Iterable[vms.Vm]) -> None:
        """Take in the platform's list."""
        self._listed = {vm.name: vm for vm in listed if vm.role == "balancer"}

    def add_departure(self, upstream: str, incarnation: str, age_s: float = 0.0) -> bool:
        """Take in a departure; return whether it is news."""
        known = self._departures.get(upstream)
        if known is not None and known.incarnation == incarnation:
            return False
        seen_at = self._clock() - age_s
        if age_s > DEPARTURE_S or (known is not None and known.seen_at >= seen_at):
            return False
        self._departures[upstream] = Departure(upstream, incarnation, seen_at)
        return True

    def departures(self) -> list[Departure]:
        """Return the departures that are passed on."""
        return list(self._departures.values())

    def fill(self, digest: peer_pb2.Digest) -> None:
        """Write a digest's members and departures.

        :param digest: the message, changed. Its size has a bound whatever the number of members:
            it carries this balancer and a random sample of the others.
        """
        now = self._clock()
        sample = list(self._members.values())
        if len(sample) > DIGEST_MEMBERS:
            sample = self._rng.sample(sample, DIGEST_MEMBERS)
        for m in [self.own, *sample]:
            if now - m.heard_at < SILENT_S or m is self.own:
                digest.members.append(_member_message(m))
        for d in self._departures.values():
            age_ms = int((now - d.seen_at) * 1000)
            message = peer_pb2.Departure(
                upstream=d.upstream, incarnation=d.incarnation, age_ms=age_ms
            )
            digest.departures.append(message)

    def merge(self, digest: peer_pb2.Digest) -> list[Departure]:
        """Take in a peer's digest.

        :param digest: the message.
        :returns: the departures that are news.
        """
        now = self._clock()
        for message in digest.members:
            self._merge_member(message, now)
        news = []
        for d in digest.departures:
            if self.add_departure(d.upstream, d.incarnation, d.age_ms / 1000):
                news.append(self._departures[d.upstream])
        return news

    def _merge_member(self, message: peer_pb2.Member, now: float) -> None:
        """Take in one member if the message is newer than what is known."""
        if message.id == self.own.id:
            return
        known = self._members.get(message.id)
        stamp = (message.incarnation, message.heartbeat)
        if known is not None and stamp <= (known.incarnation, known.heartbeat):
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


def _weight(member_id: str, name: str) -> bytes:
    """Return the weight of a member for a piece of work."""
    return hashlib.blake2b(f"{member_id}/{name}".encode(), digest_size=8).digest()


def _member_message(m: Member) -> peer_pb2.Member:
    """Return a member as a message."""
    return peer_pb2.Member(
        id=m.id,
        peer_address=m.peer_address,
        operator_address=m.operator_address,
        data_centre=m.data_centre,
        incarnation=m.incarnation,
        heartbeat=m.heartbeat,
        leaving=m.leaving,
    )
