"""Runs the deployed role against stand-ins of the platform, and checks what callers were told."""

import asyncio
import collections
import random
import signal
import sys

from standins.deployment import client, cluster

BALANCERS = 3
UPSTREAMS = 3
REQUESTS = 300
SEED = 1
# Second byte of the loopback addresses; the soak uses those from 2 on.
ADDRESSES = 250
# Longest wait for all balancers to be ready, in seconds.
READY_S = 20.0


async def demonstrate() -> collections.Counter:
    """Serve requests through a change, a drain and a planned stop; count what came of it."""
    counts: collections.Counter = collections.Counter()
    deployment = cluster.Cluster(BALANCERS, UPSTREAMS, ADDRESSES, random.Random(SEED))
    try:
        await deployment.start()
        for node in deployment.nodes:
            await _until_ready(node)
        callers = [client.Client((node.ip, cluster.FRONT_PORT)) for node in deployment.nodes]
        sending = [_send(caller, number, counts) for number, caller in enumerate(callers)]
        await asyncio.gather(_events(deployment), *sending)
        for request_id, runs in deployment.ledger.runs.items():
            counts["doubled"] += runs > 1 and deployment.ledger.services[request_id] == "till"
    finally:
        await deployment.stop()
    return counts


async def _until_ready(node: cluster.Node) -> None:
    async with asyncio.timeout(READY_S):
        while True:
            probe = client.Client((node.ip, cluster.READY_PORT))
            reply = await probe.send("GET", "/v1/readiness", "ready")
            probe.close()
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)


async def _events(deployment: cluster.Cluster) -> None:
    """Change the configuration, drain an upstream, stop a balancer."""
    await deployment.configure()
    await deployment.register("till-0", "draining")
    stopped = deployment.nodes[-1]
    deployment.signal(stopped, signal.SIGTERM)
    await stopped.process.wait()


async def _send(caller: client.Client, number: int, counts: collections.Counter) -> None:
    for index in range(REQUESTS // BALANCERS):
        kind = ("lookup", "pay", "upload")[index % 3]
        data = b"x" * 20_000 if kind == "upload" else b""
        request_id = f"demo-{number}-{index}"
        method = "GET" if kind == "lookup" else "POST"
        reply = await caller.send(method, f"/{kind}/1", request_id, data)
        if reply.status == 0 and not reply.reused:
            # The last balancer has stopped: its callers go elsewhere.
            counts["gone"] += 1
            break
        counts["sent"] += 1
        service = "tags" if kind == "lookup" else "till"
        whole = reply.body == f"{request_id} {service} {len(data)}".encode()
        counts["answered"] += reply.status == 200
        counts["wrong"] += reply.status == 200 and not whole
        counts["not_run"] += reply.status == 503
    caller.close()


def main() -> int:
    """Print one line; the exit status is 1 if an answer was wrong or a payment ran twice."""
    counts = asyncio.run(demonstrate())
    names = ("sent", "answered", "not_run", "wrong", "doubled")
    print("demo edge:", " ".join(f"{name}={counts[name]}" for name in names))
    return bool(counts["wrong"] or counts["doubled"] or not counts["answered"])


if __name__ == "__main__":
    sys.exit(main())
