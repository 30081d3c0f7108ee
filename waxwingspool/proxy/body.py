"""A streamed message body: a buffer of received bytes with back pressure on the sender."""

import asyncio
from collections.abc import Callable

__all__ = ["Body", "MAX_BUFFERED_BYTES"]

# Buffered bytes at which reading from the sender is paused until they are consumed.
HIGH_WATER_BYTES = 256 * 1024
# Largest number of bytes that the event loop reads at once.
READ_BYTES = 256 * 1024
# Largest number of buffered bytes.
MAX_BUFFERED_BYTES = HIGH_WATER_BYTES + READ_BYTES


class Body:
    """A body that one side writes and the other reads.

    :param pause_reading: stops reading from the sender.
    :param resume_reading: starts reading from the sender again.
    """

    def __init__(
        self, pause_reading: Callable[[], None], resume_reading: Callable[[], None]
    ) -> None:
        self._pause_reading = pause_reading
        self._resume_reading = resume_reading
        self._paused = False
        self._chunks: list[bytes] = []
        self._buffered_bytes = 0
        self._waiter: asyncio.Future | None = None
        self.received_bytes = 0
        self.complete = False
        self.failed = False

    @property
    def buffered_bytes(self) -> int:
        """Bytes that have been received and not yet read."""
        return self._buffered_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        self.received_bytes += len(data)
        if self._buffered_bytes >= HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._pause_reading()
        self._wake_waiter()

    def finish(self) -> None:
        """Mark the body as complete."""
        self.complete = True
        self._wake_waiter()

    def fail(self) -> None:
        """Mark the body as failed, since the rest will never arrive, unless it is complete.

        What has been received is of no use then.
        """
        if not self.complete:
            self.failed = True
            self._chunks.clear()
            self._buffered_bytes = 0
            self._wake_waiter()

    def read_available(self) -> bytes:
        """Remove and return all buffered bytes."""
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._paused:
            self._paused = False
            self._resume_reading()
        return data

    async def wait_for_data(self, min_bytes: int = 1) -> None:
        """Wait until at least ``min_bytes`` are buffered, or the body is complete or has failed."""
        while self._buffered_bytes < min_bytes and not self.complete and not self.failed:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
