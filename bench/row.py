"""Runs a benchmark case: starts its processes, applies a load and records the figures in a row."""

import asyncio
import dataclasses
import json
import os
import pathlib
import pickle
import re
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from typing import Any

import hdrh.histogram

from standins import callers, site

__all__ = ["Case", "Row", "generate_load", "read_counters", "read_cpu_s", "run"]

# Load before the measured period, so that concurrency limits and histograms reach a steady state.
WARM_UP_S = 3.0
# Number of load generator processes; each sends an equal share of every stream.
SENDER_PROCESSES = 2

Events = Callable[[site.Site], Awaitable[None]]


async def no_events(running_site: site.Site) -> None:
    """Inject no faults while the load runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Input of one benchmark row.

    :ivar name: policy that is measured; in :mod:`.slopes`, the load.
    :ivar spec: processes to start.
    :ivar streams: kind, path, requests per second, region number and upload size of each stream.
    :ivar seconds: length of the measured period.
    :ivar measured: kind of request whose latencies the row reports.
    :ivar capacity: requests per second that the upstreams of the measured kind can serve.
    :ivar events: coroutine function that injects faults while the load runs.
    """

    scenario: str
    name: str
    spec: site.Spec
    streams: tuple[tuple[str, str, float, int, int], ...]
    seconds: float
    measured: str = "lookup"
    capacity: float = 0.0
    events: Events = no_events
    seed: int = 1


@dataclasses.dataclass(slots=True)
class Row:
    """Figures of one benchmark case; latencies are in milliseconds.

    ``goodput``, the latencies, ``refused`` and ``errors`` cover only the measured kind of request.

    :ivar name: policy that was measured.
    :ivar goodput: upstream responses per second with a status below 500.
    :ivar refused: share of sends, callers' retries included, whose outcome was *not run*.
    :ivar errors: share of sends answered with status 500 or above.
    :ivar wrong: responses that were truncated or belonged to another request, and sends reported as
        *not run* that ran.
    :ivar doubled: idempotency keys that ran more than once.
    :ivar lost: sends answered with status 200 although no upstream ran them or their key.
    :ivar extra: balancers' hedges and retries divided by the number of sends of all kinds.
    :ivar work_ms: work time of all upstreams divided by the number of responses in ``goodput``.
    :ivar region_bytes: probe bytes per second inside regions, summed over all balancers.
    :ivar cross_bytes: probe bytes per second between regions, summed over all balancers.
    :ivar probe_work_ms: upstream work spent on probes, in milliseconds per second.
    :ivar peer_bytes: bytes per second to and from peers, summed over all balancers.
    :ivar link_bytes: bytes per second that upstreams exchange with another region.
    :ivar cpu: processor time of the busiest balancer, as a share of one core.
    """

    scenario: str
    name: str
    goodput: float = 0.0
    p50: float = 0.0
    p99: float = 0.0
    p999: float = 0.0
    refused: float = 0.0
    errors: float = 0.0
    wrong: int = 0
    doubled: int = 0
    lost: int = 0
    extra: float = 0.0
    work_ms: float = 0.0
    region_bytes: float = 0.0
    cross_bytes: float = 0.0
    probe_work_ms: float = 0.0
    peer_bytes: float = 0.0
    link_bytes: float = 0.0
    cpu: float = 0.0
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)


async def run(case: Case) -> Row:
    """Start the case's site, warm it up, apply the load and return the row."""
    row = Row(case.scenario, case.name)
    async with site.Site(case.spec) as running_site:
        status, body = await running_site.apply("vm-01")
        if status != 200:
            raise RuntimeError(f"configuration refused: {body}")
        await running_site.wait_version(body["version"])
        await asyncio.sleep(1.0)
        await generate_load(case, running_site, WARM_UP_S, case.seed + 1)
        before = await read_counters(running_site)
        events_task = asyncio.create_task(case.events(running_site))
        results = await generate_load(case, running_site, case.seconds, case.seed)
        await events_task
        after = await read_counters(running_site)
        _record_results(row, case, results, running_site.ledger())
        _record_costs(row, case, before, after, len(results))
    return row


async def generate_load(
    case: Case, running_site: site.Site, seconds: float, seed: int
) -> list[callers.SendResult]:
    """Run the case's streams in separate processes and return the result of each send."""
    with tempfile.TemporaryDirectory() as folder:
        senders = []
        for n in range(SENDER_PROCESSES):
            path = pathlib.Path(folder) / f"{n}.json"
            streams = [_sender_stream(case, running_site, stream) for stream in case.streams]
            document = {"streams": streams, "seconds": seconds, "seed": seed * 10 + n}
            path.write_text(json.dumps(document))
            command = [sys.executable, "-m", "bench.load", str(path)]
            senders.append((subprocess.Popen(command, cwd=site.ROOT), path))
        results = []
        for process, path in senders:
            await asyncio.to_thread(process.wait)
            results += pickle.loads(pathlib.Path(f"{path}.out").read_bytes())
        return results


def _sender_stream(case: Case, running_site: site.Site, stream: tuple) -> dict:
    """Return one process's share of a stream, sent to the balancers in rotation of its region."""
    kind, path, rate, region, size = stream
    addresses = [a for a in running_site.ready_addresses() if a.startswith(f"127.{region}.")]
    return {
        "kind": kind,
        "path": path,
        "rate": rate / SENDER_PROCESSES,
        "addresses": addresses,
        "ip": f"127.{region}.9.9",
        "size": size,
    }


async def read_counters(running_site: site.Site) -> dict[str, dict[str, float]]:
    """Return the counters of each upstream and of each balancer whose metrics can be read."""
    counters_by_name = {}
    for name in running_site.balancers:
        try:
            async with running_site.session.get(
                f"http://{running_site.operator_address(name)}/metrics"
            ) as response:
                text = await response.text()
        except OSError:
            continue
        counters = {}
        for line in text.splitlines():
            match = re.match(r"(waxwingspool_\S+?)(?:\{(.*)\})? (\S+)$", line)
            if match:
                counters[f"{match[1]} {match[2] or ''}".strip()] = float(match[3])
        counters["cpu"] = read_cpu_s(running_site.process(name).pid)
        counters_by_name[name] = counters
    for name in running_site.upstreams:
        counters_by_name[name] = await running_site.get_upstream_counters(name)
    return counters_by_name


def read_cpu_s(pid: int) -> float:
    """Return the user and system processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _record_results(
    row: Row, case: Case, results: list[callers.SendResult], ledger: list[dict]
) -> None:
    """Record goodput, latencies, error shares and counts of wrong, doubled and lost in a row."""
    counts = callers.compare_with_ledger(results, ledger)
    row.wrong, row.doubled, row.lost = counts.wrong, counts.doubled, counts.lost
    measured = [result for result in results if result.kind == case.measured]
    successful = [
        result for result in measured if result.outcome == "answer" and result.status < 500
    ]
    histogram = hdrh.histogram.HdrHistogram(1, 120_000_000, 3)
    for result in successful:
        histogram.record_value(max(1, int(result.latency_ms * 1000)))
    row.goodput = len(successful) / case.seconds
    row.p50, row.p99, row.p999 = (
        histogram.get_value_at_percentile(q) / 1000 for q in (50.0, 99.0, 99.9)
    )
    row.refused = sum(result.outcome == "not-run" for result in measured) / max(1, len(measured))
    row.errors = sum(
        result.status >= 500 and result.outcome == "answer" for result in measured
    ) / max(1, len(measured))


def _record_costs(row: Row, case: Case, before: dict, after: dict, sent: int) -> None:
    """Record the costs per request or per second from the counters before and after the load."""

    def increase(prefix: str, *parts: str) -> float:
        """Return the total increase of the counters whose key has the prefix and every part."""
        total = 0.0
        for name, counters in after.items():
            for key, value in counters.items():
                if key.startswith(prefix) and all(p in key for p in parts):
                    total += value - before.get(name, {}).get(key, 0.0)
        return total

    row.extra = increase("waxwingspool_extra_attempts_total") / max(1, sent)
    seconds = case.seconds
    row.work_ms = increase("work_ms") / max(1.0, row.goodput * seconds)
    row.region_bytes = increase("waxwingspool_measuring_bytes_total", "region") / seconds
    row.cross_bytes = increase("waxwingspool_measuring_bytes_total", "cross") / seconds
    row.probe_work_ms = increase("waxwingspool_measuring_work_ms_total") / seconds
    row.peer_bytes = increase("waxwingspool_peer_bytes_total") / seconds
    row.link_bytes = increase("crossed_bytes") / seconds
    cpu_shares = [
        (c["cpu"] - before[n]["cpu"]) / seconds
        for n, c in after.items()
        if "cpu" in c and n in before
    ]
    row.cpu = max(cpu_shares, default=0.0)
