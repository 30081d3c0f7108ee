"""A single attempt to send a request to an upstream."""

import asyncio
import dataclasses
from collections.abc import Callable

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import health, rates
from waxwingspool.proxy import (
    caller,
    departure_header,
    header_names,
    limit_header,
    message,
    pool,
    upstream,
)

__all__ = ["Attempt", "BufferedResponse", "Result", "send"]

# Bytes of a response that are buffered before any are forwarded, so that a shorter response that
# is truncated can be replaced by another upstream's.
RESPONSE_BUFFER_BYTES = 128 * 1024
# Time for the rest of a refusal after its head, in seconds: it is short and sent with its head.
REFUSAL_TIMEOUT_S = 1.0


@dataclasses.dataclass(slots=True)
class BufferedResponse:
    """A response of an upstream and the buffered start of its body.

    :ivar data: the body as far as it has been received.
    :ivar complete: whether ``data`` is the complete body.
    """

    upstream_response: upstream.Response
    data: bytes
    complete: bool


@dataclasses.dataclass(slots=True)
class Result:
    """The result of an attempt.

    :ivar may_have_run: whether the upstream may have run the request.
    :ivar reason: text for the log, and for the caller if no response is forwarded.
    :ivar seconds: duration of the exchange without the time to connect.
    :ivar slowdown: slowdown from the load that the upstream reports, ``None`` if not reported.
    :ivar limit: what the response tells about the rate limit, ``None`` if it tells nothing.
    :ivar buffered_response: the response, ``None`` if there is none that can be forwarded.
    :ivar connection: the connection that the rest of a streamed response arrives on.
    """

    outcome: health.Outcome
    may_have_run: bool
    reason: str
    seconds: float = 0.0
    slowdown: float | None = None
    limit: rates.LimitReport | None = None
    buffered_response: BufferedResponse | None = None
    connection: upstream.Connection | None = None

    def report(self) -> health.Report:
        """Return the report for the dispatcher of the slot."""
        return health.Report(self.outcome, self.seconds, self.slowdown, self.limit)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A request and the upstream that it is sent to.

    :ivar body: the request body as far as it was read before the attempt.
    :ivar deadline: event loop time in seconds after which nobody waits for the response.
    :ivar on_departure: called when the upstream says that it is leaving.
    """

    request: caller.Request
    body: bytes
    target: upstreams.Upstream
    deadline: float
    on_departure: Callable[[], None]


async def send(attempt: Attempt, connections: pool.Pool, names: header_names.HeaderNames) -> Result:
    """Send a request to an upstream and buffer the start of the response, or all of a short one.

    :param connections: pool of connections to upstreams.
    :param names: header names of the platform.
    :returns: the result. Cancellation resets the connection, which cancels the request at the
        upstream.
    """
    loop = asyncio.get_running_loop()
    try:
        connection = await connections.acquire(attempt.target)
    except (OSError, TimeoutError) as error:
        reason = f"no connection: {type(error).__name__}"
        return Result(health.Outcome.UNREACHABLE, may_have_run=False, reason=reason)
    started_at = loop.time()
    succeeded = False

    def read_head(status: int, headers: message.Headers) -> None:
        if departure_header.tells_departure(status, headers, names):
            attempt.on_departure()

    connection.on_head = read_head
    try:
        result = await _exchange(attempt, connection, names)
        result.seconds = loop.time() - started_at
        succeeded = True
    except upstream.Broken as error:
        seconds = loop.time() - started_at
        return Result(health.Outcome.FAILED, may_have_run=True, reason=str(error), seconds=seconds)
    finally:
        connection.on_head = None
        if not succeeded:
            connection.abort()
    if result.connection is None:
        connections.release(attempt.target, connection)
    return result


async def _exchange(
    attempt: Attempt, connection: upstream.Connection, names: header_names.HeaderNames
) -> Result:
    """Send the request, and read the response head and the part of the body to buffer."""
    request = attempt.request
    request_id = message.get_header(request.headers, names.request_id)
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    connection.send_head(_format_request_head(attempt, names), request_id)
    upload = await _send_body(attempt, connection)
    try:
        response = await connection.read_response()
        received_at = loop.time()
    finally:
        if upload is not None:
            upload.cancel()
    await _wait_for_body(response, names)
    data = response.body.read_available()
    if response.body.failed:
        raise connection.failure
    if upload is not None and not _upload_complete(upload):
        # The upstream still expects the rest of the body and would read the next request as part
        # of it.
        response.reusable = False
    complete = response.body.complete
    buffered = BufferedResponse(response, data, complete)
    result = _classify_response(response, buffered, names)
    result.limit = _read_limit(response, attempt, names, (sent_at, received_at))
    if not complete and result.buffered_response is not None:
        result.connection = connection
    return result


async def _wait_for_body(response: upstream.Response, names: header_names.HeaderNames) -> None:
    """Wait for the part of the body to buffer if the head allows a use of the response.

    :raises waxwingspool.proxy.upstream.Broken: the body of a refusal does not end.
    """
    if not _is_refusal(response, names):
        if _has_proof(response, names):
            await response.body.wait_for_data(RESPONSE_BUFFER_BYTES)
        return
    try:
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            await response.body.wait_for_data(RESPONSE_BUFFER_BYTES)
    except TimeoutError:
        pass
    if not response.body.complete and not response.body.failed:
        detail = f"no end of the answer with status {response.status}"
        raise upstream.Broken(upstream.ExchangeFailure.MALFORMED, detail)


def _format_request_head(attempt: Attempt, names: header_names.HeaderNames) -> bytes:
    """Return the request head for the upstream."""
    request = attempt.request
    replaced = (names.timeout_ms, names.expected_upstream)
    headers = message.end_to_end_headers(request.headers, exclude=replaced)
    remaining_ms = max(1, int((attempt.deadline - asyncio.get_running_loop().time()) * 1000))
    headers.append((names.timeout_ms, b"%d" % remaining_ms))
    headers.append((names.expected_upstream, attempt.target.id.encode()))
    if request.length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif request.length or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % request.length))
    return message.format_head(request.method + b" " + request.target + b" HTTP/1.1", headers)


async def _send_body(attempt: Attempt, connection: upstream.Connection) -> asyncio.Task | None:
    """Send the body as far as it was received; return a task that forwards the rest, if any."""
    request = attempt.request
    chunked = request.length is None
    if attempt.body:
        connection.write(_frame(attempt.body, chunked))
    if request.body.complete and not request.body.buffered_bytes:
        if chunked:
            connection.write(b"0\r\n\r\n")
        await connection.drain()
        return None
    return asyncio.create_task(_stream_body(request, connection, chunked))


async def _stream_body(
    request: caller.Request, connection: upstream.Connection, chunked: bool
) -> bool:
    """Forward a body as it arrives and return whether it was sent completely."""
    while True:
        await request.body.wait_for_data()
        data = request.body.read_available()
        if request.body.failed:
            return False
        if data:
            connection.write(_frame(data, chunked))
            await connection.drain()
        if request.body.complete and not request.body.buffered_bytes:
            if chunked:
                connection.write(b"0\r\n\r\n")
            return True


def _upload_complete(upload: asyncio.Task) -> bool:
    """Whether the body was sent completely."""
    return upload.done() and not upload.cancelled() and upload.result()


def _frame(data: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if chunked else data


def _classify_response(
    response: upstream.Response, buffered: BufferedResponse, names: header_names.HeaderNames
) -> Result:
    """Return the result for a response, which includes the response only if it can be forwarded."""
    headers = response.headers
    load_header = message.get_header(headers, names.load)
    load = None if load_header is None else names.parse_load(load_header.decode("latin-1"))
    slowdown = None if load is None else load.slowdown
    if _is_refusal(response, names):
        misdirected = response.status == message.MISDIRECTED
        outcome = health.Outcome.MISDIRECTED if misdirected else health.Outcome.FULL
        reason = f"turned away with status {response.status}"
        return Result(outcome, may_have_run=False, reason=reason, slowdown=slowdown)
    if not _has_proof(response, names):
        reason = f"status {response.status} without proof that it is the upstream's"
        return Result(health.Outcome.FAILED, may_have_run=True, reason=reason, slowdown=slowdown)
    failed = response.status >= 500
    outcome = health.Outcome.FAILED if failed else health.Outcome.ANSWERED
    reason = f"status {response.status}"
    return Result(
        outcome, may_have_run=True, reason=reason, slowdown=slowdown, buffered_response=buffered
    )


def _read_limit(
    response: upstream.Response,
    attempt: Attempt,
    names: header_names.HeaderNames,
    times: tuple[float, float],
) -> rates.LimitReport | None:
    """Return what a response tells about the rate limit of its upstream, ``None`` if nothing.

    A refusal may name a limit, but only a response of work that was done ends one.

    :param times: event loop times in seconds of the request and of the head of the response.
    """
    has_proof = _has_proof(response, names)
    if response.status == message.MISDIRECTED or not (has_proof or _is_refusal(response, names)):
        return None
    request_id = message.get_header(attempt.request.headers, names.request_id) or b""
    report = limit_header.read_limit(
        response.headers,
        names,
        attempt.target.id,
        times,
        request_id[: caller.MAX_LOGGED_BYTES].decode("latin-1"),
    )
    return None if report is None or report.rate is None and not has_proof else report


def _is_refusal(response: upstream.Response, names: header_names.HeaderNames) -> bool:
    """Whether the head says that the upstream did not run this request."""
    is_marked = message.get_header(response.headers, names.not_run) is not None
    return response.attributed and (is_marked or response.status == message.MISDIRECTED)


def _has_proof(response: upstream.Response, names: header_names.HeaderNames) -> bool:
    """Whether the head proves that the response is the upstream's own to this request."""
    has_signature = message.get_header(response.headers, names.signature) is not None
    is_encoded = message.get_header(response.headers, b"content-encoding") is not None
    has_request_id = message.get_header(response.headers, names.request_id) is not None
    return has_signature and has_request_id and not is_encoded
