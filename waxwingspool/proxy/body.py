"""A body on its way: bytes that have arrived and not been read, with back pressure."""

import asyncio
from collections.abc import Callable

__all__ = ["Body"]

# Unread bytes above which the sender is held back until they are read.
HIGH_WATER = 256 * 1024


class Body:
    """A body that one side writes and the other reads.

    :param pause: holds the sender back.
    :param resume: lets the sender go on.
    """

    def __init__(self, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self._pause = pause
        self._resume = resume
        self._paused = False
        self._chunks: list[bytes] = []
        self._size = 0
        self._changed: asyncio.Future | None = None
        self.total = 0
        self.complete = False
        self.failed = False

    @property
    def size(self) -> int:
        """Bytes that have arrived and not been read."""
        return self._size

    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._chunks.append(data)
        self._size += len(data)
        self.total += len(data)
        if self._size >= HIGH_WATER and not self._paused:
            self._paused = True
            self._pause()
        self._wake()

    def finish(self) -> None:
        """Note that the body has arrived whole."""
        self.complete = True
        self._wake()

    def fail(self) -> None:
        """Note that the rest will never arrive."""
        if not self.complete:
            self.failed = True
            self._wake()

    def take(self) -> bytes:
        """Return all unread bytes."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._size = 0
        if self._paused:
            self._paused = False
            self._resume()
        return data

    async def settle(self, size: int = 1) -> None:
        """Wait until this many bytes are unread, or the body is complete or has failed."""
        while self._size < size and not self.complete and not self.failed:
            self._changed = asyncio.get_running_loop().create_future()
            await self._changed

    def _wake(self) -> None:
        if self._changed is not None and not self._changed.done():
            self._changed.set_result(None)
