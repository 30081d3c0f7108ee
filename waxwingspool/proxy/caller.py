"""Connections of callers, each of which handles one request at a time."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

import httptools

from waxwingspool.catalog import routes
from waxwingspool.observe import counters, eventlog
from waxwingspool.proxy import body, message, stalled

__all__ = ["Connection", "Handler", "Request"]

# Response bytes buffered for a slow caller above which forwarding pauses until the caller reads;
# reading from the upstream pauses in turn.
WRITE_HIGH_WATER_BYTES = 64 * 1024
# Longest time to read the rest of a request body after the response, in seconds.
LINGER_TIMEOUT_S = 2.0
# Bytes of pipelined requests above which reading is paused until the current response is sent.
PIPELINE_HIGH_WATER_BYTES = 64 * 1024
# Longest text of a caller in a line of the log, in bytes.
MAX_LOGGED_BYTES = 120


@dataclasses.dataclass(slots=True)
class Request:
    """A request whose head has been received.

    :ivar target: the request target, which is the path and the query.
    :ivar path: the path without the query.
    :ivar length: length of the body in bytes, ``None`` if its transfer coding is chunked.
    :ivar arrived_at: event loop time at which the head was complete, in seconds.
    :ivar max_body_bytes: limit on the body that was in force when the head was complete.
    """

    method: bytes
    target: bytes
    path: str
    host: str
    headers: message.Headers
    body: body.Body
    length: int | None
    arrived_at: float
    keep_alive: bool
    max_body_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejection:
    """A request that is not handled; the connection is closed after the response."""

    status: int
    reason: str


Handler = Callable[["Connection", Request], Awaitable[None]]


class Connection(asyncio.Protocol):
    """A connection of a caller.

    :param handler: responds to a request.
    :param get_limits: returns the limits in force.
    :param is_stopping: whether the process is stopping; the connection is then closed after the
        current response.
    :param registry: set that contains the connection while it is open.
    :param id_header: request header that carries the request id, for the log.
    :param describe_configuration: returns fields for the log about the configuration in force.
    :param stalled_callers: the connections of all callers that don't read.
    :ivar connection_closed: future that is done once the connection is closed.
    """

    def __init__(
        self,
        handler: Handler,
        get_limits: Callable[[], routes.Limits],
        is_stopping: Callable[[], bool],
        registry: set["Connection"],
        id_header: bytes = b"",
        describe_configuration: Callable[[], dict[str, object]] = dict,
        stalled_callers: stalled.StalledCallers | None = None,
    ) -> None:
        self._handler = handler
        self._get_limits = get_limits
        self._is_stopping = is_stopping
        self._registry = registry
        self._id_header = id_header
        self._describe_configuration = describe_configuration
        self._stalled_callers = stalled_callers or stalled.StalledCallers()
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[Request | _Rejection] = collections.deque()
        self._request_waiter: asyncio.Future | None = None
        self._drain_waiter: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._incoming: Request | None = None
        self._target = b""
        self._headers: message.Headers = []
        self._head_bytes = 0
        self._in_head = False
        self._rejected = False
        self._pipelined = b""
        self._response_started = False
        self._completed_requests = 0
        self.busy = False
        self.connection_closed = self._loop.create_future()

    # Transport callbacks

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_HIGH_WATER_BYTES)
        self._registry.add(self)
        self._set_receive_timer()
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        if self._rejected:
            return
        if self._incoming is None and (self.busy or self._pending):
            self._buffer_pipelined(data)
            return
        if self._in_head or self._incoming is None:
            self._head_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserCallbackError as error:
            # A failure of our own in a callback; a request whose body is arriving gets no response.
            eventlog.event("connection.failed", error=repr(error.__context__))
            self._reject(503, "internal failure")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")
        if self._in_head and self._head_bytes > self._get_limits().max_header_bytes:
            self._reject(431, "the head is larger than the limit")

    def eof_received(self) -> bool:
        # A half-closed connection counts as closed: the caller no longer reads a response.
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._registry.discard(self)
        self._stalled_callers.discard(self)
        self._set_timer(None)
        if not self.connection_closed.done():
            self.connection_closed.set_result(None)
        if self._incoming is not None:
            self._incoming.body.fail()
        self._wake(self._request_waiter)
        self._wake(self._drain_waiter)

    def pause_writing(self) -> None:
        self._drain_waiter = self._loop.create_future()
        # The rest of the response is buffered on its way from the upstream.
        size = self._transport.get_write_buffer_size() + body.MAX_BUFFERED_BYTES
        self._stalled_callers.add(self, size)

    def resume_writing(self) -> None:
        self._stalled_callers.discard(self)
        self._wake(self._drain_waiter)
        self._drain_waiter = None

    # Parser callbacks

    def _parse(self, data: bytes) -> None:
        """Parse data, ignoring upgrades; the parser ends each head with one as if it had no body.

        :raises httptools.HttpParserError: the data is malformed.
        """
        while data and not self._rejected:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                head = self._format_head_without_upgrade()
                data = head + data[upgrade.args[0] :]
                self._parser = httptools.HttpRequestParser(self)

    def _format_head_without_upgrade(self) -> bytes:
        """Return the last head without its upgrade, for another parser."""
        headers = [(key, value) for key, value in self._headers if key != b"upgrade"]
        version = self._parser.get_http_version().encode()
        line = b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)
        return message.format_head(line, headers)

    def on_message_begin(self) -> None:
        self._headers = []
        self._target = b""
        self._in_head = True
        if not self.busy and not self._pending:
            self._set_receive_timer()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._in_head:
            # The parser leaves white space after the value in it (RFC 9110, section 5.5).
            self._headers.append((name.lower(), value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        if self._parser.should_upgrade() and self._parser.get_method() != b"CONNECT":
            return
        self._in_head = False
        self._set_timer(None)
        request = self._validate_head(self._head_bytes)
        self._head_bytes = 0
        if request is None:
            return
        self._incoming = request
        if message.get_header(self._headers, b"expect") is not None and not self.busy:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._pending.append(request)
        self._wake(self._request_waiter)

    def on_body(self, data: bytes) -> None:
        if self._incoming is None or self._rejected:
            return
        self._incoming.body.feed(data)
        if self._incoming.body.received_bytes > self._incoming.max_body_bytes:
            self._incoming.body.fail()
            self._reject(413, "the body is larger than the limit")

    def on_message_complete(self) -> None:
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None
            self._headers = []
            self._target = b""

    # Responses

    @property
    def disconnected(self) -> bool:
        """Whether the caller has disconnected."""
        return self.connection_closed.done() or self._transport.is_closing()

    @property
    def response_started(self) -> bool:
        """Whether a response to the current request has been started."""
        return self._response_started

    def close(self) -> None:
        """Close the connection after the buffered data has been sent."""
        self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that a partial response cannot be taken for a complete one."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress or partly received."""
        if not self.busy and not self._pending and not self._in_head:
            self._transport.close()

    def start_response(
        self, status_line: bytes, headers: message.Headers, keep_alive: bool
    ) -> None:
        """Send the head of a response."""
        self._response_started = True
        if not keep_alive:
            headers = [*headers, (b"connection", b"close")]
        self._transport.write(message.format_head(status_line, headers))

    def write(self, data: bytes) -> None:
        """Send a part of a response body."""
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the write buffer is full because the caller reads slowly."""
        if self._drain_waiter is not None and not self.connection_closed.done():
            await asyncio.wait(
                (self._drain_waiter, self.connection_closed), return_when=asyncio.FIRST_COMPLETED
            )

    def respond(
        self, request: Request | None, status: int, text: str, headers: message.Headers
    ) -> None:
        """Send a plain-text response that the balancer itself generates.

        :param request: the request; with ``None`` the connection is closed after the response.
        """
        if self.disconnected:
            return
        data = text.encode() + b"\n"
        keep_alive = request is not None and self.can_keep_alive(request)
        headers = [
            *headers,
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(data)),
        ]
        self.start_response(message.status_line(status), headers, keep_alive)
        self._transport.write(data)

    def can_keep_alive(self, request: Request) -> bool:
        """Whether the connection can be kept open for another request after this one."""
        return request.keep_alive and request.body.complete and not self._is_stopping()

    # Connection task

    async def _serve(self) -> None:
        """Process requests until the connection is closed."""
        try:
            while not self.disconnected:
                request = await self._next_request()
                if request is None or not await self._process(request):
                    break
        except Exception as error:
            eventlog.event("connection.failed", error=repr(error))
            self._transport.abort()
        finally:
            self.busy = False
            self._transport.close()

    async def _process(self, request: Request | _Rejection) -> bool:
        """Process one request and return whether the connection stays open."""
        if isinstance(request, _Rejection):
            counters.record_response("own", request.status)
            self.respond(None, request.status, request.reason, [])
            return False
        self.busy = True
        self._response_started = False
        await self._handler(self, request)
        if not await self._is_read():
            self.abort()
            return False
        await self._discard_body(request)
        self._completed_requests += 1
        self.busy = False
        if self.disconnected or not self.can_keep_alive(request):
            return False
        if not self._pending:
            self._set_receive_timer()
        data, self._pipelined = self._pipelined, b""
        self._transport.resume_reading()
        if data:
            self.data_received(data)
        return True

    async def _is_read(self) -> bool:
        """Wait until the caller reads; return whether it goes on to within each idle timeout.

        Responses to further requests would add to those that it doesn't read.
        """
        while True:
            unsent = self._transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self._get_limits().idle_timeout_s):
                    await self.drain()
                return True
            except TimeoutError:
                if self._transport.get_write_buffer_size() >= unsent:
                    eventlog.event("caller.not-reading", unsent=unsent)
                    return False

    async def _discard_body(self, request: Request) -> None:
        """Read and discard the rest of a request body after the response has been sent.

        Closing a connection with unread bytes would reset it, and the caller could lose the
        response.
        """
        try:
            async with asyncio.timeout(LINGER_TIMEOUT_S):
                while (
                    not request.body.complete and not request.body.failed and not self.disconnected
                ):
                    await request.body.wait_for_data()
                    request.body.read_available()
        except TimeoutError:
            eventlog.event("connection.lingered", unread=request.body.buffered_bytes)

    async def _next_request(self) -> Request | _Rejection | None:
        """Wait for the next request and return it, ``None`` if the connection was closed."""
        while not self._pending:
            if self.disconnected:
                return None
            self._request_waiter = self._loop.create_future()
            await self._request_waiter
        return self._pending.popleft()

    def _buffer_pipelined(self, data: bytes) -> None:
        """Buffer bytes of further requests until the current response is sent.

        Reading continues meanwhile, since only a read detects that the caller has disconnected.
        """
        self._pipelined += data
        if len(self._pipelined) > PIPELINE_HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def _validate_head(self, head_bytes: int) -> Request | None:
        """Return the request if its head is valid, else reject it and return ``None``."""
        hosts = [value for key, value in self._headers if key == b"host"]
        if len(hosts) != 1 or not hosts[0]:
            return self._reject(400, "exactly one Host header is required")
        if self._parser.get_method() == b"CONNECT":
            return self._reject(400, "tunnels are not supported")
        if not self._target.startswith(b"/") or b"#" in self._target or b"\\" in self._target:
            return self._reject(400, "the request target is not an absolute path")
        encoding = message.get_header(self._headers, b"transfer-encoding")
        if encoding is not None and encoding.strip().lower() != b"chunked":
            return self._reject(400, "the only transfer coding supported is chunked")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            return self._reject(400, "the HTTP version is not supported")
        limits = self._get_limits()
        if (
            head_bytes > limits.max_header_bytes
            and self._parsed_head_bytes >= limits.max_header_bytes
        ):
            return self._reject(431, "the head is larger than the limit")
        length = message.get_header(self._headers, b"content-length")
        if length is None and encoding is None:
            length = b"0"
        if length is not None and int(length) > limits.max_body_bytes:
            return self._reject(413, "the body is larger than the limit")
        transport = self._transport
        return Request(
            method=self._parser.get_method(),
            target=self._target,
            path=self._target.partition(b"?")[0].decode("latin-1"),
            host=hosts[0].decode("latin-1").partition(":")[0].lower(),
            headers=self._headers,
            body=body.Body(transport.pause_reading, transport.resume_reading),
            length=None if length is None else int(length),
            arrived_at=self._loop.time(),
            keep_alive=self._parser.should_keep_alive(),
            max_body_bytes=limits.max_body_bytes,
        )

    @property
    def _parsed_head_bytes(self) -> int:
        """Size of the head without the rest of the request line and without body bytes."""
        return sum(len(k) + len(v) + 4 for k, v in self._headers) + len(self._target)

    def _reject(self, status: int, reason: str) -> None:
        """Queue an error response to a request that is not handled and stop reading."""
        self._log_rejection(status, reason)
        self._rejected = True
        self._in_head = False
        if not self._transport.is_closing():
            self._transport.pause_reading()
        if self._incoming is not None:
            self._incoming.body.fail()
            self._incoming = None
        self._pending.append(_Rejection(status, reason))
        self._wake(self._request_waiter)

    def _log_rejection(self, status: int, reason: str) -> None:
        """Log what distinguishes an invalid request from a valid one that was misjudged."""
        limits = self._get_limits()
        incoming = self._incoming
        eventlog.event(
            "request.rejected",
            id=_shorten(message.get_header(self._headers, self._id_header)),
            status=status,
            reason=reason,
            host=_shorten(message.get_header(self._headers, b"host")),
            path=_shorten(self._target.partition(b"?")[0]),
            head_bytes=self._parsed_head_bytes,
            head_limit=limits.max_header_bytes,
            read_with_head=self._head_bytes,
            length=_shorten(message.get_header(self._headers, b"content-length")),
            body_bytes=None if incoming is None else incoming.body.received_bytes,
            body_limit=limits.max_body_bytes if incoming is None else incoming.max_body_bytes,
            earlier_requests=self._completed_requests,
            **self._describe_configuration(),
        )

    def _on_head_timeout(self) -> None:
        if self._in_head:
            self._reject(408, "the head did not arrive in time")

    def _on_idle_timeout(self) -> None:
        if not self.busy and not self._pending:
            self._transport.close()

    def _set_receive_timer(self) -> None:
        """Limit the wait for the next request, or for the rest of a head that has begun."""
        limits = self._get_limits()
        if self._in_head:
            self._set_timer(limits.header_timeout_s, self._on_head_timeout)
        else:
            self._set_timer(limits.idle_timeout_s, self._on_idle_timeout)

    def _set_timer(self, delay_s: float | None, callback: Callable[[], None] | None = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, callback)

    @staticmethod
    def _wake(future: asyncio.Future | None) -> None:
        if future is not None and not future.done():
            future.set_result(None)


def _shorten(value: bytes | None) -> bytes | None:
    return None if value is None else value[:MAX_LOGGED_BYTES]
