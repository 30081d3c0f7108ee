"""Simulated platform: transactional table, object store and a VM list that lags behind.

``POST /control`` injects faults and sets the VM list: ``down``, ``slow_ms``, ``lose_answers``,
``list_down`` and ``list_lag_s`` are the fields of :class:`Faults`, ``vms`` is the list.
"""

import asyncio
import dataclasses
import gc
import itertools
import json
import pathlib
import sys
import time

from aiohttp import web

from standins import network
from standins import web as serving

__all__ = ["Platform", "main"]


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults injected into the platform.

    :ivar down: whether the table and the object store respond with 503.
    :ivar slow_ms: added latency of the table and the object store, in milliseconds.
    :ivar lose_answers: number of commits that take effect and whose reply is lost.
    :ivar list_down: whether the VM list responds with 503.
    :ivar list_lag_s: time by which the VM list lags behind, in seconds.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    list_down: bool = False
    list_lag_s: float = 2.0


class Platform:
    """State and HTTP interface of the simulated platform.

    :param net: simulated network between the platform and the balancers.
    """

    def __init__(self, net: network.Network) -> None:
        self._net = net
        self._rows: dict[str, tuple[int, dict]] = {}
        self._objects: dict[str, bytes] = {}
        self._versions = itertools.count(1)
        self._vm_lists: list[tuple[float, list[dict]]] = []
        self.faults = Faults()
        self.counts = {"commits": 0, "rows": 0, "reads": 0, "objects": 0}

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=1 << 28, middlewares=[self._apply_faults])
        app.router.add_post("/table/read", self._read)
        app.router.add_post("/table/scan", self._scan)
        app.router.add_post("/table/commit", self._commit)
        app.router.add_put("/objects/{name:.*}", self._put_object)
        app.router.add_get("/objects/{name:.*}", self._get_object)
        app.router.add_get("/vms", self._get_vm_list)
        app.router.add_post("/control", self._update_state)
        app.router.add_get("/control", self._get_state)
        return app

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler) -> web.StreamResponse:
        """Delay or refuse a request according to the injected faults."""
        if request.path == "/control":
            return await handler(request)
        await self._net.simulate_transfer(request.remote, "in", 400)
        if request.path.startswith(("/table", "/objects")):
            if self.faults.down:
                return web.Response(status=503)
            if self.faults.slow_ms:
                await asyncio.sleep(self.faults.slow_ms / 1000)
        response = await handler(request)
        await self._net.simulate_transfer(request.remote, "out", 400)
        return response

    async def _read(self, request: web.Request) -> web.Response:
        """Return rows by key."""
        self.counts["reads"] += 1
        keys = (await request.json())["keys"]
        rows = [self._row_document(k) for k in keys if k in self._rows]
        return web.json_response({"rows": rows})

    async def _scan(self, request: web.Request) -> web.Response:
        """Return the rows with a key prefix, in key order."""
        self.counts["reads"] += 1
        body = await request.json()
        matching_keys = (
            k for k in sorted(self._rows) if k.startswith(body["prefix"]) and k > body["after"]
        )
        rows = [self._row_document(k) for k in itertools.islice(matching_keys, body["limit"])]
        return web.json_response({"rows": rows})

    async def _commit(self, request: web.Request) -> web.Response:
        """Commit a transaction, or return the conflicting rows if an expected version differs."""
        writes = (await request.json())["writes"]
        self.counts["commits"] += 1
        self.counts["rows"] += len(writes)
        conflicts = {
            w["key"]: self._row_document(w["key"]) if w["key"] in self._rows else None
            for w in writes
            if self._rows.get(w["key"], (0, None))[0] != w["expected"]
        }
        if conflicts:
            return web.json_response({"committed": False, "conflicts": conflicts})
        versions = {w["key"]: self._apply(w) for w in writes}
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return web.json_response({"committed": True, "versions": versions})

    def _apply(self, write: dict) -> int:
        """Apply one write and return the row's new version; versions are never reused."""
        version = next(self._versions)
        if write["value"] is None:
            self._rows.pop(write["key"], None)
        else:
            self._rows[write["key"]] = (version, write["value"])
        return version

    def _row_document(self, key: str) -> dict:
        """Return a row as a JSON value."""
        version, value = self._rows[key]
        return {"key": key, "version": version, "value": value}

    async def _put_object(self, request: web.Request) -> web.Response:
        """Store an object under a name."""
        self.counts["objects"] += 1
        self._objects[request.match_info["name"]] = await request.read()
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        """Return an object, or 404 if there is none."""
        self.counts["objects"] += 1
        content = self._objects.get(request.match_info["name"])
        return web.Response(status=404) if content is None else web.Response(body=content)

    async def _get_vm_list(self, request: web.Request) -> web.Response:
        """Return the VM list as it was ``list_lag_s`` ago."""
        if self.faults.list_down:
            return web.Response(status=503)
        cutoff = time.monotonic() - self.faults.list_lag_s
        visible = [vms for at, vms in self._vm_lists if at <= cutoff]
        return web.json_response({"vms": visible[-1] if visible else self._vm_lists[0][1]})

    async def _update_state(self, request: web.Request) -> web.Response:
        """Update the injected faults and the VM list."""
        changes = await request.json()
        if "vms" in changes:
            self._vm_lists.append((time.monotonic(), changes.pop("vms")))
        for name, value in changes.items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def _get_state(self, request: web.Request) -> web.Response:
        """Return the operation counts and all rows."""
        rows = {k: value for k, (_, value) in self._rows.items()}
        return web.json_response({"counts": self.counts, "rows": rows})


async def serve(address: str, platform: Platform) -> None:
    """Serve the platform at an address until cancelled."""
    await serving.listen(platform.app(), address)
    await serving.serve_forever()


def main(path: str) -> None:
    """Serve the platform described by a JSON file."""
    gc.disable()
    document = json.loads(pathlib.Path(path).read_text())
    platform = Platform(network.Network(**document["network"]))
    platform._vm_lists.append((0.0, document["vms"]))
    platform.faults.list_lag_s = document.get("list_lag_s", 2.0)
    asyncio.run(serve(document["address"], platform))


if __name__ == "__main__":
    main(sys.argv[1])
