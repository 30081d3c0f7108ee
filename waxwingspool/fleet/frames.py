"""Messages between balancers: MessagePack, each with a length of four bytes before it."""

import msgspec

__all__ = [
    "Ask",
    "Behind",
    "Cancel",
    "Frame",
    "Fresh",
    "Granted",
    "Held",
    "Hello",
    "Leaving",
    "Refused",
    "Release",
    "Rows",
    "SLOT_FRAMES",
    "Subscribe",
    "decode",
    "encode",
    "split",
]

LENGTH_BYTES = 4
# Largest frame: a snapshot of rows, each at most 64 KiB in the store.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Hello(msgspec.Struct, array_like=True, tag=0):
    """The first frame on a connection: who opened it."""

    ip: str


class Leaving(msgspec.Struct, array_like=True, tag=1):
    """The sender is stopping: give it no more jobs."""


class Ask(msgspec.Struct, array_like=True, tag=2):
    """A request for a slot; see :class:`waxwingspool.dispatch.slots.Ask`."""

    service: str
    key: int
    data_centre: str
    left_s: float
    objective_s: float
    priority: int
    size: int
    excluded: tuple[str, ...]
    borrowed: bool
    hedge: bool


class Granted(msgspec.Struct, array_like=True, tag=3):
    """A slot at an upstream."""

    key: int
    upstream: str
    expected_s: float


class Refused(msgspec.Struct, array_like=True, tag=4):
    """No slot."""

    key: int
    retry_after_s: float
    reason: str


class Release(msgspec.Struct, array_like=True, tag=5):
    """A slot is given back, or an ask taken back."""

    service: str
    key: int
    outcome: str
    seconds: float
    slowdown: float | None


class Held(msgspec.Struct, array_like=True, tag=6):
    """A slot that the sender holds from an earlier dispatcher."""

    ask: Ask
    upstream: str


class Subscribe(msgspec.Struct, array_like=True, tag=7):
    """The sender wants rows; versions by table, what it has already."""

    versions: dict[str, int]


class Rows(msgspec.Struct, array_like=True, tag=8):
    """Rows of a table as key, version and value; no value means that the row was dropped.

    ``after`` is the version that the rows follow on; ``None`` for a complete listing.
    """

    table: str
    after: int | None
    version: int
    rows: list[tuple[str, int, bytes | None]]


class Fresh(msgspec.Struct, array_like=True, tag=9):
    """The sender's rows are as the store had them this many seconds ago, by table."""

    ages: dict[str, tuple[int, float]]


class Cancel(msgspec.Struct, array_like=True, tag=10):
    """The sender no longer wants rows."""


class Behind(msgspec.Struct, array_like=True, tag=11):
    """The sender missed rows and wants a complete listing of a table."""

    table: str


Frame = (
    Hello
    | Leaving
    | Ask
    | Granted
    | Refused
    | Release
    | Held
    | Subscribe
    | Rows
    | Fresh
    | Cancel
    | Behind
)

# Frames between a dispatcher and those that ask it.
SLOT_FRAMES = (Ask, Granted, Refused, Release, Held)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Frame)


def encode(frame: Frame) -> bytes:
    """Return a frame with its length."""
    data = _encoder.encode(frame)
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def decode(data: bytes) -> Frame:
    """Return the frame in the bytes after the length.

    :raises msgspec.DecodeError: the bytes are no frame.

    >>> decode(encode(Hello("10.0.0.1"))[4:])
    Hello(ip='10.0.0.1')
    """
    return _decoder.decode(data)


def split(buffer: bytearray) -> list[bytes]:
    """Remove and return the complete frames at the start of a buffer.

    :raises ValueError: a frame is larger than any that balancers send.
    """
    found = []
    while len(buffer) >= LENGTH_BYTES:
        size = int.from_bytes(buffer[:LENGTH_BYTES], "big")
        if size > MAX_FRAME_BYTES:
            raise ValueError(f"a frame of {size} bytes")
        end = LENGTH_BYTES + size
        if len(buffer) < end:
            break
        found.append(bytes(buffer[LENGTH_BYTES:end]))
        del buffer[:end]
    return found
