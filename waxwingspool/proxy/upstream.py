"""One connection to an upstream, and one exchange at a time over it."""

import asyncio
import enum

import httptools

from waxwingspool.catalog import node
from waxwingspool.proxy import body, message

__all__ = ["Broken", "Connection", "Fault", "Response", "connect"]

# More bytes than any body has: waits for the whole of it.
WHOLE = 1 << 62


class Fault(enum.StrEnum):
    """Why an exchange ended without a whole answer."""

    CLOSED = "closed"
    MALFORMED = "malformed"
    TRUNCATED = "truncated"


class Broken(Exception):
    """The exchange failed; the request may have run."""

    def __init__(self, fault: Fault, detail: str = "") -> None:
        super().__init__(f"{fault} {detail}".strip())
        self.fault = fault


class Response:
    """An answer whose head has arrived.

    :ivar reusable: whether the connection can serve another request once the body is complete.
    """

    def __init__(self, status: int, reason: bytes, headers: message.Headers, stream: body.Body):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = stream
        self.reusable = False

    @property
    def length(self) -> int | None:
        """The declared length of the body in bytes, ``None`` if there is none."""
        value = message.first(self.headers, b"content-length")
        return None if value is None else int(value)

    @property
    def framed(self) -> bool:
        """Whether the end of the body can be told from the message itself."""
        return (
            self.status in (204, 304)
            or self.length is not None
            or message.first(self.headers, b"transfer-encoding") is not None
        )


class Connection(asyncio.Protocol):
    """A connection to an upstream.

    Answers that carry another request's id are skipped: an upstream may send a late extra answer
    where the next one is due. Any byte that belongs to no request makes the connection unusable.
    """

    def __init__(self, id_header: bytes | None) -> None:
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._expected_id: bytes | None = None
        self._response: Response | None = None
        self._head: asyncio.Future | None = None
        self._headers: message.Headers = []
        self._reason = b""
        self._in_head = False
        self._skipping = False
        self._writable: asyncio.Future | None = None
        self._spoiled = False
        self._reusable = True
        self.idle_since = 0.0
        self.keep_s: float | None = None
        self.lost = False

    @property
    def usable(self) -> bool:
        """Whether a new exchange may start."""
        return not (self.lost or self._spoiled or self._head or self._transport.is_closing())

    # Transport callbacks

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._head is None:
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(Fault.MALFORMED, str(error))
            self._spoil()

    def eof_received(self) -> bool:
        response = self._response
        if response is not None and not response.framed and not self._skipping:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        self._wake_writer()
        if self._response is not None:
            self._fail(Fault.TRUNCATED, "the connection ended in the middle of the answer")
        else:
            self._fail(Fault.CLOSED, "the connection ended before the answer")

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        self._wake_writer()
        self._writable = None

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self._response is not None and self._response.body.complete:
            self._spoil()
            return
        self._headers = []
        self._reason = b""
        self._in_head = True

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._in_head = False
        status = self._parser.get_status_code()
        self._skipping = status < 200 or self._is_foreign()
        if self._skipping or self._response is not None:
            return
        transport = self._transport
        stream = body.Body(transport.pause_reading, transport.resume_reading)
        self._response = Response(status, self._reason, self._headers, stream)
        if not self._head.done():
            self._head.set_result(self._response)

    def on_body(self, data: bytes) -> None:
        response = self._response
        if response is not None and not self._skipping and not response.body.complete:
            response.body.feed(data)

    def on_message_complete(self) -> None:
        if self._skipping:
            self._skipping = False
            self._reusable = self._parser.get_status_code() < 200 and self._reusable
            return
        if self._response is not None and not self._response.body.complete:
            self._complete()

    # Exchanges

    def begin(self, head: bytes, request_id: bytes | None) -> None:
        """Send the head of a request.

        :param request_id: the id that the answer must carry, ``None`` to take any answer.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = request_id
        self._response = None
        self._head = self._loop.create_future()
        # A failure that comes after the caller has stopped waiting needs no reader.
        self._head.add_done_callback(lambda future: future.cancelled() or future.exception())
        self._transport.write(head)

    def write(self, data: bytes) -> None:
        """Send a part of the request's body."""
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the upstream is slow to read."""
        if self._writable is not None:
            await asyncio.shield(self._writable)

    async def response(self) -> Response:
        """Wait for the head of the answer.

        :raises Broken: the connection ended or the bytes are no answer.
        """
        return await asyncio.shield(self._head)

    def finish(self) -> bool:
        """End the exchange; return whether the connection may be used again."""
        response = self._response
        self._head = None
        self._response = None
        whole = response is not None and response.body.complete and response.reusable
        if not whole or not self._reusable or self._spoiled or self.lost:
            self.abort()
            return False
        self.idle_since = self._loop.time()
        return True

    def abort(self) -> None:
        """Break the connection off, which cancels a request under way."""
        if not self.lost:
            self._transport.abort()

    def _is_foreign(self) -> bool:
        """Whether the answer carries another request's id."""
        if self._expected_id is None or self._id_header is None:
            return False
        answered = message.first(self._headers, self._id_header)
        return answered is not None and answered != self._expected_id

    def _complete(self) -> None:
        response = self._response
        response.reusable = response.framed and self._parser.should_keep_alive()
        keep_alive = message.first(response.headers, b"keep-alive")
        self.keep_s = _keep_alive_s(keep_alive)
        response.body.finish()

    def _fail(self, fault: Fault, detail: str) -> None:
        if self._response is not None:
            self._response.body.fail()
        if self._head is not None and not self._head.done():
            self._head.set_exception(Broken(fault, detail))

    def _spoil(self) -> None:
        """Close a connection on which bytes came that nobody asked for."""
        self._spoiled = True
        self._transport.abort()

    def _wake_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)


def _keep_alive_s(value: bytes | None) -> float | None:
    """Return the idle timeout in a ``Keep-Alive`` header, in seconds.

    >>> _keep_alive_s(b"timeout=10, max=5")
    10.0
    """
    for option in (value or b"").split(b","):
        name, _, text = option.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None


async def connect(
    address: node.Address, local_ip: str, timeout_s: float, id_header: bytes | None
) -> Connection:
    """Open a connection.

    :param local_ip: address that the connection comes from.
    :param timeout_s: longest wait in seconds.
    :raises OSError: the connection was refused, or not made in time.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: Connection(id_header), *address, local_addr=(local_ip, 0)
        )
    return connection
