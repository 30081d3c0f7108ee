"""One attempt of a request at one upstream."""

import asyncio
import dataclasses

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import health
from waxwingspool.proxy import caller, dialect, message, pool, upstream

__all__ = ["Answer", "Attempt", "Result", "send"]

# Bytes of an answer that are held back until it is whole, so that an answer that breaks off can
# be replaced by another upstream's.
HELD_BYTES = 128 * 1024
# Statuses by which an upstream says that it did not run the request, with or without the header.
_MISDIRECTED = 421


@dataclasses.dataclass(slots=True)
class Answer:
    """An upstream's answer, whole or with the rest still to come.

    :ivar data: the body as far as it has arrived.
    """

    response: upstream.Response
    data: bytes
    whole: bool


@dataclasses.dataclass(slots=True)
class Result:
    """How an attempt ended.

    :ivar ran: whether the upstream may have run the request.
    :ivar answer: its answer, if one can be passed on.
    :ivar connection: the connection that a streamed answer still comes from.
    """

    outcome: health.Outcome
    ran: bool
    reason: str
    seconds: float = 0.0
    slowdown: float | None = None
    answer: Answer | None = None
    connection: upstream.Connection | None = None

    def report(self) -> health.Report:
        """Return what the slot's dispatcher is told."""
        return health.Report(self.outcome, self.seconds, self.slowdown)


@dataclasses.dataclass(slots=True)
class Attempt:
    """What is sent.

    :ivar body: the request's body as far as it was read before the attempt.
    :ivar ends_at: time of the event loop at which nobody waits any more, in seconds.
    """

    request: caller.Request
    body: bytes
    target: upstreams.Upstream
    ends_at: float


async def send(attempt: Attempt, connections: pool.Pool, names: dialect.Dialect) -> Result:
    """Send a request to an upstream and read the start of its answer, or all of a short one.

    :param connections: kept connections.
    :param names: names of the headers.
    :returns: how it ended. Cancelling breaks the connection off, which cancels the work.
    """
    loop = asyncio.get_running_loop()
    try:
        connection = await connections.acquire(attempt.target)
    except (OSError, TimeoutError) as error:
        reason = f"no connection: {type(error).__name__}"
        return Result(health.Outcome.UNREACHABLE, ran=False, reason=reason)
    started_at = loop.time()
    done = False
    try:
        result = await _exchange(attempt, connection, names)
        result.seconds = loop.time() - started_at
        done = True
    except upstream.Broken as error:
        seconds = loop.time() - started_at
        return Result(health.Outcome.FAILED, ran=True, reason=str(error), seconds=seconds)
    finally:
        if not done:
            connection.abort()
    if result.connection is None:
        connections.give_back(attempt.target, connection)
    return result


async def _exchange(
    attempt: Attempt, connection: upstream.Connection, names: dialect.Dialect
) -> Result:
    """Send the request, and read the answer's head and as much of its body as is held back."""
    request = attempt.request
    request_id = message.first(request.headers, names.request_id)
    connection.begin(_head(attempt, names), request_id)
    upload = await _send_body(attempt, connection)
    try:
        response = await connection.response()
    finally:
        if upload is not None:
            upload.cancel()
    await response.body.settle(HELD_BYTES)
    data = response.body.take()
    if response.body.failed:
        raise upstream.Broken(upstream.Fault.TRUNCATED, "in the middle of the answer")
    if upload is not None and not _upload_whole(upload):
        # The rest of the body is still due: another request's bytes would be taken for it.
        response.reusable = False
    whole = response.body.complete
    answer = Answer(response, data, whole)
    result = _judge(response, answer, names)
    if not whole and result.answer is not None:
        result.connection = connection
    return result


def _head(attempt: Attempt, names: dialect.Dialect) -> bytes:
    """Return the head that goes to the upstream."""
    request = attempt.request
    own = (names.time_left, names.expected_upstream)
    headers = message.end_to_end(request.headers, without=own)
    left_ms = max(1, int((attempt.ends_at - asyncio.get_running_loop().time()) * 1000))
    headers.append((names.time_left, b"%d" % left_ms))
    headers.append((names.expected_upstream, attempt.target.id.encode()))
    if request.length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif request.length or request.method not in (b"GET", b"HEAD"):
        headers.append((b"content-length", b"%d" % request.length))
    return message.head(request.method + b" " + request.target + b" HTTP/1.1", headers)


async def _send_body(attempt: Attempt, connection: upstream.Connection) -> asyncio.Task | None:
    """Send the body; return the task that sends what has not arrived yet."""
    request = attempt.request
    chunked = request.length is None
    if attempt.body:
        connection.write(_framed(attempt.body, chunked))
    if request.body.complete and not request.body.size:
        if chunked:
            connection.write(b"0\r\n\r\n")
        await connection.drain()
        return None
    return asyncio.create_task(_stream_body(request, connection, chunked))


async def _stream_body(
    request: caller.Request, connection: upstream.Connection, chunked: bool
) -> bool:
    """Pass a body on as it arrives; return whether it went out whole."""
    while True:
        await request.body.settle()
        data = request.body.take()
        if request.body.failed:
            return False
        if data:
            connection.write(_framed(data, chunked))
            await connection.drain()
        if request.body.complete and not request.body.size:
            if chunked:
                connection.write(b"0\r\n\r\n")
            return True


def _upload_whole(upload: asyncio.Task) -> bool:
    """Whether the body went out whole."""
    return upload.done() and not upload.cancelled() and upload.result()


def _framed(data: bytes, chunked: bool) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if chunked else data


def _judge(response: upstream.Response, answer: Answer, names: dialect.Dialect) -> Result:
    """Tell an answer that can be passed on from one that can't."""
    headers = response.headers
    load_header = message.first(headers, names.load)
    load = None if load_header is None else names.parse_load(load_header.decode("latin-1"))
    slowdown = None if load is None else load.slowdown
    if message.first(headers, names.not_run) is not None or response.status == _MISDIRECTED:
        misdirected = response.status == _MISDIRECTED
        outcome = health.Outcome.MISDIRECTED if misdirected else health.Outcome.FULL
        reason = f"turned away with status {response.status}"
        return Result(outcome, ran=False, reason=reason, slowdown=slowdown)
    signed = message.first(headers, names.signature) is not None
    encoded = message.first(headers, b"content-encoding") is not None
    echoed = message.first(headers, names.request_id) is not None
    if not signed or encoded or not echoed:
        reason = f"status {response.status} without proof that it is the upstream's"
        return Result(health.Outcome.FAILED, ran=True, reason=reason, slowdown=slowdown)
    failed = response.status >= 500
    outcome = health.Outcome.FAILED if failed else health.Outcome.ANSWERED
    reason = f"status {response.status}"
    return Result(outcome, ran=True, reason=reason, slowdown=slowdown, answer=answer)
