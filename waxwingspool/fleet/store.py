"""The client of the metadata store: one connection for each call that is under way."""

import asyncio

from waxwingspool import exceptions
from waxwingspool.catalog import node
from waxwingspool.platform import store
from waxwingspool.proxy import message, upstream

__all__ = ["HistoryGone", "StoreClient"]

# Shortest and longest wait for an answer besides the wait that was asked for, in seconds. It
# doubles after a timeout, for the store may be slow, and falls again with each answer; the
# shortest finds a silent connection in time.
LEAST_ANSWER_S = 0.5
MOST_ANSWER_S = 4.0
# Time in seconds that a write may wait for others at the store: all balancers start together.
WRITE_WAIT_S = 2.0
# Idle time after which a connection is not used again, in seconds.
KEEP_S = 20.0
_GONE = 410


class HistoryGone(exceptions.WaxwingspoolError):
    """The store no longer has the changes after a version: the table must be listed anew."""


class StoreClient:
    """Calls of the store.

    :param settings: this balancer's.
    """

    def __init__(self, settings: node.NodeSettings) -> None:
        self._settings = settings
        self._idle: list[upstream.Connection] = []
        ip, port = settings.store_address
        self._host = f"{ip}:{port}".encode()
        self._answer_s = LEAST_ANSWER_S
        self.calls = 0

    async def listing(self, table: str) -> store.Page:
        """Return all rows of a table as of one moment.

        :raises waxwingspool.exceptions.StoreUnavailable: the store did not answer.
        """
        rows: list[store.Row] = []
        start: str | None = None
        version: int | None = None
        while True:
            page = await self._page(store.listing_request(table, start), 0.0)
            rows += page.rows
            # Later pages may be newer: the feed goes on from the oldest.
            version = page.version if version is None else version
            if not page.more or not page.rows:
                return store.Page(tuple(rows), version, False)
            start = page.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait_s: float) -> store.Page:
        """Return the changes of a table after a version, as soon as there are any.

        :raises HistoryGone: the version is too old.
        :raises waxwingspool.exceptions.StoreUnavailable: the store did not answer.
        """
        target = store.changes_request(table, after, wait_s)
        return await self._page(target, wait_s)

    async def put(self, table: str, key: str, value: bytes) -> None:
        """Write one row.

        :raises waxwingspool.exceptions.StoreUnavailable: it may or may not have been written.
        """
        target, body = store.put_request(table, key, value)
        await self._call(b"POST", target, body, WRITE_WAIT_S)

    async def _page(self, target: str, wait_s: float) -> store.Page:
        return store.decode_page(await self._call(b"GET", target, b"", wait_s))

    async def _call(self, method: bytes, target: str, body: bytes, wait_s: float) -> bytes:
        """Make one call and return the body of its answer."""
        self.calls += 1
        connection = None
        kept = False
        try:
            async with asyncio.timeout(wait_s + self._answer_s):
                connection = await self._connection()
                answer = await self._exchange(connection, method, target, body)
                kept = True
        except TimeoutError as error:
            self._answer_s = min(MOST_ANSWER_S, 2 * self._answer_s)
            raise exceptions.StoreUnavailable("no answer in time") from error
        except (OSError, upstream.Broken) as error:
            raise exceptions.StoreUnavailable(f"{type(error).__name__}: {error}") from error
        finally:
            if connection is not None and not kept:
                connection.abort()
        status, data = answer
        self._answer_s = max(LEAST_ANSWER_S, self._answer_s / 2)
        if connection.finish():
            self._idle.append(connection)
        if status == _GONE:
            raise HistoryGone(target)
        if status != 200:
            raise exceptions.StoreUnavailable(f"status {status}")
        return data

    async def _connection(self) -> upstream.Connection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.idle_since < KEEP_S:
                return connection
            connection.abort()
        return await upstream.connect(
            self._settings.store_address, self._settings.ip, self._answer_s, None
        )

    async def _exchange(
        self, connection: upstream.Connection, method: bytes, target: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = [(b"host", self._host)]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        start = method + b" " + target.encode() + b" HTTP/1.1"
        connection.begin(message.head(start, headers), None)
        connection.write(body)
        response = await connection.response()
        data = b""
        while True:
            await response.body.settle()
            data += response.body.take()
            if response.body.failed:
                raise upstream.Broken(upstream.Fault.TRUNCATED, "the store's answer")
            if response.body.complete:
                return response.status, data
