"""Decoding of the registration rows that upstreams write to the metadata store."""

import msgspec

from waxwingspool.catalog import upstreams
from waxwingspool.platform import settings

__all__ = ["TABLE", "decode"]

# Store table with one row for each upstream; the key is the upstream's id.
TABLE = "servers"

_READY = "ready"
_DRAINING = "draining"


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    warmup_left_ms: float = 0
    born: int = 0


_decoder = msgspec.json.Decoder(_Entry)


def decode(id_: str, value: bytes, row_version: int, now: float) -> upstreams.Upstream | None:
    """Return the upstream that a row describes.

    :param id_: key of the row.
    :param now: monotonic time in seconds from which the remaining warm-up is counted.
    :returns: the upstream, ``None`` if the row does not describe a valid one; programs other than
        upstreams can write to the table too.
    """
    try:
        entry = _decoder.decode(value)
        address = settings.parse_address(entry.address)
    except (msgspec.DecodeError, ValueError):
        return None
    if entry.state not in (_READY, _DRAINING) or entry.slots < 1:
        return None
    return upstreams.Upstream(
        id=id_,
        service=entry.service,
        address=address,
        data_centre=entry.zone,
        slots=entry.slots,
        draining=entry.state == _DRAINING,
        warm_at=now + entry.warmup_left_ms / 1000,
        started_ms=entry.born,
        row_version=row_version,
    )
