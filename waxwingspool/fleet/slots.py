"""Allocation of upstream slots across balancers: the client and the dispatcher side.

For each service and region, the available balancer that ranks first is the dispatcher and grants
the slots of the region's upstreams. Slots only spread load; no guarantee depends on them. While the
dispatcher is down, unreachable or slow, a balancer immediately uses its own share of each upstream.
"""

import asyncio
import dataclasses
import itertools
import random
import time
from collections.abc import Iterable

import msgspec

from waxwingspool import exceptions
from waxwingspool.catalog import node, upstreams
from waxwingspool.dispatch import election, health, rates, shares, slots
from waxwingspool.fleet import departures, frames, link, members, rate_limits
from waxwingspool.observe import eventlog

__all__ = ["Refused", "Slot", "SlotManager"]

# Time that a dispatcher may take to reply in addition to the wait in its queue, in seconds.
REPLY_MARGIN_S = 0.2
# Interval at which waiting requests are checked if no other event causes a check, in seconds.
POLL_INTERVAL_S = 0.02
# Interval at which changes of rate limits are passed on, in seconds.
LIMIT_BROADCAST_INTERVAL_S = 0.2
# Interval at which the state of a dispatcher is logged, in seconds.
STATE_LOG_INTERVAL_S = 1.0
# Concurrency that all balancers of a region may use together without a dispatcher, as a multiple of
# the region's concurrency; each balancer has an equal share of it.
LOCAL_OVERCOMMIT_FACTOR = 2.0
# Number of times that a dispatcher is asked for one slot, if it grants slots at upstreams that this
# balancer does not use any more.
MAX_SLOT_REQUESTS = 3
# Round-trip time to another region in seconds, which a slot borrowed from there costs.
CROSS_REGION_RTT_S = 0.07
# Largest request body sent to another region, in bytes; the link between regions has little
# bandwidth.
MAX_CROSS_REGION_BODY_BYTES = 20_000


@dataclasses.dataclass(slots=True)
class Slot:
    """Permission to send one request to an upstream.

    :ivar expected_s: expected response time in seconds.
    :ivar dispatcher: address of the balancer that counts the slot; this balancer for a local slot.
    :ivar local: whether the slot comes from this balancer's own share.
    :ivar limited: whether the dispatcher knows of a rate limit of the upstream.
    :ivar straggler: done once the request is found to be a straggler, which takes much longer than
        expected.
    """

    key: int
    service: str
    upstream: upstreams.Upstream
    expected_s: float
    dispatcher: str
    request: frames.SlotRequest
    local: bool = False
    limited: bool = False
    straggler: asyncio.Future = dataclasses.field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """No slot is available; the request has not been sent to any upstream."""

    retry_after_s: float
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Unusable:
    """A slot was granted at an upstream that this balancer does not use any more."""

    upstream: str


_DepartureFrame = frames.SlotRequest | frames.Granted | frames.Refused | frames.Release


class SlotManager:
    """Acquires slots for this balancer, and grants slots where it is the dispatcher.

    :param settings: settings of this balancer.
    :param membership: all known balancers.
    :param links: links to peers.
    :param known_departures: upstreams that are leaving.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        membership: members.Members,
        links: link.Links,
        known_departures: departures.Departures,
    ) -> None:
        self._settings = settings
        self._members = membership
        self._links = links
        self._departures = known_departures
        self._keys = itertools.count(1)
        self._rng = random.Random()
        self._upstreams: dict[str, upstreams.Upstream] = {}
        self._by_service: dict[str, list[upstreams.Upstream]] = {}
        # Dispatchers for the whole region, and those for this balancer's own share.
        self._regional: dict[str, slots.Dispatcher] = {}
        self._local: dict[str, slots.Dispatcher] = {}
        # Decisions that this balancer waits for, by key of the slot request.
        self._pending: dict[int, asyncio.Future] = {}
        # Links to the peers that request slots from this balancer, by address.
        self._requester_links: dict[str, link.Link] = {}
        # Slots that this balancer holds, by key of the slot request.
        self._held: dict[int, Slot] = {}
        # Dispatchers' addresses and services for which the held slots have been reported.
        self._reported: set[tuple[str, str]] = set()
        self._limits = rate_limits.SharedLimits(settings, membership)
        # Addresses of peers and services for which they have been told the rate limits.
        self._told: set[tuple[str, str]] = set()
        self._leaving = False

    # State of the upstreams

    def update_upstreams(self, upstream_list: list[upstreams.Upstream]) -> None:
        """Replace the upstreams that may get requests."""
        self._upstreams = {upstream.id: upstream for upstream in upstream_list}
        self._by_service = {}
        for upstream in upstream_list:
            self._by_service.setdefault(upstream.service, []).append(upstream)
        self._limits.update_upstreams(upstream_list)
        for service, dispatcher in (*self._regional.items(), *self._local.items()):
            dispatcher.update(self._region_upstreams(service))
        self._decide_all_waiting()

    def active_upstreams(self, window_s: float) -> list[upstreams.Upstream]:
        """Return the upstreams of the services that have had a request recently.

        :param window_s: longest time since the last request to a service, in seconds.
        """
        now = time.monotonic()
        dispatchers = (*self._regional.values(), *self._local.values())
        active = [d for d in dispatchers if d.idle_s(now) < window_s]
        found = {h.upstream.id: h.upstream for d in active for h in d.upstream_health.values()}
        return list(found.values())

    def may_probe(self, target: upstreams.Upstream) -> bool:
        """Return whether a probe may be sent now; it counts against a rate limit."""
        now = time.monotonic()
        found = self._dispatchers_for(target.service)
        return any(dispatcher.may_probe(target.id, now) for dispatcher in found)

    def record_probed_limit(self, target: upstreams.Upstream, report: rates.LimitReport) -> None:
        """Record what the response to a probe tells about a rate limit."""
        self._limits.record(target, report, "probe")

    def record_departure(self, target: upstreams.Upstream, source: str, request_id: str) -> None:
        """Record that an upstream says that it is leaving.

        :param source: ``response`` or ``probe``.
        :param request_id: id of the request, for the log; empty for a probe.
        """
        in_use = self._is_in_use((target.id, target.started_ms))
        self._departures.record(target, source, in_use, request_id)

    def receive_departures(self, peer: str, starts: Iterable[departures.Start]) -> None:
        """Record the departures that a peer tells."""
        self._departures.receive(peer, starts, self._is_in_use)

    def _is_in_use(self, start: departures.Start) -> bool:
        id_, started_ms = start
        known = self._upstreams.get(id_)
        return known is not None and known.started_ms == started_ms

    def _send(self, peer_link: link.Link, frame: _DepartureFrame) -> None:
        """Send a frame, with the departures that the peer has not been told."""
        untold = self._departures.take_untold(peer_link.peer)
        peer_link.send(msgspec.structs.replace(frame, departures=untold) if untold else frame)

    def record_probe(self, target: upstreams.Upstream, load: int, slowdown: float | None) -> None:
        """Record the result of a probe.

        :param load: number of requests that are running or queued at the upstream.
        :param slowdown: slowdown that the upstream reported, ``None`` if it reported none.
        """
        now = time.monotonic()
        for dispatcher in self._dispatchers_for(target.service):
            dispatcher.record_probe(target.id, load, slowdown, now)
            self._notify_stragglers(dispatcher)
        self._decide_waiting(target.service)

    def record_failed_probe(self, target: upstreams.Upstream) -> None:
        """Record that a probe of an upstream failed."""
        for dispatcher in self._dispatchers_for(target.service):
            dispatcher.record_failed_probe(target.id)

    def _dispatchers_for(self, service: str) -> list[slots.Dispatcher]:
        """Return the dispatchers of a service that run in this process."""
        return [
            by_service[service]
            for by_service in (self._regional, self._local)
            if service in by_service
        ]

    # Acquiring slots

    async def acquire(
        self,
        service: str,
        remaining_s: float,
        objective_s: float,
        priority: int,
        size: int,
        excluded: tuple[str, ...],
        hedge: bool = False,
    ) -> Slot | Refused:
        """Return a slot for a request, after a short wait at most.

        :param remaining_s: time until the deadline of the request, in seconds.
        :param objective_s: latency objective of the route, in seconds.
        :param priority: 0 is the most urgent.
        :param size: size of the request body in bytes.
        :param excluded: upstreams that the request has been sent to already.
        :param hedge: whether another attempt is still running.
        """
        request = frames.SlotRequest(
            service=service,
            key=next(self._keys),
            data_centre=self._settings.data_centre,
            remaining_s=remaining_s,
            objective_s=objective_s,
            priority=priority,
            size=size,
            excluded=excluded,
            borrowed=False,
            hedge=hedge,
        )
        result = await self._request_from_region(request, self._settings.region)
        if isinstance(result, Refused) and not hedge:
            borrowed = await self._request_from_other_regions(request)
            if borrowed is not None:
                return borrowed
        return result

    def release(self, slot: Slot, report: health.Report) -> None:
        """Release a slot and report the outcome of its request."""
        if self._held.pop(slot.key, None) is None:
            return
        if report.limit is not None:
            self._record_limit(slot, report.limit)
        now = time.monotonic()
        if slot.local:
            self._local_dispatcher(slot.service).release(self._settings.ip, slot.key, report, now)
        elif slot.dispatcher == self._settings.ip:
            self._regional_dispatcher(slot.service).release(
                self._settings.ip, slot.key, report, now
            )
            self._decide_waiting(slot.service)
        else:
            peer_link = self._links.get(slot.dispatcher)
            if peer_link is not None:
                self._send(peer_link, _release_frame(slot.service, slot.key, report))

    def _record_limit(self, slot: Slot, report: rates.LimitReport) -> None:
        """Record what a response tells about a rate limit, and tell the dispatcher."""
        known = slot.limited or self._limits.limits.rate(slot.upstream) is not None
        self._limits.record(slot.upstream, report, "response")
        peer_link = self._links.get(slot.dispatcher)
        is_remote = not slot.local and slot.dispatcher != self._settings.ip
        if is_remote and peer_link is not None and (known or report.rate is not None):
            peer_link.send(self._limits.frame(slot.upstream, report))

    async def _request_from_region(
        self, request: frames.SlotRequest, region: str
    ) -> Slot | Refused:
        """Request a slot from the dispatcher of a region.

        If it grants one at an upstream that this balancer does not use any more, it is asked again,
        since it may know less.
        """
        ends_at = time.monotonic() + request.remaining_s
        for _ in range(MAX_SLOT_REQUESTS):
            result = await self._request_once(request, region)
            if isinstance(result, Slot | Refused):
                return result
            request = msgspec.structs.replace(
                request,
                key=next(self._keys),
                remaining_s=max(0.0, ends_at - time.monotonic()),
                excluded=(*request.excluded, result.upstream),
            )
        if region != self._settings.region:
            return Refused(0.0, "the other region's dispatcher knows no upstream in use")
        return self._request_locally(request)

    async def _request_once(
        self, request: frames.SlotRequest, region: str
    ) -> Slot | Refused | _Unusable:
        """Request a slot from the dispatcher of a region once."""
        peer = self._elect_dispatcher(request.service, region)
        if peer == self._settings.ip:
            return await self._request_in_process(request)
        if peer is None:
            return self._request_locally(request)
        future: asyncio.Future = asyncio.get_running_loop().create_future()
        self._pending[request.key] = future
        try:
            async with asyncio.timeout(self._max_reply_wait_s(request) + REPLY_MARGIN_S):
                peer_link = await self._links.get_or_connect(peer)
                self._report_held_slots(peer_link, request.service, region)
                if region == self._settings.region:
                    request.lends_share = self._limits.lend(request.service, peer)
                self._send(peer_link, request)
                reply = await future
        except (TimeoutError, exceptions.PeerUnavailable) as error:
            return self._handle_dispatcher_failure(request, peer, region, error)
        except asyncio.CancelledError:
            self._cancel_slot_request(request, peer)
            raise
        finally:
            self._pending.pop(request.key, None)
        self._links.reset_backoff(peer)
        return self._accept_reply(request, reply, peer)

    def _handle_dispatcher_failure(
        self, request: frames.SlotRequest, peer: str, region: str, error: Exception
    ) -> Slot | Refused:
        """Suspect a dispatcher that timed out, and fall back to this balancer's own share."""
        if isinstance(error, TimeoutError):
            self._cancel_slot_request(request, peer)
            self._links.suspect(peer, f"no reply about a slot of {request.service}")
        elif self._links.refuses(peer):
            self._limits.end_loans(peer)
        if region != self._settings.region:
            return Refused(0.0, "the other region's dispatcher did not answer")
        return self._request_locally(request)

    def _accept_reply(
        self, request: frames.SlotRequest, reply: frames.Granted | frames.Refused, peer: str
    ) -> Slot | Refused | _Unusable:
        """Return the slot or refusal in a dispatcher's reply."""
        if isinstance(reply, frames.Refused):
            return Refused(reply.retry_after_s, reply.reason)
        upstream = self._upstreams.get(reply.upstream)
        if upstream is None:
            self._cancel_slot_request(request, peer)
            eventlog.event(
                "slot.given-back",
                service=request.service,
                upstream=reply.upstream,
                dispatcher=peer,
                departures=self._departures.count,
            )
            return _Unusable(reply.upstream)
        slot = Slot(
            request.key,
            request.service,
            upstream,
            reply.expected_s,
            peer,
            request,
            limited=reply.limited,
        )
        self._held[request.key] = slot
        return slot

    async def _request_in_process(self, request: frames.SlotRequest) -> Slot | Refused | _Unusable:
        """Request a slot from the regional dispatcher that runs in this process."""
        dispatcher = self._regional_dispatcher(request.service)
        self._lend_to_self(request.service)
        decision = dispatcher.submit(
            _slot_request_from_frame(request, self._settings.ip), time.monotonic()
        )
        if decision is None:
            future = asyncio.get_running_loop().create_future()
            self._pending[request.key] = future
            try:
                decision = await future
            except asyncio.CancelledError:
                self._regional_dispatcher(request.service).release(
                    self._settings.ip,
                    request.key,
                    health.Report(health.Outcome.UNUSED),
                    time.monotonic(),
                )
                self._decide_waiting(request.service)
                raise
            finally:
                self._pending.pop(request.key, None)
        return self._accept_decision(request, decision, local=False)

    def _request_locally(self, request: frames.SlotRequest) -> Slot | Refused:
        """Request a slot from this balancer's own share of the upstreams, without waiting."""
        dispatcher = self._local_dispatcher(request.service)
        local_request = _slot_request_from_frame(request, self._settings.ip)
        decision = dispatcher.submit(local_request, time.monotonic(), may_wait=False)
        slot = self._accept_decision(request, decision, local=True)
        if isinstance(slot, _Unusable):
            return Refused(slots.MIN_RETRY_AFTER_S, "the upstream has left")
        return slot

    def _accept_decision(
        self, request: frames.SlotRequest, decision: slots.Decision, local: bool
    ) -> Slot | Refused | _Unusable:
        """Return the slot or refusal that a dispatcher of this process decided on."""
        if isinstance(decision, slots.Refusal):
            return Refused(decision.retry_after_s, decision.reason)
        upstream = self._upstreams.get(decision.upstream)
        if upstream is None:
            dispatchers = self._local if local else self._regional
            unused = health.Report(health.Outcome.UNUSED)
            dispatchers[request.service].release(
                self._settings.ip, request.key, unused, time.monotonic()
            )
            return _Unusable(decision.upstream)
        slot = Slot(
            request.key,
            request.service,
            upstream,
            decision.expected_s,
            self._settings.ip,
            request,
            local,
        )
        self._held[request.key] = slot
        return slot

    async def _request_from_other_regions(self, request: frames.SlotRequest) -> Slot | None:
        """Request a slot from other regions, if the round trip leaves enough time."""
        if (
            request.size > MAX_CROSS_REGION_BODY_BYTES
            or request.remaining_s < CROSS_REGION_RTT_S * 3
        ):
            return None
        for region in self._members.regions() - {self._settings.region}:
            borrowed = msgspec.structs.replace(
                request, key=next(self._keys), borrowed=True, lends_share=False
            )
            result = await self._request_from_region(borrowed, region)
            if isinstance(result, Slot):
                return result
        return None

    def _cancel_slot_request(self, request: frames.SlotRequest, peer: str) -> None:
        peer_link = self._links.get(peer)
        if peer_link is not None:
            unused = health.Report(health.Outcome.UNUSED)
            self._send(peer_link, _release_frame(request.service, request.key, unused))

    def _max_reply_wait_s(self, request: frames.SlotRequest) -> float:
        """Return the longest wait for a reply in seconds, without :data:`REPLY_MARGIN_S`."""
        return _slot_request_from_frame(request, "").max_contended_wait_s + (
            CROSS_REGION_RTT_S if request.borrowed else 0.0
        )

    def _elect_dispatcher(self, service: str, region: str) -> str | None:
        """Return the balancer that grants the slots of a service in a region."""
        ranking = election.ranking(f"slots {service}", self._members.eligible(region))
        for ip in ranking:
            is_own = ip == self._settings.ip
            if (is_own and not self._leaving) or (not is_own and self._links.available(ip)):
                return ip
        return None

    def _report_held_slots(self, peer_link: link.Link, service: str, region: str) -> None:
        """Report the slots that this balancer holds to a dispatcher that does not know of them."""
        self._tell_limits(peer_link, service)
        if (peer_link.peer, service) in self._reported or region != self._settings.region:
            return
        self._reported.add((peer_link.peer, service))
        for slot in self._held.values():
            borrowed = slot.request.borrowed
            if slot.service == service and slot.dispatcher != peer_link.peer and not borrowed:
                peer_link.send(frames.HeldSlot(slot.request, slot.upstream.id))
                slot.dispatcher = peer_link.peer
                slot.local = False

    # Rate limits

    def _tell_limits(self, peer_link: link.Link, service: str) -> None:
        """Tell a peer the known rate limits of a service, unless it has been told."""
        if (peer_link.peer, service) not in self._told:
            self._told.add((peer_link.peer, service))
            for frame in self._limits.known_frames(service):
                peer_link.send(frame)

    def _lend_to_self(self, service: str) -> None:
        """Lend this balancer's share of the rate limits to the dispatcher in this process."""
        if not self._leaving and self._limits.lend(service, self._settings.ip):
            self._limits.record_loan(service, self._settings.ip)

    def known_rate_limits(self) -> dict[str, float]:
        """Return the rates that are kept to, in requests per second, by upstream."""
        limits = {id_: self._limits.limits.rate(u) for id_, u in self._upstreams.items()}
        return {id_: rate for id_, rate in limits.items() if rate is not None}

    def _renew_loans(self) -> None:
        """Lend this balancer's shares to the dispatchers that have them for some more time."""
        for service, borrower in self._limits.renewable_loans():
            if borrower != self._elect_dispatcher(service, self._settings.region):
                continue
            peer_link = self._links.get(borrower)
            if borrower == self._settings.ip:
                self._lend_to_self(service)
            elif peer_link is not None and self._limits.lend(service, borrower):
                peer_link.send(frames.LendShare(service))

    def receive_loan(self, peer_link: link.Link, frame: frames.LendShare) -> None:
        """Record that a peer lends its share for some more time."""
        if not self._leaving:
            self._limits.record_loan(frame.service, peer_link.peer)

    def receive_rate_limit(self, peer_link: link.Link, frame: frames.RateLimit) -> None:
        """Record what a peer tells about the rate limit of an upstream."""
        self._limits.receive(peer_link, frame)

    def handle_leaving(self, peer: str) -> None:
        """Take back the share that was lent to a dispatcher that grants nothing any more."""
        self._limits.end_loans(peer)

    def _broadcast_limits(self) -> None:
        """Tell the balancers that request slots from this one which rate limits have changed."""
        data = b"".join(frames.encode(frame) for frame in self._limits.take_changes())
        for peer_link in self._requester_links.values() if data else ():
            peer_link.send_encoded(data)

    # Granting slots

    def receive_slot_request(self, peer_link: link.Link, request: frames.SlotRequest) -> None:
        """Handle a peer's request for a slot."""
        self._requester_links[peer_link.peer] = peer_link
        self._tell_limits(peer_link, request.service)
        if request.lends_share:
            self._limits.record_loan(request.service, peer_link.peer)
        self._lend_to_self(request.service)
        dispatcher = self._regional_dispatcher(request.service)
        decision = dispatcher.submit(
            _slot_request_from_frame(request, peer_link.peer), time.monotonic()
        )
        if decision is not None:
            self._send(peer_link, self._reply_frame(decision))

    def receive_held_slot(self, peer_link: link.Link, held: frames.HeldSlot) -> None:
        """Count a slot that a peer got from a previous dispatcher."""
        self._requester_links[peer_link.peer] = peer_link
        dispatcher = self._regional_dispatcher(held.request.service)
        dispatcher.record_held(
            _slot_request_from_frame(held.request, peer_link.peer), held.upstream, time.monotonic()
        )

    def receive_release(self, peer_link: link.Link, release: frames.Release) -> None:
        """Release a slot held by a peer, or cancel its request for one."""
        report = health.Report(health.Outcome(release.outcome), release.seconds, release.slowdown)
        dispatcher = self._regional_dispatcher(release.service)
        dispatcher.release(peer_link.peer, release.key, report, time.monotonic())
        self._notify_stragglers(dispatcher)
        self._decide_waiting(release.service)

    def receive_reply(self, reply: frames.Granted | frames.Refused) -> bool:
        """Handle a dispatcher's reply; return whether a request still waits for it."""
        future = self._pending.get(reply.key)
        if future is None or future.done():
            return False
        future.set_result(reply)
        return True

    def receive_straggler(self, frame: frames.Straggler) -> None:
        """Mark the request in a slot of this balancer as a straggler."""
        slot = self._held.get(frame.key)
        if slot is not None and not slot.straggler.done():
            slot.straggler.set_result(None)

    def _notify_stragglers(self, dispatcher: slots.Dispatcher) -> None:
        """Notify the holders of slots whose requests have become stragglers."""
        for holder, key in dispatcher.take_stragglers():
            frame = frames.Straggler(key)
            if holder == self._settings.ip:
                self.receive_straggler(frame)
            elif holder in self._requester_links:
                self._requester_links[holder].send(frame)

    def stop_granting(self) -> None:
        """Stop granting slots, because this balancer is shutting down."""
        self._leaving = True
        self._limits.stop_spending()
        for peer_link in self._requester_links.values():
            peer_link.send(frames.Leaving())

    def handle_lost_link(self, peer_link: link.Link) -> None:
        """Release the slots of a peer whose link has closed, and clear what was reported to it."""
        self._reported = {pair for pair in self._reported if pair[0] != peer_link.peer}
        self._told = {pair for pair in self._told if pair[0] != peer_link.peer}
        self._departures.forget_peer(peer_link.peer)
        if self._requester_links.get(peer_link.peer) is peer_link:
            del self._requester_links[peer_link.peer]
            self._limits.remove_owner(peer_link.peer)
            for dispatcher in self._regional.values():
                dispatcher.remove_holder(peer_link.peer, time.monotonic())
            self._decide_all_waiting()

    async def run(self) -> None:
        """Do what is due at intervals until cancelled.

        Decides on waiting requests, expires slots, keeps peers informed of rate limits and logs the
        state.
        """
        logged_at = broadcast_at = renewed_at = time.monotonic()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for service in self._regional:
                self._poll(service)
            if time.monotonic() - renewed_at > shares.RENEWAL_INTERVAL_S:
                renewed_at = time.monotonic()
                self._renew_loans()
            if time.monotonic() - broadcast_at > LIMIT_BROADCAST_INTERVAL_S:
                broadcast_at = time.monotonic()
                self._broadcast_limits()
            if time.monotonic() - logged_at > STATE_LOG_INTERVAL_S:
                logged_at = time.monotonic()
                self._log_state(logged_at)

    def _log_state(self, now: float) -> None:
        """Log the state of the regional dispatchers in this process that have work."""
        for service, dispatcher in self._regional.items():
            if not dispatcher.in_flight and not dispatcher.waiting:
                continue
            upstream_health = dispatcher.upstream_health.values()
            limited = dispatcher.limited_upstreams()
            eventlog.event(
                "dispatcher.state",
                service=service,
                upstreams=len(upstream_health),
                avoided=sum(1 for known in upstream_health if dispatcher.is_avoided(known, now)),
                capacity=dispatcher.capacity(now),
                in_flight=dispatcher.in_flight,
                waiting=dispatcher.waiting,
                limit_of_four=dispatcher.limit(4),
                mean_s=dispatcher.mean_s,
                usual_slowdown=dispatcher.mean_probe_slowdown,
                limited=",".join(upstream.id for upstream in limited) or None,
                limited_rate=sum(dispatcher.own_rate(upstream, now) for upstream in limited),
                limited_sent=dispatcher.paid_count,
                limited_refused=dispatcher.limited_refusals,
            )

    def _decide_all_waiting(self) -> None:
        for service in self._regional:
            self._decide_waiting(service)

    def _decide_waiting(self, service: str) -> None:
        """Grant or refuse waiting requests of a service after a change."""
        if service in self._regional and self._regional[service].waiting:
            self._poll(service)

    def _poll(self, service: str) -> None:
        """Deliver the decisions on a service's waiting requests, and expire overdue slots."""
        for decision in self._regional[service].poll(time.monotonic()):
            self._deliver(decision)

    def _deliver(self, decision: slots.Decision) -> None:
        holder = decision.request.holder
        if holder == self._settings.ip:
            future = self._pending.get(decision.request.key)
            if future is not None and not future.done():
                future.set_result(decision)
            return
        peer_link = self._requester_links.get(holder)
        if peer_link is not None:
            self._send(peer_link, self._reply_frame(decision))

    def _reply_frame(self, decision: slots.Decision) -> frames.Granted | frames.Refused:
        key = decision.request.key
        if isinstance(decision, slots.Refusal):
            return frames.Refused(key, round(decision.retry_after_s, 3), decision.reason)
        upstream = self._upstreams.get(decision.upstream)
        limited = upstream is not None and self._limits.limits.rate(upstream) is not None
        return frames.Granted(key, decision.upstream, round(decision.expected_s, 4), limited)

    def _regional_dispatcher(self, service: str) -> slots.Dispatcher:
        dispatcher = self._regional.get(service)
        if dispatcher is None:
            dispatcher = self._regional[service] = slots.Dispatcher(
                self._rng,
                rate_limits=self._limits.limits,
                rate_share=self._limits.regional_share(service),
            )
            dispatcher.update(self._region_upstreams(service))
        return dispatcher

    def _local_dispatcher(self, service: str) -> slots.Dispatcher:
        """Return the dispatcher of this balancer's own share of a service's upstreams."""
        dispatcher = self._local.get(service)
        if dispatcher is None:
            dispatcher = self._local[service] = slots.Dispatcher(
                self._rng,
                rate_limits=self._limits.limits,
                rate_share=self._limits.local_share(service),
            )
            dispatcher.update(self._region_upstreams(service))
        balancers = len(self._members.in_region(self._settings.region))
        dispatcher.set_share(min(1.0, LOCAL_OVERCOMMIT_FACTOR / max(1, balancers)))
        return dispatcher

    def _region_upstreams(self, service: str) -> list[upstreams.Upstream]:
        """Return a service's upstreams in this region, or all of them if it has none here."""
        everywhere = self._by_service.get(service, [])
        regions = self._settings.regions
        in_region = [u for u in everywhere if regions.get(u.data_centre) == self._settings.region]
        return in_region or everywhere


def _slot_request_from_frame(frame: frames.SlotRequest, holder: str) -> slots.SlotRequest:
    return slots.SlotRequest(
        key=frame.key,
        holder=holder,
        data_centre=frame.data_centre,
        remaining_s=frame.remaining_s,
        objective_s=frame.objective_s,
        priority=frame.priority,
        size=frame.size,
        excluded=tuple(frame.excluded),
        borrowed=frame.borrowed,
        hedge=frame.hedge,
    )


def _release_frame(service: str, key: int, report: health.Report) -> frames.Release:
    return frames.Release(
        service, key, report.outcome.value, round(report.seconds, 4), report.slowdown
    )
