"""Requests to the platform's metadata store and decoding of its responses."""

import base64
import dataclasses
import urllib.parse
from typing import Annotated

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import store_version

__all__ = [
    "EPOCH_HEADER",
    "MAX_ROWS",
    "Page",
    "Row",
    "changes_request",
    "decode_page",
    "listing_request",
    "parse_epoch",
    "put_request",
]

# Largest number of rows of a response, and of a listing. Decoded, small rows take several times the
# memory of their encoded form.
MAX_ROWS = 50_000
# Field that each row has once; quotes within texts are escaped.
_ROW_MARK = b'"key"'

# Header of all responses with the number of the store's epoch, and its longest text in characters.
EPOCH_HEADER = b"store-era"
MAX_EPOCH_CHARS = 15

_Version = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row; ``value`` is ``None`` if the row was deleted."""

    key: str
    value: bytes | None
    version: store_version.StoreVersion


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Rows of one response.

    :ivar version: version of the store that the rows reflect; the change feed continues from it.
    :ivar has_more: whether the listing continues after the last row.
    :ivar clock_s: time of the store's steady clock in seconds at which it answered, ``None`` if the
        response does not tell.
    """

    rows: tuple[Row, ...]
    version: store_version.StoreVersion
    has_more: bool
    clock_s: float | None = None


class _Row(msgspec.Struct, rename="kebab"):
    key: str
    ver: _Version
    part: str = ""
    value: str | None = None
    # Marks a deleted row.
    tombstone: bool = False


class _Page(msgspec.Struct, rename="kebab"):
    ver: _Version
    rows: list[_Row] = []
    has_more: bool = False
    now_ms: Annotated[float, msgspec.Meta(ge=0, le=2**63)] | None = None


class _Put(msgspec.Struct, rename="kebab"):
    table: str
    part: str
    key: str
    value: str


class _Transaction(msgspec.Struct, rename="kebab"):
    put: list[_Put]
    # Expected row versions; always empty here, because writes are unconditional.
    expect: list[dict] = []
    remove: list[dict] = []


_decoder = msgspec.json.Decoder(_Page, strict=False)


def listing_request(table: str, start: str | None) -> str:
    """Return the target of a GET that lists a table.

    :param start: first key of the page, ``None`` for the first page.
    """
    query = {"table": table, "part": ""}
    if start is not None:
        query["from"] = start
    return "/v1/rows-get?" + urllib.parse.urlencode(query)


def changes_request(table: str, after: int, wait_s: float) -> str:
    """Return the target of a GET that long-polls the changes of a table.

    :param after: version after which changes are returned.
    :param wait_s: maximum wait in seconds.
    """
    query = {"table": table, "after": after, "wait-ms": int(wait_s * 1000)}
    return "/v1/rows-feed?" + urllib.parse.urlencode(query)


def put_request(table: str, key: str, value: bytes) -> tuple[str, bytes]:
    """Return the target and body of a POST that writes one row unconditionally."""
    text = base64.b64encode(value).decode()
    transaction = _Transaction(put=[_Put(table, "", key, text)])
    return "/v1/rows-tx", msgspec.json.encode(transaction)


def parse_epoch(value: bytes | None) -> int | None:
    """Return the epoch that a response tells, ``None`` if it has no header for it.

    :raises waxwingspool.exceptions.StoreUnavailable: the header can't be read.

    >>> parse_epoch(b"3")
    3
    """
    if value is None:
        return None
    if len(value) > MAX_EPOCH_CHARS or not value.isdigit():
        raise exceptions.StoreUnavailable(f"unreadable epoch: {value[:MAX_EPOCH_CHARS]!r}")
    return int(value)


def decode_page(body: bytes, epoch: int) -> Page:
    """Decode the body of a response; rows of other parts than the empty one are left out.

    :param epoch: epoch in which the store responded.
    :raises waxwingspool.exceptions.StoreUnavailable: if the body is malformed.
    """
    if body.count(_ROW_MARK) > MAX_ROWS:
        raise exceptions.StoreUnavailable(f"a response of over {MAX_ROWS} rows")
    try:
        page = _decoder.decode(body)
        rows = tuple(
            Row(row.key, _decode_value(row), store_version.StoreVersion(epoch, row.ver))
            for row in page.rows
            if not row.part
        )
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise exceptions.StoreUnavailable(f"malformed response: {error}") from error
    clock_s = None if page.now_ms is None else page.now_ms / 1000
    version = store_version.StoreVersion(epoch, page.ver)
    return Page(rows, version, page.has_more, clock_s)


def _decode_value(row: _Row) -> bytes | None:
    if row.tombstone:
        return None
    return base64.b64decode(row.value or "", validate=True)
