"""Membership: the balancers of the deployment, registered as rows in the store.

A row is only a hint and may name a balancer that has stopped. The link to a peer shows whether it
is working.
"""

import ipaddress
from typing import Annotated

import msgspec

from waxwingspool.catalog import node

# Time in seconds by which the round trip from a region to the store must be longer than from the
# nearest one for the region to count as remote: more than between data centres of a region.
MIN_REMOTE_RTT_S = 0.01
# Minimum capacity of a dispatcher or reader: fraction of the fastest link in its region and of the
# largest number of processor cores there, of which at most one counts.
MIN_RELATIVE_CAPACITY = 0.5

__all__ = ["TABLE", "Member", "Members", "encode", "own_member", "read_position"]

# Table of the store that lists the balancers; the key of a row is the balancer's IP address.
TABLE = "balancers"


class Member(msgspec.Struct):
    """Row in which a balancer registers itself.

    :ivar link_mbps: bandwidth of its link in megabits per second.
    :ivar cores: processor cores that it may use.
    :ivar store_rtt_s: round-trip time to the store in seconds, ``None`` if it is not known.
    :ivar started_ms: Unix time of its start in milliseconds, 0 if unknown.
    """

    name: str
    data_centre: str
    region: str
    link_mbps: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 1000.0
    cores: Annotated[float, msgspec.Meta(ge=0, le=1e6)] = 1.0
    store_rtt_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] | None = None
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=10**15)] = 0


_decoder = msgspec.json.Decoder(Member)


def encode(
    settings: node.NodeSettings, store_rtt_s: float | None = None, started_ms: int = 0
) -> bytes:
    """Return the encoded row of this balancer.

    :param store_rtt_s: see :class:`Member`.
    :param started_ms: see :class:`Member`.
    """
    return msgspec.json.encode(own_member(settings, store_rtt_s, started_ms))


def own_member(
    settings: node.NodeSettings, store_rtt_s: float | None = None, started_ms: int = 0
) -> Member:
    """Return this balancer as a member."""
    return Member(
        settings.name,
        settings.data_centre,
        settings.region,
        settings.link_mbps,
        settings.cores,
        store_rtt_s,
        started_ms,
    )


def read_position(value: bytes) -> tuple[int, int] | None:
    """Return the place of a row in the order of its writer's rows, ``None`` if it is unknown.

    A balancer registers once in each start.
    """
    try:
        member = _decoder.decode(value)
    except (msgspec.DecodeError, RecursionError):
        return None
    return (member.started_ms, 0) if member.started_ms else None


class Members:
    """All known balancers, by IP address.

    :param settings: settings of this balancer, which is always a member.
    :param started_ms: Unix time of its start in milliseconds, 0 if unknown.
    """

    def __init__(self, settings: node.NodeSettings, started_ms: int = 0) -> None:
        self._own_ip = settings.ip
        self._revision = 0
        self._members = {settings.ip: own_member(settings, started_ms=started_ms)}
        self._store_rtts_s: dict[str, float] = {}
        self._rtts_revision = -1

    @property
    def revision(self) -> int:
        """Number of changes so far, from which results for these members can be cached."""
        return self._revision

    @property
    def count(self) -> int:
        """Number of known balancers, including this one."""
        return len(self._members)

    def addresses(self) -> list[str]:
        """Return the addresses of all known balancers."""
        return list(self._members)

    def in_region(self, region: str) -> list[str]:
        """Return the addresses of the balancers in a region."""
        return [ip for ip, member in self._members.items() if member.region == region]

    def eligible(self, region: str) -> list[str]:
        """Return the addresses of the balancers in a region that may be dispatcher or reader.

        A balancer with a slow link or a small fraction of a core would delay all the others.
        """
        candidates = {ip: member for ip, member in self._members.items() if member.region == region}
        link_mbps = max((m.link_mbps for m in candidates.values()), default=0.0)
        cores = max((m.cores for m in candidates.values()), default=0.0)
        return [
            ip
            for ip, member in candidates.items()
            if member.link_mbps >= MIN_RELATIVE_CAPACITY * link_mbps
            and member.cores >= MIN_RELATIVE_CAPACITY * min(cores, 1.0)
        ]

    def regions(self) -> set[str]:
        """Return all regions that have a balancer."""
        return {member.region for member in self._members.values()}

    def region_of(self, ip: str) -> str | None:
        """Return the region of a balancer, ``None`` if it is not known."""
        member = self._members.get(ip)
        return None if member is None else member.region

    def region_next_to_store(self, region: str) -> str | None:
        """Return the region nearest the store if a region is remote from it, else ``None``."""
        rtts_s = self._get_store_rtts_s()
        if region not in rtts_s:
            return None
        nearest = min(rtts_s, key=lambda name: (rtts_s[name], name))
        return nearest if rtts_s[region] - rtts_s[nearest] >= MIN_REMOTE_RTT_S else None

    def _get_store_rtts_s(self) -> dict[str, float]:
        """Return the shortest known round-trip time to the store from each region, in seconds."""
        if self._rtts_revision != self._revision:
            self._rtts_revision = self._revision
            self._store_rtts_s = {}
            for member in self._members.values():
                if member.store_rtt_s is not None:
                    shortest_s = self._store_rtts_s.get(member.region, float("inf"))
                    self._store_rtts_s[member.region] = min(shortest_s, member.store_rtt_s)
        return self._store_rtts_s

    def update(self, ip: str, value: bytes | None) -> bool:
        """Add, replace or remove a member.

        :param ip: address of the member, which is the key of its row.
        :param value: value of the row, ``None`` if it was deleted.
        :returns: whether the key is an address and the value could be decoded.
        """
        self._revision += 1
        if value is None:
            if ip != self._own_ip:
                self._members.pop(ip, None)
            return True
        try:
            ipaddress.IPv4Address(ip)
            member = _decoder.decode(value)
        except (msgspec.DecodeError, ValueError, RecursionError):
            return False
        # A replacement VM has the name of the VM that it replaces.
        namesakes = [
            other
            for other, existing in self._members.items()
            if existing.name == member.name and other != ip
        ]
        newer = {other for other in namesakes if _started_after(self._members[other], member)}
        if newer and ip != self._own_ip:
            self._members.pop(ip, None)
            return True
        for other in namesakes:
            if other != self._own_ip and other not in newer:
                del self._members[other]
        self._members[ip] = member
        return True


def _started_after(member: Member, other: Member) -> bool:
    """Return whether a member started after another one, as far as both starts are known."""
    return bool(other.started_ms) and member.started_ms > other.started_ms
