"""A heartbeat that was held up arrives after the server has reported that it is draining."""

import asyncio
import pathlib
import sys

import small_deployment

ZONES = {"almaty-a": "almaty", "almaty-b": "almaty"}
BALANCERS = 3
SERVICES = {"balance-desk": 3, "toll-till": 5}
# Server that is cut off from the store and then leaves; a fifth of its service.
LEAVING = "toll-till-1"
HEARTBEAT_S = 1.5
# Time for which the server is cut off from the store, in seconds. It sends a heartbeat when the cut
# begins. TCP sends that again 0.2, 0.6, 1.4, 3.0 and 6.2 s later: it arrives 3.05 s after the end.
CUT_S = 3.15
LATE_S = 3.05
# Bound of the rule, and the tolerance for the stand-ins' own delays, in seconds.
DRAIN_S = 2.5
TOLERANCE_S = 0.1


async def scenario(record: small_deployment.Record) -> int:
    """Return how many requests reached the server too late."""
    zones = [list(ZONES)[number % len(ZONES)] for number in range(BALANCERS)]
    deployment = small_deployment.Deployment(zones, ZONES, SERVICES, record)
    rules = [
        small_deployment.make_rule("fee-lookup", "/lookup/", "safe", "balance-desk"),
        small_deployment.make_rule("toll-payment", "/pay/", "unsafe", "toll-till"),
    ]
    try:
        await deployment.start(rules)
        over = asyncio.Event()
        senders = [
            asyncio.create_task(
                small_deployment.Caller(machine, f"pay{number}", record).run(
                    "POST", "/pay/x", 0.02, over.is_set
                )
            )
            for machine in deployment.machines
            for number in range(4)
        ]
        await asyncio.sleep(8.0)
        acknowledged_at = await _drain(deployment, record)
        over.set()
        await asyncio.gather(*senders)
        small_deployment.write_runs(record, deployment.ledger)
        delays_s = [
            at - acknowledged_at for at, id_, _, _ in deployment.ledger.arrivals if id_ == LEAVING
        ]
        record.write("last-request-to-the-server", seconds_after=f"{max(delays_s):.2f}")
        return sum(delay_s > DRAIN_S + TOLERANCE_S for delay_s in delays_s)
    finally:
        await deployment.stop()


async def _drain(deployment: small_deployment.Deployment, record: small_deployment.Record) -> float:
    """Let the server report that it is draining; return when the store acknowledged it.

    Heartbeats that change nothing but their number don't change the entry and are left out.
    """
    if small_deployment.trouble():
        record.write("cut", server=LEAVING, from_="store")
    else:
        await deployment.register(LEAVING, "ready", seq=7)
    await asyncio.sleep(CUT_S)
    record.write("cut-ended")
    acknowledged_at = await deployment.register(LEAVING, "draining", seq=10)
    await asyncio.sleep(LATE_S)
    if small_deployment.trouble():
        # The heartbeat that was sent when the cut began.
        await deployment.register(LEAVING, "ready", seq=7)
    await asyncio.sleep(3 * HEARTBEAT_S - LATE_S)
    await deployment.register(LEAVING, "draining", seq=13)
    await asyncio.sleep(2.0)
    return acknowledged_at


if __name__ == "__main__":
    sys.exit(small_deployment.run_case(scenario, pathlib.Path(__file__).resolve().parent))
