"""A small HTTP server for the simulated services, built on the balancer's HTTP implementation."""

import asyncio
from collections.abc import Awaitable, Callable

from waxwingspool.catalog import routes
from waxwingspool.proxy import caller, message, upstream

__all__ = ["Handler", "serve"]

Handler = Callable[[caller.Request, bytes, caller.Connection], Awaitable[tuple[int, list, bytes]]]


async def serve(ip: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests with a handler; a status of 0 from it resets the connection."""
    connections: set[caller.Connection] = set()

    async def handle_request(connection: caller.Connection, request: caller.Request) -> None:
        await request.body.wait_for_data(upstream.UNLIMITED_BYTES)
        if request.body.failed:
            return
        status, headers, data = await handler(request, request.body.read_available(), connection)
        if status == 0 or connection.disconnected:
            connection.abort()
            return
        headers = [*headers, (b"content-length", b"%d" % len(data))]
        connection.start_response(message.status_line(status), headers, True)
        connection.write(data)

    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: caller.Connection(handle_request, routes.Limits, lambda: False, connections),
        ip,
        port,
    )
