"""A small deployment of the deployed role on loopback addresses, for the cases of the review.

The balancers are processes started with the ``run`` line of ``deploy/system.toml``. The platform's
store is the project's own stand-in; the targets and the clients are those of this module.
"""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable

from standins.deployment import store

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Whether the case applies its disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BALANCERS = 3
ZONES = {"accra-a": "accra", "accra-b": "accra"}
HOST = "gate.example"
# Interval between two reports of a target to the store, and silence after which its entry is
# removed, in seconds.
HEARTBEAT_S = 1.5
EXPIRY_S = 3 * HEARTBEAT_S
# Work of a target at once, and requests that wait for it.
SLOTS = 4
QUEUE = 16
# Longest time for the balancers to become ready, and for the whole case, in seconds.
READY_S = 20.0
CASE_S = 115.0
# Time between SIGTERM and the kill, in seconds.
GRACE_S = 6.0
# Bytes that a stream reader buffers.
STREAM_LIMIT = 1 << 20

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2

_SETTINGS = """
[self]
node = "{name}"
role = "edge"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
in-tolerance = false
bootstrap = true
[self.limits]
cpu-share = 0.86
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[network]
internal-port-range = [{peer_port}, {last_port}]
seeds = []
[network.listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[network.zones]
accra-a = "accra"
accra-b = "accra"
[platform]
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
[platform.platform]
address = "{store_ip}:{store_port}"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 8.0
part-writes-s = 150
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "health", "platform"]
[terms.fault-tolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 4000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2500
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
max-skew-ms = 5000
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 62
recover-s = 15
probes-per-s = 60
"""

Headers = dict[str, str]

# Note of a client that found other bytes where an answer begins.
NO_ANSWER = "bytes that are no answer"


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run, a line each."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def line(self, event: str, **fields: object) -> None:
        """Write one line; its time is in seconds from the start of the case."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{time.monotonic() - self._started_at:8.3f} {event} {text}\n")

    def close(self) -> None:
        """Write what is buffered and close the file."""
        self._file.close()


@dataclasses.dataclass(frozen=True)
class Head:
    """The head of a request or of a response; names of headers are in lower case."""

    start: list[str]
    headers: Headers

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read a head.

    :raises ValueError: the bytes are not a head.
    :raises asyncio.IncompleteReadError: the connection ended first.
    """
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    start = first.split(" ", 2)
    if not (first.startswith("HTTP/1.1 ") or first.endswith(" HTTP/1.1")):
        raise ValueError(f"{NO_ANSWER}: {first[:60]!r}")
    pairs = (line.split(":", 1) for line in lines)
    return Head(start, {name.lower(): value.strip() for name, value in pairs})


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive.

    :raises asyncio.IncompleteReadError: the connection ended before the end of the body.
    """
    if headers.get("transfer-encoding") == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    left = int(headers.get("content-length", "0"))
    while left:
        data = await reader.read(min(left, 65536))
        if not data:
            raise asyncio.IncompleteReadError(b"", left)
        left -= len(data)
        yield data


# Targets


@dataclasses.dataclass
class Exchange:
    """A request that a target works on, and where its answer goes."""

    head: Head
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def request_id(self) -> str:
        return self.head.headers.get("x-request-id", "")

    async def read(self) -> bytes:
        """Return the whole body of the request."""
        return b"".join([part async for part in read_body(self.reader, self.head.headers)])

    async def answer(self, status: int, body: bytes, *headers: str, own: bool = True) -> None:
        """Send an answer with a body of known length.

        :param own: whether it bears the signature of the target.
        """
        await self.start_answer(status, f"Content-Length: {len(body)}", *headers, own=own)
        self.writer.write(body)
        await self.writer.drain()

    async def start_answer(self, status: int, *headers: str, own: bool = True) -> None:
        """Send the head of an answer."""
        lines = [f"HTTP/1.1 {status} Status", f"X-Request-Id: {self.request_id}", *headers]
        if own:
            lines.append(f"X-Server-Signature: sig.{self.request_id}")
        self.writer.write("\r\n".join([*lines, "", ""]).encode())
        await self.writer.drain()


Work = Callable[["Target", Exchange], Awaitable[None]]


class Target:
    """A target as the pages describe it: slots, a short queue, and refusals that say so.

    :param work: does the work of a request and answers it.
    :ivar dark: whether it is silent, as after a crash without a reset of its connections.
    :ivar runs: how often each request has run, by its id.
    """

    def __init__(self, id_: str, service: str, zone: str, work: Work, record: Record) -> None:
        self.id = id_
        self.service = service
        self.zone = zone
        self.dark = False
        self.runs: dict[str, int] = {}
        self._work = work
        self._record = record
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._incarnation = 0
        self._case_ended = asyncio.Event()
        self.address = ("", 0)

    async def start(self, ip: str) -> asyncio.Server:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0, limit=STREAM_LIMIT)
        self.address = server.sockets[0].getsockname()
        return server

    async def stay_silent(self) -> None:
        """Leave a connection open and send nothing on it until the end of the case."""
        await self._case_ended.wait()

    def crash(self) -> None:
        """Fall silent: the connections stay open, and nothing arrives on them any more."""
        self.dark = True

    def restart(self) -> None:
        """Answer again, on new connections only."""
        self.dark = False
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._incarnation += 1

    def entry(self, seq: int) -> dict:
        """Return what it writes to the store."""
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": seq,
            "born": 1_700_000_000_000 + self._incarnation,
        }

    def _load(self) -> str:
        return f"X-Server-Load: {self._running},{self._waiting},{SLOTS},100"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        incarnation = self._incarnation
        try:
            while True:
                exchange = Exchange(await read_head(reader), reader, writer)
                if self.dark or incarnation != self._incarnation:
                    await self.stay_silent()
                await self._take(exchange)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _take(self, exchange: Exchange) -> None:
        if exchange.head.start[1] == "/health":
            await exchange.answer(200, b"", f"X-Instance-Id: {self.id}", self._load(), own=False)
            return
        if exchange.head.headers.get("x-expect-instance") != self.id:
            await exchange.read()
            await exchange.answer(421, b"", "X-Not-Executed: 1", own=False)
            return
        if self._waiting >= QUEUE:
            await exchange.read()
            await exchange.answer(503, b"", "X-Not-Executed: 1", self._load(), own=False)
            return
        incarnation = self._incarnation
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self._running += 1
            self.runs[exchange.request_id] = self.runs.get(exchange.request_id, 0) + 1
            self._record.line("run", id=exchange.request_id, target=self.id)
            try:
                await self._work(self, exchange)
            finally:
                if incarnation == self._incarnation:
                    self._running -= 1


# Clients


@dataclasses.dataclass
class Answer:
    """What a client got for a request.

    :ivar status: 0 if no complete answer arrived.
    :ivar seconds: time from the first byte of the request to the end, in seconds.
    :ivar note: why there is no complete answer.
    """

    request_id: str
    status: int
    headers: Headers
    body: bytes
    seconds: float
    note: str = ""

    @property
    def signed(self) -> bool:
        """Whether it bears the signature of a target."""
        return "x-server-signature" in self.headers


class Client:
    """A client that keeps its connection for as long as the balancer allows it.

    :param deadline_s: time that it waits for an answer, in seconds.
    """

    def __init__(self, address: tuple[str, int], record: Record, deadline_s: float) -> None:
        self._address = address
        self._record = record
        self._deadline_s = deadline_s
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        part: int = 65536,
        pause_s: float = 0.0,
    ) -> Answer:
        """Send a request and return the answer; the answer is read while the body is sent.

        :param part: bytes of the body that are sent at a time.
        :param pause_s: pause after each part, in seconds.
        """
        self._record.line("sent", id=request_id, method=method, path=path, bytes=len(body))
        started_at = time.monotonic()
        try:
            async with asyncio.timeout(self._deadline_s):
                reader, writer = await self._connect()
                writer.write(self._format_head(method, path, request_id, body))
                sending = asyncio.ensure_future(_send(writer, body, part, pause_s))
                try:
                    head = await read_head(reader)
                    headers = {} if method == "HEAD" else head.headers
                    data = b"".join([piece async for piece in read_body(reader, headers)])
                    await sending
                finally:
                    sending.cancel()
            seconds = time.monotonic() - started_at
            answer = Answer(request_id, head.status, head.headers, data, seconds)
            if head.headers.get("connection") == "close":
                self.close()
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
            self.close()
            seconds = time.monotonic() - started_at
            answer = Answer(request_id, 0, {}, b"", seconds, f"{type(error).__name__}: {error}")
        self._record.line(
            "answered" if answer.status else "unanswered",
            id=request_id,
            status=answer.status,
            signed=answer.signed,
            bytes=len(answer.body),
            seconds=f"{answer.seconds:.3f}",
            note=repr(answer.note),
        )
        return answer

    def _format_head(self, method: str, path: str, request_id: str, body: bytes) -> bytes:
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Request-Deadline: {round(self._deadline_s * 1000)}",
        ]
        if method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is None or self._streams[0].at_eof():
            self.close()
            async with asyncio.timeout(1.0):
                self._streams = await asyncio.open_connection(*self._address, limit=STREAM_LIMIT)
        return self._streams

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


async def _send(writer: asyncio.StreamWriter, body: bytes, part: int, pause_s: float) -> None:
    for start in range(0, len(body), part):
        writer.write(body[start : start + part])
        await writer.drain()
        if pause_s:
            await asyncio.sleep(pause_s)


# Deployment


class Deployment:
    """Balancers, the platform's store and targets on loopback addresses.

    :param record: record of the case.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.targets: list[Target] = []
        self._folder = tempfile.TemporaryDirectory()
        self._store = store.Store(random.Random(1))
        subnet = 20 + os.getpid() % 200
        self._platform_ip = f"127.{subnet}.0.1"
        self.addresses = [f"127.{subnet}.1.{number + 1}" for number in range(BALANCERS)]
        self._servers: list[asyncio.Server] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._tasks: list[asyncio.Task] = []
        self._ports = _find_free_ports([self._platform_ip, *self.addresses], 5)
        self._listed: set[str] = set()

    @property
    def fronts(self) -> list[tuple[str, int]]:
        """Addresses at which clients connect."""
        return [(ip, self._ports[0]) for ip in self.addresses]

    async def add_targets(self, service: str, count: int, work: Work) -> list[Target]:
        """Start targets; each writes its entry to the store."""
        added = []
        for number in range(count):
            zone = list(ZONES)[number % len(ZONES)]
            target = Target(f"i-{service}-{number}", service, zone, work, self.record)
            self._servers.append(await target.start(self._platform_ip))
            self._tasks.append(asyncio.create_task(self._report(target)))
            added.append(target)
        self.targets += added
        return added

    async def start(self, rules: list[dict], services: list[str]) -> None:
        """Write the configuration, start the balancers and wait until they are ready."""
        self._servers.append(await self._store.start(self._platform_ip, self._ports[4]))
        await self.configure(1, rules, services)
        for number, ip in enumerate(self.addresses):
            self._processes.append(await self._launch(number, ip))
        async with asyncio.timeout(READY_S):
            for ip in self.addresses:
                await self._wait_ready(ip)
        # The machines count as in touch once they have run for the stability window.
        await asyncio.sleep(4.5)

    async def configure(self, version: int, rules: list[dict], services: list[str]) -> None:
        """Write a configuration, as the operator does."""
        document = {
            "version": version,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 22,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {"name": name, "health-path": "/health", "max-conns": 260} for name in services
            ],
        }
        await self._store.put("op", "config", document)
        self.record.line("configuration", version=version, routes=len(rules))

    async def terminate(self, number: int) -> None:
        """Stop a balancer as planned: SIGTERM, and a kill once the grace time is over."""
        process = self._processes[number]
        self.record.line("disruption", kind="SIGTERM", balancer=self.addresses[number])
        process.terminate()
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            process.kill()
        self.record.line("stopped", balancer=self.addresses[number], status=process.returncode)

    async def stop(self) -> None:
        """End everything that was started."""
        for process in self._processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._folder.cleanup()

    async def _launch(self, number: int, ip: str) -> asyncio.subprocess.Process:
        front, ready, peer, last, store_port = self._ports
        zone = list(ZONES)[number % len(ZONES)]
        path = pathlib.Path(self._folder.name) / f"node-{number}.toml"
        path.write_text(
            _SETTINGS.format(
                name=f"edge-{zone}-{number + 1}",
                ip=ip,
                zone=zone,
                region=ZONES[zone],
                front_port=front,
                ready_port=ready,
                peer_port=peer,
                last_port=last,
                store_ip=self._platform_ip,
                store_port=store_port,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WAXWINGSPOOL_NODE_FILE"] = str(path)
        with (path.with_suffix(".log")).open("ab") as log:
            return await asyncio.create_subprocess_exec(
                *deploy["roles"]["edge"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def _wait_ready(self, ip: str) -> None:
        request = b"GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n"
        while True:
            try:
                reader, writer = await asyncio.open_connection(ip, self._ports[1])
                writer.write(request)
                head = await read_head(reader)
                writer.close()
                if head.status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)

    async def _report(self, target: Target) -> None:
        """Write a target's entry while it lives; remove it as the platform does after silence."""
        silent_since = time.monotonic()
        for seq in itertools.count(1):
            now = time.monotonic()
            if not target.dark:
                silent_since = now
                await self._store.put("servers", target.id, target.entry(seq))
                self._listed.add(target.id)
            elif now - silent_since > EXPIRY_S and target.id in self._listed:
                self._listed.discard(target.id)
                await self._store.remove("servers", target.id)
            await asyncio.sleep(HEARTBEAT_S)


def make_rule(path: str, kind: str, service: str, timeout_ms: int, goal_ms: int) -> dict:
    """Return a rule of the configuration for all paths that begin with a prefix."""
    return {
        "name": path.strip("/"),
        "kind": kind,
        "latency-goal-ms": goal_ms,
        "priority": 1,
        "match": {"path-prefix": path},
        "action": {"service": service, "timeout-ms": timeout_ms, "max-attempts": 2},
    }


def _find_free_ports(addresses: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free at all addresses."""
    for first in random.Random(os.getpid()).sample(range(20000, 32000, count), 200):
        ports = list(range(first, first + count))
        if all(_is_free(ip, port) for ip in addresses for port in ports):
            return ports
    raise OSError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def run_case(folder: str, case: Callable[[Record, Deployment], Awaitable[list[str]]]) -> None:
    """Run a case, print what broke the rule and exit.

    :param case: returns a line for each break of the rule.
    """
    record = Record(pathlib.Path(folder))

    async def run() -> list[str]:
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(CASE_S):
                return await case(record, deployment)
        finally:
            await deployment.stop()

    try:
        breaks = asyncio.run(run())
    except Exception as error:
        record.line("not-run", error=repr(error))
        record.close()
        print(f"the case could not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for line in breaks:
        record.line("broken", rule=line)
        print(line)
    verdict = "broken" if breaks else "held"
    record.line("verdict", rule=verdict, trouble=TROUBLE)
    record.close()
    print(f"rule {verdict}, trouble={int(TROUBLE)}")
    sys.exit(EXIT_BROKEN if breaks else EXIT_HELD)
