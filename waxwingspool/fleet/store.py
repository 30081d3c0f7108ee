"""Client of the metadata store; each concurrent call uses its own connection."""

import asyncio
import dataclasses

from waxwingspool import exceptions
from waxwingspool.catalog import node, store_version
from waxwingspool.fleet import clock
from waxwingspool.observe import eventlog
from waxwingspool.platform import store
from waxwingspool.proxy import message, upstream

__all__ = ["HistoryGone", "Reading", "StoreClient"]

# Shortest and longest response timeout, in seconds, added to the time that the call asks the store
# to wait. The timeout doubles when it expires, because the store may be slow, and halves with each
# response; the minimum detects a dead connection in time. While a body arrives, it limits the time
# without progress.
MIN_RESPONSE_TIMEOUT_S = 0.5
MAX_RESPONSE_TIMEOUT_S = 4.0
# Interval in seconds at which an overdue request is sent again, so that the time until the first
# response after an outage does not grow with the timeout.
REPEAT_INTERVAL_S = 1.0
# Connect timeout in seconds. It does not grow, since connecting takes no longer at a slow store.
CONNECT_TIMEOUT_S = 1.0
# Longest time for the body of a response, in seconds.
MAX_TRANSFER_S = 10.0
# Time in seconds that a write may queue at the store, because all balancers start and register
# together.
WRITE_QUEUE_TIMEOUT_S = 2.0
# Longest pause in seconds within a response that is still arriving: one lost packet.
RECEIVE_PAUSE_S = 0.4
# Number of connections from which the round-trip time is measured.
RTT_SAMPLES = 3
# Idle time after which a connection is not reused, in seconds.
IDLE_TIMEOUT_S = 20.0
# Largest response in bytes, and largest sum of the responses of one listing; a page holds 1 MB.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
MAX_LISTING_BYTES = 32 * 1024 * 1024
_STATUS_GONE = 410


class HistoryGone(exceptions.WaxwingspoolError):
    """The store has no history of the changes after a version; the table must be listed again."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """A response of the store.

    :ivar epoch: epoch in which the store responded.
    """

    status: int
    data: bytes
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """Rows that were read from the store.

    :ivar confirmed_at: event loop time in seconds at which the store answered, at the earliest.
    """

    page: store.Page
    confirmed_at: float


class StoreClient:
    """Calls to the store.

    :param settings: settings of this balancer.
    :ivar calls: number of calls made.
    :ivar rtt_s: shortest time in seconds that connecting to the store took, ``None`` if it never
        succeeded.
    :ivar epoch: latest epoch in which the store has responded, 0 before the first response.
    """

    def __init__(self, settings: node.NodeSettings) -> None:
        self._settings = settings
        self._idle: list[upstream.Connection] = []
        ip, port = settings.store_address
        self._host = f"{ip}:{port}".encode()
        self._response_timeout_s = MIN_RESPONSE_TIMEOUT_S
        # When the response timeout last changed.
        self._timeout_changed_at = float("-inf")
        self._clock = clock.RemoteClock()
        self._received_at = float("-inf")
        self.calls = 0
        self.rtt_s: float | None = None
        self.epoch = 0

    @property
    def receiving(self) -> bool:
        """Whether a response has been received in part and its bytes still arrive."""
        return asyncio.get_running_loop().time() - self._received_at < RECEIVE_PAUSE_S

    async def measure_rtt(self) -> None:
        """Update the round-trip time from a few connections, and keep one for the next call.

        :raises waxwingspool.exceptions.StoreUnavailable: a connection failed.
        """
        for _ in range(RTT_SAMPLES):
            try:
                connection = await self._connect()
            except (OSError, TimeoutError) as error:
                raise exceptions.StoreUnavailable(f"{type(error).__name__}: {error}") from error
            for unused in self._idle:
                unused.abort()
            connection.idle_since = asyncio.get_running_loop().time()
            self._idle = [connection]

    async def get_listing(self, table: str) -> Reading:
        """Return all rows of a table, with the version from which to follow its changes.

        :raises HistoryGone: the store was restored between two pages.
        :raises waxwingspool.exceptions.StoreUnavailable: the call failed.
        """
        rows: list[store.Row] = []
        start: str | None = None
        first: Reading | None = None
        size = 0
        while True:
            sent_at = asyncio.get_running_loop().time()
            answer = await self._call(b"GET", store.listing_request(table, start), b"", 0.0)
            size += len(answer.data)
            if size > MAX_LISTING_BYTES:
                raise exceptions.StoreUnavailable(f"a listing has over {MAX_LISTING_BYTES} bytes")
            page = store.decode_page(answer.data, answer.epoch)
            if first is not None and first.page.version.epoch != answer.epoch:
                raise HistoryGone(f"the listing of {table} began in an earlier epoch")
            rows += page.rows
            if len(rows) > store.MAX_ROWS:
                raise exceptions.StoreUnavailable(f"a listing has over {store.MAX_ROWS} rows")
            # Later pages may be newer, so the feed continues from the version of the first.
            first = first or self._to_reading(page, sent_at)
            if not page.has_more or not page.rows:
                listing = store.Page(tuple(rows), first.page.version, False)
                return Reading(listing, first.confirmed_at)
            start = page.rows[-1].key + "\0"

    async def get_changes(
        self, table: str, after: store_version.StoreVersion, wait_s: float
    ) -> Reading:
        """Return the changes of a table after a version, as soon as there are any.

        :param wait_s: time in seconds after which the store responds without changes.
        :raises HistoryGone: the version is too old, or of another epoch than the store's.
        :raises waxwingspool.exceptions.StoreUnavailable: the call failed.
        """
        target = store.changes_request(table, after.number, wait_s)
        sent_at = asyncio.get_running_loop().time()
        answer = await self._call(b"GET", target, b"", wait_s)
        if answer.epoch != after.epoch:
            # The number may have been given out again, so the changes may be incomplete.
            raise HistoryGone(f"version {after} is not of epoch {answer.epoch}")
        page = store.decode_page(answer.data, answer.epoch)
        # Without changes, the store does not answer before the wait is over.
        waited = not page.rows and asyncio.get_running_loop().time() - sent_at >= wait_s
        return self._to_reading(page, sent_at + wait_s if waited else sent_at)

    def _to_reading(self, page: store.Page, answered_after: float) -> Reading:
        """Return a page with the time at which the store answered.

        :param answered_after: event loop time in seconds before which it did not answer.
        """
        if page.clock_s is None:
            return Reading(page, answered_after)
        self._clock.record(page.clock_s, asyncio.get_running_loop().time(), answered_after)
        return Reading(page, self._clock.to_local(page.clock_s))

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write one row and return the epoch in which the store acknowledged it.

        :raises waxwingspool.exceptions.StoreUnavailable: the call failed; the row may or may not
            have been written.
        """
        target, body = store.put_request(table, key, value)
        return (await self._call(b"POST", target, body, WRITE_QUEUE_TIMEOUT_S)).epoch

    async def _call(self, method: bytes, target: str, body: bytes, wait_s: float) -> _Answer:
        """Make one call and return the response.

        Beyond the shortest timeout, the request is sent again at intervals and the first response
        counts. The store may perform it more than once: writes are unconditional and always of the
        same row.
        """
        if self._response_timeout_s <= REPEAT_INTERVAL_S:
            return await self._send(method, target, body, wait_s)
        attempts: list[asyncio.Task] = []
        try:
            while True:
                if not attempts or not self.receiving:
                    attempts.append(asyncio.create_task(self._send(method, target, body, wait_s)))
                interval_s = REPEAT_INTERVAL_S if len(attempts) > 1 else wait_s + REPEAT_INTERVAL_S
                done, _ = await asyncio.wait(
                    attempts, timeout=interval_s, return_when=asyncio.FIRST_COMPLETED
                )
                if done:
                    return done.pop().result()
        finally:
            for attempt in attempts:
                attempt.cancel()
            # Retrieves the exceptions of those that have failed as well.
            await asyncio.gather(*attempts, return_exceptions=True)

    async def _send(self, method: bytes, target: str, body: bytes, wait_s: float) -> _Answer:
        """Send one request and return the response."""
        self.calls += 1
        sent_at = asyncio.get_running_loop().time()
        connection = None
        succeeded = False
        try:
            async with asyncio.timeout(wait_s + self._response_timeout_s) as timeout:
                connection = await self._get_connection()
                answer = await self._exchange(connection, method, target, body, timeout)
                succeeded = True
        except TimeoutError as error:
            self._handle_timeout(sent_at)
            raise exceptions.StoreUnavailable("the store did not respond in time") from error
        except (OSError, upstream.Broken) as error:
            raise exceptions.StoreUnavailable(f"{type(error).__name__}: {error}") from error
        finally:
            if connection is not None and not succeeded:
                connection.abort()
        self._set_response_timeout(self._response_timeout_s / 2)
        if connection.finish():
            self._idle.append(connection)
        if answer.epoch < self.epoch:
            detail = f"late response of epoch {answer.epoch}, the store is in {self.epoch}"
            raise exceptions.StoreUnavailable(detail)
        if answer.epoch > self.epoch:
            eventlog.event("store.epoch", epoch=answer.epoch, before=self.epoch)
            self.epoch = answer.epoch
        if answer.status == _STATUS_GONE:
            raise HistoryGone(target)
        if answer.status != 200:
            raise exceptions.StoreUnavailable(f"the store responded with status {answer.status}")
        return answer

    def _handle_timeout(self, sent_at: float) -> None:
        """Extend the response timeout, once for all calls that were waiting together.

        :param sent_at: event loop time in seconds at which the call was sent.
        """
        if sent_at >= self._timeout_changed_at:
            self._set_response_timeout(2 * self._response_timeout_s)
        # Connections of before may have been silenced for good as well.
        for connection in self._idle:
            connection.abort()
        self._idle.clear()

    def _set_response_timeout(self, timeout_s: float) -> None:
        timeout_s = min(MAX_RESPONSE_TIMEOUT_S, max(MIN_RESPONSE_TIMEOUT_S, timeout_s))
        if timeout_s != self._response_timeout_s:
            self._response_timeout_s = timeout_s
            self._timeout_changed_at = asyncio.get_running_loop().time()

    async def _get_connection(self) -> upstream.Connection:
        now = asyncio.get_running_loop().time()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable and now - connection.idle_since < IDLE_TIMEOUT_S:
                return connection
            connection.abort()
        return await self._connect()

    async def _connect(self) -> upstream.Connection:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        connection = await upstream.connect(
            self._settings.store_address, self._settings.ip, CONNECT_TIMEOUT_S, None
        )
        elapsed_s = loop.time() - started_at
        self.rtt_s = elapsed_s if self.rtt_s is None else min(self.rtt_s, elapsed_s)
        return connection

    async def _exchange(
        self,
        connection: upstream.Connection,
        method: bytes,
        target: str,
        body: bytes,
        timeout: asyncio.Timeout,
    ) -> _Answer:
        """Send a request and return the response.

        :param timeout: timeout of the call, which is extended while the body arrives.
        """
        headers = [(b"host", self._host)]
        if body:
            headers.append((b"content-type", b"application/json"))
            headers.append((b"content-length", b"%d" % len(body)))
        start = method + b" " + target.encode() + b" HTTP/1.1"
        connection.send_head(message.format_head(start, headers), None)
        connection.write(body)
        response = await connection.read_response()
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + MAX_TRANSFER_S
        data = bytearray()
        while True:
            progress_at = min(ends_at, loop.time() + self._response_timeout_s)
            timeout.reschedule(max(timeout.when(), progress_at))
            await response.body.wait_for_data()
            data += response.body.read_available()
            if response.body.failed:
                raise connection.failure
            if len(data) > MAX_RESPONSE_BYTES:
                detail = f"over {MAX_RESPONSE_BYTES} bytes"
                raise upstream.Broken(upstream.ExchangeFailure.MALFORMED, detail)
            if response.body.complete:
                told = store.parse_epoch(message.get_header(response.headers, store.EPOCH_HEADER))
                return _Answer(response.status, bytes(data), self.epoch if told is None else told)
            self._received_at = loop.time()
