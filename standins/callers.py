"""Stand-in for callers: sends requests, resends payments until they are settled, and keeps what
it was told."""

import asyncio
import dataclasses
import enum
import itertools
import json
import random
import time
from collections.abc import AsyncIterator, Callable

import aiohttp

__all__ = ["Callers", "Told", "Verdict", "judge"]

# Bytes in one chunk of an upload.
CHUNK = 16 * 1024


class Outcome(enum.StrEnum):
    """What a caller was told by one send."""

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class Told:
    """One send and what its caller was told.

    :ivar latency_ms: time from the intended start.
    :ivar wrong: whether the answer was short or not the caller's own.
    :ivar final: whether an unknown outcome is final.
    :ivar broken: whether the connection broke, which tells the caller nothing.
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
class Verdict:
    """The oracle's counts over all requests."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    wrong: int
    doubled: int
    lost: int

    def line(self) -> str:
        """Return the counts on one line."""
        return " ".join(f"{f.name}={getattr(self, f.name)}" for f in dataclasses.fields(self))


class Callers:
    """Callers of a set of balancers.

    :param ready: returns the caller addresses of the balancers that take callers now.
    :param seed: seed of everything random.
    :param ip: local IP number.
    """

    def __init__(self, ready: Callable[[], list[str]], seed: int, ip: str = "127.1.0.1") -> None:
        self._ready = ready
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._prefix = f"{seed}-{time.time_ns() % 10**9}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, local_addr=(ip, 0)),
            timeout=aiohttp.ClientTimeout(total=90),
        )
        # The session sends an idempotent request again by itself when a kept connection breaks.
        # A refused second connection would then hide that the first send may have run; aiohttp's
        # own test client turns this off in the same way.
        self._session._retry_connection = False
        self.told: list[Told] = []

    async def close(self) -> None:
        """Close every connection."""
        await self._session.close()

    async def lookup(self, path: str, due: float | None = None) -> Told:
        """Send a lookup."""
        return await self._send("lookup", "GET", path, None, None, due)

    async def payment(self, path: str, key: str, due: float | None = None) -> Told:
        """Send a payment once."""
        body = json.dumps({"pay": key}).encode()
        return await self._send("payment", "POST", path, key, body, due)

    async def paid(self, path: str, tries: int = 12, due: float | None = None) -> Told:
        """Send a payment, and again with the same key until its outcome is final."""
        key = f"key-{self._prefix}-{next(self._numbers)}"
        told = await self.payment(path, key, due)
        for _ in range(tries):
            if told.outcome is Outcome.ANSWER or told.final:
                break
            await asyncio.sleep(0.5 + self._rng.random())
            told = await self.payment(path, key)
        return told

    async def upload(
        self, path: str, size: int, pause_s: float = 0.0, due: float | None = None
    ) -> Told:
        """Send an upload in chunks."""

        async def chunks() -> AsyncIterator[bytes]:
            for start in range(0, size, CHUNK):
                yield b"u" * min(CHUNK, size - start)
                if pause_s:
                    await asyncio.sleep(pause_s)

        return await self._send("upload", "PUT", path, None, chunks(), due, size)

    async def _send(
        self, kind: str, method: str, path: str, key: str | None, body, due, size: int = 0
    ) -> Told:
        """Send a request and note what its caller is told."""
        send = f"send-{self._prefix}-{next(self._numbers)}"
        headers = {"X-Send": send}
        if key is not None:
            headers["Idempotency-Key"] = key
        started_at = time.monotonic() if due is None else due
        told = Told(send, kind, key, Outcome.UNKNOWN, 0.0, 0)
        addresses = self._ready()
        if not addresses:
            told.outcome = Outcome.NOT_RUN
        else:
            url = f"http://{self._rng.choice(addresses)}{path}"
            size = len(body) if isinstance(body, bytes) else size
            await self._exchange(told, method, url, headers, body, size)
        told.latency_ms = (time.monotonic() - started_at) * 1000
        self.told.append(told)
        return told

    async def _exchange(self, told: Told, method, url, headers, body, size: int) -> None:
        """Send one HTTP request."""
        try:
            async with self._session.request(method, url, headers=headers, data=body) as answer:
                content = await answer.read()
        except aiohttp.ClientConnectorError:
            told.outcome = Outcome.NOT_RUN
            return
        except (aiohttp.ClientError, TimeoutError, OSError):
            told.broken = True
            return
        told.status = answer.status
        told.outcome = Outcome(answer.headers.get("Waxwing-Outcome", "unknown"))
        if told.outcome is Outcome.ANSWER and answer.status == 200:
            told.wrong = not _is_own(content, told, size, "Waxwing-Replayed" in answer.headers)
        if told.outcome is Outcome.UNKNOWN:
            told.final = json.loads(content).get("final", False)


def _is_own(content: bytes, told: Told, size: int, replayed: bool) -> bool:
    """Return whether an answer is whole and the caller's own."""
    try:
        value = json.loads(content)
    except ValueError:
        return False
    own = value["send"] == told.send or (replayed and told.key is not None)
    return own and value["size"] == size


def judge(told: list[Told], ledger: list[dict]) -> Verdict:
    """Compare what callers were told with what upstreams ran.

    :param told: every send.
    :param ledger: every run.
    :returns: the counts; payments count once for each key, by their last send.
    """
    runs_by_send: dict[str, int] = {}
    runs_by_key: dict[str, int] = {}
    for run in ledger:
        runs_by_send[run["send"]] = runs_by_send.get(run["send"], 0) + 1
        if run["key"]:
            runs_by_key[run["key"]] = runs_by_key.get(run["key"], 0) + 1
    last: dict[str, Told] = {}
    wrong = lost = 0
    for t in told:
        last[t.key or t.send] = t
        wrong += t.wrong
        ran = runs_by_send.get(t.send, 0)
        wrong += t.outcome is Outcome.NOT_RUN and ran > 0
        answered = t.outcome is Outcome.ANSWER and t.status == 200
        lost += answered and not (ran or runs_by_key.get(t.key or "", 0))
    ends = [t.outcome for t in last.values()]
    return Verdict(
        sent=len(last),
        answered=ends.count(Outcome.ANSWER),
        not_run=ends.count(Outcome.NOT_RUN),
        unknown=ends.count(Outcome.UNKNOWN),
        wrong=wrong,
        doubled=sum(1 for n in runs_by_key.values() if n > 1),
        lost=lost,
    )
