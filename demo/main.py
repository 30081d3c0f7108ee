"""Drains an upstream, stops a balancer and kills another under load, and checks the outcomes.

The results that callers received are compared with the runs that upstreams recorded.
"""

import asyncio
import json
import signal
import sys
import time

from standins import callers, site

__all__ = ["main"]

# Time during which requests are sent.
SEND_DURATION_S = 20.0
# Requests started per second, by kind.
RATES = {"lookup": 100, "payment": 15, "upload": 2}
UPLOAD_BYTES = 256 * 1024
NETWORK_DELAYS = {"inside_ms": 0.2, "across_ms": 30.0}


async def run_demo() -> callers.Tally:
    """Run the demonstration and return the counts of outcomes and violations."""
    config = json.loads((site.ROOT / "examples" / "kwabena.json").read_text())
    behaviour = {"tagcheck": {"work_ms": 4}, "paytag": {"work_ms": 8}, "roundphoto": {"work_ms": 9}}
    spec = site.Spec(config, balancers=4, behaviour=behaviour, delays=NETWORK_DELAYS)
    async with site.Site(spec) as running_site:
        status, body = await running_site.apply("vm-01")
        print(f"demo: configuration accepted: {status} {body}", flush=True)
        elapsed_s = await running_site.wait_version(body["version"])
        print(
            f"demo: in force on {len(running_site.balancers)} balancers after {elapsed_s:.2f} s",
            flush=True,
        )
        client = callers.Callers(running_site.ready_addresses, seed=7)
        events_task = asyncio.create_task(_run_events(running_site))
        await _send_requests(client)
        await events_task
        await client.close()
        return callers.compare_with_ledger(client.results, running_site.ledger())


async def _send_requests(client: callers.Callers) -> None:
    """Send requests at fixed rates without waiting for responses (open loop)."""
    tasks = set()
    started_at = time.monotonic()
    sent = dict.fromkeys(RATES, 0)
    while (elapsed := time.monotonic() - started_at) < SEND_DURATION_S:
        for kind, rate in RATES.items():
            while sent[kind] < rate * elapsed:
                sent[kind] += 1
                tasks.add(asyncio.create_task(_send_one(client, kind)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


async def _send_one(client: callers.Callers, kind: str) -> None:
    """Send one lookup, payment (with the caller's retries) or slow upload."""
    if kind == "lookup":
        await client.lookup("/tagcheck/sticker?id=1")
    elif kind == "payment":
        await client.pay_until_final("/paytag/pay")
    else:
        await client.upload("/roundphoto/batch", UPLOAD_BYTES, 0.01)


async def _run_events(running_site: site.Site) -> None:
    """Drain an upstream, stop a balancer with SIGTERM and kill another with SIGKILL."""
    await asyncio.sleep(4)
    await running_site.update_upstream("paytag-01", drain=True)
    print("demo: upstream paytag-01 is draining", flush=True)
    await asyncio.sleep(3)
    running_site.send_signal("vm-02", signal.SIGTERM)
    running_site.out_of_rotation.add("vm-02")
    print("demo: balancer vm-02 is stopping (SIGTERM)", flush=True)
    await asyncio.sleep(4)
    running_site.send_signal("vm-03")
    print("demo: balancer vm-03 was killed (SIGKILL)", flush=True)
    await asyncio.sleep(1)
    running_site.out_of_rotation.add("vm-03")
    exit_status = await running_site.wait_exit("vm-02")
    print(f"demo: balancer vm-02 exited with status {exit_status}", flush=True)
    await asyncio.sleep(1)
    while_leaving = (await running_site.get_upstream_counters("paytag-01"))["while_leaving"]
    print(
        f"demo: requests that reached paytag-01 while it was draining: {while_leaving}", flush=True
    )


def main() -> None:
    """Run the demonstration; exit with status 1 if any request was wrong, doubled or lost."""
    counts = asyncio.run(run_demo())
    print(f"demo: {counts.format_line()}")
    sys.exit(1 if counts.wrong or counts.doubled or counts.lost else 0)


if __name__ == "__main__":
    main()
