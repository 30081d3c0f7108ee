"""Simulated network delays and bandwidth between regions.

The region of a peer is taken from its IP address ``127.R.x.y``, where ``R`` is the region's number.
"""

import asyncio
import dataclasses
import time

__all__ = ["Network", "region_of"]


def region_of(ip: str | None) -> int:
    """Return the region number that a loopback address encodes, 0 if there is no address.

    >>> region_of("127.2.0.9")
    2
    """
    return int(ip.split(".")[1]) if ip else 0


@dataclasses.dataclass(slots=True)
class Network:
    """Network delays as seen from one region, and the link to the other regions.

    :ivar region: number of the region that this process runs in.
    :ivar inside_ms: one-way delay within the region, in milliseconds.
    :ivar across_ms: one-way delay to another region, in milliseconds.
    :ivar bits_per_s: bandwidth of the link in each direction.
    :ivar crossed_bytes: bytes sent over the link in both directions.
    """

    region: int
    inside_ms: float = 0.0
    across_ms: float = 0.0
    bits_per_s: float = 30e6
    crossed_bytes: int = 0
    _link_free_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_cross_region(self, ip: str | None) -> bool:
        """Return whether an address is in another region."""
        return region_of(ip) != self.region

    async def simulate_transfer(self, ip: str | None, direction: str, byte_count: int) -> None:
        """Wait for as long as a transfer takes, including the wait for earlier ones on the link.

        :param ip: IP address of the peer.
        :param direction: ``in`` or ``out``.
        :param byte_count: size of the transfer in bytes.
        """
        if not self.is_cross_region(ip):
            if self.inside_ms:
                await asyncio.sleep(self.inside_ms / 1000)
            return
        self.crossed_bytes += byte_count
        now = time.monotonic()
        start = max(now, self._link_free_at.get(direction, 0.0))
        self._link_free_at[direction] = start + byte_count * 8 / self.bits_per_s
        await asyncio.sleep(self._link_free_at[direction] - now + self.across_ms / 1000)
