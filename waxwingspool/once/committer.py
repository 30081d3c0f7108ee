"""Group commit: many conditional writes in one transaction of the table.

Writes that arrive while a transaction is under way wait for the next one, so an idle balancer
adds no delay and a busy one writes at a bounded rate. A write whose condition fails leaves the
group and the others are tried again. A lost answer is resolved by reading the rows back.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import expression

from waxwingspool import exceptions
from waxwingspool.interfaces import table

__all__ = ["Committer", "Counts"]

# Most writes in one transaction.
MAX_GROUP = 100
# Most transactions under way at once.
MAX_FLIGHTS = 4
# Wait before a write whose fate is not known is tried again, in seconds.
RETRY_S = 0.05

WriteResult = expression.Result[int, table.Row | None]


@dataclasses.dataclass(slots=True)
class Counts:
    """What the committer has sent."""

    transactions: int = 0
    rows: int = 0
    lost: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A write that waits for its result."""

    write: table.Write
    give_up_at: float
    result: asyncio.Future


class Committer:
    """Commits single writes in groups.

    :param store: the table.
    :param interval_s: returns the shortest time between two transactions, in seconds.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        store: table.Table,
        interval_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._store = store
        self._interval_s = interval_s
        self._clock = clock
        self._queue: list[_Pending] = []
        self._busy_keys: set[str] = set()
        self._flights: set[asyncio.Task] = set()
        self._wake = asyncio.Event()
        self.counts = Counts()

    async def commit(self, write: table.Write, timeout_s: float) -> WriteResult:
        """Commit a write.

        :param write: the write; its value must differ from every other writer's.
        :param timeout_s: how long to try.
        :returns: the row's new version, or the row as it is if the condition failed.
        :raises waxwingspool.exceptions.StoreUnavailable: if it was certainly not written.
        :raises waxwingspool.exceptions.StoreAnswerLost: if it may be written, now or later.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(write, self._clock() + timeout_s, future))
        self._wake.set()
        return await future

    async def run(self) -> None:
        """Send groups until cancelled."""
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                group = self._take_group()
                if not group:
                    continue
                flight = asyncio.create_task(self._fly(group))
                self._flights.add(flight)
                flight.add_done_callback(self._flights.discard)
                await asyncio.sleep(self._interval_s())
                await self._wait_for_room()
                if self._queue:
                    self._wake.set()
        finally:
            for flight in self._flights:
                flight.cancel()

    def _take_group(self) -> list[_Pending]:
        """Remove and return the next writes, at most one for each key."""
        group: list[_Pending] = []
        rest: list[_Pending] = []
        for pending in self._queue:
            if len(group) < MAX_GROUP and pending.write.key not in self._busy_keys:
                self._busy_keys.add(pending.write.key)
                group.append(pending)
            else:
                rest.append(pending)
        self._queue = rest
        return group

    async def _wait_for_room(self) -> None:
        """Return once fewer than the most transactions are under way."""
        while len(self._flights) >= MAX_FLIGHTS:
            await asyncio.wait(self._flights, return_when=asyncio.FIRST_COMPLETED)

    async def _fly(self, group: list[_Pending]) -> None:
        """Commit a group until each of its writes has a result."""
        maybe_written = False
        left = list(group)
        try:
            while left:
                maybe_written, left = await self._try_group(left, maybe_written)
        except asyncio.CancelledError:
            self._fail(left, exceptions.StoreAnswerLost("the balancer is stopping"))
            raise
        except Exception as error:
            self._fail(left, exceptions.StoreAnswerLost(f"commit failed: {error!r}"))
        finally:
            self._busy_keys.difference_update(p.write.key for p in group)
            if self._queue:
                self._wake.set()

    async def _try_group(
        self, group: list[_Pending], maybe_written: bool
    ) -> tuple[bool, list[_Pending]]:
        """Try one transaction; return whether writes may have happened and what is left."""
        try:
            self.counts.transactions += 1
            self.counts.rows += len(group)
            result = await self._store.commit([p.write for p in group])
        except exceptions.StoreUnavailable as error:
            if not maybe_written:
                self._fail(group, error)
                return False, []
            return True, await self._drop_late(group)
        except exceptions.StoreAnswerLost:
            self.counts.lost += 1
            return True, await self._resolve(group)
        if result.is_ok():
            for p in group:
                _settle(p, expression.Ok(result.ok.versions[p.write.key]))
            return maybe_written, []
        return maybe_written, _settle_conflicts(group, result.error)

    async def _resolve(self, group: list[_Pending]) -> list[_Pending]:
        """Find out by reading which writes of a lost transaction took effect."""
        try:
            rows = await self._store.read([p.write.key for p in group])
        except exceptions.StoreUnavailable:
            return await self._drop_late(group)
        left = []
        for p in group:
            row = rows.get(p.write.key)
            if not _settle_from_row(p, row):
                left.append(p)
        return await self._drop_late(left)

    async def _drop_late(self, group: list[_Pending]) -> list[_Pending]:
        """Give up on writes whose time is over; wait before the others are tried again."""
        now = self._clock()
        late = [p for p in group if now >= p.give_up_at]
        self._fail(late, exceptions.StoreAnswerLost("the fate of a write is not known"))
        left = [p for p in group if now < p.give_up_at]
        if left:
            await asyncio.sleep(RETRY_S)
        return left

    @staticmethod
    def _fail(group: list[_Pending], error: Exception) -> None:
        """Give each write of a group an error."""
        for p in group:
            if not p.result.done():
                p.result.set_exception(error)


def _settle(p: _Pending, result: WriteResult) -> None:
    """Give a write its result, unless its waiter has gone."""
    if not p.result.done():
        p.result.set_result(result)


def _settle_from_row(p: _Pending, row: table.Row | None) -> bool:
    """Settle a write from the row as it is now; return whether that was possible."""
    if row is not None and row.value == p.write.value:
        _settle(p, expression.Ok(row.version))
        return True
    if row is None and p.write.value is None:
        _settle(p, expression.Ok(table.ABSENT))
        return True
    if (row.version if row else table.ABSENT) == p.write.expected:
        return False
    _settle(p, expression.Error(row))
    return True


def _settle_conflicts(group: list[_Pending], conflict: table.Conflict) -> list[_Pending]:
    """Settle the writes whose conditions failed and return the others."""
    left = []
    for p in group:
        if p.write.key not in conflict.rows or not _settle_from_row(p, conflict.rows[p.write.key]):
            left.append(p)
    return left
