"""The platform's transactional table.

:class:`Table` is the interface; :func:`http_table` is the only code that knows the wire form. A
commit is one transaction: every row is checked against its expected version, and all rows are
written or none.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import aiohttp
import expression

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = ["ABSENT", "Committed", "Conflict", "Row", "Table", "Write", "counted", "http_table"]

# Version of a row that does not exist.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read.

    :ivar version: grows with each write of the row; at least 1.
    """

    key: str
    version: int
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write.

    :ivar expected: the version the row must have, :data:`ABSENT` to insert.
    :ivar value: the new value, ``None`` to delete the row.
    """

    key: str
    expected: int
    value: dict[str, Any] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """A transaction that took effect.

    :ivar versions: the new version of each row written.
    """

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A transaction that changed nothing.

    :ivar rows: for each write whose condition failed, the row as it is, ``None`` if absent.
    """

    rows: dict[str, Row | None]


class Table(Protocol):
    """What the product needs of the table.

    Each method raises :class:`~waxwingspool.exceptions.StoreUnavailable` if nothing was done, and
    ``commit`` raises :class:`~waxwingspool.exceptions.StoreAnswerLost` if the write may have taken
    effect.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist among ``keys``, from the latest state."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return up to ``limit`` rows whose keys start with ``prefix`` and follow ``after``."""

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        """Apply all writes in one transaction, or none."""


def http_table(session: aiohttp.ClientSession, base: str, timeout_s: float = 2.0) -> Table:
    """Return a table reached by HTTP.

    :param session: the client.
    :param base: base URL of the table service.
    :param timeout_s: longest wait for one answer.
    :returns: the table.
    """
    return _HttpTable(http.service(session, base, timeout_s))


def counted(store: Table, count: Callable[[str], None]) -> Table:
    """Return a table whose calls are counted.

    :param store: the table.
    :param count: called with ``read``, ``scan`` or ``commit`` before each call.
    :returns: a table that passes every call on.
    """
    return _CountedTable(store, count)


class _CountedTable:
    """A table whose calls are counted."""

    def __init__(self, store: Table, count: Callable[[str], None]) -> None:
        self._store = store
        self._count = count

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        self._count("read")
        return await self._store.read(keys)

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        self._count("scan")
        return await self._store.scan(prefix, after, limit)

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        self._count("commit")
        return await self._store.commit(writes)


class _HttpTable:
    """The table over HTTP with JSON bodies."""

    def __init__(self, service: http.Service) -> None:
        self._service = service

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        reply = await self._post("/read", {"keys": list(keys)}, exceptions.StoreUnavailable)
        return {r["key"]: _row(r) for r in reply["rows"]}

    async def scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        body = {"prefix": prefix, "after": after, "limit": limit}
        reply = await self._post("/scan", body, exceptions.StoreUnavailable)
        return [_row(r) for r in reply["rows"]]

    async def commit(self, writes: Sequence[Write]) -> expression.Result[Committed, Conflict]:
        body = {"writes": [dataclasses.asdict(w) for w in writes]}
        reply = await self._post("/commit", body, exceptions.StoreAnswerLost)
        if reply["committed"]:
            return expression.Ok(Committed(reply["versions"]))
        rows = {key: row and _row(row) for key, row in reply["conflicts"].items()}
        return expression.Error(Conflict(rows))

    async def _post(self, path: str, body: dict, lost: type[Exception]) -> dict:
        """Send a request; ``lost`` is raised where the request may have been received."""
        try:
            async with self._service.session.post(
                self._service.base + path, json=body, timeout=self._service.timeout
            ) as answer:
                if answer.status == 503:
                    raise exceptions.StoreUnavailable(f"table refused {path}")
                answer.raise_for_status()
                return await answer.json()
        except aiohttp.ClientConnectorError as error:
            raise exceptions.StoreUnavailable(f"table can't be reached: {error}") from error
        except (TimeoutError, aiohttp.ClientError, ConnectionError) as error:
            raise lost(f"no answer from the table: {error!r}") from error


def _row(value: dict) -> Row:
    """Return a row from its wire form."""
    return Row(value["key"], value["version"], value["value"])
