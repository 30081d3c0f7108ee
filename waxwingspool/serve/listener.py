"""HTTP listeners: uvicorn on the standard event loop, with graceful shutdown."""

import asyncio
import contextlib

import uvicorn

from waxwingspool import exceptions

__all__ = ["Listener"]

# Time after which an idle connection is closed, in seconds.
KEEP_ALIVE_TIMEOUT_S = 75


class _Server(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the process handles signals."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class Listener:
    """Serves an ASGI application on an address.

    :param app: the application.
    :param address: IP address and port.
    :param drain_s: maximum time that a stop waits for requests in flight, in seconds.
    """

    def __init__(self, app, address: str, drain_s: float) -> None:
        self._app = app
        self._address = address
        self._drain_s = drain_s
        self._server: _Server | None = None
        self._server_stopped = asyncio.Event()
        self._stopping = False

    async def run(self) -> None:
        """Serve until cancelled.

        After :meth:`stop` nothing is served any more, but the method does not return, because its
        supervisor would call it again.

        :raises waxwingspool.exceptions.ListenError: if the address can't be bound.
        """
        self._server_stopped.clear()
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
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
            timeout_graceful_shutdown=self._drain_s,
        )
        self._server = _Server(config)
        try:
            await self._server.serve()
        except SystemExit as error:
            # uvicorn raises SystemExit if it can't bind, which would end the whole process.
            raise exceptions.ListenError(f"can't listen on {self._address}") from error
        finally:
            self._server_stopped.set()
        while self._stopping:
            await asyncio.sleep(3600)

    async def stop(self) -> None:
        """Stop listening; return when requests in flight are done or ``drain_s`` has elapsed."""
        self._stopping = True
        if self._server is None:
            return
        self._server.should_exit = True
        await self._server_stopped.wait()
