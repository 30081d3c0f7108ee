"""HTTP listeners: uvicorn on the standard event loop, stopped without cutting requests off."""

import asyncio
import contextlib

import uvicorn

from waxwingspool import exceptions

__all__ = ["Listener"]

# How long an idle connection of a caller is kept, in seconds.
KEEPALIVE_S = 75


class _Server(uvicorn.Server):
    """A server that leaves signals to the process."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Listener:
    """Serves an ASGI application at an address.

    :param app: the application.
    :param address: IP number and port.
    :param drain_s: the longest a stop waits for requests in flight, in seconds.
    """

    def __init__(self, app, address: str, drain_s: float) -> None:
        self._app = app
        self._address = address
        self._drain_s = drain_s
        self._server: _Server | None = None
        self._ended = asyncio.Event()
        self._stopping = False

    async def run(self) -> None:
        """Serve until cancelled; after :meth:`stop` nothing is served any more.

        :raises waxwingspool.exceptions.ListenError: if the address is taken.
        """
        self._ended.clear()
        host, _, port = self._address.partition(":")
        config = uvicorn.Config(
            self._app,
            host=host,
            port=int(port),
            http="httptools",
            loop="asyncio",
            ws="none",
            access_log=False,
            log_config=None,
            server_header=False,
            date_header=False,
            backlog=1024,
            timeout_keep_alive=KEEPALIVE_S,
            timeout_graceful_shutdown=self._drain_s,
        )
        self._server = _Server(config)
        try:
            await self._server.serve()
        except SystemExit as error:
            # What uvicorn raises when it can't listen would end the whole process.
            raise exceptions.ListenError(f"can't listen at {self._address}") from error
        finally:
            self._ended.set()
        while self._stopping:
            await asyncio.sleep(3600)

    async def stop(self) -> None:
        """Stop listening and return once every request in flight has been answered."""
        self._stopping = True
        if self._server is None:
            return
        self._server.should_exit = True
        await self._ended.wait()
