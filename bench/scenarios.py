"""Benchmark scenarios: the deployment, load and faults of each."""

import asyncio
import copy
import signal
from collections.abc import Iterator
from typing import Any

from bench import row
from standins import example_configurations, site

__all__ = ["BASELINES", "OTHER_VERSION", "POLICIES", "SCENARIOS", "scaled_config"]

# Balancers, upstreams of each service and slots of each upstream in each row, sized for the machine
# that runs them. The slots are those that the example configurations set.
BALANCERS = 4
UPSTREAMS = 6
SLOTS = 4
# Mean service time of a lookup in milliseconds, and the resulting capacity in requests per second.
WORK_MS = 12.0
CAPACITY = UPSTREAMS * SLOTS * 1000 / WORK_MS
# Transient slowdown of each upstream: factor, duration and interval of the slow periods.
SLOW_PERIODS = {"slow_factor": 5.0, "slow_for_ms": 60.0, "slow_every_ms": 600.0}
UPLOAD_BYTES = 200_000

# For each policy: balancer settings that it overrides, and whether its rules hedge and retry.
# ``product`` is the balancer with its default settings; with budget 0 it sends no probes.
POLICIES: dict[str, tuple[dict[str, Any], bool]] = {
    "product": ({}, True),
    "product, budget 0": ({"measuring": False}, True),
    "random": ({"policy": "random", "measuring": False}, False),
    "round-robin": ({"policy": "round-robin", "measuring": False}, False),
    "two-choices": ({"policy": "two-choices", "measuring": False}, False),
    "least-in-flight": ({"policy": "least-in-flight", "measuring": False}, False),
}

# Policies that are compared within a scenario; the option --code adds the other version.
BASELINES = tuple(POLICIES)
# Policy that runs another version of the balancer, and the folder of its code, set from --code.
OTHER_VERSION = "other version"
POLICIES[OTHER_VERSION] = ({}, True)
other_version_root = site.ROOT


def scaled_config(deployment_name: str, hedge_and_retry: bool, regions: int = 1) -> dict[str, Any]:
    """Return an example configuration reduced to ``UPSTREAMS`` upstreams of each service.

    :param deployment_name: ``kwabena`` or ``dalatech``.
    :param hedge_and_retry: whether rules hedge and retry.
    :param regions: 1 to place every upstream and balancer in the first region, 2 to keep both.
    """
    config = copy.deepcopy(example_configurations.load_reduced(deployment_name, UPSTREAMS))
    config["measuring"]["balancers"] = BALANCERS
    if regions == 1:
        data_centre_names = [c["name"] for c in config["data_centres"]][:2]
        config["data_centres"] = config["data_centres"][:2]
        for service in config["services"]:
            for n, upstream in enumerate(service["upstreams"]):
                upstream["data_centre"] = data_centre_names[n % 2]
    for service in config["services"]:
        for rule in service["rules"]:
            if not hedge_and_retry:
                rule["hedge_share"] = 0.0
                rule["retries"] = 0
    return config


def make_spec(
    deployment_name: str, policy: str, behaviour: dict[str, Any] | None = None, regions: int = 1
) -> site.Spec:
    """Return the site to start for a deployment and a policy.

    :param behaviour: behaviour of upstreams that serve lookups, in addition to their service time.
    :param regions: as in :func:`scaled_config`.
    """
    settings, hedge_and_retry = POLICIES[policy]
    config = scaled_config(deployment_name, hedge_and_retry, regions)
    lookup_service = config["services"][0]["name"]
    work = {"work_ms": WORK_MS, **(behaviour or {})}
    inside_ms = {"kwabena": 0.5, "dalatech": 1.5}[deployment_name]
    return site.Spec(
        config,
        balancers=BALANCERS,
        behaviour={
            s["name"]: work if s["name"] == lookup_service else {} for s in config["services"]
        },
        settings=settings,
        delays={"inside_ms": inside_ms, "across_ms": 30.0},
        source_root=other_version_root if policy == OTHER_VERSION else site.ROOT,
    )


def lookup_stream(
    deployment_name: str, load: float, region: int = 1
) -> tuple[str, str, float, int, int]:
    """Return a stream of lookups, as in :class:`.row.Case`.

    :param load: request rate as a share of the capacity.
    """
    path = {"kwabena": "/tagcheck/1", "dalatech": "/balance-desk/1"}[deployment_name]
    return ("lookup", path, load * CAPACITY, region, 0)


def calm(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases with a moderate load and no faults."""
    for policy in policies:
        yield row.Case(
            "calm 60%",
            policy,
            make_spec(deployment_name, policy),
            (lookup_stream(deployment_name, 0.6),),
            seconds,
        )


def slowness(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases in which each upstream slows down repeatedly for short periods."""
    for load in (0.6, 0.8):
        for policy in policies:
            yield row.Case(
                f"slowness {load:.0%}",
                policy,
                make_spec(deployment_name, policy, SLOW_PERIODS),
                (lookup_stream(deployment_name, load),),
                seconds,
                capacity=CAPACITY,
            )


def failing(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases in which one upstream responds with status 500 at once and runs no requests."""

    async def events(running_site: site.Site) -> None:
        await running_site.update_upstream(next(iter(running_site.upstreams)), fail=True)

    for policy in policies:
        streams = (lookup_stream(deployment_name, 0.5),)
        yield row.Case(
            "fail-fast", policy, make_spec(deployment_name, policy), streams, seconds, events=events
        )


def draining(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases in which three upstreams drain and restart in turn, slow for 2 s after."""

    async def events(running_site: site.Site) -> None:
        for upstream in list(running_site.upstreams)[:3]:
            await running_site.update_upstream(upstream, drain=True)
            await asyncio.sleep(seconds / 5)
            await running_site.update_upstream(upstream, drain=False, restart=True, cold_s=2.0)

    for policy in policies:
        streams = (lookup_stream(deployment_name, 0.5),)
        yield row.Case(
            "rolling drain",
            policy,
            make_spec(deployment_name, policy),
            streams,
            seconds,
            events=events,
        )


def overload(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases with a load of 1.3 times the capacity."""
    for policy in policies:
        streams = (lookup_stream(deployment_name, 1.3),)
        case = row.Case(
            "overload 1.3", policy, make_spec(deployment_name, policy), streams, seconds
        )
        yield row.dataclasses.replace(case, capacity=CAPACITY)


def outage(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases with lookups while the platform's table and object store are unavailable."""

    async def events(running_site: site.Site) -> None:
        await running_site.update_platform(down=True)
        await asyncio.sleep(seconds * 0.8)
        await running_site.update_platform(down=False)

    for policy in policies:
        streams = (lookup_stream(deployment_name, 0.6),)
        yield row.Case(
            "table outage",
            policy,
            make_spec(deployment_name, policy),
            streams,
            seconds,
            events=events,
        )


def uploads(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases in which uploads saturate the link between the regions.

    They are sent to the second region, but all upstreams for uploads are in the first.
    """
    upload_service = {"kwabena": "roundphoto", "dalatech": "doc-intake"}[deployment_name]
    for policy in policies:
        spec = make_spec(deployment_name, policy, regions=2)
        first_data_centre = spec.config["data_centres"][0]["name"]
        for service in spec.config["services"]:
            if service["name"] == upload_service:
                for upstream in service["upstreams"]:
                    upstream["data_centre"] = first_data_centre
        streams = (
            lookup_stream(deployment_name, 0.2, region=1),
            lookup_stream(deployment_name, 0.2, region=2),
            ("upload", f"/{upload_service}/batch", 22.0, 2, UPLOAD_BYTES),
        )
        yield row.Case("uploads fill the link", policy, spec, streams, seconds)


def kill(deployment_name: str, policies: list[str], seconds: float) -> Iterator[row.Case]:
    """Yield cases with payments and lookups in which one balancer is killed."""

    async def events(running_site: site.Site) -> None:
        await asyncio.sleep(seconds / 3)
        running_site.send_signal("vm-02", signal.SIGKILL)

    path = {"kwabena": "/paytag/pay", "dalatech": "/toll-till/post"}[deployment_name]
    for policy in policies:
        streams = (lookup_stream(deployment_name, 0.3), ("payment", path, 40.0, 1, 0))
        yield row.Case(
            "balancer killed",
            policy,
            make_spec(deployment_name, policy),
            streams,
            seconds,
            "payment",
        )


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
