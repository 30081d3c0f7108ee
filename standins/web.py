"""HTTP server of the simulated services."""

import asyncio

from aiohttp import web

__all__ = ["listen", "serve_forever"]


async def listen(app: web.Application, address: str) -> web.AppRunner:
    """Serve an application at an address.

    :param app: the application; a handler is cancelled when its client disconnects.
    :param address: IP address and port.
    :returns: the runner; ``await runner.cleanup()`` stops the server.
    """
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
    await runner.setup()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def serve_forever() -> None:
    """Print ``ready``, for which the parent process waits, then wait until cancelled."""
    print("ready", flush=True)
    await asyncio.Event().wait()
