"""Ends attempts whose owner is gone, and removes records that are kept no longer."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from waxwingspool import exceptions
from waxwingspool.observe import logs
from waxwingspool.once import entry, execute, journal

__all__ = ["Sweeper"]

# Pause between two pages, in seconds, when this balancer's turn has come.
PAGE_EVERY_S = 1.0
# Rows on a page.
PAGE_ROWS = 50
# Longest wait for a removal, in seconds.
REMOVE_TIMEOUT_S = 5.0

# Returns the context of a service, ``None`` if it is not configured any more.
ContextOf = Callable[[str], execute.Context | None]


@dataclasses.dataclass(slots=True)
class Sweeper:
    """Walks through the journal page by page.

    :ivar context_of: returns the context for a service.
    :ivar balancers: returns how many balancers there are; each pauses that much longer, so all of
        them together read about a page a second.
    :ivar retention_ms: returns how long a record is kept, in milliseconds.
    :ivar now_ms: Unix time in milliseconds.
    """

    journal: journal.Journal
    context_of: ContextOf
    balancers: Callable[[], int]
    retention_ms: Callable[[], int]
    now_ms: Callable[[], int]
    rng: random.Random

    async def run(self) -> None:
        """Sweep until cancelled, starting at a random place."""
        after = f"{entry.PREFIX}{chr(self.rng.randrange(ord('a'), ord('z')))}"
        while True:
            await asyncio.sleep(PAGE_EVERY_S * self.balancers() * (0.5 + self.rng.random()))
            try:
                after = await self.sweep_page(after)
            except exceptions.WaxwingspoolError as error:
                logs.logger().debug("sweep.failed", reason=str(error))

    async def sweep_page(self, after: str) -> str:
        """Sweep one page.

        :param after: table key to start after.
        :returns: table key to go on after, empty at the end.
        """
        page = await self.journal.scan(after, PAGE_ROWS)
        for _, held in page:
            await self.sweep(held)
        return page[-1][0] if len(page) == PAGE_ROWS else ""

    async def sweep(self, held: journal.Held) -> None:
        """End an overdue attempt or remove an old record."""
        e = held.entry
        if self.now_ms() > e.deadline_ms + self.retention_ms():
            await self.journal.remove(held, REMOVE_TIMEOUT_S)
            return
        ctx = self.context_of(e.service)
        if ctx is None or e.state is not entry.State.INTENT:
            return
        ended = await execute.resolve(ctx, held)
        if ended.entry.state is not entry.State.INTENT:
            logs.logger().warning(
                "attempt.resolved",
                service=e.service,
                attempt=e.attempt_id,
                owner=e.owner,
                upstream=e.upstream,
                state=ended.entry.state.value,
            )
