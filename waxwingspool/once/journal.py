"""The journal of non-idempotent requests in the platform's table."""

import dataclasses

from waxwingspool.interfaces import table
from waxwingspool.once import committer, entry

__all__ = ["Claimed", "Held", "Journal"]


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The row is the writer's.

    :ivar version: its version, which the next write must expect.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """The row as another writer left it."""

    entry: entry.Entry
    version: int


class Journal:
    """Reads and writes entries.

    :param store: the table, for reads.
    :param writer: the committer, for writes.
    """

    def __init__(self, store: table.Table, writer: committer.Committer) -> None:
        self._store = store
        self._writer = writer

    async def write(self, e: entry.Entry, expected: int, timeout_s: float) -> Claimed | Held | None:
        """Write an entry if the row's version is as expected.

        :param e: the entry.
        :param expected: the row's version, :data:`table.ABSENT` to insert.
        :param timeout_s: how long to try.
        :returns: the claim, or the row that stands in the way; ``None`` if the row is gone.
        :raises waxwingspool.exceptions.StoreUnavailable: if it was certainly not written.
        :raises waxwingspool.exceptions.StoreAnswerLost: if it may be written, now or later.
        """
        key = entry.row_key(e.service, e.key)
        write = table.Write(key, expected, entry.dump(e))
        result = await self._writer.commit(write, timeout_s)
        if result.is_ok():
            return Claimed(result.ok)
        return _held(result.error) if result.error is not None else None

    async def read(self, service: str, key: str) -> Held | None:
        """Return the row of an idempotency key.

        :param service: name of the service.
        :param key: the caller's key.
        :returns: the row, ``None`` if there is none.
        :raises waxwingspool.exceptions.StoreUnavailable: if the table did not answer.
        """
        name = entry.row_key(service, key)
        rows = await self._store.read([name])
        return _held(rows[name]) if name in rows else None

    async def scan(self, after: str, limit: int) -> list[tuple[str, Held]]:
        """Return a page of rows in the order of their table keys.

        :param after: table key to start after, empty for the first page.
        :param limit: most rows.
        :returns: pairs of table key and row.
        :raises waxwingspool.exceptions.StoreUnavailable: if the table did not answer.
        """
        rows = await self._store.scan(entry.PREFIX, after, limit)
        return [(row.key, _held(row)) for row in rows]

    async def remove(self, held: Held, timeout_s: float) -> None:
        """Delete a row unless it has changed.

        :param held: the row as read.
        :param timeout_s: how long to try.
        :raises waxwingspool.exceptions.WaxwingspoolError: if the table did not answer.
        """
        key = entry.row_key(held.entry.service, held.entry.key)
        await self._writer.commit(table.Write(key, held.version, None), timeout_s)


def _held(row: table.Row) -> Held:
    """Return a row as an entry and its version."""
    return Held(entry.load(row.value), row.version)
