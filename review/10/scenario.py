"""The store is silent for 7.2 s: a configuration accepted after its return takes too long."""

import asyncio
import pathlib
import sys
import time

import small_deployment

ZONES = {"almaty-a": "almaty", "almaty-b": "almaty"}
# The configurations send the route to these services in turn.
SERVICES = {"balance-desk": 3, "balance-desk-2": 3}
ROUNDS = 2
OUTAGE_S = 7.2
# Time before each outage, and from each configuration on, in seconds.
SETTLE_S = 8.0
WATCH_S = 8.0
# Bounds of the rule: from the acknowledgement, and from the store's return until balancers count as
# in touch. Then the tolerance for the stand-ins' own delays. All in seconds.
APPLY_S = 2.5
STABLE_S = 4.0
TOLERANCE_S = 0.1


async def scenario(record: small_deployment.Record) -> int:
    """Return how many requests were run by the service of the older configuration too late."""
    deployment = small_deployment.Deployment(list(ZONES), ZONES, SERVICES, record)
    old, *later = [list(SERVICES)[number % 2] for number in range(ROUNDS + 1)]
    try:
        await deployment.start([_make_rule(old)])
        over = asyncio.Event()
        callers = [
            small_deployment.Caller(machine, "lookup", record) for machine in deployment.machines
        ]
        senders = [
            asyncio.create_task(caller.run("GET", "/lookup/x", 0.02, over.is_set))
            for caller in callers
        ]
        broken = 0
        for version, service in enumerate(later, start=2):
            broken += await _run_round(deployment, callers, record, version, service)
        over.set()
        await asyncio.gather(*senders)
        small_deployment.write_runs(record, deployment.ledger)
        return broken
    finally:
        await deployment.stop()


async def _run_round(
    deployment: small_deployment.Deployment,
    callers: list[small_deployment.Caller],
    record: small_deployment.Record,
    version: int,
    service: str,
) -> int:
    """Return how many requests the former service of the route ran too late after an outage."""
    await asyncio.sleep(SETTLE_S)
    if small_deployment.trouble():
        deployment.store.fault = "silent"
        record.write("store.silent")
        await asyncio.sleep(OUTAGE_S)
        deployment.store.fault = None
        record.write("store.back")
    back_at = time.monotonic()
    await asyncio.sleep(0.1)
    acknowledged_at = await deployment.configure(version, [_make_rule(service)])
    await asyncio.sleep(WATCH_S)
    run_by = deployment.ledger.services
    old_sent_at = [
        sent_at
        for caller in callers
        for sent_at, request_id, _ in caller.answers
        if sent_at > back_at and run_by.get(request_id, service) != service
    ]
    last_s = max(old_sent_at, default=back_at) - back_at
    record.write("last-run-by-the-old-service", seconds_after_return=f"{last_s:.2f}")
    bound_at = max(acknowledged_at + APPLY_S, back_at + STABLE_S) + TOLERANCE_S
    return sum(sent_at > bound_at for sent_at in old_sent_at)


def _make_rule(service: str) -> dict:
    return small_deployment.make_rule("fee-lookup", "/lookup/", "safe", service)


if __name__ == "__main__":
    sys.exit(small_deployment.run_case(scenario, pathlib.Path(__file__).resolve().parent))
