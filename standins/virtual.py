"""An event loop whose time is virtual: waiting takes no time, and runs repeat exactly."""

import asyncio
import selectors

__all__ = ["VirtualLoop", "loop"]


class _Selector(selectors.SelectSelector):
    """A selector that moves the clock instead of waiting."""

    now = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits for something that can't happen")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """The standard loop with a clock that only waiting moves."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return virtual time in seconds."""
        return self._virtual.now

    def advance(self, seconds: float) -> None:
        """Run everything that is due within some seconds."""
        self.run_until_complete(asyncio.sleep(seconds))

    def finish(self) -> None:
        """Cancel every task and close the loop."""
        left = asyncio.all_tasks(self)
        for task in left:
            task.cancel()
        self.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        self.close()
        asyncio.set_event_loop(None)


def loop() -> VirtualLoop:
    """Return a new virtual loop."""
    return VirtualLoop()
