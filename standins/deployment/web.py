"""A small HTTP server for stand-ins, on the product's own connections."""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool.catalog import routes
from waxwingspool.proxy import caller, message, upstream

__all__ = ["Page", "serve"]

Page = Callable[[caller.Request, bytes, caller.Connection], Awaitable[tuple[int, list, bytes]]]


async def serve(ip: str, port: int, page: Page) -> asyncio.Server:
    """Serve pages; a status of 0 resets the connection."""
    connections: set[caller.Connection] = set()

    async def handle(connection: caller.Connection, request: caller.Request) -> None:
        await request.body.settle(upstream.WHOLE)
        if request.body.failed:
            return
        status, headers, data = await page(request, request.body.take(), connection)
        if status == 0 or connection.gone:
            connection.abort()
            return
        headers = [*headers, (b"content-length", b"%d" % len(data))]
        connection.begin_answer(message.status_line(status), headers, True)
        connection.write(data)

    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: caller.Connection(handle, routes.Limits, lambda: False, connections), ip, port
    )
