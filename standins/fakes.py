"""In-process fakes of the table and of upstreams, with the faults that the brief names.

Every call goes through the gate of the balancer that makes it, so a balancer can be paused at any
step.
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
    """Holds back every call of a balancer while it is paused."""

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

    def wake(self) -> None:
        """Let the balancer go on."""
        self._open.set()

    async def pass_through(self) -> None:
        """Wait until the balancer is not paused."""
        await self._open.wait()


@dataclasses.dataclass(slots=True)
class TableFaults:
    """What is wrong with the table.

    :ivar lose: commits that take effect and whose answer is lost.
    :ivar delay: commits that take effect a second after their answer was lost.
    """

    down: bool = False
    slow_s: float = 0.001
    lose: int = 0
    delay: int = 0


class FakeTable:
    """The table's rows, shared by all balancers."""

    def __init__(self) -> None:
        self._versions = itertools.count(1)
        self._late: set[asyncio.Task] = set()
        self.rows: dict[str, table.Row] = {}
        self.faults = TableFaults()

    def seen_by(self, gate: Gate) -> table.Table:
        """Return the table as one balancer sees it."""
        return _TableView(self, gate)

    def apply(self, writes: Sequence[table.Write]):
        """Apply a transaction."""
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

    def apply_late(self, writes: Sequence[table.Write]) -> None:
        """Apply a transaction after a second."""

        async def later() -> None:
            await asyncio.sleep(1.0)
            self.apply(writes)

        task = asyncio.get_running_loop().create_task(later())
        self._late.add(task)


class _TableView:
    """The table as one balancer sees it."""

    def __init__(self, store: FakeTable, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def read(self, keys: Sequence[str]) -> dict[str, table.Row]:
        await self._enter()
        found = {k: self._store.rows[k] for k in keys if k in self._store.rows}
        await self._gate.pass_through()
        return found

    async def scan(self, prefix: str, after: str, limit: int) -> list[table.Row]:
        await self._enter()
        keys = sorted(k for k in self._store.rows if k.startswith(prefix) and k > after)
        return [self._store.rows[k] for k in keys[:limit]]

    async def commit(self, writes: Sequence[table.Write]):
        await self._enter()
        faults = self._store.faults
        if faults.delay > 0:
            faults.delay -= 1
            self._store.apply_late(writes)
            raise exceptions.StoreAnswerLost("the write takes effect later")
        result = self._store.apply(writes)
        await self._gate.pass_through()
        if faults.lose > 0:
            faults.lose -= 1
            raise exceptions.StoreAnswerLost("the answer is lost")
        return result

    async def _enter(self) -> None:
        """Wait as long as the table takes, or fail if it is down."""
        await self._gate.pass_through()
        await asyncio.sleep(self._store.faults.slow_s)
        await self._gate.pass_through()
        if self._store.faults.down:
            raise exceptions.StoreUnavailable("the table is down")


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run in an upstream's ledger."""

    key: str
    send: str
    attempt: str


@dataclasses.dataclass(slots=True)
class _Fake:
    """One upstream.

    :ivar skew_ms: error of its clock.
    :ivar work_s: time that work takes.
    :ivar delay_s: time that a request is under way before it arrives.
    :ivar cut: how many of the next answers are lost after the work.
    :ivar fails: ``before`` or ``after`` the work, empty for not at all.
    """

    skew_ms: int = 0
    work_s: float = 0.01
    delay_s: float = 0.0
    cut: int = 0
    refuse: int = 0
    fails: str = ""
    dead: bool = False
    incarnation: int = 1
    attempts: dict[str, str] = dataclasses.field(default_factory=dict)


class FakeUpstreams:
    """Upstreams by address, and the ledger of everything that ran.

    :param now_ms: true Unix time in milliseconds.
    :param keeps_deadlines: whether upstreams refuse work that starts after its deadline.
    :param remembers: whether upstreams remember cancelled attempts, over restarts too.
    """

    def __init__(self, now_ms: Callable[[], int], keeps_deadlines: bool, remembers: bool) -> None:
        self._now_ms = now_ms
        self._keeps_deadlines = keeps_deadlines
        self._remembers = remembers
        self._cancelled: set[str] = set()
        self._arriving: set[asyncio.Task] = set()
        self.fakes: dict[str, _Fake] = {}
        self.ledger: list[Run] = []

    def add(self, address: str) -> None:
        """Add an upstream."""
        self.fakes[address] = _Fake()

    def seen_by(self, gate: Gate) -> upstream.Upstream:
        """Return the upstreams as one balancer sees them."""
        return _UpstreamView(self, gate)

    def restart(self, address: str) -> None:
        """Restart an upstream: it forgets every attempt."""
        fake = self.fakes[address]
        fake.attempts = {}
        fake.incarnation += 1

    def note_cancelled(self, attempt_id: str) -> None:
        """Remember a cancelled attempt if these upstreams do."""
        if self._remembers:
            self._cancelled.add(attempt_id)

    def load(self, address: str) -> upstream.Load:
        """Return an upstream's report."""
        return upstream.Load(0, 0, False, str(self.fakes[address].incarnation))

    def arrive(self, address: str, request: upstream.Request, one: upstream.Attempt):
        """Return a task that runs a request, whatever becomes of its sender."""
        task = asyncio.get_running_loop().create_task(self._run(address, request, one))
        self._arriving.add(task)
        return task

    async def _run(self, address: str, request: upstream.Request, one: upstream.Attempt):
        """Run a request when it arrives."""
        fake = self.fakes[address]
        await asyncio.sleep(fake.delay_s)
        late = self._keeps_deadlines and self._now_ms() + fake.skew_ms > one.deadline_ms
        if fake.dead:
            return upstream.Unclear("the upstream is dead")
        if fake.refuse > 0 or late or one.id in self._cancelled:
            fake.refuse = max(0, fake.refuse - 1)
            return upstream.NotStarted("refused", self.load(address))
        if fake.fails == "before":
            return upstream.Answer(500, (), b"", self.load(address))
        headers = dict(request.headers)
        self.ledger.append(Run(headers["key"], headers["send"], one.id))
        fake.attempts[one.id] = "started"
        await asyncio.sleep(fake.work_s)
        if one.id in fake.attempts:
            fake.attempts[one.id] = "finished"
        if fake.cut > 0:
            fake.cut -= 1
            return upstream.Unclear("the answer is lost")
        if fake.fails == "after":
            return upstream.Answer(500, (), b"", self.load(address))
        body = f"{headers['key']} {one.id}".encode()
        return upstream.Answer(200, (), body, self.load(address))


class _UpstreamView:
    """The upstreams as one balancer sees them."""

    def __init__(self, world: FakeUpstreams, gate: Gate) -> None:
        self._world = world
        self._gate = gate

    async def send(self, address, request, one, timeout_s):
        await self._gate.pass_through()
        if self._world.fakes[address].dead:
            return upstream.NotStarted("connection refused")
        running = self._world.arrive(address, request, one)
        try:
            async with asyncio.timeout(timeout_s):
                result = await asyncio.shield(running)
        except TimeoutError:
            result = upstream.Unclear("no answer in time")
        await self._gate.pass_through()
        return result

    async def cancel(self, address, attempt_id):
        await self._gate.pass_through()
        await asyncio.sleep(0.001)
        fake = self._world.fakes[address]
        if fake.dead:
            return None
        state = fake.attempts.get(attempt_id, "never-started")
        if state == "never-started":
            self._world.note_cancelled(attempt_id)
        await self._gate.pass_through()
        return upstream.CancelReply(upstream.CancelState(state), str(fake.incarnation))

    async def probe(self, address):
        await self._gate.pass_through()
        return None if self._world.fakes[address].dead else self._world.load(address)


class FakeObjects:
    """The object store, shared by all balancers."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False

    async def put(self, name: str, content: bytes) -> None:
        """Store an object."""
        await asyncio.sleep(0.001)
        if self.down:
            raise exceptions.StoreUnavailable("the object store is down")
        self.objects[name] = content

    async def fetch(self, name: str) -> bytes | None:
        """Return an object."""
        await asyncio.sleep(0.001)
        if self.down:
            raise exceptions.StoreUnavailable("the object store is down")
        return self.objects.get(name)


class FakeNetwork:
    """Links between peers, which can be cut."""

    def __init__(self) -> None:
        self.peers: dict[str, tuple] = {}
        self.cut: set[str] = set()
        self.messages = 0
        self.bytes = 0

    def join(self, address: str, gate: Gate, exchange, blobs) -> None:
        """Add a peer."""
        self.peers[address] = (gate, exchange, blobs)

    def seen_by(self, address: str, gate: Gate) -> "_LinkView":
        """Return the link as one peer sees it."""
        return _LinkView(self, address, gate)

    async def reach(self, source: str, address: str):
        """Return a peer if it can be reached within the time limit."""
        await asyncio.sleep(0.001)
        if {source, address} & self.cut or address not in self.peers:
            raise exceptions.PeerUnavailable(f"{address} is cut off")
        gate, exchange, blobs = self.peers[address]
        try:
            async with asyncio.timeout(2.0):
                await gate.pass_through()
        except TimeoutError:
            raise exceptions.PeerUnavailable(f"{address} does not answer") from None
        return exchange, blobs


class _LinkView:
    """The link as one peer sees it."""

    def __init__(self, network: FakeNetwork, address: str, gate: Gate) -> None:
        self._network = network
        self._address = address
        self._gate = gate

    async def exchange(self, address, digest):
        await self._gate.pass_through()
        answer, _ = await self._network.reach(self._address, address)
        reply = await answer(digest)
        self._network.messages += 2
        self._network.bytes += digest.ByteSize() + reply.ByteSize()
        await self._gate.pass_through()
        return reply

    async def blobs(self, address, hashes):
        await self._gate.pass_through()
        _, blobs = await self._network.reach(self._address, address)
        await self._gate.pass_through()
        return blobs(hashes)
