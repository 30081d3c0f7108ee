"""Balancers, callers and upstreams with rate limits, on virtual time.

Slot managers, dispatchers, links and frames are the product's own; sockets, upstreams and callers
are modelled.
"""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Callable, Iterable
from unittest import mock

from standins import virtual
from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import election, health, rates
from waxwingspool.fleet import departures, frames, link, members, slots
from waxwingspool.fleet.tests import test_tables
from waxwingspool.observe import eventlog

__all__ = ["Fleet"]

SERVICE = "tags"
# One way delays in seconds.
PEER_DELAY_S = 0.001
REGION_DELAY_S = 0.03
# Window in which requests are counted, and time after which a balancer must keep to a limit that it
# was told, in seconds; as specified by the users.
WINDOW_S = 4.0
TOLD_S = 0.5
USER_TIMEOUT_S = link.USER_TIMEOUT_MS / 1000
# Latency objective and timeout of a request in seconds, and most retries of a caller.
OBJECTIVE_S, TIMEOUT_S, MAX_RETRIES = 0.6, 5.0, 2


class _Transport:
    """One end of a link between two balancers."""

    def __init__(self, fleet: "Fleet", owner: "Balancer", protocol: link.Link) -> None:
        self._fleet, self.owner, self._protocol = fleet, owner, protocol
        self.other: _Transport | None = None
        self._closed = False
        self._arrives_at = 0.0

    def get_extra_info(self, name: str) -> mock.Mock:
        return mock.Mock()

    def is_closing(self) -> bool:
        return self._closed

    def write(self, data: bytes) -> None:
        self.owner.sent_bytes += len(data)
        if not self._fleet.reaches(self.owner, self.other.owner):
            self._fleet.loop.call_later(USER_TIMEOUT_S, self.abort)
            return
        # Strictly increasing, so that bytes arrive in order.
        now = self._fleet.loop.time()
        self._arrives_at = max(self._arrives_at + 1e-9, now + self._delay_s())
        self._fleet.loop.call_at(self._arrives_at, self.other.receive, data)

    def _delay_s(self) -> float:
        crosses = self.owner.settings.region != self.other.owner.settings.region
        return REGION_DELAY_S if crosses else PEER_DELAY_S

    def receive(self, data: bytes) -> None:
        wakes_at = self.owner.frozen_until
        if wakes_at > self._fleet.loop.time():
            self._fleet.loop.call_at(wakes_at, self.receive, data)
        elif not self._closed:
            self._protocol.data_received(data)

    def abort(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._fleet.loop.call_soon(self._protocol.connection_lost, None)
        if self._fleet.reaches(self.owner, self.other.owner):
            self._fleet.loop.call_later(self._delay_s(), self.other.abort)


class Upstream:
    """An upstream that runs what it gets at once.

    :ivar rate: limit that it names, in requests per second, ``None`` for none.
    :ivar arrivals: time and balancer of each request.
    :ivar told_at: when each balancer first got a response with a limit.
    """

    def __init__(self, number: int, region: str, work_s: float) -> None:
        self.registered = upstreams.Upstream(
            f"u{number}", SERVICE, ("10.9.0.1", number + 1), f"{region}-1", 4, False, 0.0, 1, 1
        )
        self.work_s = work_s
        self.rate: float | None = None
        self.arrivals: list[tuple[float, str]] = []
        self.told_at: dict[str, float] = {}


class Balancer:
    """One balancer with callers.

    :ivar running: whether its process runs.
    :ivar frozen_until: time until which it reads nothing.
    :ivar sent_bytes: bytes sent to other balancers.
    """

    def __init__(self, fleet: "Fleet", ip: str, region: str) -> None:
        self._fleet = fleet
        self.ip = ip
        self.running = True
        self.frozen_until = 0.0
        self.sent_bytes = 0
        self.transports: list[_Transport] = []
        self.settings = dataclasses.replace(
            test_tables.make_settings(ip),
            data_centre=f"{region}-1",
            region=region,
            regions={"a-1": "a", "b-1": "b"},
        )

    def start(self) -> None:
        """Start, with nothing of before."""
        self.running = True
        membership = members.Members(self.settings)
        for peer in self._fleet.balancers.values():
            membership.update(peer.ip, members.encode(peer.settings))
        self.links = link.Links(self.settings, self._receive, self._handle_lost_link)
        self.slot_manager = slots.SlotManager(
            self.settings, membership, self.links, departures.Departures(lambda: None)
        )
        self.slot_manager.update_upstreams([u.registered for u in self._fleet.upstreams.values()])
        self._task = self._fleet.loop.create_task(self.slot_manager.run())

    def kill(self) -> None:
        """End the process; its links are reset."""
        self.running = False
        self._task.cancel()
        for transport in self.transports:
            transport.abort()
        self.transports.clear()

    def accept(self) -> link.Link:
        """Return the protocol of a link that a peer opens."""
        return link.Link("", self._receive, self._handle_lost_link)

    def _receive(self, peer_link: link.Link, frame: frames.Frame) -> None:
        match frame:
            case frames.SlotRequest():
                self.slot_manager.receive_slot_request(peer_link, frame)
            case frames.Granted() | frames.Refused():
                self.slot_manager.receive_reply(frame)
            case frames.Release():
                self.slot_manager.receive_release(peer_link, frame)
            case frames.HeldSlot():
                self.slot_manager.receive_held_slot(peer_link, frame)
            case frames.RateLimit():
                self.slot_manager.receive_rate_limit(peer_link, frame)
            case frames.LendShare():
                self.slot_manager.receive_loan(peer_link, frame)

    def _handle_lost_link(self, peer_link: link.Link) -> None:
        if self.running:
            self.slot_manager.handle_lost_link(peer_link)


class Fleet:
    """A deployment whose balancers send requests for one service.

    :param balancers: number of balancers in each region.
    :param upstream_counts: number of upstreams in each region.
    :param rate: requests per second of all callers of a region together.
    :ivar cut: pairs of balancers' addresses that can't reach each other.
    :ivar outcomes: number of requests by outcome, and of refused attempts by reason.
    """

    def __init__(
        self,
        balancers: Iterable[int] = (12,),
        upstream_counts: Iterable[int] = (7,),
        rate: float = 30.0,
        work_s: float = 0.2,
        seed: int = 1,
    ) -> None:
        self.loop = virtual.new_event_loop()
        self.loop.create_connection = self._connect
        self._rng = random.Random(seed)
        self._rate = rate
        self.cut: set[frozenset[str]] = set()
        self.outcomes: collections.Counter = collections.Counter()
        self._patches = [
            mock.patch.object(slots.time, "monotonic", self.loop.time),
            mock.patch.object(slots, "random", mock.Mock(Random=self._make_rng)),
            mock.patch.object(eventlog, "event"),
        ]
        for patch in self._patches:
            patch.start()
        self.upstreams: dict[str, Upstream] = {}
        for region, count in zip("ab", upstream_counts, strict=False):
            for _ in range(count):
                upstream = Upstream(len(self.upstreams), region, work_s)
                self.upstreams[upstream.registered.id] = upstream
        self.balancers: dict[str, Balancer] = {}
        for region, count in zip("ab", balancers, strict=False):
            for number in range(count):
                ip = f"10.{'ab'.index(region)}.{number // 250}.{number % 250 + 1}"
                self.balancers[ip] = Balancer(self, ip, region)
        for balancer in self.balancers.values():
            balancer.start()
        for region, count in zip("ab", balancers, strict=False):
            if count:
                self.loop.create_task(self._send_requests(region))

    def _make_rng(self) -> random.Random:
        return random.Random(self._rng.random())

    def close(self) -> None:
        """Stop everything."""
        self.loop.shutdown()
        for patch in self._patches:
            patch.stop()

    def ranking(self, region: str = "a") -> list[Balancer]:
        """Return the balancers of a region in the order in which they are its dispatcher."""
        ips = [b.ip for b in self.balancers.values() if b.settings.region == region]
        return [self.balancers[ip] for ip in election.ranking(f"slots {SERVICE}", ips)]

    def dispatcher(self) -> Balancer:
        """Return the dispatcher, the first balancer in rank that runs."""
        return next(balancer for balancer in self.ranking() if balancer.running)

    def reaches(self, one: Balancer, other: Balancer) -> bool:
        """Return whether two balancers reach each other."""
        return frozenset((one.ip, other.ip)) not in self.cut

    def part(self, groups: Iterable[Iterable[Balancer]]) -> None:
        """Cut all links between groups of balancers."""
        group_of = {b.ip: index for index, group in enumerate(groups) for b in group}
        self.cut = {
            frozenset((one, other))
            for one in group_of
            for other in group_of
            if group_of[one] < group_of[other]
        }

    def kill_dispatchers(self, seconds: float) -> None:
        """Kill the dispatcher every three seconds, and start it again at the next kill."""

        def kill() -> None:
            for balancer in self.balancers.values():
                if not balancer.running:
                    balancer.start()
            self.dispatcher().kill()

        self.repeat(seconds, 3.0, kill)

    def split(self, seconds: float) -> None:
        """Cut the balancers into two halves."""
        ranking = self.ranking()
        self.part([ranking[0::2], ranking[1::2]])
        self.loop.advance(seconds)

    def isolate(self, seconds: float) -> None:
        """Cut each balancer off from all others."""
        self.part([balancer] for balancer in self.balancers.values())
        self.loop.advance(seconds)

    def most_arrivals(self, id_: str, start: float, only_told: bool = False) -> int:
        """Return the most requests for an upstream in any window of :data:`WINDOW_S`.

        :param start: time from which requests are counted.
        :param only_told: whether to count only those of balancers that have got a response with
            the limit :data:`TOLD_S` before.
        """
        told_at = self.upstreams[id_].told_at
        times = [
            at
            for at, ip in self.upstreams[id_].arrivals
            if at >= start and (not only_told or told_at.get(ip, float("inf")) + TOLD_S <= at)
        ]
        return max((sum(1 for at in times if t <= at < t + WINDOW_S) for t in times), default=0)

    def arrivals_between(self, id_: str, start: float, end: float) -> int:
        """Return the number of requests for an upstream between two times."""
        return sum(1 for at, _ in self.upstreams[id_].arrivals if start <= at < end)

    def repeat(self, seconds: float, interval_s: float, action: Callable[[], None]) -> None:
        """Advance the time, and act at each interval."""
        for _ in range(round(seconds / interval_s)):
            self.loop.advance(interval_s)
            action()

    async def _send_requests(self, region: str) -> None:
        callers_of = [b for b in self.balancers.values() if b.settings.region == region]
        while True:
            await asyncio.sleep(self._rng.expovariate(self._rate))
            balancer = self._rng.choice(callers_of)
            if balancer.running:
                self.loop.create_task(self._send(balancer))

    async def _send(self, balancer: Balancer) -> None:
        deadline = self.loop.time() + TIMEOUT_S
        for _ in range(1 + MAX_RETRIES):
            remaining_s = deadline - self.loop.time()
            slot = await balancer.slot_manager.acquire(SERVICE, remaining_s, OBJECTIVE_S, 1, 0, ())
            if isinstance(slot, slots.Slot):
                await self._run(balancer, slot)
                self.outcomes["answered"] += 1
                return
            self.outcomes[slot.reason] += 1
            await asyncio.sleep(slot.retry_after_s)
        self.outcomes["refused"] += 1

    async def _run(self, balancer: Balancer, slot: slots.Slot) -> None:
        slot_manager, target = balancer.slot_manager, self.upstreams[slot.upstream.id]
        sent_at = self.loop.time()
        await asyncio.sleep(PEER_DELAY_S)
        target.arrivals.append((self.loop.time(), balancer.ip))
        await asyncio.sleep(target.work_s * self._rng.uniform(0.5, 1.5))
        rate = target.rate
        await asyncio.sleep(PEER_DELAY_S)
        if rate is not None:
            target.told_at.setdefault(balancer.ip, self.loop.time())
        report = rates.LimitReport(rate, sent_at, self.loop.time())
        seconds = self.loop.time() - sent_at
        if balancer.running and balancer.slot_manager is slot_manager:
            slot_manager.release(
                slot, health.Report(health.Outcome.ANSWERED, seconds, limit=report)
            )

    async def _connect(self, factory, ip: str, port: int, local_addr: tuple[str, int]):
        opener, peer = self.balancers[local_addr[0]], self.balancers[ip]
        await asyncio.sleep(2 * PEER_DELAY_S)
        if not self.reaches(opener, peer):
            await asyncio.Event().wait()
        if not peer.running:
            raise ConnectionRefusedError
        near, far = factory(), peer.accept()
        transport, accepted = _Transport(self, opener, near), _Transport(self, peer, far)
        transport.other, accepted.other = accepted, transport
        opener.transports.append(transport)
        peer.transports.append(accepted)
        near.connection_made(transport)
        far.connection_made(accepted)
        return transport, near
