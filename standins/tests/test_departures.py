"""Upstreams that say in their responses that they are leaving, with real balancer processes."""

import asyncio
import collections
import dataclasses
import itertools
import random
import unittest

from standins.deployment import client, cluster
from waxwingspool.proxy import message

# Second byte of the loopback addresses, outside the ranges of the soak and the demo.
SUBNET = 244
SEED = 11
TIMEOUT_S = 20.0
# Callers of each balancer and kind of request, and pause of one after a response in seconds.
CALLERS = 2
PAUSE_S = 0.03
# Time for which an upstream that is leaving still serves, in seconds.
LEAVING_S = 3.0
PATHS = {"lookup": "GET", "pay": "POST"}


@dataclasses.dataclass
class Sent:
    """A request, the balancer that got it, and the event loop time of sending it in seconds."""

    node: str
    kind: str
    sent_at: float
    response: client.Response | None = None


class Traffic:
    """Callers of all balancers, and what they were told about departures."""

    def __init__(self, deployment: cluster.Cluster) -> None:
        self._deployment = deployment
        self._ids = (f"departure-{number}" for number in itertools.count())
        self._stopped = asyncio.Event()
        self.sent: dict[str, Sent] = {}
        # When each balancer first passed on a response of an upstream that told its departure.
        self.told_at: dict[tuple[str, str], float] = {}

    async def run(self) -> None:
        """Send requests until stopped."""
        callers = [
            self._send_requests(node, kind, method)
            for node in self._deployment.nodes
            for kind, method in PATHS.items()
            for _ in range(CALLERS)
        ]
        await asyncio.gather(*callers)

    @property
    def arrivals(self) -> list[tuple[float, str, str, str]]:
        """Requests that reached an upstream; see :class:`standins.deployment.upstream.Ledger`."""
        return [arrival for arrival in self._deployment.ledger.arrivals if arrival[3] in self.sent]

    def stop(self) -> None:
        self._stopped.set()

    async def _send_requests(self, node: cluster.Node, kind: str, method: str) -> None:
        loop = asyncio.get_running_loop()
        caller = client.Client((node.ip, cluster.FRONT_PORT))
        while not self._stopped.is_set():
            id_ = next(self._ids)
            self.sent[id_] = Sent(node.name, kind, loop.time())
            response = await caller.send(method, f"/{kind}/1", id_)
            self.sent[id_].response = response
            if message.get_header(response.headers, b"server-leaving") is not None:
                upstream = self._deployment.ledger.last_upstream[id_]
                self.told_at.setdefault((node.name, upstream), loop.time())
            await asyncio.sleep(PAUSE_S)
        caller.close()

    def late(self, until: float = float("inf")) -> list[str]:
        """Return the requests that reached a leaving upstream although the balancer was told.

        :param until: event loop time in seconds of the next start of the upstreams.
        """
        return [
            id_
            for arrived_at, upstream, _, id_ in self.arrivals
            if arrived_at < until
            if self.sent[id_].sent_at > self.told_at.get((self.sent[id_].node, upstream), until)
        ]

    def statuses(self, since: float = 0.0) -> collections.Counter:
        """Return the number of responses by status, of requests sent after a time."""
        return collections.Counter(
            sent.response.status
            for sent in self.sent.values()
            if sent.response is not None and sent.sent_at >= since
        )


class DepartureTest(unittest.TestCase):
    def run_deployment(self, scenario, balancers: int = 3, upstreams: int = 3) -> Traffic:
        """Run a scenario beside callers, and return what they saw."""

        async def run() -> Traffic:
            deployment = cluster.Cluster(balancers, upstreams, SUBNET, random.Random(SEED))
            traffic = Traffic(deployment)
            try:
                await deployment.start()
                callers = asyncio.create_task(traffic.run())
                async with asyncio.timeout(TIMEOUT_S):
                    while traffic.statuses()[200] < 50 * balancers:
                        await asyncio.sleep(0.1)
                await scenario(deployment, traffic)
                traffic.stop()
                await callers
                return traffic
            finally:
                await deployment.stop()

        return asyncio.run(run())

    def test_leaving_upstream_gets_no_new_requests_while_the_store_is_away(self) -> None:
        # Guards against balancers that learn from the store alone that an upstream leaves.
        for fault in ("reset", "silent"):
            with self.subTest(fault=fault):
                traffic = self.run_deployment(self.leave_without_store(fault))
                self.check_departure(traffic)
                self.assertGreater(traffic.statuses()[200], 300)

    def check_departure(self, traffic: Traffic) -> None:
        """Check that each balancer uses a leaving upstream until it is told, and no longer."""
        self.assertEqual([], traffic.late())
        # Each caller of payments meets it once at most, since its response tells the balancer.
        after = [
            id_
            for arrived_at, upstream, _, id_ in traffic.arrivals
            if upstream == "till-0" and arrived_at > self.left_at
        ]
        self.assertLessEqual(len(after), 3 * CALLERS)

    def leave_without_store(self, fault: str):
        async def scenario(deployment: cluster.Cluster, traffic: Traffic) -> None:
            deployment.store.fault = fault
            deployment.store_relay.reset()
            self.left_at = asyncio.get_running_loop().time()
            for id_ in ("till-0", "tags-0"):
                deployment.upstreams[id_].leaving = True
            await asyncio.sleep(LEAVING_S)

        return scenario

    def test_departure_outweighs_an_entry_that_goes_on_saying_ready(self) -> None:
        # Guards against rows of the store that undo what the upstream itself has said.
        async def scenario(deployment: cluster.Cluster, traffic: Traffic) -> None:
            self.left_at = asyncio.get_running_loop().time()
            deployment.upstreams["till-0"].leaving = True
            for _ in range(4):
                await asyncio.sleep(LEAVING_S / 4)
                await deployment.register("till-0", "ready")

        self.check_departure(self.run_deployment(scenario))

    def test_new_start_of_an_upstream_that_left_is_used(self) -> None:
        # Guards against a departure that outlives the start that it is about.
        for store_away in (False, True):
            with self.subTest(store_away=store_away):
                traffic = self.run_deployment(self.leave_and_start_again(store_away))
                self.assertEqual([], traffic.late(self.started_again_at))

    def leave_and_start_again(self, store_away: bool):
        async def scenario(deployment: cluster.Cluster, traffic: Traffic) -> None:
            if store_away:
                deployment.store.fault = "reset"
                deployment.store_relay.reset()
            restarted = deployment.upstreams["till-0"]
            restarted.leaving = True
            await asyncio.sleep(LEAVING_S)
            restarted.gone = True
            deployment.relays["till-0"].reset()
            await asyncio.sleep(0.2)
            self.started_again_at = asyncio.get_running_loop().time()
            restarted.start_again()
            await deployment.register("till-0", "ready")
            async with asyncio.timeout(TIMEOUT_S):
                while not self.is_used(deployment, "till-0", self.started_again_at):
                    await asyncio.sleep(0.1)

        return scenario

    def test_callers_of_a_lone_upstream_that_leaves_are_refused_at_once(self) -> None:
        # Guards against requests that wait until their deadline for the only upstream.
        async def scenario(deployment: cluster.Cluster, traffic: Traffic) -> None:
            deployment.store.fault = "reset"
            deployment.store_relay.reset()
            self.left_at = asyncio.get_running_loop().time()
            deployment.upstreams["till-0"].leaving = True
            await asyncio.sleep(LEAVING_S)

        traffic = self.run_deployment(scenario, upstreams=1)
        self.check_departure(traffic)
        payments = [
            sent.response
            for sent in traffic.sent.values()
            if sent.kind == "pay" and sent.sent_at > self.left_at + LEAVING_S / 2
        ]
        self.assertEqual({503}, {response.status for response in payments})
        for response in payments:
            self.assertIsNotNone(message.get_header(response.headers, b"retry-after"))
        self.assertGreater(len(payments), 3 * CALLERS)

    def test_payments_are_served_while_all_upstreams_start_again_in_turn(self) -> None:
        # Guards against requests that are cut, or refused for good, in a rolling restart.
        async def scenario(deployment: cluster.Cluster, traffic: Traffic) -> None:
            self.left_at = asyncio.get_running_loop().time()
            for number in range(3):
                restarted = deployment.upstreams[f"till-{number}"]
                restarted.leaving = True
                await asyncio.sleep(1.0)
                while restarted.busy:
                    await asyncio.sleep(0.05)
                restarted.gone = True
                deployment.relays[restarted.id].reset()
                await asyncio.sleep(0.2)
                started_at = asyncio.get_running_loop().time()
                restarted.start_again()
                await deployment.register(restarted.id, "ready")
                async with asyncio.timeout(TIMEOUT_S):
                    while not self.is_used(deployment, restarted.id, started_at):
                        await asyncio.sleep(0.05)

        traffic = self.run_deployment(scenario)
        statuses = traffic.statuses(self.left_at)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses[200], 10 * statuses[503])

    def is_used(self, deployment: cluster.Cluster, upstream: str, since: float) -> bool:
        arrivals = reversed(deployment.ledger.arrivals)
        recent = itertools.takewhile(lambda arrival: arrival[0] > since, arrivals)
        return any(arrived_at for arrived_at, id_, _, _ in recent if id_ == upstream)
