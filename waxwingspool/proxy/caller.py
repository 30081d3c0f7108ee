"""Connections of callers: requests in, answers out, one request at a time."""

import asyncio
import collections
import dataclasses
from collections.abc import Awaitable, Callable

import httptools

from waxwingspool.catalog import routes
from waxwingspool.observe import eventlog
from waxwingspool.proxy import body, message

__all__ = ["Connection", "Handler", "Request"]

# Bytes of answers that may wait for a slow caller before the upstream is held back.
WRITE_HIGH_WATER = 256 * 1024
# Longest wait for the rest of a body after the answer, in seconds.
LINGER_S = 2.0
# Bytes of further requests that are read before the present one is answered.
PIPELINE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Request:
    """A request whose head has arrived.

    :ivar arrived_at: time of the event loop in seconds.
    :ivar path: path without the query; ``target`` has both.
    :ivar length: length of the body in bytes, ``None`` if it comes in chunks.
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


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejection:
    """Input that is not a request; the connection ends after the answer."""

    status: int
    reason: str


Handler = Callable[["Connection", Request], Awaitable[None]]


class Connection(asyncio.Protocol):
    """One connection of a caller.

    :param handle: answers one request.
    :param limits: limits in force.
    :param closing: whether the process is stopping, so that connections end after their answer.
    """

    def __init__(
        self,
        handle: Handler,
        limits: Callable[[], routes.Limits],
        closing: Callable[[], bool],
        registry: set["Connection"],
    ) -> None:
        self._handle = handle
        self._limits = limits
        self._closing = closing
        self._registry = registry
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._requests: collections.deque[Request | _Rejection] = collections.deque()
        self._arrival: asyncio.Future | None = None
        self._writable: asyncio.Future | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._incoming: Request | None = None
        self._url = b""
        self._headers: message.Headers = []
        self._head_bytes = 0
        self._head_open = False
        self._rejected = False
        self._held = b""
        self._answered = False
        self.busy = False
        self.lost = self._loop.create_future()

    # Transport callbacks

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(WRITE_HIGH_WATER)
        self._registry.add(self)
        self._set_timer(self._limits().idle_timeout_s, self._idle)
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        if self._rejected:
            return
        if self._incoming is None and (self.busy or self._requests):
            self._hold(data)
            return
        if self._head_open or self._incoming is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades and tunnels are not supported")
        except httptools.HttpParserError as error:
            self._reject(400, f"malformed request: {error}")
        if self._head_open and self._head_bytes > self._limits().header_bytes:
            self._reject(431, "the head is larger than the limit")

    def eof_received(self) -> bool:
        # A caller that ends its side has left: it reads no answer any more.
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self._registry.discard(self)
        self._set_timer(None)
        if not self.lost.done():
            self.lost.set_result(None)
        if self._incoming is not None:
            self._incoming.body.fail()
        self._wake(self._arrival)
        self._wake(self._writable)

    def pause_writing(self) -> None:
        self._writable = self._loop.create_future()

    def resume_writing(self) -> None:
        self._wake(self._writable)
        self._writable = None

    # Parser callbacks

    def on_message_begin(self) -> None:
        self._headers = []
        self._url = b""
        self._head_open = True
        if not self.busy:
            self._set_timer(self._limits().header_timeout_s, self._head_late)

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_open:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self._head_open = False
        size = self._head_bytes
        self._head_bytes = 0
        self._set_timer(None)
        request = self._checked(size)
        if request is None:
            return
        self._incoming = request
        if message.first(self._headers, b"expect") is not None and not self.busy:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._requests.append(request)
        self._wake(self._arrival)

    def on_body(self, data: bytes) -> None:
        if self._incoming is None or self._rejected:
            return
        self._incoming.body.feed(data)
        if self._incoming.body.total > self._limits().body_bytes:
            self._incoming.body.fail()
            self._reject(413, "the body is larger than the limit")

    def on_message_complete(self) -> None:
        if self._incoming is not None:
            self._incoming.body.finish()
            self._incoming = None

    # Answers

    @property
    def gone(self) -> bool:
        """Whether the caller has left."""
        return self.lost.done() or self._transport.is_closing()

    @property
    def answered(self) -> bool:
        """Whether an answer to the present request has begun."""
        return self._answered

    def close(self) -> None:
        """Close after what has been written."""
        self._transport.close()

    def abort(self) -> None:
        """Break the connection off, so that what was sent can't look complete."""
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close unless a request is under way or has begun to arrive."""
        if not self.busy and not self._requests and not self._head_open:
            self._transport.close()

    def begin_answer(self, start: bytes, headers: message.Headers, keep_alive: bool) -> None:
        """Write the head of an answer."""
        self._answered = True
        if not keep_alive:
            headers = [*headers, (b"connection", b"close")]
        self._transport.write(message.head(start, headers))

    def write(self, data: bytes) -> None:
        """Write a part of an answer's body."""
        if data:
            self._transport.write(data)

    async def drain(self) -> None:
        """Wait while the caller is slow to read."""
        if self._writable is not None and not self.lost.done():
            await asyncio.wait((self._writable, self.lost), return_when=asyncio.FIRST_COMPLETED)

    def answer(
        self, request: Request | None, status: int, text: str, headers: message.Headers
    ) -> None:
        """Write an answer of the balancer's own.

        :param request: the request; ``None`` ends the connection after the answer.
        """
        if self.gone:
            return
        data = text.encode() + b"\n"
        keep_alive = request is not None and self.may_stay_open(request)
        headers = [
            *headers,
            (b"content-type", b"text/plain"),
            (b"content-length", b"%d" % len(data)),
        ]
        self.begin_answer(message.status_line(status), headers, keep_alive)
        self._transport.write(data)

    def may_stay_open(self, request: Request) -> bool:
        """Whether the connection can take another request after this one."""
        return request.keep_alive and request.body.complete and not self._closing()

    # The connection's task

    async def _serve(self) -> None:
        """Answer requests until the connection ends."""
        try:
            while not self.gone:
                request = await self._next()
                if request is None or not await self._answer(request):
                    break
        except Exception as error:
            eventlog.event("connection.failed", error=repr(error))
            self._transport.abort()
        finally:
            self.busy = False
            self._transport.close()

    async def _answer(self, request: Request | _Rejection) -> bool:
        """Answer one request; return whether the connection stays open."""
        if isinstance(request, _Rejection):
            eventlog.event("request.rejected", status=request.status, reason=request.reason)
            self.answer(None, request.status, request.reason, [])
            return False
        self.busy = True
        self._answered = False
        await self._handle(self, request)
        await self._discard_rest(request)
        self.busy = False
        if self.gone or not self.may_stay_open(request):
            return False
        self._set_timer(self._limits().idle_timeout_s, self._idle)
        held, self._held = self._held, b""
        self._transport.resume_reading()
        if held:
            self.data_received(held)
        return True

    async def _discard_rest(self, request: Request) -> None:
        """Read the rest of a body whose answer is out already.

        Closing with unread bytes would reset the connection and could destroy the answer.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                while not request.body.complete and not request.body.failed and not self.gone:
                    await request.body.settle()
                    request.body.take()
        except TimeoutError:
            eventlog.event("connection.lingered", unread=request.body.size)

    async def _next(self) -> Request | _Rejection | None:
        """Return the next request, ``None`` if the connection has ended."""
        while not self._requests:
            if self.gone:
                return None
            self._arrival = self._loop.create_future()
            await self._arrival
        return self._requests.popleft()

    def _hold(self, data: bytes) -> None:
        """Keep bytes of the next request until the present one is answered.

        Reading goes on meanwhile, since only a read shows that the caller has left.
        """
        self._held += data
        if len(self._held) > PIPELINE_BYTES:
            self._transport.pause_reading()

    def _checked(self, size: int) -> Request | None:
        """Return the request whose head has arrived, or reject it."""
        hosts = [value for key, value in self._headers if key == b"host"]
        if len(hosts) != 1 or not hosts[0]:
            return self._reject(400, "exactly one Host header is required")
        if not self._url.startswith(b"/") or b"#" in self._url or b"\\" in self._url:
            return self._reject(400, "the request target is not an absolute path")
        encoding = message.first(self._headers, b"transfer-encoding")
        if encoding is not None and encoding.strip().lower() != b"chunked":
            return self._reject(400, "the only transfer coding supported is chunked")
        if self._parser.get_http_version() not in ("1.1", "1.0"):
            return self._reject(400, "the HTTP version is not supported")
        limits = self._limits()
        if size > limits.header_bytes and not self._headers_fit(limits.header_bytes):
            return self._reject(431, "the head is larger than the limit")
        length = message.first(self._headers, b"content-length")
        if length is None and encoding is None:
            length = b"0"
        if length is not None and int(length) > limits.body_bytes:
            return self._reject(413, "the body is larger than the limit")
        transport = self._transport
        return Request(
            method=self._parser.get_method(),
            target=self._url,
            path=self._url.partition(b"?")[0].decode("latin-1"),
            host=hosts[0].decode("latin-1").partition(":")[0].lower(),
            headers=self._headers,
            body=body.Body(transport.pause_reading, transport.resume_reading),
            length=None if length is None else int(length),
            arrived_at=self._loop.time(),
            keep_alive=self._parser.should_keep_alive(),
        )

    def _headers_fit(self, limit: int) -> bool:
        """Whether the head alone, without a body read with it, is within the limit."""
        return sum(len(k) + len(v) + 4 for k, v in self._headers) + len(self._url) < limit

    def _reject(self, status: int, reason: str) -> None:
        """Answer input that is not a request, and read no more."""
        self._rejected = True
        self._head_open = False
        if not self._transport.is_closing():
            self._transport.pause_reading()
        if self._incoming is not None:
            self._incoming.body.fail()
            self._incoming = None
        self._requests.append(_Rejection(status, reason))
        self._wake(self._arrival)

    def _head_late(self) -> None:
        if self._head_open:
            self._reject(408, "the head did not arrive in time")

    def _idle(self) -> None:
        if not self.busy and not self._requests:
            self._transport.close()

    def _set_timer(self, delay_s: float | None, call: Callable[[], None] | None = None) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_s is not None:
            self._timer = self._loop.call_later(delay_s, call)

    @staticmethod
    def _wake(future: asyncio.Future | None) -> None:
        if future is not None and not future.done():
            future.set_result(None)
