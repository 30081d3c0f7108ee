"""Client of the platform's transactional table.

:class:`Table` is the interface; only the client that :func:`http_table` returns depends on the
wire format. A commit is one transaction: each row is checked against its expected version, and
either all rows are written or none.
"""

import dataclasses
import json
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import aiohttp
import expression

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = [
    "ABSENT",
    "Committed",
    "Conflict",
    "Row",
    "Table",
    "Write",
    "counting_table",
    "http_table",
]

# Expected version of a row that does not exist.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table.

    :ivar version: increases with each write of the row; at least 1.
    """

    key: str
    version: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write.

    :ivar expected: version that the row must have, :data:`ABSENT` to insert it.
    :ivar value: new value, or ``None`` to delete the row.
    """

    key: str
    expected: int
    value: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Result of a transaction that was committed.

    :ivar versions: new version of each written row, by key.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Result of a transaction that was rejected because a condition failed; nothing was written.

    :ivar rows: current row for each write whose condition failed, ``None`` if it does not exist.
    """

    rows: dict[str, Row | None]


class Table(Protocol):
    """Interface of the table.

    Each method raises :class:`~waxwingspool.exceptions.StoreUnavailable` if the request had no
    effect; ``commit`` raises :class:`~waxwingspool.exceptions.StoreAnswerLost` if the write may
    have taken effect.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the existing rows among ``keys``, as of the latest commit."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix`` and sort after ``after``."""

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        """Apply all writes in one transaction, or none of them."""


def http_table(session: aiohttp.ClientSession, base_url: str, timeout_s: float = 2.0) -> Table:
    """Return a client for a table over HTTP.

    :param session: HTTP client session.
    :param base_url: base URL of the table service.
    :param timeout_s: time limit for one request, in seconds.
    :returns: the client.
    """
    return _HttpTable(http.endpoint(session, base_url, timeout_s))


def counting_table(inner: Table, count: Callable[[str], None]) -> Table:
    """Return a wrapper of a table that counts the calls.

    :param inner: the table.
    :param count: called with ``read``, ``scan`` or ``commit`` before each call.
    :returns: a table that forwards every call to ``inner``.
    """
    return _CountingTable(inner, count)


class _CountingTable:
    """Forwards calls to a table and counts them."""

    def __init__(self, inner: Table, count: Callable[[str], None]) -> None:
        self._inner = inner
        self._count = count

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        self._count("read")
        return await self._inner.read(keys)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        self._count("scan")
        return await self._inner.scan(prefix, after, limit)

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        self._count("commit")
        return await self._inner.commit(writes)


class _HttpTable:
    """Table client over HTTP with JSON bodies."""

    def __init__(self, endpoint: http.Endpoint) -> None:
        self._endpoint = endpoint

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        reply = await self._post("/read", {"keys": list(keys)}, exceptions.StoreUnavailable)
        return {r["key"]: _parse_row(r) for r in reply["rows"]}

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        body = {"prefix": prefix, "after": after, "limit": limit}
        reply = await self._post("/scan", body, exceptions.StoreUnavailable)
        return [_parse_row(r) for r in reply["rows"]]

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        body = {"writes": [dataclasses.asdict(w) for w in writes]}
        reply = await self._post("/commit", body, exceptions.StoreAnswerLost)
        if reply["committed"]:
            return expression.Ok(Committed(reply["versions"]))
        rows = {key: row and _parse_row(row) for key, row in reply["conflicts"].items()}
        return expression.Error(Conflict(rows))

    async def _post(self, path: str, body: dict, error_type: type[Exception]) -> dict:
        """Send a request and return the response body.

        :param error_type: exception to raise if the request may have reached the table.
        """
        try:
            async with self._endpoint.session.post(
                self._endpoint.base_url + path, json=body, timeout=self._endpoint.timeout
            ) as response:
                if response.status == 503:
                    raise exceptions.StoreUnavailable(f"table refused {path}")
                response.raise_for_status()
                return json.loads(await http.read_body(response, http.MAX_PLATFORM_BYTES))
        except aiohttp.ClientConnectorError as error:
            raise exceptions.StoreUnavailable(f"table can't be reached: {error}") from error
        except http.CALL_ERRORS as error:
            raise error_type(f"no answer from the table: {error!r}") from error


def _parse_row(value: dict) -> Row:
    """Return a row from its JSON form."""
    return Row(value["key"], value["version"], value["value"])
