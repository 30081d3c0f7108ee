"""Order of the rows in which one writer reports on itself.

The store orders writes as they arrive. A write that was held up on its way, by a partition that TCP
outlasts or in the store, arrives after newer ones of the same writer and replaces them. Writers
therefore number their reports: of two rows of one key, the one of the later start is newer, and of
one start the one with the higher number. This holds for every way in which a row comes in, so it is
applied where rows enter a copy of a table.

What was reported is remembered beyond the deletion of the row, for as long as writes may be held
up. After that time, and for rows without a position, the store's order counts, so that a writer
whose clock was set back is not ignored for good.
"""

import collections
import dataclasses
from collections.abc import Callable, Iterable, Mapping

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


class RowOrder:
    """Positions of the last reports in one table.

    :param table: name of the table, for the log.
    :param read_position: returns the position that a row's value tells.
    :param clock: returns the monotonic time in seconds.

    >>> order = RowOrder("t", lambda value: (1, int(value)), lambda: 0.0)
    >>> from waxwingspool.catalog import store_version
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
        # Positions and when they were recorded, by key; the oldest record comes first.
        self._last: collections.OrderedDict[str, tuple[Position, float]] = collections.OrderedDict()

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

    def _is_late(self, row: store.Row, known: store.Row | None) -> bool:
        """Return whether a newer report than a row is remembered; remember the row if not."""
        if row.value is None:
            # The deletion is newer than the report that it deletes.
            deleted = None if known is None else self._read_position(known.value)
            if deleted is not None:
                self._record(row.key, deleted)
            return False
        position = self._read_position(row.value)
        if position is None:
            return False
        last = self._last.get(row.key)
        if last is not None and position < last[0]:
            eventlog.event(
                "row.late",
                table=self._table,
                key=row.key,
                row=row.version,
                position=position,
                newer=last[0],
                age_s=self._clock() - last[1],
            )
            return True
        if known is None or known.version != row.version:
            self._record(row.key, position)
        return False

    def _record(self, key: str, position: Position) -> None:
        last = self._last.pop(key, None)
        if last is not None and last[0] > position:
            position = last[0]
        self._last[key] = position, self._clock()
        if len(self._last) > MAX_KEYS:
            self._last.popitem(last=False)

    def _forget(self) -> None:
        """Forget the reports after which no late one can arrive any more."""
        oldest_at = self._clock() - MAX_DELAY_S
        while self._last and next(iter(self._last.values()))[1] < oldest_at:
            self._last.popitem(last=False)


def _keep(known: store.Row, late: store.Row) -> store.Row:
    """Return the known row that takes the place of a late one."""
    if known.version.epoch == late.version.epoch:
        return known
    return dataclasses.replace(known, version=late.version)
