"""Starts a deployment: balancers as processes; store, upstreams and relays in this process."""

import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile

from standins.deployment import relay, store, upstream

__all__ = ["Cluster", "Node"]

FRONT_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18080, 18081, 18082, 18083
STORE_PORT, STORE_RELAY_PORT, UPSTREAM_PORT, UPSTREAM_RELAY_PORT = 18090, 18091, 18100, 18400
SERVICES = ("tags", "till")
# Data centres with their regions.
DATA_CENTRES = {"a-1": "a", "a-2": "a", "b-1": "b"}
# Retry budget of all balancers together, small enough for the soak's load to exhaust it.
RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK = 0.05, 5

_SETTINGS_TEMPLATE = """
[self]
node = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
[self.limits]
link-mbps = 1000.0
[network]
internal-port-range = [{peer_port}, {metrics_port}]
[network.listen]
front = "{ip}:{front_port}"
ready = "{ip}:{ready_port}"
[network.zones]
a-1 = "a"
a-2 = "a"
b-1 = "b"
[platform.platform]
address = "127.0.0.1:{store_port}"
[terms.bounds]
drain-ms = 2500
grace-s = 6
config-apply-ms = 2500
retry-budget-ratio = {retry_budget_ratio}
retry-budget-slack = {retry_budget_slack}
"""


@dataclasses.dataclass
class Node:
    """One balancer process.

    :ivar start_count: number of times that the process has been started.
    :ivar paused: whether the process is stopped by SIGSTOP.
    """

    name: str
    ip: str
    data_centre: str
    settings: pathlib.Path
    process: asyncio.subprocess.Process | None = None
    start_count: int = 0
    paused: bool = False


class Cluster:
    """A deployment on loopback.

    :param nodes: number of balancers.
    :param upstreams: number of upstreams of each service.
    :param subnet: second byte of the loopback addresses, so that several deployments can run at
        once.
    :param planted_fault: name of the planted fault that the balancers run with; see
        :mod:`.planted`.
    """

    def __init__(
        self,
        nodes: int,
        upstreams: int,
        subnet: int,
        rng: random.Random,
        planted_fault: str | None = None,
    ) -> None:
        self._rng = rng
        self._module_arguments = ["waxwingspool.edge"]
        if planted_fault is not None:
            self._module_arguments = ["standins.deployment.planted", planted_fault]
        self._subnet = subnet
        self._folder = tempfile.TemporaryDirectory()
        self._servers: list[asyncio.Server] = []
        self.ledger = upstream.Ledger()
        self.store = store.Store(rng)
        self.platform_ip = f"127.{subnet}.0.1"
        self.store_relay = relay.Relay(self.platform_ip, STORE_PORT)
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.relays: dict[str, relay.Relay] = {}
        self._relay_ports: dict[str, int] = {}
        for service in SERVICES:
            for number in range(upstreams):
                id_ = f"{service}-{number}"
                self.upstreams[id_] = upstream.Upstream(id_, service, self.ledger, rng)
        data_centres = list(DATA_CENTRES)
        self.nodes = [
            self._make_node(number, data_centres[number % len(data_centres)])
            for number in range(nodes)
        ]
        self.version = 0
        # Number of the last report of each upstream, and the state that it reported.
        self._reports: collections.Counter[str] = collections.Counter()
        self._states: dict[str, str] = {}
        self._configuration: dict = {}

    def _make_node(self, number: int, data_centre: str) -> Node:
        ip = f"127.{self._subnet}.1.{number + 1}"
        path = pathlib.Path(self._folder.name) / f"node-{number}.toml"
        text = _SETTINGS_TEMPLATE.format(
            name=f"edge-{number}",
            ip=ip,
            zone=data_centre,
            region=DATA_CENTRES[data_centre],
            peer_port=PEER_PORT,
            metrics_port=METRICS_PORT,
            front_port=FRONT_PORT,
            ready_port=READY_PORT,
            store_port=STORE_RELAY_PORT,
            retry_budget_ratio=RETRY_BUDGET_RATIO,
            retry_budget_slack=RETRY_BUDGET_SLACK,
        )
        path.write_text(text.replace("127.0.0.1", self.platform_ip))
        return Node(f"edge-{number}", ip, data_centre, path)

    async def start(self) -> None:
        """Start all services, write the first configuration and launch the balancers.

        The balancers may not be ready yet when this returns.
        """
        self._servers.append(await self.store.start(self.platform_ip, STORE_PORT))
        self._servers.append(await self.store_relay.start(self.platform_ip, STORE_RELAY_PORT))
        for number, (id_, target) in enumerate(self.upstreams.items()):
            port = UPSTREAM_PORT + number
            self._servers.append(await target.start(self.platform_ip, port))
            self.relays[id_] = relay.Relay(self.platform_ip, port)
            self._relay_ports[id_] = UPSTREAM_RELAY_PORT + number
            self._servers.append(
                await self.relays[id_].start(self.platform_ip, self._relay_ports[id_])
            )
            await self.register(id_, "ready")
        await self.configure()
        for node in self.nodes:
            await self.launch(node)

    async def register(self, id_: str, state: str, report: int | None = None) -> int:
        """Write the row that registers an upstream and return the number of the report.

        :param report: number of a report that arrives late, ``None`` for the next one.
        """
        if report is None:
            report = self._reports[id_] = self._reports[id_] + 1
            self._states[id_] = state
        number = list(self.upstreams).index(id_)
        entry = {
            "service": self.upstreams[id_].service,
            "address": f"{self.platform_ip}:{self._relay_ports[id_]}",
            "zone": list(DATA_CENTRES)[number % len(DATA_CENTRES)],
            "version": "v1",
            "slots": upstream.SLOTS,
            "state": state,
            "warmup-left-ms": 0,
            "seq": report,
            "born": self.upstreams[id_].started_ms,
        }
        await self.store.put("servers", id_, entry)
        return report

    async def configure(self) -> int:
        """Write the next configuration and return its version.

        Every version from N on has the route ``/version/N/``.
        """
        self.version += 1
        rules = [
            _make_rule("lookup", "/lookup/", "safe", "tags"),
            _make_rule("pay", "/pay/", "unsafe", "till"),
            _make_rule("upload", "/upload/", "upload", "till"),
        ]
        rules += [
            _make_rule(f"version-{version}", f"/version/{version}/", "safe", "tags")
            for version in range(1, self.version + 1)
        ]
        document = {
            "version": self.version,
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1 << 26,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "listeners": [{"host": "soak.example", "rules": rules}],
            "clusters": [{"name": name, "health-path": "/health"} for name in SERVICES],
        }
        self._configuration = document
        await self.store.put("op", "config", document)
        return self.version

    async def deregister(self, id_: str) -> None:
        """Remove the row of an upstream, which reports no more."""
        self._states.pop(id_, None)
        await self.store.remove("servers", id_)

    async def write_again(self) -> None:
        """Write what the operator and the upstreams wrote last, as after a restoration."""
        await self.store.put("op", "config", self._configuration)
        for id_, state in list(self._states.items()):
            await self.register(id_, state)

    async def launch(self, node: Node) -> None:
        """Start the process of a balancer."""
        log_file = open(pathlib.Path(self._folder.name) / f"{node.name}.log", "ab")  # noqa: SIM115
        environment = {**os.environ, "WAXWINGSPOOL_NODE_FILE": str(node.settings)}
        node.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *self._module_arguments,
            env=environment,
            stdout=log_file,
            stderr=log_file,
        )
        log_file.close()
        node.start_count += 1

    def read_log(self, node: Node) -> str:
        """Return the log of a balancer."""
        return (pathlib.Path(self._folder.name) / f"{node.name}.log").read_text()

    def process_usage(self, node: Node) -> str:
        """Return the process state and CPU time of a balancer, as reported by the kernel."""
        path = pathlib.Path(f"/proc/{node.process.pid}/stat")
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except OSError as error:
            return f"state unknown ({error})"
        # Fields 3, 14 and 15 of proc(5): state, and user and system time in clock ticks.
        return f"state {fields[0]}, {int(fields[11]) + int(fields[12])} ticks"

    def signal(self, node: Node, number: int) -> None:
        """Send a signal to a balancer if its process is running."""
        if node.process is not None and node.process.returncode is None:
            node.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the balancers, close the servers and delete the settings and logs."""
        for node in self.nodes:
            self.signal(node, signal.SIGCONT)
            self.signal(node, signal.SIGKILL)
            if node.process is not None:
                await node.process.wait()
        for server in self._servers:
            server.close()
        self._folder.cleanup()


def _make_rule(name: str, prefix: str, kind: str, service: str) -> dict:
    action = {"service": service, "timeout-ms": 2000, "max-attempts": 2}
    return {
        "name": name,
        "kind": kind,
        "latency-goal-ms": 500,
        "priority": 1,
        "match": {"path-prefix": prefix},
        "action": action,
    }
