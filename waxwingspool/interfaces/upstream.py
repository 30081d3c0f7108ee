"""Client for upstreams.

:class:`UpstreamClient` is the interface; only the client that :func:`http_upstream_client` returns
depends on the wire format. Each request carries an attempt id and an absolute deadline for the
start of its processing. A response is read completely before it is returned.

Wire format: request headers ``Waxwing-Attempt`` and ``Waxwing-Deadline`` (Unix milliseconds);
response headers ``Waxwing-Attempt`` (echo) and ``Waxwing-Load``
(``running=1;queued=0;draining=0;incarnation=ab``). A request that is refused before processing
starts gets status 503 and ``Waxwing-Not-Started: 1``. ``POST /.waxwing/cancel/ID`` cancels an
attempt, ``GET /.waxwing/load`` probes the load.
"""

import asyncio
import dataclasses
import enum
import json
from collections.abc import AsyncIterable
from typing import Protocol

import aiohttp

from waxwingspool import exceptions
from waxwingspool.interfaces import http

__all__ = [
    "Response",
    "Attempt",
    "CancelReply",
    "CancelState",
    "Load",
    "NotStarted",
    "Request",
    "Result",
    "Indeterminate",
    "UpstreamClient",
    "http_upstream_client",
    "parse_load",
]

# Maximum size of a response body, which is buffered completely before it is forwarded, in bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Maximum size of the response to a cancellation or a probe, in bytes.
MAX_CONTROL_BYTES = 64 * 1024
# Range of valid status codes (RFC 9110, section 15).
MIN_STATUS, MAX_STATUS = 100, 599
# Time limit for connecting, and for a cancellation or a probe, in seconds.
CONNECT_TIMEOUT_S = 1.0
# Idle time after which a connection is closed, in seconds. It is shorter than the keep-alive time
# of the upstreams, so that an upstream does not close a connection that is about to be reused.
KEEPALIVE_S = 20.0

# Headers that are forwarded in neither direction: hop-by-hop headers and headers of the protocol
# between balancer and upstream.
_NOT_FORWARDED = frozenset(
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
    """A request from a caller.

    :ivar path: path and query string.
    :ivar body: complete body, or its chunks if it is streamed.
    :ivar length: length of a streamed body in bytes, ``None`` if the caller did not give it.
    """

    method: str
    path: str
    headers: Headers
    body: bytes | AsyncIterable[bytes]
    length: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to process a request at an upstream.

    :ivar deadline_ms: Unix time in milliseconds after which the upstream must not start processing.
    """

    id: str
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load reported by an upstream.

    :ivar incarnation: changes whenever the upstream restarts and loses its record of attempts.
    """

    running: int
    queued: int
    draining: bool
    incarnation: str


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    headers: Headers
    body: bytes
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotStarted:
    """The upstream has not started processing and never will under this attempt id."""

    reason: str
    load: Load | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Indeterminate:
    """At least part of the request was sent, but no complete response was received."""

    reason: str


Result = Response | NotStarted | Indeterminate


class CancelState(enum.StrEnum):
    """State of an attempt at the upstream that was asked to cancel it."""

    NEVER_STARTED = "never-started"
    STARTED = "started"
    FINISHED = "finished"


@dataclasses.dataclass(frozen=True, slots=True)
class CancelReply:
    """Response of an upstream to a cancellation."""

    state: CancelState
    incarnation: str


class UpstreamClient(Protocol):
    """Interface of the client for upstreams."""

    async def send(
        self, address: str, request: Request, attempt: Attempt, timeout_s: float
    ) -> Result:
        """Send a request and read the complete response; never raises if the upstream fails."""

    async def cancel(self, address: str, attempt_id: str) -> CancelReply | None:
        """Cancel an attempt; return ``None`` if no valid response was received."""

    async def probe(self, address: str) -> Load | None:
        """Return the upstream's load, or ``None`` if no valid response was received."""


def parse_load(text: str | None) -> Load | None:
    """Parse the value of a ``Waxwing-Load`` header.

    :param text: value of the header, ``None`` if it is absent.
    :returns: the load, or ``None`` if the value is absent or malformed.

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


def http_upstream_client(bind_ip: str | None, connections: int = 0) -> UpstreamClient:
    """Return a client for upstreams over HTTP/1.1.

    :param bind_ip: local IP address to connect from, ``None`` for any.
    :param connections: maximum number of connections to one upstream, 0 for no limit.
    :returns: the client. Close it with ``await client.close()``.
    """
    return HttpUpstreamClient(bind_ip, connections)


class HttpUpstreamClient:
    """Client for upstreams over HTTP/1.1, with one connection pool for all of them.

    A connection whose response was not read to its end is closed and not reused, so a late response
    can't be taken for the response to another request.
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
        """Close all connections."""
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
            return Indeterminate(f"{address} did not answer in time")
        except (aiohttp.ClientError, OSError) as error:
            return Indeterminate(f"{address} broke off: {type(error).__name__}")
        except exceptions.AnswerTooLarge as error:
            return Indeterminate(str(error))

    async def cancel(self, address: str, attempt_id: str) -> CancelReply | None:
        url = f"http://{address}/.waxwing/cancel/{attempt_id}"
        try:
            async with (
                asyncio.timeout(CONNECT_TIMEOUT_S),
                self._session.post(url) as response,
            ):
                body = json.loads(await http.read_body(response, MAX_CONTROL_BYTES))
                return CancelReply(CancelState(body["state"]), body["incarnation"])
        except (aiohttp.ClientError, OSError, ValueError, KeyError, exceptions.AnswerTooLarge):
            return None

    async def probe(self, address: str) -> Load | None:
        url = f"http://{address}/.waxwing/load"
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S), self._session.get(url) as response:
                await http.read_body(response, MAX_CONTROL_BYTES)
                return parse_load(response.headers.get("Waxwing-Load"))
        except (aiohttp.ClientError, OSError, exceptions.AnswerTooLarge):
            return None

    async def _exchange(self, address: str, request: Request, attempt: Attempt) -> Result:
        """Send a request and read its response."""
        headers = [(k, v) for k, v in request.headers if k.lower() not in _NOT_FORWARDED]
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
        ) as response:
            connection = response.connection
            protocol = None if connection is None else connection.protocol
            body = await http.read_body(response, MAX_RESPONSE_BYTES)
            # The library takes a reset for the end of a body that ends with its connection.
            if protocol is not None and not _is_framed(response):
                error = protocol.exception()
                if isinstance(error, OSError):
                    raise error
        if not MIN_STATUS <= response.status <= MAX_STATUS:
            return Indeterminate(f"{address} answered with status {response.status:03}")
        load = parse_load(response.headers.get("Waxwing-Load"))
        echo = response.headers.get("Waxwing-Attempt")
        if echo is not None and echo != attempt.id:
            return Indeterminate(f"{address} answered attempt {echo} instead of {attempt.id}")
        if response.headers.get("Waxwing-Not-Started") == "1":
            return NotStarted(f"{address} refused the request", load)
        forwarded = tuple(
            (k, v) for k, v in response.headers.items() if k.lower() not in _NOT_FORWARDED
        )
        return Response(response.status, forwarded, body, load)


def _is_framed(response: aiohttp.ClientResponse) -> bool:
    """Return whether the end of a body is known without the connection being closed."""
    return response.content_length is not None or "Transfer-Encoding" in response.headers
