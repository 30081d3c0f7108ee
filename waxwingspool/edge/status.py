"""HTTP server for the readiness check and the metrics."""

import asyncio
from collections.abc import Callable

from waxwingspool.catalog import routes
from waxwingspool.proxy import caller, message

__all__ = ["listen"]

GetPage = Callable[[str], tuple[int, str]]


async def listen(ip: str, port: int, get_page: GetPage) -> asyncio.Server:
    """Serve read-only text pages.

    :param get_page: returns the status and text for a path.
    """
    connections: set[caller.Connection] = set()

    async def handle(connection: caller.Connection, request: caller.Request) -> None:
        status, text = get_page(request.path)
        data = text.encode()
        headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(data))]
        connection.start_response(message.status_line(status), headers, request.keep_alive)
        connection.write(data)

    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: caller.Connection(handle, routes.Limits, lambda: False, connections),
        ip,
        port,
        reuse_address=True,
    )
