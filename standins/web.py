"""Serving HTTP from a stand-in."""

import asyncio

from aiohttp import web

__all__ = ["listen", "serve_forever"]


async def listen(app: web.Application, address: str) -> web.AppRunner:
    """Serve an application at an address.

    :param app: the application; its handlers are cancelled when their callers go.
    :param address: IP number and port.
    :returns: the runner. Stop it with ``await runner.cleanup()``.
    """
    runner = web.AppRunner(app, handler_cancellation=True, access_log=None)
    await runner.setup()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner


async def serve_forever() -> None:
    """Say that everything is served, and wait until cancelled."""
    print("ready", flush=True)
    await asyncio.Event().wait()
