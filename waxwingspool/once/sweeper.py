"""Resolves attempts whose owner recorded no outcome and removes expired entries."""

import asyncio
import dataclasses
import random
from collections.abc import Callable

from waxwingspool import exceptions
from waxwingspool.observe import logs
from waxwingspool.once import entry, execute, journal

__all__ = ["Sweeper"]

# Mean interval between two page reads, counting the reads of all balancers, in seconds.
PAGE_INTERVAL_S = 1.0
# Maximum number of rows in a page.
PAGE_SIZE = 50
# How long the removal of an entry is retried, in seconds.
REMOVE_TIMEOUT_S = 5.0

# Returns the context of a service, ``None`` if the service is no longer configured.
ContextOf = Callable[[str], execute.Context | None]


@dataclasses.dataclass(slots=True)
class Sweeper:
    """Scans the journal page by page.

    :ivar context_of: returns the context of a service.
    :ivar balancer_count: returns the number of balancers. The interval of each balancer is
        proportional to it, so all of them together read about one page per second.
    :ivar retention_ms: returns the retention period of entries, in milliseconds.
    :ivar now_ms: returns Unix time in milliseconds.
    """

    journal: journal.Journal
    context_of: ContextOf
    balancer_count: Callable[[], int]
    retention_ms: Callable[[], int]
    now_ms: Callable[[], int]
    rng: random.Random

    async def run(self) -> None:
        """Sweep until cancelled, starting at a random table key."""
        after = f"{entry.KEY_PREFIX}{chr(self.rng.randrange(ord('a'), ord('z')))}"
        while True:
            await asyncio.sleep(PAGE_INTERVAL_S * self.balancer_count() * (0.5 + self.rng.random()))
            try:
                after = await self.sweep_page(after)
            except exceptions.WaxwingspoolError as error:
                logs.logger().debug("sweep.failed", reason=str(error))

    async def sweep_page(self, after: str) -> str:
        """Sweep one page.

        :param after: table key to start after.
        :returns: table key that the next page starts after, empty at the end.
        """
        page = await self.journal.scan(after, PAGE_SIZE)
        for _, stored in page:
            await self.sweep(stored)
        return page[-1][0] if len(page) == PAGE_SIZE else ""

    async def sweep(self, stored: journal.StoredEntry) -> None:
        """Resolve an overdue attempt, or remove an entry after the retention period."""
        e = stored.entry
        if self.now_ms() > e.deadline_ms + self.retention_ms():
            await self.journal.remove(stored, REMOVE_TIMEOUT_S)
            return
        ctx = self.context_of(e.service)
        if ctx is None or e.state is not entry.State.INTENT:
            return
        resolved = await execute.resolve(ctx, stored)
        if resolved.entry.state is not entry.State.INTENT:
            logs.logger().warning(
                "attempt.resolved",
                service=e.service,
                attempt=e.attempt_id,
                owner=e.owner,
                upstream=e.upstream,
                state=resolved.entry.state.value,
            )
