"""Measures how resource use grows with load and size, for docs/CAPACITY.md: ``make slopes``."""

import asyncio
import copy
import json
import time
from typing import Annotated, Any

import typer

from bench import row
from standins import callers, example_configurations, site

__all__ = ["SLOPES"]

# Duration of one measurement.
MEASURE_S = 8.0


def make_large_config(services: int, upstreams: int) -> dict[str, Any]:
    """Return a large configuration; nothing listens at the addresses of its upstreams.

    :param services: number of services.
    :param upstreams: number of upstreams of each service.
    """
    config = example_configurations.load_reduced(upstreams=1)
    template = config["services"][0]
    config["services"] = []
    for n in range(services):
        service = copy.deepcopy(template)
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


class _SiteWithoutUpstreams(site.Site):
    """A site that runs balancers only; the configured upstreams are not started."""

    def _assign_upstream_addresses(self) -> None:
        """Keep the upstream addresses as configured."""

    def _start_upstreams(self) -> None:
        """Start no upstream processes."""

    def vm_list(self, leaving=frozenset()) -> list[dict]:
        """Return the VM list without upstreams."""
        return [vm for vm in super().vm_list(leaving) if vm["role"] == "balancer"]


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/status") as f:
        line = next(x for x in f if x.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


async def measure_idle(running_site: site.Site) -> dict[str, float]:
    """Measure processor share, memory and peer traffic of balancer ``vm-01`` without requests."""
    pid = running_site.process("vm-01").pid
    before = await row.read_counters(running_site)
    await asyncio.sleep(MEASURE_S)
    after = await row.read_counters(running_site)
    increases = {k: v - before["vm-01"].get(k, 0.0) for k, v in after["vm-01"].items()}
    peer_bytes = sum(
        v for k, v in increases.items() if k.startswith("waxwingspool_peer_bytes_total")
    )
    return {
        "cpu_percent": round(increases["cpu"] / MEASURE_S * 100, 2),
        "rss_mb": round(read_rss_mb(pid), 1),
        "peer_bytes_per_s": round(peer_bytes / MEASURE_S),
    }


async def measure_upstreams(upstream_count: int) -> dict[str, float]:
    """Measure an idle balancer with ``upstream_count`` upstreams configured, ten per service.

    :returns: the figures of :func:`measure_idle`, the duration of the apply request, and the time
        from its response until the configuration is in force on all balancers.
    """
    spec = site.Spec(
        make_large_config(upstream_count // 10, 10), balancers=2, settings={"measuring": False}
    )
    async with _SiteWithoutUpstreams(spec) as running_site:
        started_at = time.monotonic()
        _, body = await running_site.apply("vm-01")
        apply_s = time.monotonic() - started_at
        spread_s = await running_site.wait_version(body["version"])
        await asyncio.sleep(1.0)
        idle = await measure_idle(running_site)
        return {**idle, "apply_s": round(apply_s, 2), "spread_s": round(spread_s, 2)}


async def measure_peers(balancer_count: int) -> dict[str, float]:
    """Measure an idle balancer in a deployment of ``balancer_count`` balancers."""
    async with _SiteWithoutUpstreams(
        site.Spec(make_large_config(2, 4), balancers=balancer_count, settings={"measuring": False})
    ) as running_site:
        await running_site.apply("vm-01")
        await running_site.wait_version(1)
        await asyncio.sleep(8.0)
        return await measure_idle(running_site)


async def measure_requests(rate: int) -> dict[str, float]:
    """Measure processor time per lookup and p99 latency at ``rate`` lookups per second."""
    spec = site.Spec(
        example_configurations.load_reduced(), balancers=1, behaviour={"tagcheck": {"work_ms": 5}}
    )
    case = row.Case("slope", f"{rate}/s", spec, (("lookup", "/tagcheck/1", rate, 1, 0),), MEASURE_S)
    measured = await row.run(case)
    return {
        "cpu_percent": round(measured.cpu * 100, 1),
        "cpu_ms_per_request": round(measured.cpu * 1000 / rate, 3),
        "p99_ms": round(measured.p99, 1),
    }


async def measure_changes(rate: float) -> dict[str, float]:
    """Measure the cost of configuration changes on a balancer other than the one that accepts them.

    :param rate: changes per second, each to one of 740 services.
    """
    config = make_large_config(740, 10)
    spec = site.Spec(config, balancers=2, settings={"measuring": False})
    async with _SiteWithoutUpstreams(spec) as running_site:
        await running_site.apply("vm-01")
        await running_site.wait_version(1, timeout_s=90.0)
        await asyncio.sleep(1.0)
        pid = running_site.process("vm-02").pid
        cpu_before_s, started_at = row.read_cpu_s(pid), time.monotonic()
        sent = 0
        while sent < rate * 20:
            sent += 1
            config["services"][sent % 740]["rules"][0]["deadline_ms"] += 1
            _, body = await running_site.apply("vm-01", config)
            await asyncio.sleep(max(0.0, started_at + sent / rate - time.monotonic()))
        spread_s = await running_site.wait_version(body["version"], timeout_s=60.0)
        elapsed_s = time.monotonic() - started_at
        return {
            "cpu_percent": round((row.read_cpu_s(pid) - cpu_before_s) / elapsed_s * 100, 2),
            "cpu_ms_per_change": round((row.read_cpu_s(pid) - cpu_before_s) * 1000 / sent, 1),
            "last_spread_s": round(spread_s, 2),
        }


async def measure_payments(
    rate: int, region: int = 1, limit_writes: bool = True
) -> dict[str, float]:
    """Measure table transactions and latency of payments.

    :param rate: payments per second.
    :param region: number of the region that payments are sent to.
    :param limit_writes: whether the store's configured limit is 300 transactions per second, so
        that balancers group writes; otherwise the limit is too high to matter.
    """
    config = example_configurations.load_reduced(upstreams=8)
    config["store"]["writes_per_s"] = 300 if limit_writes else 100_000
    spec = site.Spec(
        config,
        balancers=4,
        behaviour={"paytag": {"work_ms": 5}},
        delays={"inside_ms": 0.5, "across_ms": 30.0},
    )
    async with site.Site(spec) as running_site:
        await running_site.apply("vm-01")
        await running_site.wait_version(1)
        await asyncio.sleep(2.0)
        before = await running_site.get_json(f"http://{running_site.platform_address}/control")
        stream = ("payment", "/paytag/pay", float(rate), region, 0)
        case = row.Case("slope", "payments", spec, (stream,), MEASURE_S, "payment")
        results = await row.generate_load(case, running_site, MEASURE_S, 1)
        await asyncio.sleep(1.0)
        after = await running_site.get_json(f"http://{running_site.platform_address}/control")
        counts = callers.compare_with_ledger(results, running_site.ledger())
    latencies_ms = sorted(result.latency_ms for result in results)
    commits = after["counts"]["commits"] - before["counts"]["commits"]
    return {
        "transactions_per_payment": round(commits / counts.sent, 2),
        "transactions_per_s": round(commits / MEASURE_S, 1),
        "p50_ms": round(latencies_ms[len(latencies_ms) // 2], 1),
        "p99_ms": round(latencies_ms[int(len(latencies_ms) * 0.99)], 1),
        "wrong_doubled_lost": counts.wrong + counts.doubled + counts.lost,
    }


async def measure_added_latency(deployment_name: str) -> dict[str, float]:
    """Measure the latency that a balancer adds at low load to direct calls of the same run."""
    config = example_configurations.load_reduced(deployment_name)
    service = config["services"][0]
    path = service["rules"][0]["path"] + "1"
    spec = site.Spec(config, balancers=1, behaviour={service["name"]: {"work_ms": 0.01}})
    latencies_ms: dict[str, list[float]] = {"direct": [], "balancer": []}
    async with site.Site(spec) as running_site:
        await running_site.apply("vm-01")
        await running_site.wait_version(1)
        await asyncio.sleep(1.0)
        upstream = running_site.upstreams[service["upstreams"][0]["name"]]
        for _ in range(4):
            for name, address in (
                ("direct", upstream),
                ("balancer", running_site.ready_addresses()[0]),
            ):
                client = callers.Callers(lambda a=address: [a], 1)
                for n in range(600):
                    result = await client.lookup(path)
                    if n >= 100:
                        latencies_ms[name].append(result.latency_ms)
                await client.close()

    def quantile(name: str, share: float) -> float:
        """Return a quantile of the latencies measured by ``direct`` or ``balancer`` calls."""
        ordered_ms = sorted(latencies_ms[name])
        return ordered_ms[int(len(ordered_ms) * share)]

    return {
        f"{name}_{label}_ms": round(quantile(name, share), 3)
        for name in latencies_ms
        for label, share in (("p50", 0.5), ("p99", 0.99))
    } | {
        "added_p50_ms": round(quantile("balancer", 0.5) - quantile("direct", 0.5), 3),
        "added_p99_ms": round(quantile("balancer", 0.99) - quantile("direct", 0.99), 3),
    }


async def measure_drain(balancer_count: int) -> dict[str, float]:
    """Measure how long balancers keep sending to a draining upstream.

    The VM list lags by 1000 s, so that balancers cannot learn of the drain from it.
    """
    spec = site.Spec(
        example_configurations.load_reduced(),
        balancers=balancer_count,
        behaviour={"tagcheck": {"work_ms": 5}},
        list_lag_s=1000.0,
    )
    async with site.Site(spec) as running_site:
        await running_site.apply("vm-01")
        await running_site.wait_version(1)
        await asyncio.sleep(3.0)
        client = callers.Callers(running_site.ready_addresses, 1)
        sender = asyncio.create_task(_send_lookups(client, MEASURE_S))
        await asyncio.sleep(2.0)
        await running_site.update_upstream("tagcheck-01", drain=True)
        started_at = time.monotonic()
        last_arrival_at, received = started_at, 0
        while time.monotonic() - started_at < 5.0:
            latest = (await running_site.get_upstream_counters("tagcheck-01"))["while_leaving"]
            if latest > received:
                last_arrival_at, received = time.monotonic(), latest
            await asyncio.sleep(0.02)
        await sender
        await client.close()
    return {
        "requests_after_start": received,
        "last_after_s": round(last_arrival_at - started_at, 2),
    }


async def _send_lookups(client: callers.Callers, seconds: float) -> None:
    """Send about 100 lookups per second for ``seconds``."""
    tasks = []
    for _ in range(int(seconds * 100)):
        tasks.append(asyncio.create_task(client.lookup("/tagcheck/1")))
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)


# Measurement and the arguments of each point to measure, by name of the slope.
SLOPES = {
    "added": (measure_added_latency, [("kwabena",), ("dalatech",)]),
    "upstreams": (measure_upstreams, [(100,), (1000,), (3500,), (7100,)]),
    "peers": (measure_peers, [(2,), (6,), (12,), (18,)]),
    "leaving": (measure_drain, [(4,), (12,), (18,)]),
    "requests": (measure_requests, [(50,), (150,), (300,), (600,)]),
    "changes": (measure_changes, [(0.25,), (0.5,), (1.0,)]),
    "payments": (
        measure_payments,
        [(20,), (60,), (120,), (60, 2), (60, 1, False), (60, 2, False)],
    ),
}


def main(only: Annotated[str, typer.Option(help="slopes, separated by commas")] = "") -> None:
    """Run the measurements and print one JSON line for each point."""
    for name, (measure, points) in SLOPES.items():
        if only and name not in only.split(","):
            continue
        for point in points:
            figures = asyncio.run(measure(*point))
            print(json.dumps({"slope": name, "at": point, **figures}), flush=True)


if __name__ == "__main__":
    typer.run(main)
