"""Measures how long the event loop of this process is late."""

import asyncio
import collections

__all__ = ["LagMeter"]

# Interval between measurements, and how long they are kept; in seconds.
POLL_S = 0.02
HISTORY_S = 30.0


class LagMeter:
    """Measures when the event loop of this process did not run although a timer was due.

    Upstreams and callers of the soak run in its own process, so what they observe is late by as
    much as the process itself.
    """

    def __init__(self) -> None:
        self._standstills: collections.deque[tuple[float, float]] = collections.deque()

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + POLL_S
            await asyncio.sleep(POLL_S)
            now = loop.time()
            self._standstills.append((due_at, now))
            while self._standstills[0][1] < now - HISTORY_S:
                self._standstills.popleft()

    def lag_s(self, start: float, end: float) -> float:
        """Return for how long the event loop stood still between two of its times, in seconds."""
        return sum(
            max(0.0, min(end, resumed_at) - max(start, due_at))
            for due_at, resumed_at in self._standstills
        )
