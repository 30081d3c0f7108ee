"""A loopback relay that delays, resets, cuts one way or silences connections."""

import asyncio

__all__ = ["Relay"]


class Relay:
    """Passes connections on to an address.

    :ivar delay_s: time added to every piece, in seconds.
    :ivar silent: which directions pass nothing: ``"there"``, ``"back"``, both or none.
    """

    def __init__(self, ip: str, port: int) -> None:
        self._target = (ip, port)
        self._writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.silent: set[str] = set()

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Listen."""
        return await asyncio.start_server(self._connected, ip, port)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, out = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, out}
        try:
            await asyncio.gather(
                self._pass_on(reader, out, "there"), self._pass_on(there, writer, "back")
            )
        except OSError:
            pass
        finally:
            self._writers -= {writer, out}
            writer.transport.abort()
            out.transport.abort()

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: str
    ) -> None:
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if way not in self.silent:
                writer.write(data)
                await writer.drain()
        writer.close()
