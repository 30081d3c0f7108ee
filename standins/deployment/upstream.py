"""A simulated upstream of the platform with injected faults, and a ledger of requests and runs."""

import asyncio
import collections
import dataclasses
import random

from standins.deployment import web
from waxwingspool.proxy import caller, message

__all__ = ["Ledger", "Upstream"]

WORK_S = 0.03
SLOW_FACTOR = 30
SLOTS = 4
QUEUE_SIZE = 8
# Bytes missing at the end of a truncated response.
TRUNCATED_BYTES = 3
# Probability that a fault affects a response.
FAULT_PROBABILITIES = {
    "errors": 0.5,
    "lose": 0.3,
    "cut": 0.3,
    "extra": 0.3,
    "late": 0.3,
    "endless": 0.3,
}
# Bytes that are sent at a time and the pause after them in seconds, without end.
ENDLESS_BYTES = 16 * 1024
ENDLESS_PAUSE_S = 0.005


@dataclasses.dataclass
class Ledger:
    """Requests that reached the upstreams, and their runs, by request id.

    :ivar runs: number of runs.
    :ivar services: service of the upstream that ran the request.
    :ivar arrivals: time, upstream, service and id of every request that reached an upstream.
    :ivar last_upstream: upstream of the last run.
    :ivar responded: requests that got a complete and successful response.
    :ivar ended_at: time at which the last run ended, whether completed or cancelled.
    :ivar timeout_ms: timeout in the deadline header; -1 if there was none.
    :ivar probed_at: times of the health checks, by upstream.
    :ivar rate_limits: by upstream, the times at which its rate limit changed, with the new limit in
        requests per second, ``None`` for none.
    """

    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    services: dict[str, str] = dataclasses.field(default_factory=dict)
    arrivals: list[tuple[float, str, str, str]] = dataclasses.field(default_factory=list)
    last_upstream: dict[str, str] = dataclasses.field(default_factory=dict)
    responded: set[str] = dataclasses.field(default_factory=set)
    ended_at: dict[str, float] = dataclasses.field(default_factory=dict)
    timeout_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    probed_at: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    rate_limits: dict[str, list[tuple[float, float | None]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )


class Upstream:
    """One upstream.

    :ivar fault: ``None``, ``"slow"``, ``"errors"`` (responds with 500), ``"lose"`` (runs the
        request and resets the connection), ``"cut"`` (truncates responses), ``"extra"`` (sends a
        response twice), ``"late"`` (sends a second copy ahead of the next response on the
        connection), ``"endless"`` (sends a head or body without end) or ``"shed"`` (refuses every
        request).
    :ivar leaving: whether it says in all responses that it is leaving.
    :ivar gone: whether its process has ended; connections are reset.
    :ivar started_ms: start that it registers, as Unix time in milliseconds.
    """

    def __init__(self, id_: str, service: str, ledger: Ledger, rng: random.Random) -> None:
        self.id = id_
        self.service = service
        self.fault: str | None = None
        self.leaving = self.gone = False
        self.started_ms = 1
        self._ledger = ledger
        self._rng = rng
        self._rate_limit: float | None = None
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._delayed_responses: dict[caller.Connection, bytes] = {}

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Listen on an address."""
        return await web.serve(ip, port, self._handle)

    def limit_rate(self, rate: float | None) -> None:
        """Name a rate limit from now on.

        :param rate: requests per second, ``None`` to name no limit any more.
        """
        self._rate_limit = rate
        changes = self._ledger.rate_limits[self.id]
        changes.append((asyncio.get_running_loop().time(), rate))

    @property
    def busy(self) -> bool:
        """Whether it has requests that run or wait."""
        return bool(self._running or self._waiting)

    def start_again(self) -> None:
        """Start again under the same id, with nothing of before."""
        self.leaving = self.gone = False
        self.started_ms += 1
        if self._rate_limit is not None:
            self.limit_rate(None)

    def _status_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers that tell load, rate limit and departure."""
        load = b"%d,%d,%d,100" % (self._running, self._waiting, SLOTS)
        headers = [(b"x-server-load", load)]
        if self._rate_limit is not None:
            headers.append((b"server-limit", b"%g" % self._rate_limit))
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        return headers

    async def _handle(
        self, request: caller.Request, data: bytes, connection: caller.Connection
    ) -> tuple[int, list, bytes]:
        if self.gone:
            return 0, [], b""
        if request.path == "/health":
            self._ledger.probed_at[self.id].append(asyncio.get_running_loop().time())
            status = 503 if self.leaving else 200
            return status, [(b"x-instance-id", self.id.encode()), *self._status_headers()], b""
        request_id = message.get_header(request.headers, b"x-request-id")
        echo_headers = [(b"x-request-id", request_id), *self._status_headers()]
        if message.get_header(request.headers, b"x-expect-instance") != self.id.encode():
            return 421, echo_headers, b""
        now = asyncio.get_running_loop().time()
        self._ledger.arrivals.append((now, self.id, self.service, request_id.decode()))
        timeout_ms = message.get_header(request.headers, b"x-request-deadline")
        self._ledger.timeout_ms[request_id.decode()] = int(timeout_ms or -1)
        if self.fault == "shed" or self._waiting >= QUEUE_SIZE:
            return 503, [*echo_headers, (b"x-not-executed", b"1")], b""
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            if connection.disconnected:
                return 0, [], b""
            return await self._run(request, request_id.decode(), data, echo_headers, connection)

    async def _run(
        self,
        request: caller.Request,
        request_id: str,
        data: bytes,
        echo_headers: list,
        connection: caller.Connection,
    ) -> tuple[int, list, bytes]:
        loop = asyncio.get_running_loop()
        self._ledger.runs[request_id] += 1
        self._ledger.services[request_id] = self.service
        self._ledger.last_upstream[request_id] = self.id
        self._running += 1
        factor = SLOW_FACTOR if self.fault == "slow" else 1
        work_s = WORK_S * factor * self._rng.uniform(0.5, 1.5)
        try:
            # As in most upstreams, the work is cancelled when the client disconnects.
            await asyncio.wait((connection.connection_closed,), timeout=work_s)
        finally:
            self._running -= 1
            self._ledger.ended_at[request_id] = loop.time()
        if connection.disconnected:
            return 0, [], b""
        # A limit that has begun or ended during the work is named by the head sent now.
        echo_headers = [echo_headers[0], *self._status_headers()]
        signed_headers = [*echo_headers, (b"x-server-signature", self.id.encode())]
        if self.fault == "endless" and self._rng.random() < FAULT_PROBABILITIES["endless"]:
            await self._send_without_end(signed_headers, connection)
            return 0, [], b""
        body = f"{request_id} {self.service} {len(data)}".encode()
        return self._response(request_id, signed_headers, body, connection)

    def _response(
        self, request_id: str, headers: list, body: bytes, connection: caller.Connection
    ) -> tuple[int, list, bytes]:
        """Return the response, altered by the current fault if that applies."""
        delayed = self._delayed_responses.pop(connection, None)
        if delayed is not None:
            connection.write(delayed)
        faulty = self._rng.random() < FAULT_PROBABILITIES.get(self.fault, 0.0)
        full_response = message.format_head(
            message.status_line(200), [*headers, (b"content-length", b"%d" % len(body))]
        )
        match self.fault if faulty else None:
            case "errors":
                return 500, headers, b"failed"
            case "lose":
                return 0, [], b""
            case "cut":
                connection.write(full_response + body[:-TRUNCATED_BYTES])
                connection.close()
                return 0, [], b""
            case "extra":
                connection.write(full_response + body)
            case "late":
                self._delayed_responses[connection] = full_response + body
        self._ledger.responded.add(request_id)
        return 200, headers, body

    async def _send_without_end(self, headers: list, connection: caller.Connection) -> None:
        """Send a head, chunk framing or a body without end until the connection is closed."""
        head = message.format_head(message.status_line(200), headers)
        chunked = (b"transfer-encoding", b"chunked")
        chunked_head = message.format_head(message.status_line(200), [*headers, chunked])
        starts = (head[:-2] + b"x: ", chunked_head + b"1;", head, b"HTTP/1.1 200 OK\r\n\r\n")
        connection.write(self._rng.choice(starts))
        while not connection.disconnected:
            connection.write(b"x" * ENDLESS_BYTES)
            await connection.drain()
            await asyncio.sleep(ENDLESS_PAUSE_S)
