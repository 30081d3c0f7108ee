"""Runs balancers, a simulated platform and simulated upstreams as separate processes.

Used by the demonstration, the benchmarks and the process tests.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
from typing import Any

import aiohttp

__all__ = ["Site", "Spec", "free_port"]

ROOT = pathlib.Path(__file__).resolve().parent.parent


# Bandwidth of a region's link to the others, split evenly between its two upstream processes.
LINK_BITS_PER_S = 30e6
# Range of assigned ports, MAX_PORT excluded; it lies below the ephemeral port range, from which
# the system takes the ports of outgoing connections.
MIN_PORT, MAX_PORT = 10_000, 30_000
# Offsets of the ports to try, counted from the process ID so that concurrent processes start at
# different ports.
_PORT_SEQUENCE = itertools.count(os.getpid() * 37)


def free_port(ip: str) -> int:
    """Return a port that is currently free at an address and was not returned before."""
    while True:
        port = MIN_PORT + next(_PORT_SEQUENCE) % (MAX_PORT - MIN_PORT)
        with contextlib.closing(socket.socket()) as s, contextlib.suppress(OSError):
            s.bind((ip, port))
            return port


@dataclasses.dataclass(slots=True)
class Spec:
    """Description of the processes to start.

    :ivar config: configuration file as a JSON value; the upstream addresses in it are replaced.
    :ivar balancers: number of balancers, assigned to the data centres in turn.
    :ivar behaviour: behaviour of the upstreams, by service.
    :ivar settings: overrides of the balancers' settings.
    :ivar delays: delays of the simulated network.
    :ivar list_lag_s: time by which the VM list lags behind, in seconds.
    :ivar seed: seed of the upstreams' random number generators.
    :ivar source_root: directory from which the balancers' code is imported.
    """

    config: dict[str, Any]
    balancers: int = 3
    behaviour: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    delays: dict[str, float] = dataclasses.field(default_factory=dict)
    list_lag_s: float = 2.0
    seed: int = 1
    source_root: pathlib.Path = ROOT


class Site:
    """A set of running processes, used as an asynchronous context manager.

    :param spec: the processes to start.
    :ivar platform_address: address of the simulated platform.
    :ivar balancers: settings of each balancer by name.
    :ivar upstreams: address of each upstream by name.
    :ivar out_of_rotation: names of balancers that callers no longer send to.
    """

    def __init__(self, spec: Spec) -> None:
        self._spec = spec
        self._directory = tempfile.TemporaryDirectory(prefix="waxwingspool-")
        self._path = pathlib.Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen] = {}
        self._regions = [r["name"] for r in spec.config["regions"]]
        self._data_centres = spec.config["data_centres"]
        self.platform_address = f"127.1.0.1:{free_port('127.1.0.1')}"
        self.balancers: dict[str, dict[str, Any]] = {}
        self.upstreams: dict[str, str] = {}
        self.out_of_rotation: set[str] = set()
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Site":
        self.session = aiohttp.ClientSession()
        self._assign_upstream_addresses()
        for n in range(self._spec.balancers):
            self._assign_balancer_settings(f"vm-{n + 1:02}", n)
        self._start_platform()
        self._start_upstreams()
        for name in list(self.balancers):
            self.start_balancer(name)
        try:
            await asyncio.gather(*(self.wait_listening(n) for n in self.balancers))
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.session.close()
        for p in self._processes.values():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
            p.wait()
        self._directory.cleanup()

    def ready_addresses(self) -> list[str]:
        """Return the caller addresses of the balancers in rotation."""
        names = (n for n in self.balancers if n not in self.out_of_rotation)
        return [self.balancers[n]["caller_address"] for n in names]

    def operator_address(self, name: str) -> str:
        """Return a balancer's operator address."""
        return self.balancers[name]["operator_address"]

    def ledger(self) -> list[dict]:
        """Return every run that the upstreams have recorded."""
        runs = []
        for path in self._path.glob("ledger-*"):
            runs += [json.loads(line) for line in path.read_text().splitlines()]
        return runs

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self._path / f"{name}.log").read_text()

    def process(self, name: str) -> subprocess.Popen:
        """Return a process by name."""
        return self._processes[name]

    def send_signal(self, name: str, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(signal_number)

    async def wait_exit(self, name: str, timeout_s: float = 30.0) -> int:
        """Wait until a process exits and return its exit status."""
        return await asyncio.to_thread(self._processes[name].wait, timeout_s)

    def start_balancer(self, name: str) -> None:
        """Start a balancer that is not running."""
        path = self._path / f"{name}.json"
        path.write_text(json.dumps(self.balancers[name]))
        self._start_process(
            name, ["-m", "waxwingspool", "run", "--settings", str(path)], self._spec.source_root
        )

    def add_balancer(self, name: str) -> None:
        """Create the settings of a new balancer and start it."""
        self._assign_balancer_settings(name, len(self.balancers))
        self.start_balancer(name)

    async def wait_listening(self, name: str, timeout_s: float = 30.0) -> None:
        """Wait until a balancer's operator interface responds."""
        async with asyncio.timeout(timeout_s):
            while await self.status(name) is None:
                await asyncio.sleep(0.05)

    async def status(self, name: str) -> dict | None:
        """Return a balancer's status, ``None`` if it does not respond."""
        return await self.get_json(f"http://{self.operator_address(name)}/status")

    async def get_json(self, url: str) -> dict | None:
        """Return the JSON document at a URL, ``None`` if there is no response within 2 s."""
        try:
            timeout = aiohttp.ClientTimeout(total=2)
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def apply(self, name: str, config: dict | None = None, base: int | None = None) -> tuple:
        """Apply a configuration at a balancer.

        :param base: version that the configuration replaces, ``None`` for any.
        :returns: HTTP status and response body.
        """
        url = f"http://{self.operator_address(name)}/apply"
        params = {} if base is None else {"base": base}
        body = json.dumps(config or self._spec.config)
        async with self.session.post(url, data=body, params=params) as response:
            return response.status, await response.json()

    async def wait_version(self, version: int, names: list[str] | None = None, timeout_s=30.0):
        """Wait until a configuration version is in force on some or all balancers.

        :param names: balancers to wait for, ``None`` for all.
        :returns: the time this took, in seconds.
        """
        clock = asyncio.get_running_loop().time
        started_at = clock()
        async with asyncio.timeout(timeout_s):
            for name in names or list(self.balancers):
                while ((await self.status(name)) or {}).get("version", 0) < version:
                    await asyncio.sleep(0.02)
        return clock() - started_at

    async def update_platform(self, **changes: Any) -> None:
        """Inject faults into the platform or set its VM list."""
        await self.session.post(f"http://{self.platform_address}/control", json=changes)

    async def update_upstream(self, name: str, **changes: Any) -> None:
        """Update the behaviour of an upstream."""
        await self.session.post(f"http://{self.upstreams[name]}/.control", json=changes)

    async def get_upstream_counters(self, name: str) -> dict:
        """Return the counters of an upstream, empty if it does not respond."""
        return await self.get_json(f"http://{self.upstreams[name]}/.control") or {}

    def vm_list(self, leaving: set[str] = frozenset()) -> list[dict]:
        """Return the VM list of all balancers and upstreams.

        :param leaving: names of the VMs to list as leaving.
        """
        vm_list = [
            {
                "name": name,
                "role": "balancer",
                "address": settings["peer_address"],
                "data_centre": settings["data_centre"],
                "leaving": name in leaving,
            }
            for name, settings in self.balancers.items()
        ]
        for service in self._spec.config["services"]:
            for u in service["upstreams"]:
                vm_list.append(
                    {
                        "name": u["name"],
                        "role": "upstream",
                        "address": u["address"],
                        "data_centre": u["data_centre"],
                        "leaving": u["name"] in leaving,
                    }
                )
        return vm_list

    def _assign_upstream_addresses(self) -> None:
        """Assign each upstream a free address in its region."""
        for service in self._spec.config["services"]:
            for u in service["upstreams"]:
                ip = f"127.{self._region_number(u['data_centre'])}.1.1"
                u["address"] = f"{ip}:{free_port(ip)}"
                self.upstreams[u["name"]] = u["address"]

    def _assign_balancer_settings(self, name: str, n: int) -> None:
        """Create the settings of a balancer, with free addresses in its region."""
        data_centre = self._data_centres[n % len(self._data_centres)]
        ip = f"127.{self._region_number(data_centre['name'])}.0.{n + 2}"
        platform_url = f"http://{self.platform_address}"
        self.balancers[name] = {
            "id": name,
            "data_centre": data_centre["name"],
            "region": data_centre["region"],
            "caller_address": f"{ip}:{free_port(ip)}",
            "peer_address": f"{ip}:{free_port(ip)}",
            "operator_address": f"{ip}:{free_port(ip)}",
            "platform": {
                "table": f"{platform_url}/table",
                "objects": f"{platform_url}/objects",
                "vms": f"{platform_url}/vms",
            },
            **self._spec.settings,
        }

    def _region_number(self, data_centre: str) -> int:
        """Return the region number of a data centre, counted from 1."""
        region = next(c["region"] for c in self._data_centres if c["name"] == data_centre)
        return self._regions.index(region) + 1

    def _network(self, region: int) -> dict:
        """Return the simulated network as seen from a region, as a JSON value."""
        return {"region": region, **self._spec.delays}

    def _start_platform(self) -> None:
        """Start the simulated platform in the first region."""
        document = {
            "address": self.platform_address,
            "network": self._network(1),
            "vms": self.vm_list(),
            "list_lag_s": self._spec.list_lag_s,
        }
        self._start_standin("platform", "standins.platform", document)

    def _start_upstreams(self) -> None:
        """Start two processes for each region, each of which simulates half of its upstreams."""
        for region in range(1, len(self._regions) + 1):
            documents = []
            for service in self._spec.config["services"]:
                for u in service["upstreams"]:
                    if self._region_number(u["data_centre"]) == region:
                        documents.append(
                            self._upstream_document(service["name"], u, len(documents))
                        )
            for process_index in range(2):
                name = f"{region}-{process_index}"
                document = {
                    "upstreams": documents[process_index::2],
                    "network": {**self._network(region), "bits_per_s": LINK_BITS_PER_S / 2},
                    "ledger": str(self._path / f"ledger-{name}"),
                }
                self._start_standin(f"upstreams-{name}", "standins.upstream", document)

    def _upstream_document(self, service: str, u: dict, n: int) -> dict:
        """Return the description of one simulated upstream as a JSON value."""
        behaviour = {"slots": u.get("slots", 4), **self._spec.behaviour.get(service, {})}
        seed = self._spec.seed * 1000 + n
        return {"name": u["name"], "address": u["address"], "seed": seed, "behaviour": behaviour}

    def _start_standin(self, name: str, module: str, document: dict) -> None:
        """Start a simulated service and wait until it reports that it is listening."""
        path = self._path / f"{name}.json"
        path.write_text(json.dumps(document))
        process = self._start_process(name, ["-m", module, str(path)], ROOT, subprocess.PIPE)
        with process.stdout:
            process.stdout.readline()

    def _start_process(
        self, name: str, arguments: list[str], source_root: pathlib.Path, stdout=None
    ):
        """Start a Python process that logs to a file.

        :param source_root: its working directory, from which it imports its code.
        :param stdout: destination of its standard output, ``None`` for the log file.
        """
        log = (self._path / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(source_root)}
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=source_root,
                env=environment,
                stdout=stdout if stdout is not None else log,
                stderr=log,
            )
        return self._processes[name]
