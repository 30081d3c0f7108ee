"""Simulated upstreams; one process serves several, each on its own address.

An upstream has a fixed number of slots and a queue, reports its load in every response, refuses
work that would start after its absolute deadline, and remembers cancelled attempts until it
restarts. It records every run in a ledger, which serves as the test oracle. ``POST /.control``
updates its behaviour.
"""

import asyncio
import collections
import dataclasses
import gc
import json
import pathlib
import random
import secrets
import sys
import time

from aiohttp import web

from standins import network
from standins import web as serving

__all__ = ["Behaviour", "UpstreamSpec", "SimulatedUpstream", "main"]


@dataclasses.dataclass(slots=True)
class Behaviour:
    """Behaviour of an upstream.

    :ivar work_ms: mean duration of the work, which is exponentially distributed, in milliseconds.
    :ivar slow_factor: factor on the duration of work during a slow period.
    :ivar slow_every_ms: time from the start of one slow period to the next, 0 for none.
    :ivar slow_for_ms: length of a slow period.
    :ivar cold_s: time after a start during which work takes ``cold_factor`` times as long.
    :ivar slots: maximum number of requests that run at the same time.
    :ivar queue: maximum number of queued requests; further ones are refused before they start.
    :ivar connections: maximum number of connections, 0 for no limit; not enforced.
    :ivar fail: respond with 500 at once, without running the request.
    :ivar hang: accept requests and never respond.
    :ivar cut: run requests and abort the connection in the middle of the response.
    :ivar drain: refuse new requests and report that the upstream is draining.
    :ivar lies: omit the load report, and with it the draining state.
    :ivar probe_ms: duration of a probe.
    """

    work_ms: float = 5.0
    slow_factor: float = 1.0
    slow_every_ms: float = 0.0
    slow_for_ms: float = 0.0
    cold_s: float = 0.0
    cold_factor: float = 4.0
    slots: int = 4
    queue: int = 40
    connections: int = 250
    fail: bool = False
    hang: bool = False
    cut: bool = False
    drain: bool = False
    lies: bool = False
    probe_ms: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamSpec:
    """Description of one simulated upstream."""

    name: str
    address: str
    seed: int
    behaviour: Behaviour


class SimulatedUpstream:
    """One simulated upstream.

    :param spec: description of the upstream.
    :param net: simulated network of the process.
    :param ledger: open file to which every run is written.
    """

    def __init__(self, spec: UpstreamSpec, net: network.Network, ledger) -> None:
        self._name = spec.name
        # The copy has its own byte count; the upstreams of the process share the link's bandwidth.
        self._net = dataclasses.replace(net, crossed_bytes=0)
        self._ledger = ledger
        self._rng = random.Random(spec.seed)
        self._running = 0
        self._queue: collections.deque[asyncio.Future] = collections.deque()
        self._attempts: dict[str, str] = {}
        self._incarnation = secrets.token_hex(4)
        self._started_at = time.monotonic()
        self._slow_phase_ms = self._rng.random() * 1e6
        self.behaviour = spec.behaviour
        self.work_done_ms = 0.0
        self.requests = 0
        self.probes = 0
        self.requests_while_draining = 0

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=1 << 30)
        app.router.add_post("/.waxwing/cancel/{attempt}", self._cancel)
        app.router.add_get("/.waxwing/load", self._get_load)
        app.router.add_post("/.control", self._update_behaviour)
        app.router.add_get("/.control", self._get_counters)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        """Read a request, run it in a slot and respond, subject to the configured behaviour."""
        attempt = request.headers.get("Waxwing-Attempt", "")
        ip = request.remote
        self.requests += 1
        if self.behaviour.drain:
            self.requests_while_draining += 1
        size = await self._read_body(request)
        if size is None:
            return web.Response(status=400)
        await self._net.simulate_transfer(ip, "in", 300)
        if self.behaviour.fail:
            return await self._respond(request, 500, b"failed", ip)
        if self.behaviour.hang:
            await asyncio.sleep(3600)
        if self.behaviour.drain or len(self._queue) >= self.behaviour.queue:
            return await self._refuse(request, ip)
        if not await self._acquire_slot(attempt):
            return await self._refuse(request, ip)
        try:
            expired = time.time() * 1000 > float(request.headers.get("Waxwing-Deadline", "inf"))
            if expired or self._attempts.get(attempt) == "cancelled":
                self._attempts.setdefault(attempt, "cancelled")
                return await self._refuse(request, ip)
            await self._work(request, attempt, size)
        finally:
            self._release_slot()
        body = self._response_body(request, size)
        if self.behaviour.cut:
            return await self._truncate_response(request, body)
        return await self._respond(request, 200, body, ip)

    async def _read_body(self, request: web.Request) -> int | None:
        """Read the body and return its size, ``None`` if it was truncated."""
        size = 0
        try:
            async for chunk in request.content.iter_any():
                size += len(chunk)
                if self._net.is_cross_region(request.remote):
                    await self._net.simulate_transfer(request.remote, "in", len(chunk))
        except Exception:
            return None
        expected = request.headers.get("Content-Length")
        return None if expected is not None and int(expected) != size else size

    async def _acquire_slot(self, attempt: str) -> bool:
        """Wait for a free slot, in order of arrival; always return ``True``."""
        if self._running < self.behaviour.slots and not self._queue:
            self._running += 1
            return True
        waiter = asyncio.get_running_loop().create_future()
        self._queue.append(waiter)
        self._attempts.setdefault(attempt, "queued")
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._release_slot()
            elif waiter in self._queue:
                self._queue.remove(waiter)
            raise
        return True

    def _release_slot(self) -> None:
        """Release a slot and pass it to the next request in the queue."""
        self._running -= 1
        while self._queue and self._running < self.behaviour.slots:
            waiter = self._queue.popleft()
            if not waiter.done():
                self._running += 1
                waiter.set_result(None)

    async def _work(self, request: web.Request, attempt: str, size: int) -> None:
        """Simulate the work; the ledger records a run when the work starts."""
        self._attempts[attempt] = "started"
        entry = {
            "upstream": self._name,
            "attempt": attempt,
            "key": request.headers.get("Idempotency-Key"),
            "send": request.headers.get("X-Send"),
            "size": size,
        }
        self._ledger.write(json.dumps(entry) + "\n")
        self._ledger.flush()
        work_ms = self._rng.expovariate(1 / self.behaviour.work_ms) * self._work_factor()
        started_at = time.monotonic()
        try:
            await asyncio.sleep(work_ms / 1000)
        finally:
            self.work_done_ms += (time.monotonic() - started_at) * 1000
        self._attempts[attempt] = "finished"

    def _work_factor(self) -> float:
        """Return the current factor on the duration of work."""
        behaviour = self.behaviour
        now = time.monotonic()
        factor = behaviour.cold_factor if now - self._started_at < behaviour.cold_s else 1.0
        if (
            behaviour.slow_every_ms
            and (now * 1000 + self._slow_phase_ms) % behaviour.slow_every_ms < behaviour.slow_for_ms
        ):
            factor *= behaviour.slow_factor
        return factor

    def _response_body(self, request: web.Request, size: int) -> bytes:
        """Return a body that identifies the send and the size of its request.

        Callers use it to detect responses that are truncated or belong to another request.
        """
        padding = int(request.query.get("bytes", "64"))
        value = {"send": request.headers.get("X-Send"), "size": size, "padding": "x" * padding}
        return json.dumps(value).encode()

    def _headers(self, request: web.Request) -> dict[str, str]:
        """Return the attempt and load headers of a response."""
        headers = {"Waxwing-Attempt": request.headers.get("Waxwing-Attempt", "")}
        if not self.behaviour.lies:
            headers["Waxwing-Load"] = (
                f"running={self._running};queued={len(self._queue)};"
                f"draining={int(self.behaviour.drain)};incarnation={self._incarnation}"
            )
        return headers

    async def _respond(
        self, request: web.Request, status: int, body: bytes, ip: str | None
    ) -> web.Response:
        """Return a response after its simulated transfer."""
        await self._net.simulate_transfer(ip, "out", len(body) + 200)
        headers = self._headers(request)
        headers["Content-Type"] = "application/json"
        return web.Response(status=status, body=body, headers=headers)

    async def _refuse(self, request: web.Request, ip: str | None) -> web.Response:
        """Return a 503 marked as refused before any work started."""
        response = await self._respond(request, 503, b"", ip)
        response.headers["Waxwing-Not-Started"] = "1"
        return response

    async def _truncate_response(self, request: web.Request, body: bytes) -> web.StreamResponse:
        """Send half of a response, then abort the connection."""
        headers = {**self._headers(request), "Content-Length": str(len(body))}
        response = web.StreamResponse(status=200, headers=headers)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        request.transport.abort()
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        """Cancel an attempt; if it has not started yet, it never will."""
        attempt = request.match_info["attempt"]
        state = self._attempts.get(attempt, "queued")
        if state in ("queued", "cancelled"):
            self._attempts[attempt] = "cancelled"
            state = "never-started"
        return web.json_response({"state": state, "incarnation": self._incarnation})

    async def _get_load(self, request: web.Request) -> web.Response:
        """Respond to a probe with the load headers."""
        self.probes += 1
        await asyncio.sleep(self.behaviour.probe_ms / 1000)
        return web.Response(headers=self._headers(request))

    async def _update_behaviour(self, request: web.Request) -> web.Response:
        """Update the behaviour; with ``restart``, simulate a restart that loses all attempts."""
        changes = await request.json()
        if changes.pop("restart", False):
            self._attempts.clear()
            self._incarnation = secrets.token_hex(4)
            self._started_at = time.monotonic()
        for name, value in changes.items():
            setattr(self.behaviour, name, value)
        return web.json_response({})

    async def _get_counters(self, request: web.Request) -> web.Response:
        """Return the counters."""
        return web.json_response(
            {
                "requests": self.requests,
                "probes": self.probes,
                "work_ms": self.work_done_ms,
                "while_leaving": self.requests_while_draining,
                "running": self._running,
                "crossed_bytes": self._net.crossed_bytes,
            }
        )


async def serve(specs: list[UpstreamSpec], net: network.Network, ledger_path: pathlib.Path) -> None:
    """Serve upstreams, each on its own address, until cancelled."""
    ledger = ledger_path.open("a")
    for spec in specs:
        app = SimulatedUpstream(spec, net, ledger).app()
        await serving.listen(app, spec.address)
    await serving.serve_forever()


def main(path: str) -> None:
    """Serve the upstreams described by a JSON file."""
    gc.disable()
    document = json.loads(pathlib.Path(path).read_text())
    specs = [
        UpstreamSpec(p["name"], p["address"], p["seed"], Behaviour(**p["behaviour"]))
        for p in document["upstreams"]
    ]
    net = network.Network(**document["network"])
    asyncio.run(serve(specs, net, pathlib.Path(document["ledger"])))


if __name__ == "__main__":
    main(sys.argv[1])
