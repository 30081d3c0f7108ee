"""The balancers of the deployment, as rows in the store.

A row is a hint: it may name a balancer that is gone. Whether a peer does its job is seen on the
link to it.
"""

import msgspec

from waxwingspool.catalog import node

# Part of the best link and processor of a region that a balancer needs to work for the others.
CAPABLE_SHARE = 0.5

__all__ = ["TABLE", "Member", "Members", "encode"]

# The balancers' own table in the store; the key of a row is the balancer's address.
TABLE = "balancers"


class Member(msgspec.Struct):
    """What a balancer writes of itself.

    :ivar link_mbps: bandwidth of its link in megabits a second.
    :ivar cores: processor cores that it may use.
    """

    name: str
    data_centre: str
    region: str
    link_mbps: float = 1000.0
    cores: float = 1.0


_decoder = msgspec.json.Decoder(Member)


def encode(settings: node.NodeSettings) -> bytes:
    """Return this balancer's own row."""
    return msgspec.json.encode(own_member(settings))


def own_member(settings: node.NodeSettings) -> Member:
    """Return what this balancer says of itself."""
    return Member(
        settings.name,
        settings.data_centre,
        settings.region,
        settings.link_mbps,
        settings.cores,
    )


class Members:
    """All known balancers, by address.

    :param settings: this balancer's; it is always a member.
    """

    def __init__(self, settings: node.NodeSettings) -> None:
        self._own_ip = settings.ip
        self._members = {settings.ip: own_member(settings)}

    @property
    def count(self) -> int:
        """How many balancers there are."""
        return len(self._members)

    def in_region(self, region: str) -> list[str]:
        """Return the addresses of a region's balancers."""
        return [ip for ip, member in self._members.items() if member.region == region]

    def capable(self, region: str) -> list[str]:
        """Return the addresses of a region's balancers that can work for the others.

        A balancer with a narrow link or a small part of a core would hold everybody up.
        """
        there = {ip: member for ip, member in self._members.items() if member.region == region}
        link_mbps = max((m.link_mbps for m in there.values()), default=0.0)
        cores = max((m.cores for m in there.values()), default=0.0)
        return [
            ip
            for ip, member in there.items()
            if member.link_mbps >= CAPABLE_SHARE * link_mbps
            and member.cores >= CAPABLE_SHARE * min(cores, 1.0)
        ]

    def regions(self) -> set[str]:
        """Return the regions that have balancers."""
        return {member.region for member in self._members.values()}

    def put(self, ip: str, value: bytes | None) -> bool:
        """Take over a row.

        :param value: its value, ``None`` if it was dropped.
        :returns: whether the row could be read.
        """
        if value is None:
            if ip != self._own_ip:
                self._members.pop(ip, None)
            return True
        try:
            member = _decoder.decode(value)
        except msgspec.DecodeError:
            return False
        for other, known in list(self._members.items()):
            # A replacement takes the name of the VM that it replaces.
            if known.name == member.name and other not in (ip, self._own_ip):
                del self._members[other]
        self._members[ip] = member
        return True
