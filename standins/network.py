"""Imitated delays and links between regions, told apart by the IP number of the other side.

Addresses are ``127.R.x.y`` where ``R`` is the region's number.
"""

import asyncio
import dataclasses
import time

__all__ = ["Network", "region_of"]


def region_of(ip: str | None) -> int:
    """Return the region number in a loopback address.

    >>> region_of("127.2.0.9")
    2
    """
    return int(ip.split(".")[1]) if ip else 0


@dataclasses.dataclass(slots=True)
class Network:
    """Delays as seen from one region, and the link that others reach it by.

    :ivar region: number of the region that this process stands in.
    :ivar inside_ms: one-way delay inside the region.
    :ivar across_ms: one-way delay to another region.
    :ivar bits_per_s: bandwidth of the link, each way.
    """

    region: int
    inside_ms: float = 0.0
    across_ms: float = 0.0
    bits_per_s: float = 30e6
    crossed_bytes: int = 0
    _free_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_across(self, ip: str | None) -> bool:
        """Return whether the other side is in another region."""
        return region_of(ip) != self.region

    async def cross(self, ip: str | None, way: str, n: int) -> None:
        """Wait as long as ``n`` bytes take to or from the other side.

        :param ip: address of the other side.
        :param way: ``in`` or ``out``.
        :param n: bytes.
        """
        if not self.is_across(ip):
            if self.inside_ms:
                await asyncio.sleep(self.inside_ms / 1000)
            return
        self.crossed_bytes += n
        now = time.monotonic()
        start = max(now, self._free_at.get(way, 0.0))
        self._free_at[way] = start + n * 8 / self.bits_per_s
        await asyncio.sleep(self._free_at[way] - now + self.across_ms / 1000)
