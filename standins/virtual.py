"""An event loop on virtual time: sleeping takes no real time, and runs are deterministic."""

import asyncio
import selectors

__all__ = ["VirtualEventLoop", "new_event_loop"]


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances the virtual clock instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: no timer is scheduled and no task can run")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualEventLoop(asyncio.SelectorEventLoop):
    """The selector event loop of asyncio on a virtual clock, which only waiting advances."""

    def __init__(self) -> None:
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock.now

    def advance(self, seconds: float) -> None:
        """Run the loop for a number of seconds of virtual time."""
        self.run_until_complete(asyncio.sleep(seconds))

    def stand_still(self, seconds: float) -> None:
        """Let virtual time pass without running anything, as when the process is suspended."""
        self._clock.now += seconds

    def shutdown(self) -> None:
        """Cancel all tasks and close the loop."""
        pending = asyncio.all_tasks(self)
        for task in pending:
            task.cancel()
        if pending:
            self.run_until_complete(asyncio.gather(*pending, return_exceptions=True))
        self.close()
        asyncio.set_event_loop(None)


def new_event_loop() -> VirtualEventLoop:
    """Return a new event loop on virtual time."""
    return VirtualEventLoop()
