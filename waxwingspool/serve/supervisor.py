"""A supervisor: keeps parts of the process running and restarts those that fail."""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool.observe import eventlog

__all__ = ["Supervisor"]

# First and longest pause before a failed part starts again, in seconds.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 10.0
# Time after which a part that ran is taken to have recovered, in seconds.
RECOVERED_S = 30.0


class Supervisor:
    """Runs parts as tasks; a supervisor may be a part of another, which makes a tree.

    :param name: name for the logs.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._parts: dict[str, Callable[[], Awaitable[None]]] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def add(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Add a part.

        :param name: its name for the logs.
        :param run: starts it; it runs until it is cancelled. One that returns starts again.
        """
        self._parts[name] = run

    async def run(self) -> None:
        """Run all parts until cancelled; then cancel them, the last one added first."""
        for name, run in self._parts.items():
            self._tasks[name] = asyncio.create_task(self._keep(name, run), name=name)
        try:
            await asyncio.gather(*self._tasks.values())
        finally:
            for task in reversed(self._tasks.values()):
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _keep(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a part again whenever it ends."""
        clock = asyncio.get_running_loop().time
        pause_s = FIRST_PAUSE_S
        while True:
            started_at = clock()
            try:
                await run()
                reason = "it returned"
            except Exception as error:
                reason = repr(error)
            if clock() - started_at > RECOVERED_S:
                pause_s = FIRST_PAUSE_S
            eventlog.event(
                "part.restarted", part=f"{self._name}/{name}", reason=reason, pause_s=pause_s
            )
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)
