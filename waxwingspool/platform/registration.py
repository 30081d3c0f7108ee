"""Decoding of the registration rows that upstreams write to the metadata store."""

import re
from typing import Annotated

import msgspec

from waxwingspool.catalog import node, store_version, upstreams
from waxwingspool.platform import settings

__all__ = ["TABLE", "decode", "read_position"]

# Store table with one row for each upstream; the key is the upstream's id.
TABLE = "servers"

# Largest number of slots: an upstream with as many connections as a port range allows.
MAX_SLOTS = 65536
# Longest warm-up in milliseconds: a day.
MAX_WARMUP_MS = 86_400_000
# Latest start, as Unix time in milliseconds.
MAX_STARTED_MS = 10**15

# Highest number of a report.
MAX_NUMBER = 2**63 - 1

# An id is sent as the value of a header.
_ID = re.compile(r"[!-~]{1,200}")
_READY = "ready"
_DRAINING = "draining"


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    warmup_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARMUP_MS)] = 0
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)] = 0
    # Number of the report, which starts anew with each start of the upstream.
    seq: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)] | None = None


_decoder = msgspec.json.Decoder(_Entry)


def read_position(value: bytes) -> tuple[int, int] | None:
    """Return start and number of the report in a row.

    :returns: ``None`` if the row does not describe a valid upstream, or does not tell both.
    """
    parsed = _parse(value)
    if parsed is None or not parsed[0].born or parsed[0].seq is None:
        return None
    return parsed[0].born, parsed[0].seq


def decode(
    id_: str, value: bytes, row_version: store_version.StoreVersion, now: float
) -> upstreams.Upstream | None:
    """Return the upstream that a row describes.

    :param id_: key of the row.
    :param now: monotonic time in seconds from which the remaining warm-up is counted.
    :returns: the upstream, ``None`` if the row does not describe a valid one; programs other than
        upstreams can write to the table too.
    """
    parsed = _parse(value)
    if parsed is None or not _ID.fullmatch(id_):
        return None
    entry, address = parsed
    return upstreams.Upstream(
        id=id_,
        service=entry.service,
        address=address,
        data_centre=entry.zone,
        slots=entry.slots,
        draining=entry.state == _DRAINING,
        warm_at=now + max(0.0, entry.warmup_left_ms) / 1000,
        started_ms=entry.born,
        row_version=row_version,
    )


def _parse(value: bytes) -> tuple[_Entry, node.Address] | None:
    """Return an entry and its address, ``None`` if it is not valid."""
    try:
        entry = _decoder.decode(value)
        address = settings.parse_address(entry.address)
    except (msgspec.DecodeError, ValueError, RecursionError):
        # Unknown fields are skipped, but the decoder limits the depth of nested values.
        return None
    return (entry, address) if entry.state in (_READY, _DRAINING) else None
