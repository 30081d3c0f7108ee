"""Order of the rows in which one writer reports on itself.

The store orders writes as they arrive. A write that was held up on its way, by a partition that TCP
outlasts or in the store, arrives after newer ones of the same writer and replaces them. Writers
therefore number their reports: of two rows of one key, the one of the later start is newer, and of
one start the one with the higher number. This holds for every way in which a row comes in, so it is
applied where rows enter a copy of a table.

What was reported is remembered beyond the deletion of the row, for as long as writes may be held
up. After that time, and for rows without a position, the store's order counts, so that a writer
whose clock was set back is not ignored for good.

A store that was restored from a copy shows rows that have been deleted since. Their reports are
those that were deleted, so they are left out until the writer reports again.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping

from waxwingspool.catalog import store_version
from waxwingspool.observe import eventlog
from waxwingspool.platform import store

__all__ = ["MAX_DELAY_S", "Position", "ReadPosition", "RowOrder"]

# Longest time in seconds that a write may be held up. TCP sends again what a partition of up to
# 25 s held up 25.4 s after it was sent at the latest.
MAX_DELAY_S = 30.0
# Largest number of keys whose last report is remembered.
MAX_KEYS = 20_000

# Start of the writer, as Unix time in milliseconds, and number of the report within that start.
Position = tuple[int, int]
# Returns the position that the value of a row tells, ``None`` if it tells none.
ReadPosition = Callable[[bytes], Position | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """The last report of a writer.

    :ivar recorded_at: monotonic time in seconds.
    :ivar deleted_in: version of the store in which its row was deleted, ``None`` if it was not.
    """

    position: Position
    recorded_at: float
    deleted_in: store_version.StoreVersion | None = None


class RowOrder:
    """Positions of the last reports in one table.

    :param table: name of the table, for the log.
    :param read_position: returns the position that a row's value tells.
    :param clock: returns the monotonic time in seconds.

    >>> order = RowOrder("t", lambda value: (1, int(value)), lambda: 0.0)
    >>> newer = store.Row("a", b"10", store_version.StoreVersion(1, 5))
    >>> late = store.Row("a", b"7", store_version.StoreVersion(1, 6))
    >>> [row.value for row in order.replace_late([newer], {})]
    [b'10']
    >>> [row.value for row in order.replace_late([late], {"a": newer})]
    [b'10']
    """

    def __init__(self, table: str, read_position: ReadPosition, clock: Callable[[], float]) -> None:
        self._table = table
        self._read_position = read_position
        self._clock = clock
        # Last reports by key; the oldest record comes first.
        self._last: collections.OrderedDict[str, _Report] = collections.OrderedDict()

    def replace_late(
        self, rows: Iterable[store.Row], known: Mapping[str, store.Row]
    ) -> list[store.Row]:
        """Return rows with each late one replaced by the known row of its key, or left out.

        If the late row is of a later epoch, the known row takes its version, because all rows of a
        copy are of one epoch.

        :param rows: rows in the order of the store.
        :param known: the rows that are known so far, by key.
        """
        self._forget()
        ordered = []
        for row in rows:
            if not self._is_late(row, known.get(row.key)):
                ordered.append(row)
            elif row.key in known:
                ordered.append(_keep(known[row.key], row))
        return ordered

    def record_unlisted(
        self,
        listed: Iterable[store.Row],
        known: Mapping[str, store.Row],
        version: store_version.StoreVersion,
    ) -> None:
        """Record that the known rows that a listing lacks have been deleted.

        :param version: version of the listing. In a later epoch, a row may be missing because the
            copy from which the store was restored is older.
        """
        missing = known.keys() - {row.key for row in listed}
        for key in missing:
            if known[key].version.epoch == version.epoch:
                self._record_deletion(known[key], version)

    def _is_late(self, row: store.Row, known: store.Row | None) -> bool:
        """Return whether a newer report than a row is remembered; remember the row if not."""
        if row.value is None:
            if known is not None:
                self._record_deletion(known, row.version)
            return False
        position = self._read_position(row.value)
        if position is None:
            return False
        last = self._last.get(row.key)
        if last is not None and self._is_older(row, position, last):
            eventlog.event(
                "row.late",
                table=self._table,
                key=row.key,
                row=row.version,
                position=position,
                newer=last.position,
                deleted=last.deleted_in,
                age_s=self._clock() - last.recorded_at,
            )
            return True
        if known is None or known.version != row.version:
            self._record(row.key, position)
        return False

    def _is_older(self, row: store.Row, position: Position, last: _Report) -> bool:
        """Return whether the report in a row is older than the last one, or deleted with it."""
        is_restored = last.deleted_in is not None and last.deleted_in.epoch < row.version.epoch
        return position < last.position or (is_restored and position == last.position)

    def _record_deletion(self, row: store.Row, version: store_version.StoreVersion) -> None:
        """Record that a row was deleted; the deletion is newer than the report in it."""
        position = self._read_position(row.value)
        if position is not None:
            self._record(row.key, position, version)

    def _record(
        self, key: str, position: Position, deleted_in: store_version.StoreVersion | None = None
    ) -> None:
        last = self._last.pop(key, None)
        if last is not None and last.position > position:
            position = last.position
        self._last[key] = _Report(position, self._clock(), deleted_in)
        if len(self._last) > MAX_KEYS:
            self._last.popitem(last=False)

    def _forget(self) -> None:
        """Forget the reports after which no late one can arrive any more."""
        oldest_at = self._clock() - MAX_DELAY_S
        while self._last and next(iter(self._last.values())).recorded_at < oldest_at:
            self._last.popitem(last=False)


def _keep(known: store.Row, late: store.Row) -> store.Row:
    """Return the known row that takes the place of a late one."""
    if known.version.epoch == late.version.epoch:
        return known
    return dataclasses.replace(known, version=late.version)
