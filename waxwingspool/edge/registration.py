"""Registration of this balancer in the members' table of the store.

A balancer registers when it starts. A store that is restored from a copy may lack the row, or show
that of an earlier start, so the balancer then registers again. The others know it from before and
keep it among the members meanwhile; only balancers that start depend on the row.
"""

import asyncio
import random
import time

from waxwingspool import exceptions
from waxwingspool.catalog import node
from waxwingspool.fleet import members, tables
from waxwingspool.fleet import store as store_client
from waxwingspool.observe import eventlog

__all__ = ["Registration"]

# Shortest delay before a failed registration is repeated, in seconds; random jitter of up to the
# same length is added.
MIN_RETRY_S = 0.5
# Rate at which all balancers together register again, in rows per second: a third of what the store
# writes to one part, since the upstreams register again at the same time.
RATE = 50.0
# Largest age in seconds of a copy from which the store is restored, and time for which it is away.
MAX_COPY_AGE_S = 30.0


class Registration:
    """Writes this balancer's row, and writes it again if the store has lost it.

    :param settings: settings of this balancer.
    :param client: client of the store.
    :param membership: all known balancers.
    :param started_ms: Unix time of the start of this balancer in milliseconds.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        client: store_client.StoreClient,
        membership: members.Members,
        started_ms: int,
    ) -> None:
        self._settings = settings
        self._client = client
        self._members = membership
        self._started_ms = started_ms
        # Epoch in which the store acknowledged the row, and latest one whose listing lacks it.
        self._registered_epoch = self._missing_epoch = -1
        self._registered_at = float("-inf")
        self._missing = asyncio.Event()

    def receive_rows(self, update: tables.Update) -> None:
        """Look for this balancer's row in a listing of the members."""
        if update.table != members.TABLE or not update.complete:
            return
        # A row that was written shortly before may be that of an earlier start.
        is_old = time.monotonic() - self._registered_at > MAX_COPY_AGE_S
        if not is_old or all(row.key != self._settings.ip for row in update.rows):
            self._missing_epoch = max(self._missing_epoch, update.version.epoch)
            self._missing.set()

    async def run(self) -> None:
        """Register, then register again whenever the row is missing, until cancelled."""
        await self._register()
        while True:
            await self._missing.wait()
            self._missing.clear()
            if self._missing_epoch > self._registered_epoch:
                # Spread over time, because all balancers may be missing at once.
                await asyncio.sleep(random.random() * self._members.count / RATE)
                await self._register()

    async def _register(self) -> None:
        """Write the row, until it succeeds."""
        while True:
            try:
                await self._client.measure_rtt()
                row = members.encode(self._settings, self._client.rtt_s, self._started_ms)
                epoch = await self._client.put(members.TABLE, self._settings.ip, row)
                break
            except (exceptions.StoreUnavailable, store_client.HistoryGone) as error:
                eventlog.event("member.not-registered", error=error)
                await asyncio.sleep(MIN_RETRY_S * (1 + random.random()))
        self._registered_epoch, self._registered_at = epoch, time.monotonic()
        eventlog.event(
            "member.registered",
            ip=self._settings.ip,
            store_rtt_s=self._client.rtt_s,
            epoch=epoch,
        )
