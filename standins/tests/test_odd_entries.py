"""Odd entries among those of the upstreams, with real balancer processes."""

import asyncio
import random
import unittest

from standins.deployment import client, cluster

BALANCERS, UPSTREAMS = 3, 2
# Second byte of the loopback addresses, outside the ranges of the soak and the demo.
SUBNET = 242
TIMEOUT_S = 30.0
NESTED = b'{"x":' + b"[" * 4000 + b"]" * 4000 + b"}"
SOUND = b'"service":"tags","zone":"a-1","state":"ready","slots":4'
ODD = {
    "nested": NESTED,
    "port": b'{"address":"127.0.0.9:99999",' + SOUND + b"}",
    "host": b'{"address":"x y:80",' + SOUND + b"}",
    "slots": b'{"address":"127.0.0.9:80",' + SOUND + b"9" * 400 + b"}",
}


class OddEntryTest(unittest.TestCase):
    def test_balancers_follow_the_store_past_odd_entries(self) -> None:
        logs = asyncio.run(run_with_odd_entries())
        for log in logs:
            self.assertNotIn("Traceback", log)
            self.assertNotIn("event=peer.lost", log)
            self.assertEqual(1, log.count("event=process.started"))
            for key in ODD:
                self.assertIn(f"event=upstream.unreadable upstream={key} ", log)


async def run_with_odd_entries() -> list[str]:
    """Write odd entries, then a configuration, until all balancers have it; return their logs."""
    deployment = cluster.Cluster(BALANCERS, UPSTREAMS, SUBNET, random.Random(1))
    try:
        await deployment.start()
        async with asyncio.timeout(TIMEOUT_S):
            await _wait_for_version(deployment, 1)
            for key, value in ODD.items():
                await deployment.store.put_value("servers", key, value)
            await _wait_for_version(deployment, await deployment.configure())
        return [deployment.read_log(node) for node in deployment.nodes]
    finally:
        await deployment.stop()


async def _wait_for_version(deployment: cluster.Cluster, version: int) -> None:
    for node in deployment.nodes:
        status = 0
        while status != 200:
            caller = client.Client((node.ip, cluster.FRONT_PORT))
            response = await caller.send("GET", f"/version/{version}/", f"v{version}-{node.name}")
            status = response.status
            caller.close()
            await asyncio.sleep(0.1)
