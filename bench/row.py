"""One row of the bench: a site, a load, and what came of it."""

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

__all__ = ["Case", "Row", "run"]

# Seconds of load before the measured time, in which limits and histograms settle.
WARM_S = 3.0
# Processes that send requests.
SENDERS = 2

Events = Callable[[site.Site], Awaitable[None]]


async def no_events(s: site.Site) -> None:
    """Do nothing while the load runs."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What a row measures.

    :ivar streams: kind, path, rate a second, region number and upload size of each stream.
    :ivar capacity: requests a second that the upstreams of the measured kind can work on.
    :ivar measured: kind of request whose latencies the row reports.
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
    """What came of a case; latencies in milliseconds, rates a second.

    :ivar refused: share of sends that were told *not run*.
    :ivar errors: share of answers with status 500 or above.
    :ivar extra: hedges and retries as a share of requests.
    :ivar work_ms: time in upstreams' slots for each measured request that was answered.
    :ivar region_bytes: measuring bytes a second inside regions, over all balancers.
    :ivar cpu: processor share of the busiest balancer.
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
    """Run a case and return its row."""
    row = Row(case.scenario, case.name)
    async with site.Site(case.spec) as s:
        status, answer = await s.apply("vm-01")
        if status != 200:
            raise RuntimeError(f"configuration refused: {answer}")
        await s.wait_version(answer["version"])
        await asyncio.sleep(1.0)
        await _load(case, s, WARM_S, case.seed + 1)
        before = await _counters(s)
        events = asyncio.create_task(case.events(s))
        told = await _load(case, s, case.seconds, case.seed)
        await events
        after = await _counters(s)
        _fill(row, case, told, s.ledger())
        _fill_costs(row, case, before, after, len(told))
    return row


async def _load(case: Case, s: site.Site, seconds: float, seed: int) -> list[callers.Told]:
    """Run the load in processes of its own and return what callers were told."""
    with tempfile.TemporaryDirectory() as folder:
        jobs = []
        for n in range(SENDERS):
            path = pathlib.Path(folder) / f"{n}.json"
            streams = [_stream(case, s, stream) for stream in case.streams]
            document = {"streams": streams, "seconds": seconds, "seed": seed * 10 + n}
            path.write_text(json.dumps(document))
            command = [sys.executable, "-m", "bench.load", str(path)]
            jobs.append((subprocess.Popen(command, cwd=site.ROOT), path))
        told = []
        for process, path in jobs:
            await asyncio.to_thread(process.wait)
            told += pickle.loads(pathlib.Path(f"{path}.out").read_bytes())
        return told


def _stream(case: Case, s: site.Site, stream: tuple) -> dict:
    """Return one sender's part of a stream, towards the balancers of its region."""
    kind, path, rate, region, size = stream
    ready = [a for a in s.ready() if a.startswith(f"127.{region}.")]
    return {
        "kind": kind,
        "path": path,
        "rate": rate / SENDERS,
        "addresses": ready,
        "ip": f"127.{region}.9.9",
        "size": size,
    }


async def _counters(s: site.Site) -> dict[str, dict[str, float]]:
    """Return counters of every balancer and upstream that answers."""
    found = {}
    for name in s.balancers:
        try:
            async with s.session.get(f"http://{s.operator(name)}/metrics") as answer:
                text = await answer.text()
        except OSError:
            continue
        counters = {}
        for line in text.splitlines():
            match = re.match(r"(waxwingspool_\S+?)(?:\{(.*)\})? (\S+)$", line)
            if match:
                counters[f"{match[1]} {match[2] or ''}".strip()] = float(match[3])
        counters["cpu"] = _cpu_s(s.process(name).pid)
        found[name] = counters
    for name in s.upstreams:
        found[name] = await s.upstream(name)
    return found


def _cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _fill(row: Row, case: Case, told: list[callers.Told], ledger: list[dict]) -> None:
    """Fill in what callers were told."""
    verdict = callers.judge(told, ledger)
    row.wrong, row.doubled, row.lost = verdict.wrong, verdict.doubled, verdict.lost
    mine = [t for t in told if t.kind == case.measured]
    good = [t for t in mine if t.outcome == "answer" and t.status < 500]
    histogram = hdrh.histogram.HdrHistogram(1, 120_000_000, 3)
    for t in good:
        histogram.record_value(max(1, int(t.latency_ms * 1000)))
    row.goodput = len(good) / case.seconds
    row.p50, row.p99, row.p999 = (
        histogram.get_value_at_percentile(q) / 1000 for q in (50.0, 99.0, 99.9)
    )
    row.refused = sum(t.outcome == "not-run" for t in mine) / max(1, len(mine))
    row.errors = sum(t.status >= 500 and t.outcome == "answer" for t in mine) / max(1, len(mine))


def _fill_costs(row: Row, case: Case, before: dict, after: dict, sent: int) -> None:
    """Fill in what it cost, from counters before and after."""

    def grown(start: str, *parts: str) -> float:
        """Return by how much all counters with a name have grown."""
        total = 0.0
        for name, counters in after.items():
            for key, value in counters.items():
                if key.startswith(start) and all(p in key for p in parts):
                    total += value - before.get(name, {}).get(key, 0.0)
        return total

    row.extra = grown("waxwingspool_extra_attempts_total") / max(1, sent)
    seconds = case.seconds
    row.work_ms = grown("work_ms") / max(1.0, row.goodput * seconds)
    row.region_bytes = grown("waxwingspool_measuring_bytes_total", "region") / seconds
    row.cross_bytes = grown("waxwingspool_measuring_bytes_total", "cross") / seconds
    row.probe_work_ms = grown("waxwingspool_measuring_work_ms_total") / seconds
    row.peer_bytes = grown("waxwingspool_peer_bytes_total") / seconds
    row.link_bytes = grown("crossed_bytes") / seconds
    busy = [
        (c["cpu"] - before[n]["cpu"]) / seconds
        for n, c in after.items()
        if "cpu" in c and n in before
    ]
    row.cpu = max(busy, default=0.0)
