"""Stand-ins for a small deployment: platform store, upstreams and clients; the balancers are real.

Only the standard library is used. The balancers are the role of ``deploy/system.toml``, each in a
process of its own on a loopback address, with a settings file like that of a small deployment.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

__all__ = ["Client", "Deployment", "Reply", "Store", "Target"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
# Bounds of the sites, in milliseconds.
DRAIN_MS, CONFIG_APPLY_MS, STABILITY_MS = 2500, 2500, 4000
SLOTS, QUEUE = 4, 4
BEAT_S = 1.5
HISTORY_S = 20
# Longest time in seconds for the balancers to become ready.
READY_TIMEOUT_S = 20.0

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
internal-port-range = [{peer}, {last}]
seeds = []
[network.listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[network.zones]
{zones}
[platform]
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
[platform.platform]
address = "{store}"
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


@dataclasses.dataclass
class Message:
    """A request or response: first line, headers with lower-case names, and body."""

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader, bodiless: bool = False) -> Message | None:
    """Read one message; return ``None`` at the end of the connection before its first byte.

    :raises asyncio.IncompleteReadError: the connection ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines[1:] if line)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif not bodiless:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(lines[0].split(" ", 2), headers, body)


def format_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message whose body has a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode("latin-1") + body


class Server:
    """An HTTP server whose connections can be closed from outside."""

    def __init__(self) -> None:
        self.address: tuple[str, int] = ("", 0)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int = 0) -> None:
        """Listen on an address; a port of 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, ip, port, reuse_address=True)
        self.address = self._server.sockets[0].getsockname()[:2]

    def shut(self) -> None:
        """Stop listening and reset all connections, as the end of the process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.converse(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels this task, which asyncio would report as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, in its table form, with one counter for all transactions.

    :ivar era: number in the header ``Store-Era``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.era = 1
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._first_version = 0
        self._changed = asyncio.Condition()
        self._started_at = time.monotonic()

    def copy(self) -> tuple[int, dict]:
        """Return a copy of the state."""
        return self.version, {key: dict(row) for key, row in self._rows.items()}

    def go_back(self, copy: tuple[int, dict]) -> None:
        """Take the state of a copy; what was written since is gone, and a new era begins."""
        self.version, self._rows = copy[0], copy[1]
        self.era += 1

    async def write(self, table: str, key: str, value: bytes | None, part: str = "") -> int:
        """Write or drop (``None``) a row and return its version."""
        async with self._changed:
            self.version += 1
            row = {"table": table, "part": part, "key": key, "ver": self.version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = base64.b64encode(value).decode()
            self._rows[table, part, key] = row
            self._changed.notify_all()
            return self.version

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, ``None`` if there is none."""
        row = self._rows.get((table, "", key), {})
        return base64.b64decode(row["value"]) if "value" in row else None

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await read_message(reader)) is not None:
            await asyncio.sleep(0.004)
            status, content = await self._answer(request)
            content["now-ms"] = int((time.monotonic() - self._started_at) * 1000)
            headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
            body = json.dumps(content).encode()
            writer.write(format_message(f"HTTP/1.1 {status} -", headers, body))
            await writer.drain()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        path, _, query_text = request.start[1].partition("?")
        query = dict(urllib.parse.parse_qsl(query_text, keep_blank_values=True))
        if path == "/v1/rows-tx":
            return await self._transact(json.loads(request.body))
        if path == "/v1/rows-get":
            return self._list(query)
        if path == "/v1/rows-feed":
            return await self._feed(query)
        if path == "/v1/rows-parts":
            parts = sorted({p for t, p, _ in self._rows if t == query["table"]})
            return 200, {"parts": parts, "ver": self.version}
        return 404, {}

    async def _transact(self, call: dict) -> tuple[int, dict]:
        await asyncio.sleep(0.008)
        changes = [*call.get("put", []), *call.get("remove", [])]
        if any(row["table"] in ("op", "servers") for row in changes):
            return 403, {}
        for row in call.get("expect", []):
            known = self._rows.get((row["table"], row["part"], row["key"]))
            current = known["ver"] if known and "value" in known else 0
            if current != row["ver"]:
                return 412, {"rows": [known] if known else [], "ver": self.version}
        for row in changes:
            value = base64.b64decode(row["value"]) if "value" in row else None
            await self.write(row["table"], row["key"], value, row["part"])
        return 200, {"ver": self.version}

    def _list(self, query: dict) -> tuple[int, dict]:
        first, last = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if table == query["table"] and part == query.get("part", "") and "value" in row
            if key >= first and (last is None or key < last)
        ]
        limit = min(500, int(query.get("limit", 500)))
        more = len(rows) > limit
        return 200, {"rows": rows[:limit], "has-more": more, "ver": self.version}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        after, table = int(query["after"]), query["table"]
        era = self.era

        def news() -> list[dict]:
            rows = [r for (name, _, _), r in self._rows.items() if name == table]
            return sorted((r for r in rows if r["ver"] > after), key=lambda r: r["ver"])

        if after > self.version:
            # A version that this store does not have.
            return 410, {"ver": self.version}
        try:
            async with asyncio.timeout(int(query.get("wait-ms", 0)) / 1000), self._changed:
                await self._changed.wait_for(lambda: news() or self.era != era)
        except TimeoutError:
            pass
        return 200, {"rows": news(), "ver": self.version}


class Target(Server):
    """One upstream, which keeps to the pages.

    :ivar leaving: whether its answers say that it leaves.
    :ivar runs: requests that it began to run, in order: time, id, address of the sender, kind of
        end (``"done"``, ``"dropped"``, ``"cut"`` if the target ended at work on it).
    :ivar arrived: all requests that reached it: time, id, address of the sender.
    """

    def __init__(self, id_: str, service: str, zone: str, work_s: float) -> None:
        super().__init__()
        self.id, self.service, self.zone = id_, service, zone
        self.work_s = work_s
        self.leaving = False
        self.ended = False
        self.runs: list[dict] = []
        self.arrived: list[tuple[float, str, str]] = []
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._seq = 0
        self.born = round(time.time() * 1000)

    def entry(self, state: str = "ready") -> bytes:
        """Return the next report for the store."""
        self._seq += 1
        fields = {
            "service": self.service,
            "address": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "warmup-left-ms": 0,
            "seq": self._seq,
            "born": self.born,
        }
        return json.dumps(fields).encode()

    async def start_again(self, address: tuple[str, int], clock_error_s: float) -> None:
        """Start again under the same id, with nothing of before.

        :param clock_error_s: how much its clock is ahead of the true time, in seconds.
        """
        await self.listen(*address)
        self.ended = False
        self.born = round((time.time() + clock_error_s) * 1000)
        self._seq = 0
        self._running = self._waiting = 0
        self._slots = asyncio.Semaphore(SLOTS)

    def end(self) -> None:
        """End the process: the listener closes and requests at work are cut."""
        self.ended = True
        self.shut()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sender = writer.get_extra_info("peername")[0]
        while (request := await read_message(reader)) is not None:
            answer = await self._answer(request, reader, sender)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()

    def _headers(self, request: Message) -> dict[str, str]:
        headers = {"X-Server-Load": f"{self._running},{self._waiting},{SLOTS},100"}
        if "x-request-id" in request.headers:
            headers["X-Request-Id"] = request.headers["x-request-id"]
        if self.leaving:
            headers["Server-Leaving"] = "1"
        return headers

    async def _answer(
        self, request: Message, reader: asyncio.StreamReader, sender: str
    ) -> bytes | None:
        """Return the answer, ``None`` if the caller has left."""
        id_ = request.headers.get("x-request-id")
        if request.start[1] == "/health":
            headers = {"X-Instance-Id": self.id, **self._headers(request)}
            status = "503 Leaving" if self.leaving else "200 OK"
            return format_message(f"HTTP/1.1 {status}", headers)
        if request.headers.get("x-expect-instance", self.id) != self.id:
            headers = {"X-Instance-Id": self.id, **self._headers(request)}
            return format_message("HTTP/1.1 421 Misdirected Request", headers)
        if id_ is None:
            headers = {"X-Not-Executed": "1", **self._headers(request)}
            return format_message("HTTP/1.1 400 Bad Request", headers)
        self.arrived.append((time.monotonic(), id_, sender))
        if self._waiting >= QUEUE:
            headers = {"X-Not-Executed": "1", **self._headers(request)}
            return format_message("HTTP/1.1 503 Service Unavailable", headers)
        self._waiting += 1
        slots = self._slots
        try:
            await slots.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, reader, id_, sender)
        finally:
            slots.release()

    async def _run(
        self, request: Message, reader: asyncio.StreamReader, id_: str, sender: str
    ) -> bytes | None:
        run = {"at": time.monotonic(), "id": id_, "sender": sender, "end": "cut"}
        self.runs.append(run)
        self._running += 1
        ends_at = time.monotonic() + self.work_s * random.uniform(0.7, 1.3)
        try:
            while time.monotonic() < ends_at:
                await asyncio.sleep(0.01)
                if self.ended:
                    return None
                if reader.at_eof() or reader.exception() is not None:
                    run["end"] = "dropped"
                    return None
        finally:
            self._running -= 1
        run["end"] = "done"
        headers = {"X-Server-Signature": f"{self.id}.{id_}", **self._headers(request)}
        return format_message("HTTP/1.1 200 OK", headers, f"{id_} {self.service}".encode())


@dataclasses.dataclass
class Reply:
    """What a client saw of one request; a status of 0 means that there was no whole answer."""

    id: str
    path: str
    balancer: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """A client that keeps its connection and sends one request at a time, without retries.

    :param deadline_s: how long it waits, in seconds.
    """

    def __init__(self, address: tuple[str, int], host: str, deadline_s: float) -> None:
        self._address, self._host, self._deadline_s = address, host, deadline_s
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def send(self, method: str, path: str, id_: str, body: bytes = b"") -> Reply:
        """Send one request and return what came back."""
        headers = {
            "Host": self._host,
            "X-Request-Id": id_,
            "X-Request-Deadline": str(round(self._deadline_s * 1000)),
        }
        sent_at = time.monotonic()
        answer = None
        try:
            async with asyncio.timeout(self._deadline_s + 0.5):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self._address)
                reader, writer = self._streams
                writer.write(format_message(f"{method} {path} HTTP/1.1", headers, body))
                answer = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        balancer, ended_at = self._address[0], time.monotonic()
        if answer is None:
            return Reply(id_, path, balancer, sent_at, ended_at, 0, {}, b"")
        status = int(answer.start[1])
        return Reply(id_, path, balancer, sent_at, ended_at, status, answer.headers, answer.body)

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
        self._streams = None


@dataclasses.dataclass
class Node:
    """One balancer."""

    name: str
    ip: str
    zone: str
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None


class Deployment:
    """Store, targets and balancers on loopback addresses, and the record of what happened.

    :param folder: folder of the case, for ``record.txt``.
    :param nodes: number of balancers.
    """

    def __init__(self, folder: pathlib.Path, nodes: int) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self._record = open(folder / "record.txt", "w")  # noqa: SIM115
        self._started_at = time.monotonic()
        self._subnet = f"127.{random.randrange(100, 250)}.{random.randrange(1, 250)}"
        self.store = Store()
        self.targets: dict[str, Target] = {}
        self.states: dict[str, str] = {}
        self.replies: list[Reply] = []
        self._tasks: set[asyncio.Task] = set()
        zones = list(ZONES)
        self._ports = self._find_ports(nodes)
        self.nodes = [self._make_node(number, zones[number % 3]) for number in range(nodes)]
        self.config: dict = {}

    def _find_ports(self, nodes: int) -> dict[str, int]:
        """Return ports that are free on the addresses of all balancers."""
        ips = [f"{self._subnet}.{number + 11}" for number in range(nodes)]
        for _ in range(100):
            base = random.randrange(12000, 30000, 20)
            try:
                for ip in ips:
                    for port in range(base, base + 8):
                        with socket.socket() as probe:
                            probe.bind((ip, port))
            except OSError:
                continue
            return {"front": base, "ready": base + 1, "peer": base + 2, "last": base + 7}
        raise OSError("no free ports")

    def _make_node(self, number: int, zone: str) -> Node:
        ip, name = f"{self._subnet}.{number + 11}", f"edge-{number}"
        return Node(name, ip, zone, pathlib.Path(self._temporary.name) / f"{name}.toml")

    def note(self, text: str) -> None:
        """Write a line to the record, with the time in seconds since the start."""
        self._record.write(f"{time.monotonic() - self._started_at:8.3f} {text}\n")
        self._record.flush()

    def address(self, node: Node) -> tuple[str, int]:
        """Return the address that accepts clients at a balancer."""
        return node.ip, self._ports["front"]

    # Platform

    async def start(self, targets: list[Target], config: dict) -> None:
        """Start everything and wait until all balancers are ready.

        :raises TimeoutError: a balancer is not ready in time.
        """
        await self.store.listen(f"{self._subnet}.1")
        for target in targets:
            await self.add(target)
        await self.configure(config)
        for node in self.nodes:
            zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
            store = "{}:{}".format(*self.store.address)
            fields = {"name": node.name, "ip": node.ip, "zone": node.zone, "zones": zones}
            fields |= {"region": ZONES[node.zone], "store": store, **self._ports}
            node.settings.write_text(_SETTINGS.format(**fields))
            await self.launch(node)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for node in self.nodes:
                while not await self.is_ready(node):
                    await asyncio.sleep(0.1)
        self.note("all balancers are ready")

    async def add(self, target: Target) -> None:
        """Start a target, which reports that it is ready."""
        await target.listen(f"{self._subnet}.{len(self.targets) + 101}")
        self.targets[target.id] = target
        await self.report(target, "ready")

    async def remove(self, target: Target) -> float:
        """Remove the entry of a target that has left; return when it was acknowledged."""
        self.states[target.id] = "removed"
        version = await self.store.write("servers", target.id, None)
        self.note(f"the entry of target {target.id} is removed: row version {version}")
        return time.monotonic()

    async def report(self, target: Target, state: str) -> float:
        """Write the entry of a target, as the target does; return when it was acknowledged."""
        self.states[target.id] = state
        version = await self.store.write("servers", target.id, target.entry(state))
        self.note(f"target {target.id} reports {state}: row version {version}")
        return time.monotonic()

    async def beat(self) -> None:
        """Let the targets report at intervals until cancelled.

        An entry changes when more than its ``seq`` changes, so only what is missing or differs is
        written.
        """
        while True:
            await asyncio.sleep(BEAT_S)
            for id_, target in self.targets.items():
                value = self.store.read("servers", id_)
                state = self.states[id_]
                if target.ended or state == "removed":
                    continue
                if value is None or json.loads(value)["state"] != state:
                    await self.report(target, state)

    async def configure(self, config: dict) -> float:
        """Write a configuration, as the operator does; return when it was acknowledged."""
        self.config = config
        text = json.dumps(config).encode()
        version = await self.store.write("op", "config", text)
        self.note(f"operator writes config {config['version']}: row version {version}")
        return time.monotonic()

    # Balancers

    async def launch(self, node: Node) -> None:
        """Start the process of a balancer with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "WAXWINGSPOOL_NODE_FILE": str(node.settings),
        }
        with open(pathlib.Path(self._temporary.name) / f"{node.name}.log", "ab") as log:
            node.process = await asyncio.create_subprocess_exec(
                *shlex.split(deploy["roles"]["edge"]["run"]),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.note(f"{node.name} at {node.ip} is started")

    def signal(self, nodes: list[Node], number: int) -> None:
        """Send a signal to the processes of balancers."""
        for node in nodes:
            node.process.send_signal(number)
            self.note(f"{node.name} gets {signal.Signals(number).name}")

    def log(self, node: Node) -> str:
        """Return what a balancer has written."""
        return (pathlib.Path(self._temporary.name) / f"{node.name}.log").read_text()

    async def is_ready(self, node: Node) -> bool:
        """Ask a balancer whether it is ready, as the platform does."""
        client = Client((node.ip, self._ports["ready"]), "platform", 1.0)
        reply = await client.send("GET", "/v1/readiness", "readiness")
        client.close()
        return reply.status == 200

    # Clients

    def start_client(
        self, node: Node, host: str, calls: list[tuple[str, str]], pause_s: float, until: float
    ) -> None:
        """Let a client of a balancer send requests by turns.

        :param calls: method and path of each.
        :param pause_s: pause after an answer, in seconds.
        :param until: monotonic time in seconds at which it stops.
        """
        task = asyncio.create_task(self._send_calls(node, host, calls, pause_s, until))
        self._tasks.add(task)

    async def _send_calls(
        self, node: Node, host: str, calls: list[tuple[str, str]], pause_s: float, until: float
    ) -> None:
        client = Client(self.address(node), host, 2.5)
        while time.monotonic() < until:
            for method, path in calls:
                id_ = f"{random.getrandbits(64):016x}"
                body = b"" if method == "GET" else b"x" * 200
                reply = await client.send(method, path, id_, body)
                self.replies.append(reply)
                sent = reply.sent_at - self._started_at
                text = reply.body[:60].decode("latin-1").strip()
                self.note(f"sent {sent:.3f} {id_} {path} to {node.name}: {reply.status} {text}")
                await asyncio.sleep(pause_s)
        client.close()

    async def wait_for_clients(self) -> None:
        """Wait until all clients have stopped."""
        await asyncio.gather(*self._tasks)

    async def stop(self) -> None:
        """End all processes and write what the targets ran to the record."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
            if node.process is not None:
                await node.process.wait()
        for target in self.targets.values():
            for run in target.runs:
                at = run["at"] - self._started_at
                self.note(
                    f"ran {at:.3f} {run['id']} at {target.id} of {target.service} "
                    f"from {run['sender']}: {run['end']}"
                )
        for server in (self.store, *self.targets.values()):
            server.shut()
        self._temporary.cleanup()
        self._record.close()


def make_rule(name: str, prefix: str, kind: str, service: str, timeout_ms: int = 2000) -> dict:
    """Return a rule of a configuration."""
    return {
        "name": name,
        "kind": kind,
        "latency-goal-ms": 300,
        "priority": 1,
        "match": {"path-prefix": prefix},
        "action": {"service": service, "timeout-ms": timeout_ms, "max-attempts": 2},
    }


def make_config(version: int, rules: list[dict], services: list[str]) -> dict:
    """Return a configuration with one host."""
    return {
        "version": version,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "listeners": [{"host": "front.example", "rules": rules}],
        "clusters": [
            {"name": name, "health-path": "/health", "max-conns": 260, "protocol": "h1"}
            for name in services
        ],
    }
