"""The balancers of the deployment, as rows in the store.

A row is a hint: it may name a balancer that is gone. Whether a peer does its job is seen on the
link to it.
"""

import msgspec

from waxwingspool.catalog import node

__all__ = ["TABLE", "Member", "Members", "encode"]

# The balancers' own table in the store; the key of a row is the balancer's address.
TABLE = "balancers"


class Member(msgspec.Struct):
    """What a balancer writes of itself."""

    name: str
    data_centre: str
    region: str


_decoder = msgspec.json.Decoder(Member)


def encode(settings: node.NodeSettings) -> bytes:
    """Return this balancer's own row."""
    return msgspec.json.encode(Member(settings.name, settings.data_centre, settings.region))


class Members:
    """All known balancers, by address.

    :param settings: this balancer's; it is always a member.
    """

    def __init__(self, settings: node.NodeSettings) -> None:
        own = Member(settings.name, settings.data_centre, settings.region)
        self._own_ip = settings.ip
        self._members = {settings.ip: own}

    @property
    def count(self) -> int:
        """How many balancers there are."""
        return len(self._members)

    def in_region(self, region: str) -> list[str]:
        """Return the addresses of a region's balancers."""
        return [ip for ip, member in self._members.items() if member.region == region]

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
