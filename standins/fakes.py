"""In-process fakes of the table, the object store, upstreams and the peer network.

Each fake injects faults: outages, delays, lost replies and disconnected peers. Every call passes
through the gate of the balancer that makes it, so that a test can pause a balancer between any two
of its steps.
"""

import asyncio
import dataclasses
import itertools
from collections.abc import Callable, Sequence

import expression

from waxwingspool import exceptions
from waxwingspool.interfaces import table, upstream

__all__ = [
    "FakeNetwork",
    "FakeObjects",
    "FakeTable",
    "FakeUpstreams",
    "Gate",
    "Run",
    "TableFaults",
]


class Gate:
    """Blocks all calls of a balancer while it is paused."""

    def __init__(self) -> None:
        self._open = asyncio.Event()
        self._open.set()

    @property
    def paused(self) -> bool:
        """Whether the balancer is paused."""
        return not self._open.is_set()

    def pause(self) -> None:
        """Pause the balancer."""
        self._open.clear()

    def resume(self) -> None:
        """Resume the balancer."""
        self._open.set()

    async def wait_until_open(self) -> None:
        """Wait until the balancer is not paused."""
        await self._open.wait()


@dataclasses.dataclass(slots=True)
class TableFaults:
    """Faults injected into the table.

    :ivar down: whether every call fails.
    :ivar slow_s: latency of each call, in seconds.
    :ivar lose_answers: number of commits that take effect and whose reply is lost.
    :ivar delay_commits: number of commits that take effect one second after their reply is lost.
    """

    down: bool = False
    slow_s: float = 0.001
    lose_answers: int = 0
    delay_commits: int = 0


class FakeTable:
    """An in-memory table, shared by all balancers."""

    def __init__(self) -> None:
        self._versions = itertools.count(1)
        self._delayed_tasks: set[asyncio.Task] = set()
        self.rows: dict[str, table.Row] = {}
        self.faults = TableFaults()

    def client_for(self, gate: Gate) -> table.Table:
        """Return a client of the table that calls through a balancer's gate."""
        return _TableClient(self, gate)

    def apply(self, writes: Sequence[table.Write]):
        """Apply a transaction, or return the conflicting rows if an expected version differs."""
        conflicts = {
            w.key: self.rows.get(w.key)
            for w in writes
            if (self.rows[w.key].version if w.key in self.rows else table.ABSENT) != w.expected
        }
        if conflicts:
            return expression.Error(table.Conflict(conflicts))
        versions = {}
        for w in writes:
            versions[w.key] = next(self._versions)
            if w.value is None:
                self.rows.pop(w.key, None)
            else:
                self.rows[w.key] = table.Row(w.key, versions[w.key], w.value)
        return expression.Ok(table.Committed(versions))

    def apply_after_delay(self, writes: Sequence[table.Write]) -> None:
        """Apply a transaction one second from now."""

        async def wait_and_apply() -> None:
            await asyncio.sleep(1.0)
            self.apply(writes)

        task = asyncio.get_running_loop().create_task(wait_and_apply())
        self._delayed_tasks.add(task)


class _TableClient:
    """A client of the fake table for one balancer."""

    def __init__(self, store: FakeTable, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def read(self, keys: Sequence[str]) -> dict[str, table.Row]:
        await self._wait_for_access()
        found = {k: self._store.rows[k] for k in keys if k in self._store.rows}
        await self._gate.wait_until_open()
        return found

    async def scan(self, prefix: str, after: str, limit: int) -> list[table.Row]:
        await self._wait_for_access()
        keys = sorted(k for k in self._store.rows if k.startswith(prefix) and k > after)
        return [self._store.rows[k] for k in keys[:limit]]

    async def commit(self, writes: Sequence[table.Write]):
        await self._wait_for_access()
        faults = self._store.faults
        if faults.delay_commits > 0:
            faults.delay_commits -= 1
            self._store.apply_after_delay(writes)
            raise exceptions.StoreAnswerLost(
                "answer to the commit lost; the write is applied later"
            )
        result = self._store.apply(writes)
        await self._gate.wait_until_open()
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            raise exceptions.StoreAnswerLost("answer to the commit lost; the write was applied")
        return result

    async def _wait_for_access(self) -> None:
        """Wait for the table's latency; raise an exception if it is down."""
        await self._gate.wait_until_open()
        await asyncio.sleep(self._store.faults.slow_s)
        await self._gate.wait_until_open()
        if self._store.faults.down:
            raise exceptions.StoreUnavailable("the table is down")


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a request, as an upstream records it in the ledger."""

    key: str
    send: str
    attempt: str


@dataclasses.dataclass(slots=True)
class _FakeUpstream:
    """State of one upstream and the faults injected into it.

    :ivar skew_ms: offset of its clock from true time, in milliseconds.
    :ivar work_s: duration of the work, in seconds.
    :ivar delay_s: network delay before a request arrives, in seconds.
    :ivar lose_answers: number of responses still to be lost after the work is done.
    :ivar refuse_requests: number of requests still to be refused before the work starts.
    :ivar fail_when: whether to respond with status 500 ``before`` or ``after`` the work; empty for
        neither.
    :ivar down: whether it refuses connections and responds to neither cancellations nor probes.
    :ivar incarnation: number that increases with every restart.
    :ivar attempts: state of each attempt since the last restart.
    """

    skew_ms: int = 0
    work_s: float = 0.01
    delay_s: float = 0.0
    lose_answers: int = 0
    refuse_requests: int = 0
    fail_when: str = ""
    down: bool = False
    incarnation: int = 1
    attempts: dict[str, str] = dataclasses.field(default_factory=dict)


class FakeUpstreams:
    """Fake upstreams by address, and the ledger of every run.

    :param now_ms: returns the true Unix time in milliseconds.
    :param enforces_deadlines: whether upstreams refuse work that would start after its deadline.
    :param remembers_cancellations: whether upstreams remember cancelled attempts, even across
        restarts.
    """

    def __init__(
        self, now_ms: Callable[[], int], enforces_deadlines: bool, remembers_cancellations: bool
    ) -> None:
        self._now_ms = now_ms
        self._enforces_deadlines = enforces_deadlines
        self._remembers_cancellations = remembers_cancellations
        self._cancelled: set[str] = set()
        self._request_tasks: set[asyncio.Task] = set()
        self.upstreams: dict[str, _FakeUpstream] = {}
        self.ledger: list[Run] = []

    def add(self, address: str) -> None:
        """Add an upstream."""
        self.upstreams[address] = _FakeUpstream()

    def client_for(self, gate: Gate) -> upstream.UpstreamClient:
        """Return a client of the upstreams that calls through a balancer's gate."""
        return _UpstreamClient(self, gate)

    def restart(self, address: str) -> None:
        """Restart an upstream; it loses its record of attempts."""
        fake = self.upstreams[address]
        fake.attempts = {}
        fake.incarnation += 1

    def record_cancelled(self, attempt_id: str) -> None:
        """Record a cancelled attempt if the upstreams remember cancellations."""
        if self._remembers_cancellations:
            self._cancelled.add(attempt_id)

    def load(self, address: str) -> upstream.Load:
        """Return an upstream's load report."""
        return upstream.Load(0, 0, False, str(self.upstreams[address].incarnation))

    def start_request(self, address: str, request: upstream.Request, attempt: upstream.Attempt):
        """Start a request and return its task, which continues even if the sender is cancelled."""
        task = asyncio.get_running_loop().create_task(self._run(address, request, attempt))
        self._request_tasks.add(task)
        return task

    async def _run(self, address: str, request: upstream.Request, attempt: upstream.Attempt):
        """Run a request after its network delay."""
        fake = self.upstreams[address]
        await asyncio.sleep(fake.delay_s)
        expired = self._enforces_deadlines and self._now_ms() + fake.skew_ms > attempt.deadline_ms
        if fake.down:
            return upstream.Indeterminate("upstream stopped before the request arrived")
        if fake.refuse_requests > 0 or expired or attempt.id in self._cancelled:
            fake.refuse_requests = max(0, fake.refuse_requests - 1)
            return upstream.NotStarted("refused", self.load(address))
        if fake.fail_when == "before":
            return upstream.Response(500, (), b"", self.load(address))
        headers = dict(request.headers)
        self.ledger.append(Run(headers["key"], headers["send"], attempt.id))
        fake.attempts[attempt.id] = "started"
        await asyncio.sleep(fake.work_s)
        if attempt.id in fake.attempts:
            fake.attempts[attempt.id] = "finished"
        if fake.lose_answers > 0:
            fake.lose_answers -= 1
            return upstream.Indeterminate("answer lost after the work was done")
        if fake.fail_when == "after":
            return upstream.Response(500, (), b"", self.load(address))
        body = f"{headers['key']} {attempt.id}".encode()
        return upstream.Response(200, (), body, self.load(address))


class _UpstreamClient:
    """A client of the fake upstreams for one balancer."""

    def __init__(self, upstreams: FakeUpstreams, gate: Gate) -> None:
        self._upstreams = upstreams
        self._gate = gate

    async def send(self, address, request, attempt, timeout_s):
        await self._gate.wait_until_open()
        if self._upstreams.upstreams[address].down:
            return upstream.NotStarted("connection refused")
        task = self._upstreams.start_request(address, request, attempt)
        try:
            async with asyncio.timeout(timeout_s):
                result = await asyncio.shield(task)
        except TimeoutError:
            result = upstream.Indeterminate("no answer within the time limit")
        await self._gate.wait_until_open()
        return result

    async def cancel(self, address, attempt_id):
        await self._gate.wait_until_open()
        await asyncio.sleep(0.001)
        fake = self._upstreams.upstreams[address]
        if fake.down:
            return None
        state = fake.attempts.get(attempt_id, "never-started")
        if state == "never-started":
            self._upstreams.record_cancelled(attempt_id)
        await self._gate.wait_until_open()
        return upstream.CancelReply(upstream.CancelState(state), str(fake.incarnation))

    async def probe(self, address):
        await self._gate.wait_until_open()
        return None if self._upstreams.upstreams[address].down else self._upstreams.load(address)


class FakeObjects:
    """An in-memory object store, shared by all balancers."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, content: bytes) -> None:
        """Store an object under a name."""
        await asyncio.sleep(0.001)
        if self.down:
            raise exceptions.StoreUnavailable("the object store is down")
        self.objects[name] = content

    async def fetch(self, name: str) -> bytes | None:
        """Return an object's content, ``None`` if there is no such object."""
        await asyncio.sleep(0.001)
        if self.down:
            raise exceptions.StoreUnavailable("the object store is down")
        return self.objects.get(name)


class FakeNetwork:
    """The network between peers, from which peers can be disconnected.

    :ivar disconnected: addresses of the disconnected peers.
    :ivar message_count: digests and replies exchanged so far.
    :ivar byte_count: encoded size of these messages, in bytes.
    """

    def __init__(self) -> None:
        self.peers: dict[str, tuple] = {}
        self.disconnected: set[str] = set()
        self.message_count = 0
        self.byte_count = 0

    def add_peer(self, address: str, gate: Gate, exchange, blobs) -> None:
        """Add a peer with its handlers of digests and blob requests."""
        self.peers[address] = (gate, exchange, blobs)

    def client_for(self, address: str, gate: Gate) -> "_LinkClient":
        """Return a client for one peer that calls through its gate."""
        return _LinkClient(self, address, gate)

    async def connect(self, source: str, address: str):
        """Return a peer's handlers, or raise an exception if it does not respond within 2 s."""
        await asyncio.sleep(0.001)
        if {source, address} & self.disconnected or address not in self.peers:
            raise exceptions.PeerUnavailable(f"{address} is unreachable")
        gate, exchange, blobs = self.peers[address]
        try:
            async with asyncio.timeout(2.0):
                await gate.wait_until_open()
        except TimeoutError:
            raise exceptions.PeerUnavailable(f"{address} did not answer within 2 s") from None
        return exchange, blobs


class _LinkClient:
    """A client of the fake network for one peer."""

    def __init__(self, network: FakeNetwork, address: str, gate: Gate) -> None:
        self._network = network
        self._address = address
        self._gate = gate

    async def exchange(self, address, digest):
        await self._gate.wait_until_open()
        handle_exchange, _ = await self._network.connect(self._address, address)
        reply = await handle_exchange(digest)
        self._network.message_count += 2
        self._network.byte_count += digest.ByteSize() + reply.ByteSize()
        await self._gate.wait_until_open()
        return reply

    async def fetch_blobs(self, address, hashes):
        await self._gate.wait_until_open()
        _, blobs = await self._network.connect(self._address, address)
        await self._gate.wait_until_open()
        return blobs(hashes)
