"""A simulation of the platform's metadata store with injected faults."""

import asyncio
import base64
import json
import random
import time
import urllib.parse

from standins.deployment import web
from waxwingspool.proxy import caller

__all__ = ["Copy", "Store"]

# A version and the rows of that version, by table and key.
Copy = tuple[int, dict[tuple[str, str], dict]]


class Store:
    """An in-memory store of versioned rows, which can be restored from a copy.

    :ivar away: whether connections are reset, besides the fault.
    :ivar epoch: number of restorations plus one, which all responses tell.
    :ivar fault: ``None``, ``"down"`` (responds with 503), ``"reset"`` (resets connections),
        ``"silent"`` (never responds), ``"slow"``, ``"lossy"`` (applies writes, but resets some
        connections instead of responding), ``"deaf"`` (feeds report no changes) or ``"stale"``
        (listings return the rows of the last :meth:`snapshot`).
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._rows: dict[tuple[str, str], dict] = {}
        self._changed = asyncio.Condition()
        self._compacted_version = 0
        self._snapshot: Copy = (1, {})
        self.version = self.epoch = 1
        self.fault: str | None = None
        self.away = False
        self.calls = 0

    async def start(self, ip: str, port: int) -> asyncio.Server:
        """Listen on an address."""
        return await web.serve(ip, port, self._handle)

    async def put(self, table: str, key: str, value: object) -> int:
        """Write a row on behalf of an operator or an upstream; return its version."""
        return await self.put_value(table, key, json.dumps(value).encode())

    async def put_value(self, table: str, key: str, value: bytes) -> int:
        """Write a row with any bytes, as another writer might; return its version."""
        return await self._write(table, key, value)

    async def remove(self, table: str, key: str) -> None:
        """Replace a row by a tombstone."""
        await self._write(table, key, None)

    def snapshot(self) -> None:
        """Record the current rows, which stale listings return."""
        self._snapshot = self.copy()

    def copy(self) -> Copy:
        """Return a copy of the current state."""
        return self.version, dict(self._rows)

    async def restore(self, copy: Copy) -> None:
        """Lose what was written since a copy was made, and begin a new epoch.

        Calls that wait for changes are reset.
        """
        async with self._changed:
            self.version, rows = copy
            self._rows = dict(rows)
            self._compacted_version = min(self._compacted_version, self.version)
            self.epoch += 1
            self._changed.notify_all()

    async def compact(self) -> None:
        """Discard the history of changes; feeds from before the current version get a 410."""
        async with self._changed:
            self._compacted_version = self.version
            self._changed.notify_all()

    async def _write(self, table: str, key: str, value: bytes | None) -> int:
        async with self._changed:
            self.version += 1
            row = {"table": table, "part": "", "key": key, "ver": self.version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            self._rows[table, key] = row
            self._changed.notify_all()
            return self.version

    async def _handle(
        self, request: caller.Request, data: bytes, connection: caller.Connection
    ) -> tuple[int, list, bytes]:
        self.calls += 1
        if self.away:
            return 0, [], b""
        status, headers, body = await self._respond(request, data, connection)
        return status, [*headers, (b"store-era", b"%d" % self.epoch)], body

    async def _respond(
        self, request: caller.Request, data: bytes, connection: caller.Connection
    ) -> tuple[int, list, bytes]:
        match self.fault:
            case "down":
                return 503, [], b"{}"
            case "reset":
                return 0, [], b""
            case "silent":
                await connection.connection_closed
                return 0, [], b""
            case "slow":
                await asyncio.sleep(0.3)
        query = dict(urllib.parse.parse_qsl(request.target.decode().partition("?")[2]))
        if request.path == "/v1/rows-tx":
            return await self._commit(json.loads(data))
        if request.path == "/v1/rows-get":
            return self._list_rows(query["table"])
        return await self._read_feed(query)

    def _list_rows(self, table: str) -> tuple[int, list, bytes]:
        version, rows_by_key = self.version, self._rows
        if self.fault == "stale":
            version, rows_by_key = self._snapshot
        rows = [row for (name, _), row in rows_by_key.items() if name == table and "value" in row]
        return self._response(sorted(rows, key=lambda row: row["key"]), version)

    async def _commit(self, body: dict) -> tuple[int, list, bytes]:
        for row in body["put"]:
            await self._write(row["table"], row["key"], base64.b64decode(row["value"]))
        if self.fault == "lossy" and self._rng.random() < 0.3:
            return 0, [], b""
        return self._response([])

    async def _read_feed(self, query: dict) -> tuple[int, list, bytes]:
        after, epoch = int(query["after"]), self.epoch
        if not self._compacted_version <= after <= self.version:
            return 410, [], b"{}"
        if self.fault == "deaf":
            await asyncio.sleep(int(query["wait-ms"]) / 1000)
            return self._response([], after)

        def new_rows() -> list[dict]:
            rows = [row for row in self._table_rows(query["table"]) if row["ver"] > after]
            return sorted(rows, key=lambda row: row["ver"])

        try:
            async with asyncio.timeout(int(query["wait-ms"]) / 1000), self._changed:
                await self._changed.wait_for(
                    lambda: new_rows() or after < self._compacted_version or epoch != self.epoch
                )
        except TimeoutError:
            pass
        if epoch != self.epoch:
            return 0, [], b""
        if after < self._compacted_version:
            return 410, [], b"{}"
        return self._response(new_rows())

    def _table_rows(self, table: str) -> list[dict]:
        return [row for (name, _), row in self._rows.items() if name == table]

    def _response(self, rows: list[dict], version: int | None = None) -> tuple[int, list, bytes]:
        if version is None:
            version = self.version
        body = {
            "rows": rows,
            "ver": version,
            "now-ms": int(time.monotonic() * 1000),
            "has-more": False,
        }
        return 200, [(b"content-type", b"application/json")], json.dumps(body).encode()
