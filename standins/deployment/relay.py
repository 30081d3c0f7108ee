"""A TCP relay on loopback that can delay, reset or block connections in one or both directions."""

import asyncio
import socket
import struct

__all__ = ["Relay", "reset"]

# A linger time of 0 s makes a close reset the connection; without unread data, it would look like
# an orderly close to the other end.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Relay:
    """Forwards connections to an address.

    :ivar delay_s: delay added to each chunk of data, in seconds.
    :ivar blocked_directions: directions in which data is dropped: ``"there"`` (to the target),
        ``"back"``, both or none.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._target = (ip, port)
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.blocked_directions: set[str] = set()

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Listen on an address."""
        return await asyncio.start_server(self._handle_connection, ip, port)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            reset(writer)

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer)
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "there"),
                self._forward(target_reader, writer, "back"),
            )
        except OSError:
            reset(writer)
            reset(target_writer)
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: str
    ) -> None:
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if direction not in self.blocked_directions:
                writer.write(data)
                await writer.drain()
        writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, so that its other end does not take it for closed in good order."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()
