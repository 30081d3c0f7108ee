"""Journal of non-idempotent requests, stored in the platform's table."""

import dataclasses

from waxwingspool.interfaces import table
from waxwingspool.once import committer, entry

__all__ = ["Journal", "StoredEntry", "Written"]


@dataclasses.dataclass(frozen=True, slots=True)
class Written:
    """The write succeeded.

    :ivar version: the row's new version, which the next write must expect.
    """

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoredEntry:
    """An entry as stored in the table, with the version of its row."""

    entry: entry.Entry
    version: int


class Journal:
    """Reads and writes entries.

    :param store: the table, used for reads.
    :param writer: the committer, used for writes.
    """

    def __init__(self, store: table.Table, writer: committer.Committer) -> None:
        self._store = store
        self._writer = writer

    async def write(
        self, e: entry.Entry, expected_version: int, timeout_s: float
    ) -> Written | StoredEntry | None:
        """Write an entry if its row has the expected version.

        :param e: the entry.
        :param expected_version: the expected version of the row, :data:`table.ABSENT` to insert.
        :param timeout_s: how long a write with an unknown outcome is retried, in seconds.
        :returns: the new version, or the stored entry if the row has another version; ``None`` if
            the row was expected but does not exist.
        :raises waxwingspool.exceptions.StoreUnavailable: if the entry was definitely not written.
        :raises waxwingspool.exceptions.StoreAnswerLost: if the entry may have been written or may
            still be written.
        """
        table_key = entry.row_key(e.service, e.key)
        write = table.Write(table_key, expected_version, entry.dump(e))
        result = await self._writer.commit(write, timeout_s)
        if result.is_ok():
            return Written(result.ok)
        return _stored_entry(result.error) if result.error is not None else None

    async def read(self, service: str, key: str) -> StoredEntry | None:
        """Return the stored entry of an idempotency key.

        :param service: name of the service.
        :param key: the caller's idempotency key.
        :returns: the stored entry, ``None`` if there is none.
        :raises waxwingspool.exceptions.StoreUnavailable: if the table did not answer.
        """
        table_key = entry.row_key(service, key)
        rows = await self._store.read([table_key])
        return _stored_entry(rows[table_key]) if table_key in rows else None

    async def scan(self, after: str, limit: int) -> list[tuple[str, StoredEntry]]:
        """Return a page of stored entries in the order of their table keys.

        :param after: table key to start after, empty for the first page.
        :param limit: maximum number of rows.
        :returns: pairs of table key and stored entry.
        :raises waxwingspool.exceptions.StoreUnavailable: if the table did not answer.
        """
        rows = await self._store.scan(entry.KEY_PREFIX, after, limit)
        return [(row.key, _stored_entry(row)) for row in rows]

    async def remove(self, stored: StoredEntry, timeout_s: float) -> None:
        """Delete the row of an entry unless it has changed since it was read.

        :param stored: the entry as read.
        :param timeout_s: how long a write with an unknown outcome is retried, in seconds.
        :raises waxwingspool.exceptions.WaxwingspoolError: if the table did not answer.
        """
        table_key = entry.row_key(stored.entry.service, stored.entry.key)
        await self._writer.commit(table.Write(table_key, stored.version, None), timeout_s)


def _stored_entry(row: table.Row) -> StoredEntry:
    """Convert a table row to a stored entry."""
    return StoredEntry(entry.load(row.value), row.version)
