"""Runs the role ``edge`` of ``deploy/system.toml`` on a simulated platform and checks responses."""

import asyncio
import collections
import random
import signal
import sys

from standins.deployment import checker, client, cluster

BALANCERS = 3
# Upstreams of each service.
UPSTREAMS = 3
# Requests of all callers together; each balancer has one caller.
REQUESTS = 300
SEED = 1
# Second byte of the loopback addresses, outside the range 1 to 200 that the soak uses.
SUBNET = 250
# Upstream that names a rate limit, the limit in requests per second, how long it is named, and the
# pause of a caller after a response meanwhile, in seconds.
LIMITED, RATE_LIMIT, LIMITED_S, PAUSE_S = "tags-1", 2.0, 8.0, 0.02
# Time limit for each balancer to become ready.
READY_TIMEOUT_S = 20.0


async def run_demo() -> collections.Counter:
    """Send requests during a configuration change, a drain, a planned stop and a rate limit.

    :returns: counts of the outcomes.
    """
    counts: collections.Counter = collections.Counter()
    deployment = cluster.Cluster(BALANCERS, UPSTREAMS, SUBNET, random.Random(SEED))
    try:
        await deployment.start()
        for node in deployment.nodes:
            await _wait_ready(node)
        callers = [client.Client((node.ip, cluster.FRONT_PORT)) for node in deployment.nodes]
        senders = [
            _send_requests(caller, caller_number, counts)
            for caller_number, caller in enumerate(callers)
        ]
        await asyncio.gather(_run_events(deployment), *senders)
        await _limit_rate(deployment, counts)
        for request_id, run_count in deployment.ledger.runs.items():
            counts["doubled"] += run_count > 1 and deployment.ledger.services[request_id] == "till"
    finally:
        await deployment.stop()
    return counts


async def _wait_ready(node: cluster.Node) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            probe = client.Client((node.ip, cluster.READY_PORT))
            response = await probe.send("GET", "/v1/readiness", "ready")
            probe.close()
            if response.status == 200:
                return
            await asyncio.sleep(0.1)


async def _run_events(deployment: cluster.Cluster) -> None:
    """Change the configuration, drain an upstream and stop a balancer with SIGTERM."""
    await deployment.configure()
    await deployment.register("till-0", "draining")
    stopped = deployment.nodes[-1]
    deployment.signal(stopped, signal.SIGTERM)
    await stopped.process.wait()


async def _limit_rate(deployment: cluster.Cluster, counts: collections.Counter) -> None:
    """Send lookups through the running balancers while an upstream names a rate limit."""
    loop = asyncio.get_running_loop()
    deployment.upstreams[LIMITED].limit_rate(RATE_LIMIT)
    started_at = loop.time()

    async def send_lookups(node: cluster.Node) -> None:
        caller = client.Client((node.ip, cluster.FRONT_PORT))
        while loop.time() < started_at + LIMITED_S:
            counts["limited_sent"] += 1
            request_id = f"limited-{node.name}-{counts['limited_sent']}"
            response = await caller.send("GET", "/lookup/1", request_id)
            counts["limited_answered"] += response.status == 200
            await asyncio.sleep(PAUSE_S)
        caller.close()

    await asyncio.gather(*map(send_lookups, deployment.nodes[:-1]))
    counts["over_limit"] += len(checker.check_rate_limits(deployment.ledger))


async def _send_requests(
    caller: client.Client, caller_number: int, counts: collections.Counter
) -> None:
    for index in range(REQUESTS // BALANCERS):
        kind = ("lookup", "pay", "upload")[index % 3]
        data = b"x" * 20_000 if kind == "upload" else b""
        request_id = f"demo-{caller_number}-{index}"
        method = "GET" if kind == "lookup" else "POST"
        response = await caller.send(method, f"/{kind}/1", request_id, data)
        if response.status == 0 and not response.reused:
            # The balancer has stopped and takes no new connections; its caller sends no more.
            counts["gone"] += 1
            break
        counts["sent"] += 1
        service = "tags" if kind == "lookup" else "till"
        body_matches = response.body == f"{request_id} {service} {len(data)}".encode()
        counts["answered"] += response.status == 200
        counts["wrong"] += response.status == 200 and not body_matches
        counts["not_run"] += response.status == 503
    caller.close()


def main() -> int:
    """Print one line of counts and return the exit status.

    :returns: 1 if a response was wrong, a payment or an upload ran more than once, an upstream got
        more requests than its rate limit allows, or no request was answered with status 200; else
        0.
    """
    counts = asyncio.run(run_demo())
    names = ("sent", "answered", "not_run", "wrong", "doubled")
    names += ("limited_sent", "limited_answered", "over_limit")
    print("demo edge:", " ".join(f"{name}={counts[name]}" for name in names))
    failed = counts["wrong"] or counts["doubled"] or counts["over_limit"]
    return bool(failed or not counts["answered"])


if __name__ == "__main__":
    sys.exit(main())
