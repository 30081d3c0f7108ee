"""Frames between balancers: MessagePack messages, each with a length prefix of four bytes.

Large frames are compressed and have the top bit of the length set, because one reader sends the
configuration to every balancer in its region and the links of small VMs carry only a few megabits
per second.
"""

import zlib
from collections.abc import Iterator

import msgspec

from waxwingspool.catalog import store_version

__all__ = [
    "DEPARTURE_FRAMES",
    "SlotRequest",
    "ListingRequest",
    "Unsubscribe",
    "Frame",
    "TableAges",
    "Granted",
    "HeldSlot",
    "Hello",
    "Leaving",
    "LendShare",
    "RateLimit",
    "Refused",
    "Release",
    "Rows",
    "SLOT_FRAMES",
    "Straggler",
    "Subscribe",
    "decode",
    "encode",
    "split",
]

LENGTH_BYTES = 4
# Flag in the top bit of the length prefix: the frame is compressed.
COMPRESSED = 1 << 31
# Size in bytes above which a frame is compressed.
COMPRESS_ABOVE_BYTES = 1024
COMPRESSION_LEVEL = 1
# Largest frame in bytes, also after decompression; it must hold the listing of a table, whose rows
# have up to 64 KiB each.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Hello(msgspec.Struct, array_like=True, tag=0):
    """First frame on a connection; identifies the balancer that opened it."""

    ip: str


class Leaving(msgspec.Struct, array_like=True, tag=1):
    """The sender is shutting down and must not be selected as dispatcher or reader."""


# Ids and starts of upstreams that are leaving, which the receiver has not been told before; see
# :mod:`waxwingspool.fleet.departures`.
_Departures = tuple[tuple[str, int], ...]


class SlotRequest(msgspec.Struct, array_like=True, tag=2):
    """A request for a slot; see :class:`waxwingspool.dispatch.slots.SlotRequest`.

    :ivar lends_share: whether the sender lends its share of the rate limits of the service's
        upstreams; see :mod:`waxwingspool.dispatch.shares`.
    """

    service: str
    key: int
    data_centre: str
    remaining_s: float
    objective_s: float
    priority: int
    size: int
    excluded: tuple[str, ...]
    borrowed: bool
    hedge: bool
    lends_share: bool = False
    departures: _Departures = ()


class Granted(msgspec.Struct, array_like=True, tag=3):
    """Grants a slot at an upstream to the slot request with this key.

    :ivar expected_s: expected response time in seconds.
    :ivar limited: whether the upstream has a rate limit, so that the sender wants to be told what
        the response says about it.
    """

    key: int
    upstream: str
    expected_s: float
    limited: bool = False
    departures: _Departures = ()


class Refused(msgspec.Struct, array_like=True, tag=4):
    """Refuses the slot request with this key."""

    key: int
    retry_after_s: float
    reason: str
    departures: _Departures = ()


class Release(msgspec.Struct, array_like=True, tag=5):
    """Releases a slot, or cancels the slot request with this key if it is still queued.

    :ivar outcome: value of :class:`waxwingspool.dispatch.health.Outcome`.
    :ivar seconds: time from sending the request to receiving the head of the response.
    :ivar slowdown: slowdown that the upstream reported, ``None`` if it reported none.
    """

    service: str
    key: int
    outcome: str
    seconds: float
    slowdown: float | None
    departures: _Departures = ()


class HeldSlot(msgspec.Struct, array_like=True, tag=6):
    """Reports a slot that the sender got from a previous dispatcher."""

    request: SlotRequest
    upstream: str


class Subscribe(msgspec.Struct, array_like=True, tag=7):
    """Subscribes to rows; ``versions`` holds the version of each table that the sender has.

    ``sent_at`` is the sender's monotonic time in seconds, and ``epochs`` holds the epochs of the
    versions.
    """

    versions: dict[str, int]
    sent_at: float | None = None
    epochs: dict[str, int] = {}

    def store_version(self, table: str) -> store_version.StoreVersion:
        """Return the version of a table that the sender has."""
        if table not in self.versions:
            return store_version.UNKNOWN
        return store_version.StoreVersion(self.epochs.get(table, 0), self.versions[table])


class Rows(msgspec.Struct, array_like=True, tag=8):
    """Rows of a table as key, version and value; the value of a deleted row is ``None``.

    ``after`` is the version of the table before these changes, ``None`` for a complete listing.
    ``age_s`` is the time in seconds since the store confirmed this version to the sender,
    ``sent_at`` the sender's monotonic time in seconds, and ``requested_at`` that of the receiver
    in the ``Subscribe`` frame to which this is the reply. All versions are of one epoch, 0 if the
    sender does not tell it.
    """

    table: str
    after: int | None
    version: int
    rows: list[tuple[str, int, bytes | None]]
    age_s: float = 0.0
    sent_at: float | None = None
    requested_at: float | None = None
    epoch: int = 0


class TableAges(msgspec.Struct, array_like=True, tag=9):
    """Version and age in seconds of the sender's tables, except the members' table.

    ``sent_at`` and ``requested_at`` are those of :class:`Rows`; ``arriving`` tells whether newer
    rows are arriving at the sender. ``epochs`` holds the epochs of the versions.
    """

    ages: dict[str, tuple[int, float]]
    sent_at: float | None = None
    requested_at: float | None = None
    arriving: bool = False
    epochs: dict[str, int] = {}

    def store_version(self, table: str) -> store_version.StoreVersion:
        """Return the version of one of the sender's tables."""
        return store_version.StoreVersion(self.epochs.get(table, 0), self.ages[table][0])


class Unsubscribe(msgspec.Struct, array_like=True, tag=10):
    """Cancels the sender's subscription to rows."""


class ListingRequest(msgspec.Struct, array_like=True, tag=11):
    """Requests a complete listing of a table, because the sender has missed changes."""

    table: str


class Straggler(msgspec.Struct, array_like=True, tag=12):
    """Reports a straggler: the request in this slot probably started under contention.

    It will take much longer than expected.
    """

    key: int


class RateLimit(msgspec.Struct, array_like=True, tag=13):
    """Tells what a response of an upstream says about its rate limit.

    See :class:`waxwingspool.dispatch.rates.LimitReport`.

    :ivar started_ms: start of the incarnation of the upstream.
    :ivar told_at: the sender's monotonic time in seconds.
    :ivar sent_ago_s: time in seconds from the sending of the request to ``told_at``.
    :ivar received_ago_s: time in seconds from the head of the response to ``told_at``.
    """

    upstream: str
    started_ms: int
    rate: float | None
    told_at: float
    sent_ago_s: float
    received_ago_s: float
    request_id: str
    probe: bool


class LendShare(msgspec.Struct, array_like=True, tag=14):
    """Lends the sender's share of the rate limits of a service for some more time."""

    service: str


Frame = (
    Hello
    | Leaving
    | SlotRequest
    | Granted
    | Refused
    | Release
    | HeldSlot
    | Subscribe
    | Rows
    | TableAges
    | Unsubscribe
    | ListingRequest
    | Straggler
    | RateLimit
    | LendShare
)

# Frames between a dispatcher and the balancers that request slots from it.
SLOT_FRAMES = (
    SlotRequest,
    Granted,
    Refused,
    Release,
    HeldSlot,
    Straggler,
    RateLimit,
    LendShare,
)

# Frames that tell departures of upstreams besides.
DEPARTURE_FRAMES = (SlotRequest, Granted, Refused, Release)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return an encoded frame with its length prefix."""
    data = _encoder.encode(frame)
    flag = 0
    if len(data) > COMPRESS_ABOVE_BYTES:
        data = zlib.compress(data, COMPRESSION_LEVEL)
        flag = COMPRESSED
    return (len(data) | flag).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Frame:
    """Return the frame decoded from the bytes after the length prefix.

    :raises msgspec.DecodeError: the bytes are not a valid frame.

    >>> decode(encode(Hello("10.0.0.1"))[4:])
    Hello(ip='10.0.0.1')
    """
    return _decoder.decode(data)


def split(buffer: bytearray) -> Iterator[bytes]:
    """Remove and yield the complete frames at the start of a buffer, one at a time.

    :raises ValueError: a frame exceeds :data:`MAX_FRAME_BYTES` or cannot be decompressed.
    """
    while len(buffer) >= LENGTH_BYTES:
        field = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        size = field & ~COMPRESSED
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"frame of {size} bytes exceeds the size limit")
        end = LENGTH_BYTES + size
        if len(buffer) < end:
            break
        data = bytes(buffer[LENGTH_BYTES:end])
        del buffer[:end]
        yield _unpack(data) if field & COMPRESSED else data


def _unpack(data: bytes) -> bytes:
    """Decompress a frame, up to the limit on its size."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot decompress frame: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError("decompressed frame exceeds the size limit")
    return unpacked
