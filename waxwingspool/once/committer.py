"""Group commit: batches conditional writes into transactions of the table.

The first write on an idle balancer is committed immediately. Writes that arrive within the minimum
interval after a transaction has started wait for the next one, which bounds the transaction rate
of a busy balancer. A write whose condition fails is taken out of its group, and the rest of the
group is retried. If the reply of the table is lost, the rows are read back to find out which
writes took effect.
"""

import asyncio
import dataclasses
import time
from collections.abc import Callable

import expression

from waxwingspool import exceptions
from waxwingspool.interfaces import table

__all__ = ["CommitCounts", "Committer"]

# Maximum number of writes in one transaction.
MAX_GROUP_SIZE = 100
# Maximum number of concurrent transactions.
MAX_CONCURRENT_TRANSACTIONS = 4
# Delay before a write with an unknown outcome is retried, in seconds.
RETRY_DELAY_S = 0.05

WriteResult = expression.Result[int, table.Row | None]


@dataclasses.dataclass(slots=True)
class CommitCounts:
    """Counters of a committer.

    :ivar transactions: transactions sent, including retries.
    :ivar rows: writes in these transactions.
    :ivar lost: transactions whose reply was lost.
    """

    transactions: int = 0
    rows: int = 0
    lost: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A write that waits for its result.

    :ivar expires_at: monotonic time in seconds after which the write is not retried.
    """

    write: table.Write
    expires_at: float
    result: asyncio.Future


class Committer:
    """Commits single writes in groups.

    :param store: the table.
    :param interval_s: returns the minimum time between the starts of two transactions, in seconds.
    :param clock: returns monotonic time in seconds.
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
        self._keys_in_flight: set[str] = set()
        self._transactions: set[asyncio.Task] = set()
        self._wakeup = asyncio.Event()
        self.counts = CommitCounts()

    async def commit(self, write: table.Write, timeout_s: float) -> WriteResult:
        """Commit a write.

        :param write: the write. Its value must differ from the values of all other writers: a write
            whose reply was lost is recognised by the row's value.
        :param timeout_s: how long a write with an unknown outcome is retried, in seconds.
        :returns: the row's new version, or the current row if the condition failed.
        :raises waxwingspool.exceptions.StoreUnavailable: if the row was definitely not written.
        :raises waxwingspool.exceptions.StoreAnswerLost: if the row may have been written or may
            still be written.
        """
        future = asyncio.get_running_loop().create_future()
        self._queue.append(_Pending(write, self._clock() + timeout_s, future))
        self._wakeup.set()
        return await future

    async def run(self) -> None:
        """Commit groups of writes until cancelled."""
        try:
            while True:
                await self._wakeup.wait()
                self._wakeup.clear()
                group = self._take_group()
                if not group:
                    continue
                transaction = asyncio.create_task(self._commit_group(group))
                self._transactions.add(transaction)
                transaction.add_done_callback(self._transactions.discard)
                await asyncio.sleep(self._interval_s())
                await self._wait_for_capacity()
                if self._queue:
                    self._wakeup.set()
        finally:
            for transaction in self._transactions:
                transaction.cancel()

    def _take_group(self) -> list[_Pending]:
        """Remove and return the next writes of the queue, at most one for each key."""
        group: list[_Pending] = []
        deferred: list[_Pending] = []
        for pending in self._queue:
            if len(group) < MAX_GROUP_SIZE and pending.write.key not in self._keys_in_flight:
                self._keys_in_flight.add(pending.write.key)
                group.append(pending)
            else:
                deferred.append(pending)
        self._queue = deferred
        return group

    async def _wait_for_capacity(self) -> None:
        """Wait until another transaction may be started."""
        while len(self._transactions) >= MAX_CONCURRENT_TRANSACTIONS:
            await asyncio.wait(self._transactions, return_when=asyncio.FIRST_COMPLETED)

    async def _commit_group(self, group: list[_Pending]) -> None:
        """Commit a group, retrying until each of its writes has a result."""
        maybe_written = False
        remaining = list(group)
        try:
            while remaining:
                maybe_written, remaining = await self._try_transaction(remaining, maybe_written)
        except asyncio.CancelledError:
            self._fail(remaining, exceptions.StoreAnswerLost("the balancer is stopping"))
            raise
        except Exception as error:
            self._fail(remaining, exceptions.StoreAnswerLost(f"commit failed: {error!r}"))
        finally:
            self._keys_in_flight.difference_update(p.write.key for p in group)
            if self._queue:
                self._wakeup.set()

    async def _try_transaction(
        self, group: list[_Pending], maybe_written: bool
    ) -> tuple[bool, list[_Pending]]:
        """Send one transaction.

        :param group: the writes.
        :param maybe_written: whether an earlier transaction may have written them.
        :returns: whether the writes may have taken effect, and the writes to retry.
        """
        try:
            self.counts.transactions += 1
            self.counts.rows += len(group)
            result = await self._store.commit([p.write for p in group])
        except exceptions.StoreUnavailable as error:
            if not maybe_written:
                self._fail(group, error)
                return False, []
            return True, await self._fail_expired(group)
        except exceptions.StoreAnswerLost:
            self.counts.lost += 1
            return True, await self._resolve_lost_reply(group)
        if result.is_ok():
            for p in group:
                _set_result(p, expression.Ok(result.ok.versions[p.write.key]))
            return maybe_written, []
        return maybe_written, _resolve_conflicts(group, result.error)

    async def _resolve_lost_reply(self, group: list[_Pending]) -> list[_Pending]:
        """Read the rows of a transaction whose reply was lost; return the writes to retry."""
        try:
            rows = await self._store.read([p.write.key for p in group])
        except exceptions.StoreUnavailable:
            return await self._fail_expired(group)
        remaining = []
        for p in group:
            row = rows.get(p.write.key)
            if not _resolve_from_row(p, row):
                remaining.append(p)
        return await self._fail_expired(remaining)

    async def _fail_expired(self, group: list[_Pending]) -> list[_Pending]:
        """Fail the expired writes; return the others after the retry delay."""
        now = self._clock()
        expired = [p for p in group if now >= p.expires_at]
        self._fail(expired, exceptions.StoreAnswerLost("the outcome of the write is unknown"))
        remaining = [p for p in group if now < p.expires_at]
        if remaining:
            await asyncio.sleep(RETRY_DELAY_S)
        return remaining

    @staticmethod
    def _fail(group: list[_Pending], error: Exception) -> None:
        """Set an error as the result of each write."""
        for p in group:
            if not p.result.done():
                p.result.set_exception(error)


def _set_result(p: _Pending, result: WriteResult) -> None:
    """Set the result of a write, unless its waiter was cancelled."""
    if not p.result.done():
        p.result.set_result(result)


def _resolve_from_row(p: _Pending, row: table.Row | None) -> bool:
    """Set the result of a write if the current row determines it.

    :returns: whether it does. If not, the write has not taken effect and is retried.
    """
    if row is not None and row.value == p.write.value:
        _set_result(p, expression.Ok(row.version))
        return True
    if row is None and p.write.value is None:
        _set_result(p, expression.Ok(table.ABSENT))
        return True
    if (row.version if row else table.ABSENT) == p.write.expected:
        return False
    _set_result(p, expression.Error(row))
    return True


def _resolve_conflicts(group: list[_Pending], conflict: table.Conflict) -> list[_Pending]:
    """Set the results of the writes whose conditions failed; return the writes to retry."""
    remaining = []
    for p in group:
        if p.write.key not in conflict.rows or not _resolve_from_row(p, conflict.rows[p.write.key]):
            remaining.append(p)
    return remaining
