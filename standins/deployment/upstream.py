"""A stand-in for an upstream as the platform has them, with faults, and a ledger of what ran."""

import asyncio
import collections
import dataclasses
import random

from standins.deployment import web
from waxwingspool.proxy import caller, message

__all__ = ["Ledger", "Upstream"]

WORK_S = 0.03
SLOTS = 4
QUEUE = 8


@dataclasses.dataclass
class Ledger:
    """What ran where, by request id, and when each upstream last got a request."""

    runs: collections.Counter = dataclasses.field(default_factory=collections.Counter)
    services: dict[str, str] = dataclasses.field(default_factory=dict)
    last_at: dict[str, float] = dataclasses.field(default_factory=dict)


class Upstream:
    """One upstream.

    :ivar fault: ``None``, ``"slow"``, ``"errors"``, ``"lose"`` (runs and resets), ``"cut"``
        (breaks its answers off), ``"extra"`` (sends a second answer) or ``"shed"``.
    """

    def __init__(self, id_: str, service: str, ledger: Ledger, rng: random.Random) -> None:
        self.id = id_
        self.service = service
        self.fault: str | None = None
        self._ledger = ledger
        self._rng = rng
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Listen."""
        return await web.serve(ip, port, self._page)

    def _load(self) -> tuple[bytes, bytes]:
        return b"x-server-load", b"%d,%d,%d,100" % (self._running, self._waiting, SLOTS)

    async def _page(
        self, request: caller.Request, data: bytes, connection: caller.Connection
    ) -> tuple[int, list, bytes]:
        if request.path == "/health":
            return 200, [(b"x-instance-id", self.id.encode()), self._load()], b""
        request_id = message.first(request.headers, b"x-request-id")
        echo = [(b"x-request-id", request_id), self._load()]
        if message.first(request.headers, b"x-expect-instance") != self.id.encode():
            return 421, echo, b""
        if self.fault == "shed" or self._waiting >= QUEUE:
            return 503, [*echo, (b"x-not-executed", b"1")], b""
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            if connection.gone:
                return 0, [], b""
            return await self._run(request, request_id.decode(), data, echo, connection)

    async def _run(
        self,
        request: caller.Request,
        request_id: str,
        data: bytes,
        echo: list,
        connection: caller.Connection,
    ) -> tuple[int, list, bytes]:
        self._ledger.runs[request_id] += 1
        self._ledger.services[request_id] = self.service
        self._ledger.last_at[self.id] = asyncio.get_running_loop().time()
        self._running += 1
        try:
            factor = 10 if self.fault == "slow" else 1
            await asyncio.sleep(WORK_S * factor * self._rng.uniform(0.5, 1.5))
        finally:
            self._running -= 1
        signed = [*echo, (b"x-server-signature", self.id.encode())]
        body = f"{request_id} {self.service} {len(data)}".encode()
        if self.fault == "errors" and self._rng.random() < 0.5:
            return 500, signed, b"failed"
        if self.fault == "lose" and self._rng.random() < 0.3:
            return 0, [], b""
        if self.fault == "cut" and self._rng.random() < 0.3:
            headers = [*signed, (b"content-length", b"%d" % (len(body) + 10))]
            connection.begin_answer(message.status_line(200), headers, True)
            connection.write(body)
            connection.close()
            return 0, [], b""
        if self.fault == "extra" and self._rng.random() < 0.3:
            headers = [*signed, (b"content-length", b"%d" % len(body))]
            connection.begin_answer(message.status_line(200), headers, True)
            connection.write(body)
        return 200, signed, body
