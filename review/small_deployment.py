"""A small deployment of the deployed role on loopback addresses, for cases 6 to 10.

Store, upstreams and callers are the project's stand-ins and run in this process; each balancer is a
process of its own, started with the ``run`` line of the deploy file.
"""

import asyncio
import dataclasses
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Sequence

from standins.deployment import client, store, upstream

__all__ = [
    "Caller",
    "Deployment",
    "FRONT_PORT",
    "Machine",
    "Record",
    "make_rule",
    "run_case",
    "trouble",
    "write_runs",
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18080, 18081, 18082, 18083
STORE_PORT, UPSTREAM_PORT = 18090, 18100
# Last byte of the address of the store and the upstreams.
PLATFORM_HOST = 200
# Time for all balancers to become ready, in seconds.
READY_TIMEOUT_S = 20.0
# Time limit of a whole run, in seconds.
RUN_TIMEOUT_S = 110.0
HOST = "soak.example"

_SETTINGS = """
[self]
node = "{name}"
role = "edge"
machine-class = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
bootstrap = {bootstrap}
[self.limits]
cpu-share = 0.86
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
[network]
internal-port-range = [{peer_port}, {metrics_port}]
seeds = []
[network.listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
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
history-s = 20
[terms.bounds]
stability-window-ms = 4000
drain-ms = 2500
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2500
rollback-slack-ms = 250
retry-budget-ratio = 0.2
retry-window-s = 10
retry-budget-slack = 56
"""


def trouble() -> bool:
    """Return whether the disruption is to happen; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt``: one line for each event, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Write a line of key=value pairs about what happens now."""
        self.write_at(time.monotonic(), event, **fields)

    def write_at(self, at: float, event: str, **fields: object) -> None:
        """Write a line about what happened at a monotonic time in seconds."""
        elapsed_s = at - self._started_at
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{elapsed_s:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


@dataclasses.dataclass
class Machine:
    """One balancer process."""

    name: str
    ip: str
    zone: str
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None


def make_rule(name: str, prefix: str, kind: str, service: str, goal_ms: int = 500) -> dict:
    """Return a rule of a listener."""
    action = {"service": service, "timeout-ms": 2000, "max-attempts": 2}
    return {
        "name": name,
        "kind": kind,
        "latency-goal-ms": goal_ms,
        "priority": 1,
        "match": {"path-prefix": prefix},
        "action": action,
    }


class Deployment:
    """Balancers, store and upstreams.

    :param zones: zone of each balancer.
    :param regions: region of each zone.
    :param services: number of upstreams of each service.
    :param record: where events are written.
    :param accepts: whether the balancers may have these addresses; the rank of a balancer follows
        from its address.
    """

    def __init__(
        self,
        zones: Sequence[str],
        regions: dict[str, str],
        services: dict[str, int],
        record: Record,
        accepts: Callable[[list[str]], bool] = lambda _: True,
    ) -> None:
        self._regions = regions
        self._record = record
        self.rng = random.Random()
        self._folder = tempfile.TemporaryDirectory()
        self._prefix = self._choose_prefix(len(zones), accepts)
        self._platform_ip = f"{self._prefix}.{PLATFORM_HOST}"
        self._servers: list[asyncio.Server] = []
        self.ledger = upstream.Ledger()
        self.store = store.Store(self.rng)
        self.upstreams = {
            f"{service}-{number}": upstream.Upstream(
                f"{service}-{number}", service, self.ledger, self.rng
            )
            for service, count in services.items()
            for number in range(count)
        }
        self.machines = [self._make_machine(number, zone) for number, zone in enumerate(zones)]

    def _choose_prefix(self, machines: int, accepts: Callable[[list[str]], bool]) -> str:
        """Return the first three bytes of the addresses, which no other process uses."""
        for number in self.rng.sample(range(256, 250 * 256), 20_000):
            prefix = f"127.{number // 256}.{number % 256}"
            ips = [f"{prefix}.{machine + 1}" for machine in range(machines)]
            if accepts(ips) and _is_free(f"{prefix}.{PLATFORM_HOST}", STORE_PORT):
                return prefix
        raise RuntimeError("no free addresses")

    def _make_machine(self, number: int, zone: str) -> Machine:
        name, ip = f"edge-{zone}-{number + 1}", f"{self._prefix}.{number + 1}"
        path = pathlib.Path(self._folder.name) / f"{name}.toml"
        machine = Machine(name, ip, zone, path)
        self._write_settings(machine, "true")
        return machine

    def _write_settings(self, machine: Machine, bootstrap: str) -> None:
        text = _SETTINGS.format(
            name=machine.name,
            ip=machine.ip,
            zone=machine.zone,
            region=self._regions[machine.zone],
            bootstrap=bootstrap,
            zones="\n".join(f'{zone} = "{region}"' for zone, region in self._regions.items()),
            store=f"{self._platform_ip}:{STORE_PORT}",
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
        )
        machine.settings.write_text(text)

    async def start(self, rules: list[dict]) -> None:
        """Start everything with a first configuration and wait until the balancers are ready."""
        self._servers.append(await self.store.start(self._platform_ip, STORE_PORT))
        for number, target in enumerate(self.upstreams.values()):
            port = UPSTREAM_PORT + number
            self._servers.append(await target.start(self._platform_ip, port))
        for id_ in self.upstreams:
            await self.register(id_, "ready")
        await self.configure(1, rules)
        for machine in self.machines:
            await self.launch(machine)
        async with asyncio.timeout(READY_TIMEOUT_S):
            for machine in self.machines:
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.1)
        self._record.write("ready", machines=len(self.machines))

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether a balancer answers the readiness check with 200."""
        probe = client.Client((machine.ip, READY_PORT))
        response = await probe.send("GET", "/v1/readiness", "ready", timeout_s=1.0)
        probe.close()
        return response.status == 200

    async def register(self, id_: str, state: str, seq: int = 1) -> float:
        """Write the row of an upstream; return the time of the store's acknowledgement.

        :param seq: number of this heartbeat among those of the upstream.
        """
        number = list(self.upstreams).index(id_)
        entry = {
            "service": self.upstreams[id_].service,
            "address": f"{self._platform_ip}:{UPSTREAM_PORT + number}",
            "zone": list(self._regions)[number % len(self._regions)],
            "version": "v1",
            "slots": upstream.SLOTS,
            "state": state,
            "warmup-left-ms": 0,
            "seq": seq,
            "born": 1_700_000_000_000 + number,
        }
        await self.store.put("servers", id_, entry)
        self._record.write("store.acknowledged", server=id_, state=state, seq=seq)
        return time.monotonic()

    async def unregister(self, id_: str) -> float:
        """Remove the row of an upstream; return the time of the store's acknowledgement."""
        await self.store.remove("servers", id_)
        self._record.write("store.acknowledged", server=id_, state="gone")
        return time.monotonic()

    async def configure(self, version: int, rules: list[dict]) -> float:
        """Write a configuration; return the time of the store's acknowledgement."""
        services = sorted({target.service for target in self.upstreams.values()})
        document = {
            "version": version,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 26,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "listeners": [{"host": HOST, "rules": rules}],
            "clusters": [
                {"name": name, "health-path": "/health", "max-conns": 220} for name in services
            ],
        }
        await self.store.put("op", "config", document)
        self._record.write("store.acknowledged", config=version)
        return time.monotonic()

    async def launch(self, machine: Machine) -> None:
        """Start the process of a balancer."""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            command = tomllib.load(file)["roles"]["edge"]["run"].split()
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WAXWINGSPOOL_NODE_FILE"] = str(machine.settings)
        with (pathlib.Path(self._folder.name) / f"{machine.name}.log").open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        # Only the first start of the whole system is its bootstrap.
        self._write_settings(machine, "false")
        self._record.write("started", machine=machine.name, pid=machine.process.pid)

    def read_log(self, machine: Machine) -> str:
        """Return what a balancer has logged."""
        return (pathlib.Path(self._folder.name) / f"{machine.name}.log").read_text()

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to a balancer if its process is running."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(number)
            self._record.write("signal", machine=machine.name, signal=number.name)

    async def kill(self, machine: Machine) -> None:
        """Kill a balancer and wait for its end."""
        self.signal(machine, signal.SIGKILL)
        await machine.process.wait()

    async def stop(self) -> None:
        """Kill the balancers, close the servers and delete settings and logs."""
        for machine in self.machines:
            if machine.process is not None:
                await self.kill(machine)
        for server in self._servers:
            server.close()
        self._folder.cleanup()


def _is_free(ip: str, port: int) -> bool:
    """Return whether no process listens on an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


class Caller:
    """Sends requests to a balancer one after the other, and records each with its answer.

    :ivar answers: time of sending, id and status of each request.
    """

    def __init__(self, machine: Machine, name: str, record: Record) -> None:
        self._machine = machine
        self._name = name
        self._record = record
        self.answers: list[tuple[float, str, int]] = []

    async def run(
        self, method: str, path: str, pause_s: float, is_over: Callable[[], bool]
    ) -> None:
        """Send requests until ``is_over`` returns true."""
        caller = client.Client((self._machine.ip, FRONT_PORT))
        while not is_over():
            request_id = f"{self._machine.name}-{self._name}-{len(self.answers) + 1}"
            sent_at = time.monotonic()
            self._record.write("sent", id=request_id, method=method, path=path)
            response = await caller.send(method, path, request_id)
            self._record.write("answered", id=request_id, status=response.status)
            self.answers.append((sent_at, request_id, response.status))
            await asyncio.sleep(pause_s)
        caller.close()


def run_case(scenario: Callable[[Record], Awaitable[int]], folder: pathlib.Path) -> int:
    """Run a scenario and return the exit status of its script.

    :param scenario: coroutine function that returns the number of requests that broke the rule.
    :param folder: folder of ``record.txt``.
    :returns: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(folder / "record.txt")
    record.write("case", name=folder.name, trouble=int(trouble()))

    async def run_in_time() -> int:
        async with asyncio.timeout(RUN_TIMEOUT_S):
            return await scenario(record)

    try:
        broken = asyncio.run(run_in_time())
    except Exception as error:
        record.write("could-not-run", error=repr(error))
        print(f"case {folder.name}: could not run: {error!r}")
        return 2
    record.write("verdict", broken=broken)
    print(f"case {folder.name}: " + (f"broken, by {broken} requests" if broken else "held"))
    return 1 if broken else 0


def write_runs(record: Record, ledger: upstream.Ledger) -> None:
    """Record which requests reached which servers, and how often each of them ran."""
    for at, id_, _, request_id in ledger.arrivals:
        record.write_at(at, "reached", id=request_id, server=id_, runs=ledger.runs[request_id])
