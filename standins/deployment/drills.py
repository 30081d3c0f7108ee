"""Two faults of the soak that are announced: a store restored from a copy, a leaving upstream."""

import asyncio
import random
from collections.abc import Awaitable, Callable, MutableMapping

from standins.deployment import client, cluster
from waxwingspool.proxy import message

__all__ = ["DepartureDrill", "RestorationDrill"]

# Pause between two restorations, age of the copy that the store is restored from, time for which it
# is away, and time until operator and upstreams write again, in seconds; and rows lost besides.
PAUSE_S = (0.0, 6.0)
COPY_AGE_S = (0.3, 6.0)
AWAY_S = (0.1, 2.0)
WRITTEN_AGAIN_AFTER_S = (0.0, 1.5)
LOST_ROWS = (0, 50, 200)
# Time for which a balancer that has passed on that an upstream leaves may still send it requests,
# in seconds, as specified by the users.
MAX_DRAIN_S = 2.5
# Time for which an upstream that is leaving still serves, time until it has started again, and
# longest time that it takes to end what it runs, in seconds.
LEAVING_S = (1.0, 7.0)
RESTART_S = (0.0, 2.0)
MAX_BUSY_S = 5.0
POLL_S = 0.05
# Ways in which the row of a leaving upstream may change.
ANNOUNCEMENTS = ("none", "draining", "removed")

# Time after a restoration at which a configuration is written whose arrival is checked, in seconds;
# see :data:`.soak.MIN_STABLE_S`.
CALM_S = 4.1

Now = Callable[[], float]


class RestorationDrill:
    """Restores the store from a copy, which loses what was written since.

    :param ended_at: when the last fault of each kind ended; infinite while it lasts.
    :param check_configuration: writes a configuration and checks that balancers apply it in time.
    """

    def __init__(
        self,
        deployment: cluster.Cluster,
        rng: random.Random,
        now: Now,
        ended_at: MutableMapping[str, float],
        check_configuration: Callable[[], Awaitable[None]],
    ) -> None:
        self._cluster = deployment
        self._rng = rng
        self._now = now
        self._ended_at = ended_at
        self._check_configuration = check_configuration

    async def run(self) -> None:
        """Make a copy, restore it after some time, and let operator and upstreams write again."""
        store = self._cluster.store
        await asyncio.sleep(self._rng.uniform(*PAUSE_S))
        copy = store.copy()
        for number in range(self._rng.choice(LOST_ROWS)):
            await store.put("notes", f"lost-{number}", {})
        await asyncio.sleep(self._rng.uniform(*COPY_AGE_S))
        self._ended_at["restoration"] = float("inf")
        store.away = True
        self._cluster.store_relay.reset()
        await asyncio.sleep(self._rng.uniform(*AWAY_S))
        await store.restore(copy)
        store.away = False
        await asyncio.sleep(self._rng.uniform(*WRITTEN_AGAIN_AFTER_S))
        await self._cluster.write_again()
        self._ended_at["restoration"] = self._now()
        await asyncio.sleep(CALM_S)
        await self._check_configuration()


class DepartureDrill:
    """Lets upstreams leave, which they say in their responses, and start again.

    :param is_excused: whether a kill or pause of a balancer since a time excuses a late request.
    :ivar ended_at: when the last restart of each upstream ended; infinite while it lasts.
    :ivar leaving: upstreams that are leaving.
    :ivar avoided: upstreams that may not leave now.
    """

    def __init__(
        self,
        deployment: cluster.Cluster,
        rng: random.Random,
        now: Now,
        is_excused: Callable[[cluster.Node, float], bool],
    ) -> None:
        self._cluster = deployment
        self._rng = rng
        self._now = now
        self._is_excused = is_excused
        # Balancer and time of sending of each request.
        self._sent: dict[str, tuple[cluster.Node, float]] = {}
        # When each balancer passed on a response that told the departure of an upstream's start.
        self._told_at: dict[tuple[str, str, int], float] = {}
        self.ended_at: dict[str, float] = {}
        self.leaving: set[str] = set()
        self.avoided: set[str] = set()
        self.late: list[str] = []

    async def run(self) -> None:
        """Let an upstream leave, end and start again under its id."""
        candidates = sorted(set(self._cluster.upstreams) - self.leaving - self.avoided)
        id_ = self._rng.choice(candidates)
        upstream = self._cluster.upstreams[id_]
        self.leaving.add(id_)
        upstream.leaving = True
        announcement = self._rng.choice(ANNOUNCEMENTS)
        if announcement == "draining":
            await self._cluster.register(id_, "draining")
        elif announcement == "removed":
            await self._cluster.deregister(id_)
        await asyncio.sleep(self._rng.uniform(*LEAVING_S))
        ends_at = self._now() + MAX_BUSY_S
        while upstream.busy and self._now() < ends_at:
            await asyncio.sleep(POLL_S)
        self._check(id_)
        self.ended_at[id_] = float("inf")
        upstream.gone = True
        self._cluster.relays[id_].reset()
        await asyncio.sleep(self._rng.uniform(*RESTART_S))
        upstream.start_again()
        await self._cluster.register(id_, "ready")
        self.ended_at[id_] = self._now()
        self.leaving.discard(id_)

    def record_sent(self, node: cluster.Node, request_id: str) -> None:
        """Record that a request is sent to a balancer."""
        self._sent[request_id] = node, self._now()

    def record_response(self, node: cluster.Node, response: client.Response) -> None:
        """Record a response that a balancer has passed on."""
        if message.get_header(response.headers, b"server-leaving") is not None:
            id_ = self._cluster.ledger.last_upstream[response.request_id]
            self._told_at.setdefault(self._key(node, id_), self._now())

    def _key(self, node: cluster.Node, id_: str) -> tuple[str, str, int]:
        return f"{node.name}/{node.start_count}", id_, self._cluster.upstreams[id_].started_ms

    def _check(self, id_: str) -> None:
        """Look for requests that reached an upstream after their balancer was told."""
        for arrived_at, upstream, _, request_id in self._cluster.ledger.arrivals:
            if upstream != id_ or request_id not in self._sent:
                continue
            node, sent_at = self._sent[request_id]
            told_at = self._told_at.get(self._key(node, id_), float("inf"))
            if sent_at > told_at + MAX_DRAIN_S and not self._is_excused(node, told_at):
                detail = f"{request_id} at {id_}, sent {sent_at - told_at:.2f} s after it was told"
                self.late.append(f"{detail}, arrived {arrived_at - sent_at:.2f} s later")
