"""A store that is restored from a copy, with real balancer processes."""

import asyncio
import itertools
import random
import unittest

from standins.deployment import client, cluster, store

# Second byte of the loopback addresses, outside the ranges of the soak and the demo.
SUBNET = 243
SEED = 7
UPSTREAMS = 3
# Longest time to wait for the balancers to have a change, in seconds. How fast they have it is
# tested in virtual time.
TIMEOUT_S = 20.0
# Time for which the store is away, in seconds.
AWAY_S = 1.0


class RestoredStoreTest(unittest.TestCase):
    def test_balancers_follow_a_store_that_was_restored_from_a_copy(self) -> None:
        # Guards against versions of two epochs that are compared by their numbers.
        for balancers, lost in ((1, 40), (3, 40)):
            with self.subTest(balancers=balancers, lost=lost):
                asyncio.run(self.restore(balancers, lost))

    async def restore(self, balancers: int, lost: int) -> None:
        """Restore the store, then change the configuration and drain an upstream."""
        deployment = cluster.Cluster(balancers, UPSTREAMS, SUBNET, random.Random(SEED))
        try:
            await deployment.start()
            await wait_until(deployment, has_version(1))
            copy = without_members(deployment.store.copy())
            for _ in range(lost):
                version = await deployment.configure()
            await wait_until(deployment, has_version(version))
            deployment.store.fault = "reset"
            deployment.store_relay.reset()
            await asyncio.sleep(AWAY_S)
            await deployment.store.restore(copy)
            deployment.store.fault = None
            await deployment.write_again()
            await wait_until(deployment, has_version(await deployment.configure()))
            await deployment.register("tags-0", "draining")
            await wait_until(deployment, avoids("tags-0", deployment))
            await wait_until(deployment, is_registered(deployment))
        finally:
            await deployment.stop()


_request_ids = (f"restored-{number}" for number in itertools.count())


async def send(node: cluster.Node, path: str) -> client.Response:
    caller = client.Client((node.ip, cluster.FRONT_PORT))
    try:
        return await caller.send("GET", path, next(_request_ids))
    finally:
        caller.close()


def has_version(version: int):
    """Return a check whether a balancer has a version of the configuration, or a later one."""

    async def check(node: cluster.Node) -> bool:
        return (await send(node, f"/version/{version}/")).status == 200

    return check


def avoids(upstream: str, deployment: cluster.Cluster, requests: int = 12):
    """Return a check whether none of some requests at a balancer reaches an upstream."""

    async def check(node: cluster.Node) -> bool:
        responses = [await send(node, "/lookup/1") for _ in range(requests)]
        served = [response for response in responses if response.status == 200]
        reached = {deployment.ledger.last_upstream[r.request_id] for r in served}
        return bool(served) and upstream not in reached

    return check


def is_registered(deployment: cluster.Cluster):
    """Return a check whether the store has the row of a balancer."""

    async def check(node: cluster.Node) -> bool:
        _, rows = deployment.store.copy()
        return ("balancers", node.ip) in rows

    return check


def without_members(copy: store.Copy) -> store.Copy:
    """Return a copy of the store from before the balancers started."""
    version, rows = copy
    return version, {key: row for key, row in rows.items() if key[0] != "balancers"}


async def wait_until(deployment: cluster.Cluster, check, timeout_s: float = TIMEOUT_S) -> None:
    """Wait until a check of each balancer succeeds.

    :raises TimeoutError: it does not in time.
    """
    async with asyncio.timeout(timeout_s):
        for node in deployment.nodes:
            while not await check(node):
                await asyncio.sleep(0.05)
