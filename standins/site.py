"""Starts stand-ins and balancers as separate processes for demo, bench and process tests."""

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


# Bandwidth of the link between regions, shared by the two processes of a region.
LINK_BITS_PER_S = 30e6
# Ports that are given out: below the range that the system takes for outgoing connections.
FIRST_PORT, LAST_PORT = 10_000, 30_000
# The next port to try; processes start at different places.
_NEXT = itertools.count(os.getpid() * 37)


def free_port(ip: str) -> int:
    """Return a port that is free at an address now and was not returned before."""
    while True:
        port = FIRST_PORT + next(_NEXT) % (LAST_PORT - FIRST_PORT)
        with contextlib.closing(socket.socket()) as s, contextlib.suppress(OSError):
            s.bind((ip, port))
            return port


@dataclasses.dataclass(slots=True)
class Spec:
    """What to start.

    :ivar config: a configuration file as a JSON value; upstream addresses are replaced.
    :ivar balancers: how many, spread over the data centres.
    :ivar behaviour: behaviour of the upstreams by service.
    :ivar settings: changes to the balancers' settings.
    :ivar delays: delays of the imitated network.
    :ivar python: path that the balancers' code is imported from.
    """

    config: dict[str, Any]
    balancers: int = 3
    behaviour: dict[str, dict[str, Any]] = dataclasses.field(default_factory=dict)
    settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    delays: dict[str, float] = dataclasses.field(default_factory=dict)
    list_lag_s: float = 2.0
    seed: int = 1
    code: pathlib.Path = ROOT


class Site:
    """Running processes. Use it as an asynchronous context manager.

    :param spec: what to start.
    """

    def __init__(self, spec: Spec) -> None:
        self._spec = spec
        self._folder = tempfile.TemporaryDirectory(prefix="waxwingspool-")
        self._path = pathlib.Path(self._folder.name)
        self._processes: dict[str, subprocess.Popen] = {}
        self._regions = [r["name"] for r in spec.config["regions"]]
        self._centres = spec.config["data_centres"]
        self.platform = f"127.1.0.1:{free_port('127.1.0.1')}"
        self.balancers: dict[str, dict[str, Any]] = {}
        self.upstreams: dict[str, str] = {}
        self.out_of_rotation: set[str] = set()
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "Site":
        self.session = aiohttp.ClientSession()
        self._place_upstreams()
        for n in range(self._spec.balancers):
            self._place_balancer(f"vm-{n + 1:02}", n)
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
        self._folder.cleanup()

    def ready(self) -> list[str]:
        """Return the caller addresses of balancers in rotation."""
        names = (n for n in self.balancers if n not in self.out_of_rotation)
        return [self.balancers[n]["caller_address"] for n in names]

    def operator(self, name: str) -> str:
        """Return a balancer's operator address."""
        return self.balancers[name]["operator_address"]

    def ledger(self) -> list[dict]:
        """Return every run."""
        runs = []
        for path in self._path.glob("ledger-*"):
            runs += [json.loads(line) for line in path.read_text().splitlines()]
        return runs

    def log(self, name: str) -> str:
        """Return what a process has logged."""
        return (self._path / f"{name}.log").read_text()

    def process(self, name: str) -> subprocess.Popen:
        """Return a process by name."""
        return self._processes[name]

    def kill(self, name: str, number: signal.Signals = signal.SIGKILL) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    async def wait_exit(self, name: str, timeout_s: float = 30.0) -> int:
        """Return a process's exit status once it has ended."""
        return await asyncio.to_thread(self._processes[name].wait, timeout_s)

    def start_balancer(self, name: str) -> None:
        """Start a balancer; it must not be running."""
        path = self._path / f"{name}.json"
        path.write_text(json.dumps(self.balancers[name]))
        self._start(name, ["-m", "waxwingspool", "run", "--settings", str(path)], self._spec.code)

    def add_balancer(self, name: str) -> None:
        """Add and start a balancer."""
        self._place_balancer(name, len(self.balancers))
        self.start_balancer(name)

    async def wait_listening(self, name: str, timeout_s: float = 30.0) -> None:
        """Wait until a balancer's operator interface answers."""
        async with asyncio.timeout(timeout_s):
            while await self.status(name) is None:
                await asyncio.sleep(0.05)

    async def status(self, name: str) -> dict | None:
        """Return a balancer's status, ``None`` if it does not answer."""
        return await self.ask(f"http://{self.operator(name)}/status")

    async def ask(self, url: str) -> dict | None:
        """Return the JSON value at a URL, ``None`` if there is no answer."""
        try:
            timeout = aiohttp.ClientTimeout(total=2)
            async with self.session.get(url, timeout=timeout) as answer:
                return await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None

    async def apply(self, name: str, config: dict | None = None, base: int | None = None) -> tuple:
        """Apply a configuration at a balancer; return HTTP status and answer."""
        url = f"http://{self.operator(name)}/apply"
        params = {} if base is None else {"base": base}
        body = json.dumps(config or self._spec.config)
        async with self.session.post(url, data=body, params=params) as answer:
            return answer.status, await answer.json()

    async def wait_version(self, version: int, names: list[str] | None = None, timeout_s=30.0):
        """Wait until balancers have a version in force; return how long it took in seconds."""
        clock = asyncio.get_running_loop().time
        started_at = clock()
        async with asyncio.timeout(timeout_s):
            for name in names or list(self.balancers):
                while ((await self.status(name)) or {}).get("version", 0) < version:
                    await asyncio.sleep(0.02)
        return clock() - started_at

    async def control_platform(self, **changes: Any) -> None:
        """Set faults of the platform."""
        await self.session.post(f"http://{self.platform}/control", json=changes)

    async def control_upstream(self, name: str, **changes: Any) -> None:
        """Change an upstream's behaviour."""
        await self.session.post(f"http://{self.upstreams[name]}/.control", json=changes)

    async def upstream(self, name: str) -> dict:
        """Return what an upstream has done."""
        return await self.ask(f"http://{self.upstreams[name]}/.control") or {}

    def vms(self, leaving: set[str] = frozenset()) -> list[dict]:
        """Return the VM list."""
        listed = [
            {
                "name": name,
                "role": "balancer",
                "address": s["peer_address"],
                "data_centre": s["data_centre"],
                "leaving": name in leaving,
            }
            for name, s in self.balancers.items()
        ]
        for service in self._spec.config["services"]:
            for u in service["upstreams"]:
                listed.append(
                    {
                        "name": u["name"],
                        "role": "upstream",
                        "address": u["address"],
                        "data_centre": u["data_centre"],
                        "leaving": u["name"] in leaving,
                    }
                )
        return listed

    def _place_upstreams(self) -> None:
        """Give upstreams free addresses in their regions."""
        for service in self._spec.config["services"]:
            for u in service["upstreams"]:
                ip = f"127.{self._region_number(u['data_centre'])}.1.1"
                u["address"] = f"{ip}:{free_port(ip)}"
                self.upstreams[u["name"]] = u["address"]

    def _place_balancer(self, name: str, n: int) -> None:
        """Give a balancer its settings."""
        centre = self._centres[n % len(self._centres)]
        ip = f"127.{self._region_number(centre['name'])}.0.{n + 2}"
        base = f"http://{self.platform}"
        self.balancers[name] = {
            "id": name,
            "data_centre": centre["name"],
            "region": centre["region"],
            "caller_address": f"{ip}:{free_port(ip)}",
            "peer_address": f"{ip}:{free_port(ip)}",
            "operator_address": f"{ip}:{free_port(ip)}",
            "platform": {
                "table": f"{base}/table",
                "objects": f"{base}/objects",
                "vms": f"{base}/vms",
            },
            **self._spec.settings,
        }

    def _region_number(self, centre: str) -> int:
        """Return the number of a data centre's region."""
        region = next(c["region"] for c in self._centres if c["name"] == centre)
        return self._regions.index(region) + 1

    def _network(self, region: int) -> dict:
        """Return the network as seen from a region."""
        return {"region": region, **self._spec.delays}

    def _start_platform(self) -> None:
        """Start the platform."""
        document = {
            "address": self.platform,
            "network": self._network(1),
            "vms": self.vms(),
            "list_lag_s": self._spec.list_lag_s,
        }
        self._start_standin("platform", "standins.platform", document)

    def _start_upstreams(self) -> None:
        """Start two processes of upstreams for each region."""
        for region in range(1, len(self._regions) + 1):
            plans = []
            for service in self._spec.config["services"]:
                for u in service["upstreams"]:
                    if self._region_number(u["data_centre"]) == region:
                        plans.append(self._plan(service["name"], u, len(plans)))
            for half in range(2):
                name = f"{region}-{half}"
                document = {
                    "upstreams": plans[half::2],
                    "network": {**self._network(region), "bits_per_s": LINK_BITS_PER_S / 2},
                    "ledger": str(self._path / f"ledger-{name}"),
                }
                self._start_standin(f"upstreams-{name}", "standins.upstream", document)

    def _plan(self, service: str, u: dict, n: int) -> dict:
        """Return the plan of one upstream."""
        behaviour = {"slots": u.get("slots", 4), **self._spec.behaviour.get(service, {})}
        seed = self._spec.seed * 1000 + n
        return {"name": u["name"], "address": u["address"], "seed": seed, "behaviour": behaviour}

    def _start_standin(self, name: str, module: str, document: dict) -> None:
        """Start a stand-in and wait until it serves."""
        path = self._path / f"{name}.json"
        path.write_text(json.dumps(document))
        process = self._start(name, ["-m", module, str(path)], ROOT, subprocess.PIPE)
        with process.stdout:
            process.stdout.readline()

    def _start(self, name: str, arguments: list[str], code: pathlib.Path, stdout=None):
        """Start a Python process that logs to a file."""
        log = (self._path / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONPATH": str(code)}
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                cwd=code,
                env=environment,
                stdout=stdout if stdout is not None else log,
                stderr=log,
            )
        return self._processes[name]
