"""A target says in its answers that it leaves, while the platform's store is down.

Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import asyncio
import collections
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from round3 import deployment  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "front.example"
SERVICES = ("read", "pay")
WORK_S = {"read": 0.1, "pay": 0.5}
# Time for which the store is down, in seconds; the sites have up to 8 s.
DOWN_S = 8.0
# Time from the begin of the outage until the target leaves, in seconds.
LEAVES_AFTER_S = 1.0
# After its drain time, a target serves on for a little longer, in seconds.
LONGER_S = 2.0


async def run(case: deployment.Deployment) -> list[str]:
    """Play the events and return what was broken."""
    targets = [
        deployment.Target(f"{service}-{number}", service, zone, WORK_S[service])
        for service in SERVICES
        for number, zone in enumerate(deployment.ZONES)
    ]
    rules = [
        deployment.make_rule("read", "/read/", "safe", "read"),
        deployment.make_rule("pay", "/pay/", "unsafe", "pay"),
    ]
    await case.start(targets, deployment.make_config(1, rules, list(SERVICES)))
    until = time.monotonic() + 16
    for node in case.nodes:
        case.start_client(node, HOST, [("GET", "/read/1")], 0.05, until)
        for _ in range(2):
            case.start_client(node, HOST, [("POST", "/pay/1")], 0.05, until)
    await asyncio.sleep(4)
    address, down_at = case.store.address, time.monotonic()
    if TROUBLE:
        case.note("the store is down")
        case.store.shut()
    await asyncio.sleep(LEAVES_AFTER_S)
    # The target never reports that it drains: its entry is removed, also while the store is down.
    leaver = case.targets["pay-0"]
    leaver.leaving = True
    await case.remove(leaver)
    await asyncio.sleep(deployment.DRAIN_MS / 1000 + LONGER_S)
    leaver.end()
    case.note(f"target {leaver.id} has ended")
    if TROUBLE:
        await asyncio.sleep(down_at + DOWN_S - time.monotonic())
        await case.store.listen(*address)
        case.note("the store is back")
    await case.wait_for_clients()
    return judge(case, leaver)


def judge(case: deployment.Deployment, leaver: deployment.Target) -> list[str]:
    """Return the broken rules; bounds as the pages state them."""
    told_at: dict[str, float] = {}
    for reply in case.replies:
        if reply.headers.get("server-leaving") == "1":
            at = min(reply.ended_at, told_at.get(reply.balancer, float("inf")))
            told_at[reply.balancer] = at
    sent_at = {reply.id: reply.sent_at for reply in case.replies}
    status = {reply.id: reply.status for reply in case.replies}
    late = collections.Counter(
        sender
        for _, id_, sender in leaver.arrived
        if sender in told_at and sent_at.get(id_, 0) > told_at[sender] + deployment.DRAIN_MS / 1000
    )
    cut = [run["id"] for run in leaver.runs if run["end"] == "cut"]
    case.note(f"answers by status: {dict(collections.Counter(status.values()))}")
    case.note(f"balancers that passed on an answer with Server-Leaving: {len(told_at)}")
    case.note(
        f"sent over {deployment.DRAIN_MS} ms after that and passed on to {leaver.id} by the same "
        f"balancer: {sum(late.values())} ({dict(late)})"
    )
    case.note(
        f"payments cut at work as {leaver.id} ended: "
        f"{[(id_, status.get(id_)) for id_ in cut]} (id, status of the answer)"
    )
    return ["DRAIN"] if late else []


async def main() -> int:
    case = None
    try:
        async with asyncio.timeout(110):
            case = deployment.Deployment(FOLDER, 3)
            broken = await run(case)
            case.note(f"broken: {', '.join(broken) or 'none'}")
            return 1 if broken else 0
    except (OSError, TimeoutError) as error:
        if case is not None:
            case.note(f"could not run: {error!r}")
        return 2
    finally:
        if case is not None:
            await case.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
