"""HTTP client of the soak: sends one request at a time and returns the response."""

import asyncio
import dataclasses

from waxwingspool.proxy import message, upstream

__all__ = ["Client", "Response"]

DEADLINE_S = 3.0


@dataclasses.dataclass(frozen=True)
class Response:
    """Response to a request; a status of 0 means that no complete response arrived.

    :ivar reused: whether the request was sent on a kept-alive connection.
    :ivar timed_out: whether the client closed the connection because its timeout had expired.
    """

    request_id: str
    status: int
    headers: message.Headers
    body: bytes
    reused: bool
    timed_out: bool = False


class Client:
    """A caller that reuses its connection for as long as the balancer keeps it open."""

    def __init__(self, address: tuple[str, int]) -> None:
        self._address = address
        self._connection: upstream.Connection | None = None

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        data: bytes = b"",
        timeout_s: float = DEADLINE_S + 1,
    ) -> Response:
        """Send a request and read its response.

        :param timeout_s: time after which the client closes the connection, in seconds.
        """
        reused = self._connection is not None and self._connection.usable
        try:
            async with asyncio.timeout(timeout_s):
                if not reused:
                    self._connection = await upstream.connect(self._address, "0.0.0.0", 1.0, None)
                return await self._exchange(method, path, request_id, data, reused)
        except TimeoutError:
            self.close()
            return Response(request_id, 0, [], b"", reused, timed_out=True)
        except (OSError, upstream.Broken):
            self.close()
            return Response(request_id, 0, [], b"", reused)

    async def _exchange(
        self, method: str, path: str, request_id: str, data: bytes, reused: bool
    ) -> Response:
        headers = [
            (b"host", b"soak.example"),
            (b"x-request-id", request_id.encode()),
            (b"x-request-deadline", b"%d" % (DEADLINE_S * 1000)),
            (b"content-length", b"%d" % len(data)),
        ]
        request_line = f"{method} {path} HTTP/1.1".encode()
        self._connection.send_head(message.format_head(request_line, headers), None)
        self._connection.write(data)
        response = await self._connection.read_response()
        await response.body.wait_for_data(upstream.UNLIMITED_BYTES)
        body = response.body.read_available()
        if response.body.failed:
            raise upstream.Broken(upstream.ExchangeFailure.TRUNCATED, "answer")
        if not self._connection.finish():
            self._connection = None
        return Response(request_id, response.status, response.headers, body, reused)

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
        self._connection = None
