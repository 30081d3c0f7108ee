"""The platform's store comes back from a copy; the balancers must follow it from there.

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
SERVICES = ("read", "pay", "permit", "newpay")
# Usual time of the work for a request, in seconds.
WORK_S = {"read": 0.1, "pay": 0.1, "permit": 0.6, "newpay": 0.1}
# Age of the copy and time for which the store is away, in seconds: "some seconds", "a moment".
COPY_AGE_S, AWAY_S = 7.0, 1.0
# A change each 0.33 s for 4 s, as the sites' ``config_storm``.
STORM_S, STORM_GAP_S = 4.0, 0.33
# After its drain time, a target serves on for a little longer, in seconds.
LONGER_S = 2.0


def make_config(version: int, pay: str) -> dict:
    """Return a configuration whose payments go to a service."""
    rules = [
        deployment.make_rule("read", "/read/", "safe", "read"),
        deployment.make_rule("pay", "/pay/", "unsafe", pay),
        deployment.make_rule("permit", "/permit/", "unsafe", "permit"),
    ]
    if pay == "newpay":
        rules.append(deployment.make_rule("added", "/added/", "safe", "read"))
    return deployment.make_config(version, rules, list(SERVICES))


async def run(case: deployment.Deployment) -> list[str]:
    """Play the events and return what was broken."""
    targets = [
        deployment.Target(f"{service}-{number}", service, zone, WORK_S[service])
        for service in SERVICES
        for number, zone in enumerate(deployment.ZONES)
    ]
    await case.start(targets, make_config(1, "pay"))
    beats = asyncio.create_task(case.beat())
    calls = [("GET", "/read/1"), ("POST", "/pay/1"), ("GET", "/added/1")]
    until = time.monotonic() + 25
    for node in case.nodes:
        case.start_client(node, HOST, calls, 0.05, until)
        for _ in range(2):
            case.start_client(node, HOST, [("POST", "/permit/1")], 0.05, until)
    await asyncio.sleep(2)
    copy = case.store.copy()
    copied_at = time.monotonic()
    case.note(f"copy of the store at version {copy[0]}")
    version = 1
    while time.monotonic() < copied_at + STORM_S:
        version += 2
        await case.configure(make_config(version, "pay"))
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(copied_at + COPY_AGE_S - AWAY_S - time.monotonic())
    if TROUBLE:
        address = case.store.address
        case.note(f"the store is away, at version {case.store.version}")
        case.store.shut()
        await asyncio.sleep(AWAY_S)
        case.store.go_back(copy)
        await case.store.listen(*address)
        case.note(f"the store is back, at version {case.store.version}")
        # What the operator wrote last is written again.
        await asyncio.sleep(0.2)
        await case.configure(case.config)
    else:
        await asyncio.sleep(AWAY_S + 0.2)
    # All machines are in touch again once the store has been calm for this long.
    await asyncio.sleep(deployment.STABILITY_MS / 1000 + 1)
    version += 3
    configured_at = await case.configure(make_config(version, "newpay"))
    leaver = case.targets["permit-0"]
    drained_at = await case.report(leaver, "draining")
    await asyncio.sleep(deployment.DRAIN_MS / 1000 + LONGER_S)
    leaver.end()
    case.note(f"target {leaver.id} has ended")
    await case.remove(leaver)
    await case.wait_for_clients()
    beats.cancel()
    return judge(case, configured_at, drained_at, leaver)


def judge(
    case: deployment.Deployment,
    configured_at: float,
    drained_at: float,
    leaver: deployment.Target,
) -> list[str]:
    """Return the broken rules; bounds as the pages state them."""
    sent_at = {reply.id: reply.sent_at for reply in case.replies}
    late_from = configured_at + deployment.CONFIG_APPLY_MS / 1000
    old = [
        run["id"]
        for target in case.targets.values()
        if target.service == "pay"
        for run in target.runs
        if sent_at.get(run["id"], 0) > late_from
    ]
    missing = [
        reply.id
        for reply in case.replies
        if reply.path == "/added/1" and reply.status == 404 and reply.sent_at > late_from
    ]
    drained_from = drained_at + deployment.DRAIN_MS / 1000
    drained = [id_ for at, id_, _ in leaver.arrived if at > drained_from]
    cut = [run["id"] for run in leaver.runs if run["end"] == "cut"]
    counts = collections.Counter(reply.status for reply in case.replies)
    case.note(f"answers by status: {dict(counts)}")
    case.note(
        f"sent over {deployment.CONFIG_APPLY_MS} ms after the acknowledgement: "
        f"{len(old)} run by the old service, {len(missing)} answered 404 though the route is there"
    )
    case.note(
        f"{len(drained)} requests reached {leaver.id} over {deployment.DRAIN_MS} ms after its "
        f"report was acknowledged; {len(cut)} were cut as it ended"
    )
    broken = []
    if old or missing:
        broken.append("CONFIG")
    if drained:
        broken.append("DRAIN")
    return broken


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
