"""A supervisor that runs components of the process and restarts them when they fail."""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool.observe import eventlog

__all__ = ["Supervisor"]

# Minimum and maximum delay before a child is restarted, in seconds.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 10.0
# Run time of a child after which its restart delay is reset to the minimum, in seconds.
BACKOFF_RESET_S = 30.0


class Supervisor:
    """Runs children as tasks; supervisors can be nested to form a supervision tree.

    :param name: name of the supervisor in the logs.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._children: dict[str, Callable[[], Awaitable[None]]] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def add(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Add a child.

        :param name: name of the child in the logs.
        :param run: runs the child until it is cancelled; called again if it returns or raises.
        """
        self._children[name] = run

    async def run(self) -> None:
        """Run all children until cancelled; then wait for each, in reverse order of addition."""
        for name, run in self._children.items():
            self._tasks[name] = asyncio.create_task(self._run_with_restarts(name, run), name=name)
        try:
            await asyncio.gather(*self._tasks.values())
        finally:
            for task in reversed(self._tasks.values()):
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _run_with_restarts(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a child and restart it with exponential backoff whenever it ends."""
        clock = asyncio.get_running_loop().time
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_at = clock()
            try:
                await run()
                reason = "returned without an error"
            except Exception as error:
                reason = repr(error)
            if clock() - started_at > BACKOFF_RESET_S:
                delay_s = MIN_RESTART_DELAY_S
            eventlog.event(
                "part.restarted", part=f"{self._name}/{name}", reason=reason, pause_s=delay_s
            )
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RESTART_DELAY_S, delay_s * 2)
