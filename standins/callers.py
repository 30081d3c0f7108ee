"""Simulated callers that send requests and record the result of every send.

Payments are retried until their outcome is final.
"""

import asyncio
import dataclasses
import enum
import itertools
import json
import random
import time
from collections.abc import AsyncIterator, Callable

import aiohttp

__all__ = ["Callers", "SendResult", "Tally", "compare_with_ledger"]

# Size of one chunk of an upload, in bytes.
CHUNK_BYTES = 16 * 1024


class Outcome(enum.StrEnum):
    """The outcome that the balancer reported for one send."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class SendResult:
    """One send and the result that its caller received.

    :ivar send: unique identifier of the send, passed to the upstream in ``X-Send``.
    :ivar key: idempotency key, ``None`` for requests without one.
    :ivar latency_ms: time from the scheduled start of the send to its result, in milliseconds.
    :ivar status: HTTP status, 0 if there was no response.
    :ivar wrong: whether the response was truncated or belonged to another request.
    :ivar final: whether an unknown outcome is final.
    :ivar broken: whether the connection broke, which leaves the outcome unknown.
    """

    send: str
    kind: str
    key: str | None
    outcome: Outcome
    latency_ms: float
    status: int
    wrong: bool = False
    final: bool = False
    broken: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Tally:
    """The test oracle's counts over all requests.

    :ivar sent: distinct requests; all sends with one idempotency key count as one.
    :ivar wrong: responses that were truncated or belonged to another request, and sends that were
        reported as not run although an upstream ran them.
    :ivar doubled: idempotency keys that ran more than once.
    :ivar lost: sends that were answered with status 200 although neither they nor their key ran.
    """

    sent: int
    answered: int
    not_run: int
    unknown: int
    wrong: int
    doubled: int
    lost: int

    def format_line(self) -> str:
        """Format the counts as one line of ``name=value`` pairs."""
        return " ".join(f"{f.name}={getattr(self, f.name)}" for f in dataclasses.fields(self))


class Callers:
    """An HTTP client that sends requests to a set of balancers, each to a random one.

    :param get_addresses: returns the caller addresses of the balancers currently in rotation.
    :param seed: seed of the random number generator.
    :param ip: local IP address of outgoing connections.
    """

    def __init__(
        self, get_addresses: Callable[[], list[str]], seed: int, ip: str = "127.1.0.1"
    ) -> None:
        self._get_addresses = get_addresses
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._prefix = f"{seed}-{time.time_ns() % 10**9}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, local_addr=(ip, 0)),
            timeout=aiohttp.ClientTimeout(total=90),
        )
        # By default, the session itself retries an idempotent request when a reused connection
        # breaks. If the second connection is then refused, that hides that the first send may have
        # run. aiohttp's own test client disables the retry in the same way.
        self._session._retry_connection = False
        self.results: list[SendResult] = []

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def lookup(self, path: str, scheduled_at: float | None = None) -> SendResult:
        """Send a lookup.

        :param scheduled_at: scheduled start on the monotonic clock, ``None`` for now.
        """
        return await self._send("lookup", "GET", path, None, None, scheduled_at)

    async def pay_once(self, path: str, key: str, scheduled_at: float | None = None) -> SendResult:
        """Send a payment once.

        :param scheduled_at: scheduled start on the monotonic clock, ``None`` for now.
        """
        body = json.dumps({"pay": key}).encode()
        return await self._send("payment", "POST", path, key, body, scheduled_at)

    async def pay_until_final(
        self, path: str, max_retries: int = 12, scheduled_at: float | None = None
    ) -> SendResult:
        """Send a payment and retry it with the same key until its outcome is final.

        :param max_retries: number of retries after the first send.
        :param scheduled_at: scheduled start of the first send on the monotonic clock, ``None`` for
            now.
        :returns: the result of the last send.
        """
        key = f"key-{self._prefix}-{next(self._sequence)}"
        result = await self.pay_once(path, key, scheduled_at)
        for _ in range(max_retries):
            if result.outcome is Outcome.ANSWER or result.final:
                break
            await asyncio.sleep(0.5 + self._rng.random())
            result = await self.pay_once(path, key)
        return result

    async def upload(
        self, path: str, size: int, chunk_interval_s: float = 0.0, scheduled_at: float | None = None
    ) -> SendResult:
        """Send an upload in chunks.

        :param size: size of the body in bytes.
        :param chunk_interval_s: pause after each chunk, in seconds.
        :param scheduled_at: scheduled start on the monotonic clock, ``None`` for now.
        """

        async def chunks() -> AsyncIterator[bytes]:
            for start in range(0, size, CHUNK_BYTES):
                yield b"u" * min(CHUNK_BYTES, size - start)
                if chunk_interval_s:
                    await asyncio.sleep(chunk_interval_s)

        return await self._send("upload", "PUT", path, None, chunks(), scheduled_at, size)

    async def _send(
        self, kind: str, method: str, path: str, key: str | None, body, scheduled_at, size: int = 0
    ) -> SendResult:
        """Send a request and record its result."""
        send = f"send-{self._prefix}-{next(self._sequence)}"
        headers = {"X-Send": send}
        if key is not None:
            headers["Idempotency-Key"] = key
        started_at = time.monotonic() if scheduled_at is None else scheduled_at
        result = SendResult(send, kind, key, Outcome.UNKNOWN, 0.0, 0)
        addresses = self._get_addresses()
        if not addresses:
            result.outcome = Outcome.NOT_RUN
        else:
            url = f"http://{self._rng.choice(addresses)}{path}"
            size = len(body) if isinstance(body, bytes) else size
            await self._exchange(result, method, url, headers, body, size)
        result.latency_ms = (time.monotonic() - started_at) * 1000
        self.results.append(result)
        return result

    async def _exchange(self, result: SendResult, method, url, headers, body, size: int) -> None:
        """Send one HTTP request and fill in its result."""
        try:
            async with self._session.request(method, url, headers=headers, data=body) as response:
                content = await response.read()
        except aiohttp.ClientConnectorError:
            result.outcome = Outcome.NOT_RUN
            return
        except (aiohttp.ClientError, TimeoutError, OSError):
            result.broken = True
            return
        result.status = response.status
        result.outcome = Outcome(response.headers.get("Waxwing-Outcome", "unknown"))
        if result.outcome is Outcome.ANSWER and response.status == 200:
            result.wrong = not _is_own(
                content, result, size, "Waxwing-Replayed" in response.headers
            )
        if result.outcome is Outcome.UNKNOWN:
            result.final = json.loads(content).get("final", False)


def _is_own(content: bytes, result: SendResult, size: int, replayed: bool) -> bool:
    """Return whether a response is complete and belongs to this send.

    A replayed payment carries the identifier of an earlier send with the same key.
    """
    try:
        value = json.loads(content)
    except ValueError:
        return False
    own = value["send"] == result.send or (replayed and result.key is not None)
    return own and value["size"] == size


def compare_with_ledger(results: list[SendResult], ledger: list[dict]) -> Tally:
    """Compare the results that callers received with the runs that upstreams recorded.

    :param results: the result of every send.
    :param ledger: the record of every run.
    :returns: the counts; outcomes are counted once for each idempotency key, from its last send.
    """
    runs_by_send: dict[str, int] = {}
    runs_by_key: dict[str, int] = {}
    for run in ledger:
        runs_by_send[run["send"]] = runs_by_send.get(run["send"], 0) + 1
        if run["key"]:
            runs_by_key[run["key"]] = runs_by_key.get(run["key"], 0) + 1
    last_sends: dict[str, SendResult] = {}
    wrong = lost = 0
    for result in results:
        last_sends[result.key or result.send] = result
        wrong += result.wrong
        runs = runs_by_send.get(result.send, 0)
        wrong += result.outcome is Outcome.NOT_RUN and runs > 0
        answered = result.outcome is Outcome.ANSWER and result.status == 200
        lost += answered and not (runs or runs_by_key.get(result.key or "", 0))
    final_outcomes = [result.outcome for result in last_sends.values()]
    return Tally(
        sent=len(last_sends),
        answered=final_outcomes.count(Outcome.ANSWER),
        not_run=final_outcomes.count(Outcome.NOT_RUN),
        unknown=final_outcomes.count(Outcome.UNKNOWN),
        wrong=wrong,
        doubled=sum(1 for n in runs_by_key.values() if n > 1),
        lost=lost,
    )
