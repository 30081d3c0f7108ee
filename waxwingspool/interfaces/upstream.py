"""Requests to upstreams.

:class:`Upstream` is the interface; :func:`http_upstream` is the only code that knows the wire
form. A request goes out with an attempt id and an absolute deadline for the start of the work. An
answer is read whole before it is returned.

Wire form: request headers ``Waxwing-Attempt`` and ``Waxwing-Deadline`` (Unix milliseconds); answer
headers ``Waxwing-Attempt`` (echo) and ``Waxwing-Load``
(``running=1;queued=0;draining=0;incarnation=ab``). A refusal before any work has status 503 and
``Waxwing-Not-Started: 1``. ``POST /.waxwing/cancel/ID`` cancels, ``GET /.waxwing/load`` probes.
"""

import asyncio
import dataclasses
import enum
from collections.abc import AsyncIterable
from typing import Protocol

import aiohttp

from waxwingspool import exceptions

__all__ = [
    "Answer",
    "Attempt",
    "CancelReply",
    "CancelState",
    "Load",
    "NotStarted",
    "Request",
    "Result",
    "Unclear",
    "Upstream",
    "http_upstream",
    "parse_load",
]

# The largest answer that is held whole before it is passed on, in bytes.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Longest wait for a connection, in seconds.
CONNECT_TIMEOUT_S = 1.0
# How long an idle connection is kept, in seconds; shorter than upstreams keep theirs.
KEEPALIVE_S = 20.0

_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "waxwing-attempt",
        "waxwing-deadline",
        "waxwing-load",
        "waxwing-not-started",
        "waxwing-outcome",
        "waxwing-replayed",
    }
)

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request as received from a caller.

    :ivar path: path and query.
    :ivar body: the whole body, or its chunks where it is streamed.
    :ivar length: length of a streamed body in bytes, if the caller gave it.
    """

    method: str
    path: str
    headers: Headers
    body: bytes | AsyncIterable[bytes]
    length: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One try to run a request at an upstream.

    :ivar deadline_ms: Unix time after which the upstream must not start the work.
    """

    id: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """An upstream's report of its own load.

    :ivar incarnation: changes whenever the upstream restarts and forgets its attempts.
    """

    running: int
    queued: int
    draining: bool
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The upstream has not started the request and never will under this attempt id."""

    reason: str
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unclear:
    """The request was sent, at least in part, and no whole answer came back."""

    reason: str


Result = Answer | NotStarted | Unclear


class CancelState(enum.StrEnum):
    """What an upstream knows of an attempt it is asked to cancel."""

    NEVER_STARTED = "never-started"
    STARTED = "started"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """An upstream's reply to a cancellation."""

    state: CancelState
    incarnation: str


class Upstream(Protocol):
    """What the product needs of upstreams."""

    async def send(
        self, address: str, request: Request, attempt: Attempt, timeout_s: float
    ) -> Result:
        """Send a request and read the whole answer; never raises for a failing upstream."""

    async def cancel(self, address: str, attempt_id: str) -> CancelReply | None:
        """Cancel an attempt; ``None`` if the upstream did not reply."""

    async def probe(self, address: str) -> Load | None:
        """Return the upstream's load; ``None`` if it did not reply."""


def parse_load(text: str | None) -> Load | None:
    """Return the load in a ``Waxwing-Load`` header.

    :param text: the header's value, ``None`` if there is none.
    :returns: the load, ``None`` if the value can't be read.

    >>> parse_load("running=3;queued=1;draining=0;incarnation=ab")
    Load(running=3, queued=1, draining=False, incarnation='ab')
    >>> parse_load("running=many") is None
    True
    """
    if not text:
        return None
    fields = dict(part.partition("=")[::2] for part in text.split(";"))
    try:
        return Load(
            int(fields["running"]),
            int(fields["queued"]),
            fields["draining"] == "1",
            fields["incarnation"],
        )
    except (KeyError, ValueError):
        return None


def http_upstream(bind_ip: str | None, connections: int = 0) -> Upstream:
    """Return a client for upstreams over HTTP/1.1.

    :param bind_ip: local IP number that connections come from, ``None`` for any.
    :param connections: most connections to one upstream, 0 for no limit.
    :returns: the client. Close it with ``await client.close()``.
    """
    return HttpUpstream(bind_ip, connections)


class HttpUpstream:
    """Upstreams over HTTP/1.1, one pool of connections for all of them.

    A connection whose answer was not read to its end is closed, never used again, so a late
    answer can't reach another request.
    """

    def __init__(self, bind_ip: str | None, connections: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections,
            keepalive_timeout=KEEPALIVE_S,
            local_addr=(bind_ip, 0) if bind_ip else None,
        )
        timeout = aiohttp.ClientTimeout(total=None, connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Content-Type", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def send(
        self, address: str, request: Request, attempt: Attempt, timeout_s: float
    ) -> Result:
        if timeout_s <= 0:
            return NotStarted("the deadline has passed")
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(address, request, attempt)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return NotStarted(f"{address} can't be reached: {type(error).__name__}")
        except TimeoutError:
            return Unclear(f"{address} did not answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return Unclear(f"{address} broke off: {type(error).__name__}")
        except exceptions.AnswerTooLarge as error:
            return Unclear(str(error))

    async def cancel(self, address: str, attempt_id: str) -> CancelReply | None:
        url = f"http://{address}/.waxwing/cancel/{attempt_id}"
        try:
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_S),
                self._session.post(url) as answer,
            ):
                body = await answer.json()
                return CancelReply(CancelState(body["state"]), body["incarnation"])
        except (aiohttp.ClientError, OSError, ValueError, KeyError):
            return None

    async def probe(self, address: str) -> Load | None:
        url = f"http://{address}/.waxwing/load"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S), self._session.get(url) as answer:
                await answer.read()
                return parse_load(answer.headers.get("Waxwing-Load"))
        except (aiohttp.ClientError, OSError):
            return None

    async def _exchange(self, address: str, request: Request, attempt: Attempt) -> Result:
        """Send the request and read the answer."""
        headers = [(k, v) for k, v in request.headers if k.lower() not in _HOP_HEADERS]
        headers.append(("Waxwing-Attempt", attempt.id))
        headers.append(("Waxwing-Deadline", str(attempt.deadline_ms)))
        if request.length is not None:
            headers.append(("Content-Length", str(request.length)))
        async with self._session.request(
            request.method,
            f"http://{address}{request.path}",
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
        ) as answer:
            body = await _read_whole(answer)
        load = parse_load(answer.headers.get("Waxwing-Load"))
        echo = answer.headers.get("Waxwing-Attempt")
        if echo is not None and echo != attempt.id:
            return Unclear(f"{address} answered attempt {echo} instead of {attempt.id}")
        if answer.headers.get("Waxwing-Not-Started") == "1":
            return NotStarted(f"{address} refused the request", load)
        kept = tuple((k, v) for k, v in answer.headers.items() if k.lower() not in _HOP_HEADERS)
        return Answer(answer.status, kept, body, load)


async def _read_whole(answer: aiohttp.ClientResponse) -> bytes:
    """Return the body, complete, or raise."""
    if (answer.content_length or 0) > MAX_ANSWER_BYTES:
        raise exceptions.AnswerTooLarge(f"an answer of {answer.content_length} bytes")
    chunks: list[bytes] = []
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise exceptions.AnswerTooLarge(f"an answer of more than {MAX_ANSWER_BYTES} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
