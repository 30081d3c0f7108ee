"""Short seeded runs of the fault soak, including seeds that have failed before."""

import asyncio
import unittest
from unittest import mock

from standins import virtual
from standins.deployment import cluster, planted, soak, store

# Seeds to run, each with the faults or the failure that it covers.
SEEDS = {
    1: "signals, outages, links, upstreams and drains overlap",
    123: "a reload signal during the start of a balancer ended its process",
}
DURATION_S = 8.0
# Time for many faults of the store, in seconds of virtual time.
LONG_DURATION_S = 300.0
# Longest time to detect a planted fault, in seconds; a run ends as soon as it is detected.
MAX_DETECTION_S = 90.0
# Number of planted faults tested at the same time.
MAX_CONCURRENT_RUNS = 3


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_overlapping_faults(self) -> None:
        for seed, reason in SEEDS.items():
            with self.subTest(seed=seed, reason=reason):
                findings = asyncio.run(soak.run(seed, DURATION_S, check_time_bounds=False))
                self.assertEqual([], findings.violations)
                self.assertGreater(findings.response_counts["lookup", 200], 0)


class StaleListingsTest(unittest.TestCase):
    def test_stale_listings_never_end_between_two_checks_of_the_configuration(self) -> None:
        for seed in range(20, 24):
            with self.subTest(seed=seed):
                *faults, _ = record_faults_at_checks(seed)
                self.assertGreater(len(faults), 5)
                for faults_at_checks in faults:
                    # A version written after the snapshot is checked before feeds are deaf.
                    self.assertEqual([None, None], faults_at_checks[:2])
                    self.assertIn("stale", faults_at_checks)


def record_faults_at_checks(seed: int) -> list[list[str | None]]:
    """Run the soak without balancers, with stale listings as the only fault of the store.

    :returns: for each snapshot of the store, the faults at the changes of the configuration until
        the next snapshot; the balancers are checked just before each change.
    """
    faults: list[list[str | None]] = [[]]
    configure = cluster.Cluster.configure

    async def record_fault(deployment: cluster.Cluster) -> int:
        faults[-1].append(deployment.store.fault)
        return await configure(deployment)

    loop = virtual.new_event_loop()
    with (
        mock.patch.object(cluster.Cluster, "configure", record_fault),
        mock.patch.object(store.Store, "snapshot", lambda self: faults.append([])),
    ):
        loop.run_until_complete(
            soak.run(seed, LONG_DURATION_S, nodes=0, planted_fault="going-back")
        )
    loop.shutdown()
    return faults[1:]


class PlantedFaultTest(unittest.TestCase):
    def test_every_promise_is_violated_without_its_mechanism(self) -> None:
        violated = asyncio.run(run_planted_faults())
        for name, planted_fault in planted.PLANTED_FAULTS.items():
            with self.subTest(planted_fault=name):
                self.assertIn(planted_fault.promise, violated[name])


async def run_planted_faults() -> dict[str, set[str]]:
    """Run the soak with each planted fault; return the names of the violated promises."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_RUNS)

    async def run_planted_fault(name: str, seed: int) -> set[str]:
        async with semaphore:
            findings = await soak.run(seed, MAX_DETECTION_S, nodes=4, planted_fault=name)
        return {violation.partition(":")[0] for violation in findings.violations}

    runs = [
        run_planted_fault(name, seed) for seed, name in enumerate(planted.PLANTED_FAULTS, start=20)
    ]
    return dict(zip(planted.PLANTED_FAULTS, await asyncio.gather(*runs), strict=True))
