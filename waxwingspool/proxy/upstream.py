"""A connection to an upstream, which carries one exchange at a time."""

import asyncio
import enum
from collections.abc import Callable

import httptools

from waxwingspool.catalog import node
from waxwingspool.proxy import body, message

__all__ = ["Broken", "Connection", "ExchangeFailure", "Response", "UNLIMITED_BYTES", "connect"]

# Larger than any body: waiting for at least this many bytes waits for the complete body.
UNLIMITED_BYTES = 1 << 62
# Largest response head in bytes, together with interim and skipped responses' heads. Also the
# largest number of bytes of chunk framing and trailers beyond those that body data allows for.
MAX_HEAD_BYTES = 64 * 1024
# Bytes of chunk framing that each byte of body data allows for.
MAX_FRAMING_PER_BODY_BYTE = 16
# Range of valid status codes (RFC 9110, section 15), and the first one that is not interim.
MIN_STATUS, FINAL_STATUS, MAX_STATUS = 100, 200, 599
# Bytes of responses to other requests that are skipped in one exchange, without their heads.
MAX_SKIPPED_BYTES = 1024 * 1024


class ExchangeFailure(enum.StrEnum):
    """Why an exchange ended without a complete response."""

    CLOSED = "closed"
    MALFORMED = "malformed"
    TRUNCATED = "truncated"


class Broken(Exception):
    """The exchange failed; the upstream may have run the request."""

    def __init__(self, failure: ExchangeFailure, detail: str = "") -> None:
        super().__init__(f"{failure} {detail}".strip())
        self.failure = failure


class Response:
    """A response whose head has been received.

    :ivar reusable: whether the connection can carry another request once the body is complete.
    :ivar attributed: whether the response can only be that of the current request: it carries the
        request's id, or the connection has carried no other request.
    """

    def __init__(self, status: int, reason: bytes, headers: message.Headers, stream: body.Body):
        self.status = status
        self.reason = reason
        self.headers = headers
        self.body = stream
        self.reusable = False
        self.attributed = False

    @property
    def length(self) -> int | None:
        """The ``Content-Length`` in bytes, ``None`` if the header is missing."""
        value = message.get_header(self.headers, b"content-length")
        return None if value is None else int(value)

    @property
    def self_delimiting(self) -> bool:
        """Whether the end of the body is known without the connection being closed."""
        return (
            self.status in (204, 304)
            or self.length is not None
            or message.get_header(self.headers, b"transfer-encoding") is not None
        )


class Connection(asyncio.Protocol):
    """A connection to an upstream.

    Responses with the id of another request are skipped, since an upstream may send a late
    duplicate response ahead of the expected one; the connection is not reused afterwards. Bytes
    that belong to no request make the connection unusable.

    :param id_header: response header that carries the request id, ``None`` to accept responses
        without comparing ids.
    :ivar failure: why the exchange failed, ``None`` if it has not.
    :ivar on_head: called with status and headers of each response head, also of interim responses
        and of responses to other requests.
    :ivar idle_since: event loop time in seconds at which the last exchange ended.
    :ivar keep_alive_s: idle timeout in seconds that the upstream announced, ``None`` if it
        announced none.
    """

    def __init__(self, id_header: bytes | None) -> None:
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._expected_id: bytes | None = None
        self._response: Response | None = None
        self._response_future: asyncio.Future | None = None
        self._headers: message.Headers = []
        self._reason = b""
        self._in_head = False
        self._skipping = False
        self._overhead_allowance = 0
        self._skip_allowance = 0
        self._exchanges = 0
        self._drain_waiter: asyncio.Future | None = None
        self._invalid = False
        self._reusable = True
        self.failure: Broken | None = None
        self.on_head: Callable[[int, message.Headers], None] | None = None
        self.idle_since = 0.0
        self.keep_alive_s: float | None = None
        self.closed = False

    @property
    def usable(self) -> bool:
        """Whether a new exchange can start."""
        return not (
            self.closed or self._invalid or self._response_future or self._transport.is_closing()
        )

    # Transport callbacks

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        if self._response_future is None:
            self._invalidate()
            return
        self._overhead_allowance -= len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._fail(ExchangeFailure.MALFORMED, "a switch of protocols")
            self._invalidate()
        except httptools.HttpParserError as error:
            self._fail(ExchangeFailure.MALFORMED, str(error))
            self._invalidate()
        if self._overhead_allowance < 0:
            part = "head" if self._response is None else "framing"
            self._fail(ExchangeFailure.MALFORMED, f"over {MAX_HEAD_BYTES} bytes of {part}")
            self._invalidate()
        if self._skip_allowance < 0:
            detail = f"over {MAX_SKIPPED_BYTES} bytes of answers to other requests"
            self._fail(ExchangeFailure.MALFORMED, detail)
            self._invalidate()

    def eof_received(self) -> bool:
        response = self._response
        if response is not None and not response.self_delimiting and not self._skipping:
            self._complete()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.closed = True
        self._wake_drain_waiter()
        if self._response is not None:
            self._fail(
                ExchangeFailure.TRUNCATED, "the connection ended in the middle of the answer"
            )
        else:
            self._fail(ExchangeFailure.CLOSED, "the connection ended before the answer")

    def pause_writing(self) -> None:
        self._drain_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        self._wake_drain_waiter()
        self._drain_waiter = None

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self._response is not None and self._response.body.complete:
            self._invalidate()
            return
        self._headers = []
        self._reason = b""
        self._in_head = True

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            # The parser leaves white space after the value in it (RFC 9110, section 5.5).
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        self._in_head = False
        status = self._parser.get_status_code()
        if self.on_head is not None:
            self.on_head(status, self._headers)
        self._skipping = _is_interim(status) or self._has_other_request_id()
        if self._skipping or self._response is not None:
            return
        if not MIN_STATUS <= status <= MAX_STATUS:
            self._fail(ExchangeFailure.MALFORMED, f"status {status:03}")
            self._invalidate()
            return
        transport = self._transport
        stream = body.Body(transport.pause_reading, transport.resume_reading)
        self._response = Response(status, self._reason, self._headers, stream)
        self._response.attributed = self._exchanges == 1 or self._get_response_id() is not None
        if not self._response_future.done():
            self._response_future.set_result(self._response)

    def on_body(self, data: bytes) -> None:
        response = self._response
        if self._skipping:
            self._skip_allowance -= len(data)
            self._overhead_allowance += len(data)
        elif response is not None and not response.body.complete:
            allowance = self._overhead_allowance + (1 + MAX_FRAMING_PER_BODY_BYTE) * len(data)
            self._overhead_allowance = min(MAX_HEAD_BYTES, allowance)
            response.body.feed(data)

    def on_message_complete(self) -> None:
        if self._skipping:
            self._skipping = False
            self._reusable = _is_interim(self._parser.get_status_code()) and self._reusable
            return
        if self._response is not None and not self._response.body.complete:
            self._complete()

    # Exchanges

    def send_head(self, head: bytes, request_id: bytes | None) -> None:
        """Send a request head and start a new exchange.

        :param request_id: id that the response must carry, ``None`` to accept any response.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._expected_id = request_id
        self._exchanges += 1
        self._response = None
        self._overhead_allowance = MAX_HEAD_BYTES
        self._skip_allowance = MAX_SKIPPED_BYTES
        self.failure = None
        self._response_future = self._loop.create_future()
        # Retrieves the exception, so that asyncio does not report it if nobody awaits the response.
        self._response_future.add_done_callback(
            lambda future: future.cancelled() or future.exception()
        )
        self._transport.write(head)

    def write(self, data: bytes) -> None:
        """Send a part of the request body."""
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the write buffer is full because the upstream reads slowly."""
        if self._drain_waiter is not None:
            await asyncio.shield(self._drain_waiter)

    async def read_response(self) -> Response:
        """Wait for the response head and return the response.

        :raises Broken: the connection was closed or the bytes are not a valid response.
        """
        return await asyncio.shield(self._response_future)

    def finish(self) -> bool:
        """End the exchange; return whether the connection can be reused, abort it if not."""
        response = self._response
        self._response_future = None
        self._response = None
        reusable = response is not None and response.body.complete and response.reusable
        if not reusable or not self._reusable or self._invalid or self.closed:
            self.abort()
            return False
        self.idle_since = self._loop.time()
        return True

    def abort(self) -> None:
        """Reset the connection, which cancels a request in progress."""
        if not self.closed:
            self._transport.abort()

    def _has_other_request_id(self) -> bool:
        """Whether the response carries the id of another request."""
        response_id = self._get_response_id()
        return None not in (response_id, self._expected_id) and response_id != self._expected_id

    def _get_response_id(self) -> bytes | None:
        """Return the request id that the response carries, ``None`` if it carries none."""
        if self._id_header is None:
            return None
        return message.get_header(self._headers, self._id_header)

    def _complete(self) -> None:
        response = self._response
        response.reusable = response.self_delimiting and self._parser.should_keep_alive()
        keep_alive = message.get_header(response.headers, b"keep-alive")
        self.keep_alive_s = _parse_keep_alive_s(keep_alive)
        response.body.finish()

    def _fail(self, failure: ExchangeFailure, detail: str) -> None:
        if self.failure is None:
            self.failure = Broken(failure, detail)
        if self._response is not None:
            self._response.body.fail()
        if self._response_future is not None and not self._response_future.done():
            self._response_future.set_exception(self.failure)

    def _invalidate(self) -> None:
        """Abort a connection that received unexpected or malformed bytes."""
        self._invalid = True
        self._transport.abort()

    def _wake_drain_waiter(self) -> None:
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)


def _is_interim(status: int) -> bool:
    """Return whether a response with a status code is followed by the final one."""
    return MIN_STATUS <= status < FINAL_STATUS


def _parse_keep_alive_s(value: bytes | None) -> float | None:
    """Return the idle timeout in a ``Keep-Alive`` header in seconds, ``None`` if there is none.

    >>> _parse_keep_alive_s(b"timeout=10, max=5")
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
    """Open a connection to an upstream.

    :param local_ip: source address of the connection.
    :param timeout_s: connect timeout in seconds.
    :param id_header: response header that carries the request id, ``None`` to accept responses
        without comparing ids.
    :raises OSError: the connection was refused or timed out.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: Connection(id_header), *address, local_addr=(local_ip, 0)
        )
    return connection
