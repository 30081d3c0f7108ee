"""Runs the demonstration and prints what callers were told against what upstreams ran."""

import asyncio
import json
import signal
import sys
import time

from standins import callers, site

__all__ = ["main"]

# How long requests are sent, in seconds.
SEND_S = 20.0
# Requests started in one second: lookups, payments, uploads.
RATES = {"lookup": 100, "payment": 15, "upload": 2}
# Size of one upload, in bytes.
UPLOAD_BYTES = 256 * 1024
DELAYS = {"inside_ms": 0.2, "across_ms": 30.0}


async def demo() -> callers.Verdict:
    """Run the demonstration and return the oracle's counts."""
    config = json.loads((site.ROOT / "examples" / "kwabena.json").read_text())
    behaviour = {"tagcheck": {"work_ms": 4}, "paytag": {"work_ms": 8}, "roundphoto": {"work_ms": 9}}
    spec = site.Spec(config, balancers=4, behaviour=behaviour, delays=DELAYS)
    async with site.Site(spec) as s:
        status, answer = await s.apply("vm-01")
        print(f"demo: configuration accepted: {status} {answer}", flush=True)
        took_s = await s.wait_version(answer["version"])
        print(f"demo: in force on {len(s.balancers)} balancers after {took_s:.2f} s", flush=True)
        public = callers.Callers(s.ready, seed=7)
        events = asyncio.create_task(_events(s))
        await _send(public)
        await events
        await public.close()
        return callers.judge(public.told, s.ledger())


async def _send(public: callers.Callers) -> None:
    """Send requests at fixed rates, whatever the answers take."""
    tasks = set()
    started_at = time.monotonic()
    sent = dict.fromkeys(RATES, 0)
    while (elapsed := time.monotonic() - started_at) < SEND_S:
        for kind, rate in RATES.items():
            while sent[kind] < rate * elapsed:
                sent[kind] += 1
                tasks.add(asyncio.create_task(_one(public, kind)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)


async def _one(public: callers.Callers, kind: str) -> None:
    """Send one request of a kind."""
    if kind == "lookup":
        await public.lookup("/tagcheck/sticker?id=1")
    elif kind == "payment":
        await public.paid("/paytag/pay")
    else:
        await public.upload("/roundphoto/batch", UPLOAD_BYTES, 0.01)


async def _events(s: site.Site) -> None:
    """Let an upstream and a balancer leave, and kill another balancer."""
    await asyncio.sleep(4)
    await s.control_upstream("paytag-01", drain=True)
    print("demo: upstream paytag-01 leaves", flush=True)
    await asyncio.sleep(3)
    s.kill("vm-02", signal.SIGTERM)
    s.out_of_rotation.add("vm-02")
    print("demo: balancer vm-02 leaves", flush=True)
    await asyncio.sleep(4)
    s.kill("vm-03")
    print("demo: balancer vm-03 is killed", flush=True)
    await asyncio.sleep(1)
    s.out_of_rotation.add("vm-03")
    code = await s.wait_exit("vm-02")
    print(f"demo: balancer vm-02 has ended with status {code}", flush=True)
    await asyncio.sleep(1)
    while_leaving = (await s.upstream("paytag-01"))["while_leaving"]
    print(f"demo: requests to paytag-01 after it began to leave: {while_leaving}", flush=True)


def main() -> None:
    """Run the demonstration; exit status 1 if anything was wrong, doubled or lost."""
    verdict = asyncio.run(demo())
    print(f"demo: {verdict.line()}")
    sys.exit(1 if verdict.wrong or verdict.doubled or verdict.lost else 0)


if __name__ == "__main__":
    main()
