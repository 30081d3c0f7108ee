"""The scenarios of the bench."""

import asyncio
import copy
import signal
from collections.abc import Iterator
from typing import Any

from bench import row
from standins import site, small

__all__ = ["BASELINES", "EARLIER", "POLICIES", "SCENARIOS", "deployment"]

# Balancers and upstreams of one row, scaled to the machine.
BALANCERS = 4
UPSTREAMS = 6
SLOTS = 4
# Mean time of work in milliseconds, and the capacity in requests a second that follows from it.
WORK_MS = 12.0
CAPACITY = UPSTREAMS * SLOTS * 1000 / WORK_MS
# Sudden slowness: factor, length and distance of the slow periods of each upstream.
SLOW = {"slow_factor": 5.0, "slow_for_ms": 60.0, "slow_every_ms": 600.0}
# Upload size in bytes.
UPLOAD_BYTES = 200_000

# Variants: settings of the balancers and whether rules hedge and retry.
POLICIES: dict[str, tuple[dict[str, Any], bool]] = {
    "product": ({}, True),
    "product, budget 0": ({"measuring": False}, True),
    "random": ({"policy": "random", "measuring": False}, False),
    "round-robin": ({"policy": "round-robin", "measuring": False}, False),
    "two-choices": ({"policy": "two-choices", "measuring": False}, False),
    "least-in-flight": ({"policy": "least-in-flight", "measuring": False}, False),
}

# Variants that are measured side by side.
BASELINES = tuple(POLICIES)
# Name of the row for another version of the product, and the folder that its code lies in.
EARLIER = "other version"
POLICIES[EARLIER] = ({}, True)
earlier_code = site.ROOT


def deployment(name: str, hedged: bool, regions: int = 1) -> dict[str, Any]:
    """Return an example configuration scaled to one row.

    :param name: ``kwabena`` or ``dalatech``.
    :param hedged: whether rules hedge and retry.
    :param regions: 1 to move every upstream and balancer into the first region.
    """
    config = copy.deepcopy(small.small(name, UPSTREAMS))
    config["measuring"]["balancers"] = BALANCERS
    if regions == 1:
        centres = [c["name"] for c in config["data_centres"]][:2]
        config["data_centres"] = config["data_centres"][:2]
        for service in config["services"]:
            for n, u in enumerate(service["upstreams"]):
                u["data_centre"] = centres[n % 2]
    for service in config["services"]:
        for rule in service["rules"]:
            if not hedged:
                rule["hedge_share"] = 0.0
                rule["retries"] = 0
    return config


def spec(
    name: str, policy: str, behaviour: dict[str, Any] | None = None, regions: int = 1
) -> site.Spec:
    """Return what to start for a policy."""
    settings, hedged = POLICIES[policy]
    config = deployment(name, hedged, regions)
    lookups = config["services"][0]["name"]
    work = {"work_ms": WORK_MS, **(behaviour or {})}
    inside_ms = {"kwabena": 0.5, "dalatech": 1.5}[name]
    return site.Spec(
        config,
        balancers=BALANCERS,
        behaviour={s["name"]: work if s["name"] == lookups else {} for s in config["services"]},
        settings=settings,
        delays={"inside_ms": inside_ms, "across_ms": 30.0},
        code=earlier_code if policy == EARLIER else site.ROOT,
    )


def lookups(name: str, load: float, region: int = 1) -> tuple[str, str, float, int, int]:
    """Return a stream of lookups at a share of the capacity."""
    path = {"kwabena": "/tagcheck/1", "dalatech": "/balance-desk/1"}[name]
    return ("lookup", path, load * CAPACITY, region, 0)


def calm(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield a moderate load with nothing wrong."""
    for policy in policies:
        yield row.Case("calm 60%", policy, spec(name, policy), (lookups(name, 0.6),), seconds)


def slowness(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield sudden slowness of each upstream, over and over."""
    for load in (0.6, 0.8):
        for policy in policies:
            yield row.Case(
                f"slowness {load:.0%}",
                policy,
                spec(name, policy, SLOW),
                (lookups(name, load),),
                seconds,
                capacity=CAPACITY,
            )


def failing(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield an upstream that starts to fail fast."""

    async def events(s: site.Site) -> None:
        await s.control_upstream(next(iter(s.upstreams)), fail=True)

    for policy in policies:
        load = (lookups(name, 0.5),)
        yield row.Case("fail-fast", policy, spec(name, policy), load, seconds, events=events)


def draining(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield upstreams that drain one after another and come back cold."""

    async def events(s: site.Site) -> None:
        for u in list(s.upstreams)[:3]:
            await s.control_upstream(u, drain=True)
            await asyncio.sleep(seconds / 5)
            await s.control_upstream(u, drain=False, restart=True, cold_s=2.0)

    for policy in policies:
        load = (lookups(name, 0.5),)
        yield row.Case("rolling drain", policy, spec(name, policy), load, seconds, events=events)


def overload(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield 1.3 times the capacity."""
    for policy in policies:
        load = (lookups(name, 1.3),)
        case = row.Case("overload 1.3", policy, spec(name, policy), load, seconds)
        yield row.dataclasses.replace(case, capacity=CAPACITY)


def outage(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield lookups while the table is down."""

    async def events(s: site.Site) -> None:
        await s.control_platform(down=True)
        await asyncio.sleep(seconds * 0.8)
        await s.control_platform(down=False)

    for policy in policies:
        load = (lookups(name, 0.6),)
        yield row.Case("table outage", policy, spec(name, policy), load, seconds, events=events)


def uploads(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield uploads from a region without upload targets, so that they fill the link."""
    service = {"kwabena": "roundphoto", "dalatech": "doc-intake"}[name]
    for policy in policies:
        s = spec(name, policy, regions=2)
        first = s.config["data_centres"][0]["name"]
        for found in s.config["services"]:
            if found["name"] == service:
                for u in found["upstreams"]:
                    u["data_centre"] = first
        streams = (
            lookups(name, 0.2, region=1),
            lookups(name, 0.2, region=2),
            ("upload", f"/{service}/batch", 22.0, 2, UPLOAD_BYTES),
        )
        yield row.Case("uploads fill the link", policy, s, streams, seconds)


def kill(name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield payments and lookups while a balancer is killed."""

    async def events(s: site.Site) -> None:
        await asyncio.sleep(seconds / 3)
        s.kill("vm-02", signal.SIGKILL)

    path = {"kwabena": "/paytag/pay", "dalatech": "/toll-till/post"}[name]
    for policy in policies:
        streams = (lookups(name, 0.3), ("payment", path, 40.0, 1, 0))
        yield row.Case("balancer killed", policy, spec(name, policy), streams, seconds, "payment")


SCENARIOS = {
    "calm": calm,
    "slowness": slowness,
    "failing": failing,
    "draining": draining,
    "overload": overload,
    "outage": outage,
    "uploads": uploads,
    "kill": kill,
}
