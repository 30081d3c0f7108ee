"""Measures the slopes that docs/CAPACITY.md is worked out from: ``make slopes``."""

import asyncio
import copy
import json
import time
from typing import Annotated, Any

import typer

from bench import row
from standins import callers, site, small

__all__ = ["SLOPES"]

# Length of one measurement, in seconds.
MEASURE_S = 8.0


def large(services: int, upstreams: int) -> dict[str, Any]:
    """Return a configuration with some services of some upstreams each, none of which exists."""
    config = small.small(upstreams=1)
    pattern = config["services"][0]
    config["services"] = []
    for n in range(services):
        service = copy.deepcopy(pattern)
        service["name"] = f"service-{n}"
        service["rules"][0]["path"] = f"/service-{n}/"
        service["upstreams"] = [
            {
                "name": f"service-{n}-{i}",
                "data_centre": config["data_centres"][i % 4]["name"],
                "address": f"10.{n // 250}.{n % 250}.{i + 1}:9000",
            }
            for i in range(upstreams)
        ]
        config["services"].append(service)
    return config


class _Quiet(site.Site):
    """A site whose upstreams are only written down."""

    def _place_upstreams(self) -> None:
        """Keep the addresses of the configuration."""

    def _start_upstreams(self) -> None:
        """Start none."""

    def vms(self, leaving=frozenset()) -> list[dict]:
        """Return the balancers only."""
        return [vm for vm in super().vms(leaving) if vm["role"] == "balancer"]


def rss_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/status") as f:
        line = next(x for x in f if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def idle(s: site.Site) -> dict[str, float]:
    """Return processor share, memory and peer bytes of a balancer that serves nothing."""
    pid = s.process("vm-01").pid
    before = await row._counters(s)
    await asyncio.sleep(MEASURE_S)
    after = await row._counters(s)
    grown = {k: v - before["vm-01"].get(k, 0.0) for k, v in after["vm-01"].items()}
    peer = sum(v for k, v in grown.items() if k.startswith("waxwingspool_peer_bytes_total"))
    return {
        "cpu_percent": round(grown["cpu"] / MEASURE_S * 100, 2),
        "rss_mb": round(rss_mb(pid), 1),
        "peer_bytes_per_s": round(peer / MEASURE_S),
    }


async def upstreams(n: int) -> dict[str, float]:
    """Measure an idle balancer that knows ``n`` upstreams, ten for each service."""
    spec = site.Spec(large(n // 10, 10), balancers=2, settings={"measuring": False})
    async with _Quiet(spec) as s:
        started_at = time.monotonic()
        _, answer = await s.apply("vm-01")
        applied_s = time.monotonic() - started_at
        spread_s = await s.wait_version(answer["version"])
        await asyncio.sleep(1.0)
        found = await idle(s)
        return {**found, "apply_s": round(applied_s, 2), "spread_s": round(spread_s, 2)}


async def peers(n: int) -> dict[str, float]:
    """Measure an idle balancer with ``n`` balancers in all."""
    async with _Quiet(site.Spec(large(2, 4), balancers=n, settings={"measuring": False})) as s:
        await s.apply("vm-01")
        await s.wait_version(1)
        await asyncio.sleep(8.0)
        return await idle(s)


async def requests(rate: int) -> dict[str, float]:
    """Measure the processor time of a lookup at a rate."""
    spec = site.Spec(small.small(), balancers=1, behaviour={"tagcheck": {"work_ms": 5}})
    case = row.Case("slope", f"{rate}/s", spec, (("lookup", "/tagcheck/1", rate, 1, 0),), MEASURE_S)
    found = await row.run(case)
    return {
        "cpu_percent": round(found.cpu * 100, 1),
        "cpu_ms_per_request": round(found.cpu * 1000 / rate, 3),
        "p99_ms": round(found.p99, 1),
    }


async def changes(rate: float) -> dict[str, float]:
    """Measure a following balancer while one service of 740 changes ``rate`` times a second."""
    config = large(740, 10)
    spec = site.Spec(config, balancers=2, settings={"measuring": False})
    async with _Quiet(spec) as s:
        await s.apply("vm-01")
        await s.wait_version(1, timeout_s=90.0)
        await asyncio.sleep(1.0)
        pid = s.process("vm-02").pid
        cpu, started_at = row._cpu_s(pid), time.monotonic()
        sent = 0
        while sent < rate * 20:
            sent += 1
            config["services"][sent % 740]["rules"][0]["deadline_ms"] += 1
            _, answer = await s.apply("vm-01", config)
            await asyncio.sleep(max(0.0, started_at + sent / rate - time.monotonic()))
        spread_s = await s.wait_version(answer["version"], timeout_s=60.0)
        took_s = time.monotonic() - started_at
        return {
            "cpu_percent": round((row._cpu_s(pid) - cpu) / took_s * 100, 2),
            "cpu_ms_per_change": round((row._cpu_s(pid) - cpu) * 1000 / sent, 1),
            "last_spread_s": round(spread_s, 2),
        }


async def payments(rate: int, region: int = 1, grouped: bool = True) -> dict[str, float]:
    """Measure table writes and latency of payments at a rate."""
    config = small.small(upstreams=8)
    config["store"]["writes_per_s"] = 300 if grouped else 100_000
    spec = site.Spec(
        config,
        balancers=4,
        behaviour={"paytag": {"work_ms": 5}},
        delays={"inside_ms": 0.5, "across_ms": 30.0},
    )
    async with site.Site(spec) as s:
        await s.apply("vm-01")
        await s.wait_version(1)
        await asyncio.sleep(2.0)
        before = await s.ask(f"http://{s.platform}/control")
        stream = ("payment", "/paytag/pay", float(rate), region, 0)
        case = row.Case("slope", "payments", spec, (stream,), MEASURE_S, "payment")
        told = await row._load(case, s, MEASURE_S, 1)
        await asyncio.sleep(1.0)
        after = await s.ask(f"http://{s.platform}/control")
        verdict = callers.judge(told, s.ledger())
    times = sorted(t.latency_ms for t in told)
    commits = after["counts"]["commits"] - before["counts"]["commits"]
    return {
        "transactions_per_payment": round(commits / verdict.sent, 2),
        "transactions_per_s": round(commits / MEASURE_S, 1),
        "p50_ms": round(times[len(times) // 2], 1),
        "p99_ms": round(times[int(len(times) * 0.99)], 1),
        "wrong_doubled_lost": verdict.wrong + verdict.doubled + verdict.lost,
    }


async def added(deployment: str) -> dict[str, float]:
    """Measure what the balancer adds at low load against direct calls in the same run."""
    config = small.small(deployment)
    service = config["services"][0]
    path = service["rules"][0]["path"] + "1"
    spec = site.Spec(config, balancers=1, behaviour={service["name"]: {"work_ms": 0.01}})
    found: dict[str, list[float]] = {"direct": [], "balancer": []}
    async with site.Site(spec) as s:
        await s.apply("vm-01")
        await s.wait_version(1)
        await asyncio.sleep(1.0)
        upstream = s.upstreams[service["upstreams"][0]["name"]]
        for _ in range(4):
            for name, address in (("direct", upstream), ("balancer", s.ready()[0])):
                public = callers.Callers(lambda a=address: [a], 1)
                for n in range(600):
                    told = await public.lookup(path)
                    if n >= 100:
                        found[name].append(told.latency_ms)
                await public.close()

    def at(name: str, q: float) -> float:
        """Return a quantile."""
        times = sorted(found[name])
        return times[int(len(times) * q)]

    return {
        f"{name}_{label}_ms": round(at(name, q), 3)
        for name in found
        for label, q in (("p50", 0.5), ("p99", 0.99))
    } | {
        "added_p50_ms": round(at("balancer", 0.5) - at("direct", 0.5), 3),
        "added_p99_ms": round(at("balancer", 0.99) - at("direct", 0.99), 3),
    }


async def leaving(n: int) -> dict[str, float]:
    """Measure how long balancers go on sending to an upstream that drains; the VM list is mute."""
    spec = site.Spec(
        small.small(), balancers=n, behaviour={"tagcheck": {"work_ms": 5}}, list_lag_s=1000.0
    )
    async with site.Site(spec) as s:
        await s.apply("vm-01")
        await s.wait_version(1)
        await asyncio.sleep(3.0)
        public = callers.Callers(s.ready, 1)
        sender = asyncio.create_task(_lookups(public, MEASURE_S))
        await asyncio.sleep(2.0)
        await s.control_upstream("tagcheck-01", drain=True)
        started_at = time.monotonic()
        last, arrived = started_at, 0
        while time.monotonic() - started_at < 5.0:
            seen = (await s.upstream("tagcheck-01"))["while_leaving"]
            if seen > arrived:
                last, arrived = time.monotonic(), seen
            await asyncio.sleep(0.02)
        await sender
        await public.close()
    return {"requests_after_start": arrived, "last_after_s": round(last - started_at, 2)}


async def _lookups(public: callers.Callers, seconds: float) -> None:
    """Send a hundred lookups a second for some seconds."""
    tasks = []
    for _ in range(int(seconds * 100)):
        tasks.append(asyncio.create_task(public.lookup("/tagcheck/1")))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


SLOPES = {
    "added": (added, [("kwabena",), ("dalatech",)]),
    "upstreams": (upstreams, [(100,), (1000,), (3500,), (7100,)]),
    "peers": (peers, [(2,), (6,), (12,), (18,)]),
    "leaving": (leaving, [(4,), (12,), (18,)]),
    "requests": (requests, [(50,), (150,), (300,), (600,)]),
    "changes": (changes, [(0.25,), (0.5,), (1.0,)]),
    "payments": (
        payments,
        [(20,), (60,), (120,), (60, 2), (60, 1, False), (60, 2, False)],
    ),
}


def main(only: Annotated[str, typer.Option(help="slopes, separated by commas")] = "") -> None:
    """Measure the slopes and print a JSON line for each point."""
    for name, (measure, points) in SLOPES.items():
        if only and name not in only.split(","):
            continue
        for point in points:
            found = asyncio.run(measure(*point))
            print(json.dumps({"slope": name, "at": point, **found}), flush=True)


if __name__ == "__main__":
    typer.run(main)
