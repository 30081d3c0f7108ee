"""Central dispatcher of a service: grants the slots of its upstreams and queues requests.

Load pattern: many small balancers in front of upstreams that slow down and then time out when
their own queues fill. If each balancer chose independently, those queues would fill. A dispatcher
therefore counts the requests of all balancers, grants slots up to the concurrency limit, keeps a
short priority queue, and refuses the rest immediately. Requests for an upstream that names a rate
limit are paid for from an account besides.
"""

import dataclasses
import itertools
import random
from collections.abc import Iterable
from typing import Protocol

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import health, limits, rates

__all__ = [
    "Decision",
    "Dispatcher",
    "Grant",
    "RateShare",
    "Refusal",
    "SlotRequest",
    "WholeRate",
    "retry_after_s",
]

# Longest wait for a slot, as a fraction of the latency objective; a longer wait leaves too little
# of the objective for the work itself.
MAX_WAIT_SHARE = 0.15
# Retry-After as a fraction of the latency objective, and its relative jitter in both directions, so
# that callers retry within their objective but not all at once.
RETRY_AFTER_SHARE = 0.15
RETRY_AFTER_JITTER = 0.4
# Lower bound of Retry-After in seconds, before the jitter and the upper bound below.
MIN_RETRY_AFTER_S = 0.05
# Largest Retry-After as a fraction of the caller's remaining time; callers cap their delay at the
# same fraction.
MAX_RETRY_AFTER_SHARE = 0.3
# Retry-After of a service without upstreams as a fraction of the caller's remaining time, before
# the jitter: an upstream takes longer to start than a slot to come free.
START_WAIT_SHARE = MAX_RETRY_AFTER_SHARE / (1 + RETRY_AFTER_JITTER)
# Longest wait for an uncontended upstream while all are contended, as a fraction of the latency
# objective. At a contended upstream, a request takes several times as long and would certainly miss
# its objective; half of the contention periods, which last half a second, end within this time.
MAX_CONTENDED_WAIT_SHARE = 0.3
# Weight of the latest response in the averages of a service.
SMOOTHING = 0.03
# Fraction of a region's slots that must stay free when another region borrows one.
LENDING_RESERVE = 0.25
# Fraction of slots that must stay free when a hedge gets one, because a hedge only saves time.
HEDGE_RESERVE = 0.3
# Fraction of an upstream's rate limit that health checks may use.
PROBE_RATE_SHARE = 0.1
# Cost of sending a request to another data centre, in seconds per request and per byte; the
# operator pays for this traffic by the byte.
CROSS_DATA_CENTRE_S = 0.004
CROSS_DATA_CENTRE_S_PER_BYTE = 1e-6
# Assumed average response time of a service before its first response, in seconds.
INITIAL_MEAN_S = 0.2
# Time in seconds from the deadline or timeout of a request to the expiry of its slot, if the holder
# has not released it.
SLOT_EXPIRY_MARGIN_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SlotRequest:
    """A request for a slot.

    :ivar key: identifies the request among those of its holder.
    :ivar holder: balancer that requests the slot.
    :ivar remaining_s: time until the caller's deadline or the route's timeout, in seconds.
    :ivar objective_s: latency objective of the route, in seconds.
    :ivar priority: 0 is the most urgent.
    :ivar size: size of the request's body in bytes.
    :ivar excluded: upstreams that the request has already been sent to.
    :ivar borrowed: whether the holder belongs to another region.
    :ivar hedge: whether another attempt of the request is still in flight.
    """

    key: int
    holder: str
    data_centre: str
    remaining_s: float
    objective_s: float
    priority: int
    size: int = 0
    excluded: tuple[str, ...] = ()
    borrowed: bool = False
    hedge: bool = False

    @property
    def max_wait_s(self) -> float:
        """Longest wait for a slot in seconds, if at least one upstream is uncontended."""
        if self.borrowed or self.hedge:
            return 0.0
        return min(MAX_WAIT_SHARE * self.objective_s, self.remaining_s / 2)

    @property
    def max_contended_wait_s(self) -> float:
        """Longest wait for a slot in seconds, if all upstreams are contended."""
        if self.borrowed or self.hedge:
            return 0.0
        contended_s = min(MAX_CONTENDED_WAIT_SHARE * self.objective_s, self.remaining_s / 2)
        return max(self.max_wait_s, contended_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A slot at an upstream.

    :ivar expected_s: expected time until the response, in seconds.
    """

    request: SlotRequest
    upstream: str
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A refused request, which has not been sent to any upstream.

    :ivar retry_after_s: time in seconds after which the caller may retry.
    """

    request: SlotRequest
    retry_after_s: float
    reason: str


Decision = Grant | Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedRequest:
    order: tuple[int, int]
    request: SlotRequest
    expires_at: float


def retry_after_s(objective_s: float) -> float:
    """Return the time in seconds after which a refused caller may retry.

    It is short enough that two refusals still leave most of the objective for the work.

    :param objective_s: latency objective of the route in seconds.

    >>> retry_after_s(1.0)
    0.15
    """
    return max(MIN_RETRY_AFTER_S, RETRY_AFTER_SHARE * objective_s)


class RateShare(Protocol):
    """The part of the upstreams' rate limits that a dispatcher may spend."""

    def value(self, upstream: upstreams.Upstream, now: float) -> float:
        """Return the part of an upstream's rate limit, between 0 and 1."""

    def since(self, now: float) -> float:
        """Return the monotonic time in seconds since which the dispatcher has had a part."""


class WholeRate:
    """The whole of each rate limit, for a dispatcher that shares upstreams with no other one."""

    def value(self, upstream: upstreams.Upstream, now: float) -> float:
        return 1.0

    def since(self, now: float) -> float:
        return float("-inf")


class Dispatcher:
    """Grants the slots of the upstreams of one service.

    :param rng: source of the jitter of Retry-After.
    :param share: fraction of the upstreams' concurrency that this dispatcher may use; less than one
        where several dispatchers work independently.
    :param rate_limits: rate limits of the upstreams, none if missing.
    :param rate_share: part of the rate limits that this dispatcher may spend.
    """

    def __init__(
        self,
        rng: random.Random,
        share: float = 1.0,
        rate_limits: rates.RateLimits | None = None,
        rate_share: RateShare | None = None,
    ) -> None:
        self._rng = rng
        self._share = share
        self._rate_limits = rate_limits or rates.RateLimits()
        self._rate_share = rate_share or WholeRate()
        self._accounts: dict[str, rates.RateAccount] = {}
        # Slots that were paid for from an account, by holder and key.
        self._paid: set[tuple[str, int]] = set()
        self._paid_count = 0
        self._limited_refusals = 0
        self._limit = limits.ConcurrencyLimit()
        self._upstreams: dict[str, health.Health] = {}
        self._slots: dict[tuple[str, int], tuple[str, float]] = {}
        self._queue: list[_QueuedRequest] = []
        self._sequence = itertools.count()
        self._mean_s = INITIAL_MEAN_S
        self._mean_elapsed_s = INITIAL_MEAN_S
        self._mean_probe_slowdown = 1.0
        self._last_request_at = float("-inf")
        self._stragglers: list[tuple[str, int]] = []

    # Statistics

    @property
    def mean_s(self) -> float:
        """Average response time without contention, in seconds."""
        return self._mean_s

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Number of slots granted and not yet released."""
        return len(self._slots)

    @property
    def paid_count(self) -> int:
        """Number of requests and health checks granted for upstreams with rate limits."""
        return self._paid_count

    @property
    def limited_refusals(self) -> int:
        """Number of requests refused because all upstreams were at their rate limits."""
        return self._limited_refusals

    @property
    def upstream_health(self) -> dict[str, health.Health]:
        """Health of the upstreams by id."""
        return self._upstreams

    def capacity(self, now: float) -> float:
        """Return the number of requests that the healthy upstreams can have at the same time.

        It is limited by their concurrency limits, and by their rate limits times the time that a
        request takes.
        """
        healthy = (h for h in self._upstreams.values() if not self.is_avoided(h, now))
        return sum(self._capacity_of(h, now) for h in healthy)

    def limited_upstreams(self) -> list[upstreams.Upstream]:
        """Return the upstreams that have a rate limit."""
        known = (upstream.upstream for upstream in self._upstreams.values())
        return [upstream for upstream in known if self._rate_limits.rate(upstream) is not None]

    def own_rate(self, upstream: upstreams.Upstream, now: float) -> float | None:
        """Return the requests per second that this dispatcher may send to an upstream.

        :returns: its part of the rate limit, ``None`` if the upstream has no limit.
        """
        rate = self._rate_limits.rate(upstream)
        return None if rate is None else rate * self._rate_share.value(upstream, now)

    @property
    def mean_probe_slowdown(self) -> float:
        """Average slowdown that the upstreams report in probes."""
        return self._mean_probe_slowdown

    def idle_s(self, now: float) -> float:
        """Return the time in seconds since the last request."""
        return now - self._last_request_at

    def limit(self, slots: int) -> int:
        """Return the concurrency limit of an upstream with this many slots."""
        return self._limit.value(slots)

    def expected_s(self) -> float:
        """Return the expected response time in seconds, contention included."""
        return self._mean_elapsed_s

    # Requests and updates

    def set_share(self, share: float) -> None:
        """Set the fraction of the upstreams' concurrency that this dispatcher may use."""
        self._share = share

    def update(self, upstream_list: Iterable[upstreams.Upstream]) -> None:
        """Replace the upstreams of the service; a new incarnation starts with no history."""
        listed = {upstream.id: upstream for upstream in upstream_list}
        for id_ in list(self._upstreams):
            if id_ not in listed:
                del self._upstreams[id_]
                self._accounts.pop(id_, None)
        for upstream in listed.values():
            self._update_upstream(upstream)

    def submit(self, request: SlotRequest, now: float, may_wait: bool = True) -> Decision | None:
        """Grant, queue or refuse a request.

        :param may_wait: whether the request may wait for a slot.
        :returns: a grant or a refusal, ``None`` if the request is queued for :meth:`poll`.
        """
        self._last_request_at = now
        if not self._is_servable(request):
            return self._refuse_unservable(request)
        if request.hedge or request.borrowed:
            return self._request_spare_slot(request, now)
        if not self._count_ahead(request):
            grant = self._grant(
                request, now, self._candidates(request, now, accepts_contended=not may_wait)
            )
            if grant is not None:
                return grant
        if not may_wait:
            return self.refuse(request, "no slot is free and the request may not wait")
        max_wait_s = self._max_wait_s(request, now)
        if self._all_limited(request, now):
            wait_s = self._expected_token_wait_s(request, now)
            if wait_s > max_wait_s:
                self._limited_refusals += 1
                return self.refuse(request, "all upstreams are at their rate limits", wait_s)
        elif self._expected_wait_s(request, now) > max_wait_s:
            return self.refuse(request, "the queue is longer than the request can wait")
        order = (request.priority, next(self._sequence))
        self._queue.append(_QueuedRequest(order, request, now + max_wait_s))
        self._queue.sort(key=lambda queued: queued.order)
        return None

    def record_held(self, request: SlotRequest, upstream: str, now: float) -> None:
        """Record a slot that another dispatcher has granted."""
        self._occupy_slot(request, upstream, now)

    def release(self, holder: str, key: int, report: health.Report, now: float) -> None:
        """Release a slot, or remove the request if it is still queued."""
        slot = self._slots.pop((holder, key), None)
        if slot is None:
            self._remove_queued(holder, key)
            return
        if (holder, key) in self._paid:
            self._paid.remove((holder, key))
            if report.outcome is health.Outcome.UNUSED and slot[0] in self._accounts:
                self._accounts[slot[0]].refund()
        upstream = self._upstreams.get(slot[0])
        if upstream is None:
            return
        answered = report.outcome is health.Outcome.ANSWERED
        self._end_interval(upstream, answered, now)
        request = upstream.finish((holder, key), report, now)
        self._stragglers += upstream.take_stragglers()
        if request is not None and answered:
            self._record_time(upstream, request, now)

    def remove_holder(self, holder: str, now: float) -> None:
        """Release all slots and remove all queued requests of a balancer that has left."""
        self._queue = [queued for queued in self._queue if queued.request.holder != holder]
        for slot_holder, key in list(self._slots):
            if slot_holder == holder:
                self.release(holder, key, health.Report(health.Outcome.ABANDONED), now)

    def record_probe(self, upstream: str, load: int, slowdown: float | None, now: float) -> None:
        """Record the result of a probe.

        :param load: number of requests that are running or queued at the upstream.
        :param slowdown: slowdown that the upstream reported, if any.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return
        known.record_probe(load, slowdown, now)
        self._stragglers += known.take_stragglers()
        if slowdown is not None:
            self._mean_probe_slowdown += SMOOTHING * (slowdown - self._mean_probe_slowdown)

    def take_stragglers(self) -> list[tuple[str, int]]:
        """Return holder and key of the stragglers found since the last call.

        A straggler is a request that will take much longer than expected.

        Load pattern: at any time, a third of the upstreams are contended, for half a second. A
        request that is sent shortly before the next probe may start under contention and take seven
        times as long. If the request is idempotent, a second attempt sent immediately still meets
        the objective, and cancelling the first one frees its slot.
        """
        found, self._stragglers = self._stragglers, []
        return found

    def may_probe(self, upstream: str, now: float) -> bool:
        """Return whether a health check may be sent to an upstream, and pay for it.

        Health checks reach an upstream like requests, so they count against its rate limit.
        """
        known = self._upstreams.get(upstream)
        if known is None:
            return False
        own_rate = self.own_rate(known.upstream, now)
        if own_rate is None:
            return True
        if own_rate <= 0:
            return False
        interval_s = 1 / (PROBE_RATE_SHARE * own_rate)
        paid = self._refilled_account(known, now).pay_for_probe(interval_s, now)
        self._paid_count += paid
        return paid

    def record_failed_probe(self, upstream: str) -> None:
        """Record that an upstream did not answer a probe."""
        known = self._upstreams.get(upstream)
        if known is not None:
            known.record_failed_probe()

    def poll(self, now: float) -> list[Decision]:
        """Expire slots, and return the decisions on queued requests; call after every change.

        Examines each upstream once, and once more after each grant, for each combination of
        excluded upstreams and of expired or unexpired wait in the queue.
        """
        self._expire_slots(now)
        decisions: list[Decision] = []
        remaining: list[_QueuedRequest] = []
        candidates: dict[tuple[tuple[str, ...], bool], list[tuple[str, health.Health]]] = {}
        for queued in self._queue:
            if not self._is_servable(queued.request):
                decisions.append(self._refuse_unservable(queued.request))
                continue
            expired = queued.expires_at <= now
            cache_key = (queued.request.excluded, expired)
            if cache_key not in candidates:
                candidates[cache_key] = self._candidates(
                    queued.request, now, accepts_contended=expired
                )
            grant = self._grant(queued.request, now, candidates[cache_key])
            if grant is not None:
                candidates.clear()
                decisions.append(grant)
            elif expired:
                decisions.append(self.refuse(queued.request, "no slot came free in time"))
            else:
                remaining.append(queued)
        self._queue = remaining
        return decisions

    # Selection

    def _request_spare_slot(self, request: SlotRequest, now: float) -> Decision:
        """Grant or refuse a request that may only use spare capacity."""
        reserve = LENDING_RESERVE if request.borrowed else HEDGE_RESERVE
        capacity = self.capacity(now)
        if not self._queue and self.in_flight + 1 <= capacity * (1 - reserve):
            grant = self._grant(request, now, self._candidates(request, now))
            if grant is not None:
                return grant
        return self.refuse(request, "no slot to spare")

    def _grant(
        self, request: SlotRequest, now: float, candidates: list[tuple[str, health.Health]]
    ) -> Grant | None:
        """Grant the slot with the lowest cost.

        :param candidates: upstreams that the request may be sent to now.
        :returns: the grant, ``None`` if there are no candidates.
        """
        if not candidates:
            return None
        id_, best = min(
            candidates,
            key=lambda item: (self._cost(request, item[1], now), item[1].granted_at, item[0]),
        )
        self._limit.record_grant()
        self._occupy_slot(request, id_, now)
        if self._rate_limits.rate(best.upstream) is not None:
            self._accounts[id_].pay()
            self._paid_count += 1
            self._paid.add((request.holder, request.key))
        return Grant(request, id_, best.expected_s(now, self._mean_s))

    def _cost(self, request: SlotRequest, upstream: health.Health, now: float) -> float:
        """Return the expected response time in seconds, increased by load and distance."""
        cost = upstream.expected_s(now, self._mean_s)
        cost *= 1 + upstream.in_flight / (2 * upstream.upstream.slots)
        if upstream.upstream.data_centre != request.data_centre:
            cost += CROSS_DATA_CENTRE_S + CROSS_DATA_CENTRE_S_PER_BYTE * request.size
        return cost

    def _candidates(
        self, request: SlotRequest, now: float, accepts_contended: bool = False
    ) -> list[tuple[str, health.Health]]:
        """Return the upstreams that a request may be sent to now.

        If all upstreams are avoided, any of them is better than none, because the observations may
        be wrong. Contended upstreams are left out because contention ends soon, and their free
        slots are more useful afterwards.

        :param accepts_contended: whether a contended upstream is accepted if none is uncontended,
            because the request cannot wait any longer.
        """
        allowed = [item for item in self._upstreams.items() if item[0] not in request.excluded]
        may_explore = bool(self._queue) and self._limit.may_explore
        free = [
            item
            for item in allowed
            if self._has_free_slot(item[1], may_explore, now)
            and not item[1].full(now)
            and self._has_rate_left(item[1], request.hedge, now)
        ]
        healthy = [item for item in free if not self.is_avoided(item[1], now)]
        if not healthy:
            if request.hedge or request.borrowed:
                return []
            others_are_healthy = any(not self.is_avoided(upstream, now) for _, upstream in allowed)
            return [] if others_are_healthy else free
        uncontended = [item for item in healthy if not item[1].contended(now)]
        if uncontended or not accepts_contended:
            return uncontended
        return [] if self._any_uncontended(now, request.excluded) else healthy

    def _any_uncontended(self, now: float, excluded: tuple[str, ...] = ()) -> bool:
        """Whether any healthy upstream is uncontended, with or without a free slot.

        Upstreams at their rate limits don't count, because no slot of theirs comes free soon.
        """
        return any(
            not upstream.contended(now)
            and not self.is_avoided(upstream, now)
            and self._has_rate_left(upstream, False, now)
            for id_, upstream in self._upstreams.items()
            if id_ not in excluded
        )

    def is_avoided(self, upstream: health.Health, now: float) -> bool:
        """Whether an upstream gets no requests while others are healthy."""
        if upstream.unresponsive or upstream.ejected(now):
            return True
        return upstream.stalled(now, upstream.expected_s(now, self._mean_s))

    def _has_free_slot(self, upstream: health.Health, may_explore: bool, now: float) -> bool:
        limit = self._limit_of(upstream) + (1 if may_explore else 0)
        used = upstream.in_flight + upstream.external_requests(now)
        return used < min(limit, upstream.upstream.slots)

    def _limit_of(self, upstream: health.Health) -> int:
        return max(1, int(self._limit.value(upstream.upstream.slots) * self._share))

    def _capacity_of(self, upstream: health.Health, now: float) -> float:
        own_rate = self.own_rate(upstream.upstream, now)
        limit = self._limit_of(upstream)
        return limit if own_rate is None else min(limit, own_rate * self._mean_elapsed_s)

    # Rate limits

    def _has_rate_left(self, upstream: health.Health, hedge: bool, now: float) -> bool:
        """Whether the rate limit of an upstream leaves room for one more request.

        A hedge never gets any, because it only saves time.
        """
        if self._rate_limits.empty:
            return True
        if self._rate_limits.rate(upstream.upstream) is None:
            self._accounts.pop(upstream.upstream.id, None)
            return True
        return not hedge and self._refilled_account(upstream, now).available

    def _refilled_account(self, upstream: health.Health, now: float) -> rates.RateAccount:
        """Return the account of an upstream that has a rate limit."""
        target = upstream.upstream
        account = self._accounts.get(target.id)
        if account is None:
            account = self._accounts[target.id] = rates.RateAccount(self._rng, now)
        share = self._rate_share.value(target, now)
        account.refill(self._rate_limits.rate(target), share, now, self._rate_share.since(now))
        return account

    def _all_limited(self, request: SlotRequest, now: float) -> bool:
        """Whether all healthy upstreams that a request may be sent to have rate limits."""
        if self._rate_limits.empty:
            return False
        usable = self._usable(request, now)
        return bool(usable) and all(self._rate_limits.rate(u.upstream) is not None for u in usable)

    def _usable(self, request: SlotRequest, now: float) -> list[health.Health]:
        """Return the healthy upstreams that a request may be sent to."""
        return [
            upstream
            for id_, upstream in self._upstreams.items()
            if id_ not in request.excluded and not self.is_avoided(upstream, now)
        ]

    def _expected_token_wait_s(self, request: SlotRequest, now: float) -> float:
        """Return the time in seconds until the rate limits leave room for a request.

        Those that are ahead of it in the queue go first.
        """
        own_rate, first_s = 0.0, float("inf")
        for upstream in self._usable(request, now):
            rate = self.own_rate(upstream.upstream, now)
            own_rate += rate
            first_s = min(first_s, self._refilled_account(upstream, now).wait_s(rate))
        return first_s + self._count_ahead(request) / own_rate if own_rate else float("inf")

    # Queue

    def _is_servable(self, request: SlotRequest) -> bool:
        """Whether there is an upstream that a request has not been sent to."""
        return any(id_ not in request.excluded for id_ in self._upstreams)

    def _refuse_unservable(self, request: SlotRequest) -> Refusal:
        """Refuse a request that no upstream can serve, without a wait for a slot."""
        if self._upstreams:
            return self.refuse(request, "it has been sent to all upstreams")
        return self.refuse(request, "no upstream is known", START_WAIT_SHARE * request.remaining_s)

    def _count_ahead(self, request: SlotRequest) -> int:
        """Return the number of queued requests that go first."""
        return sum(1 for queued in self._queue if queued.request.priority <= request.priority)

    def _max_wait_s(self, request: SlotRequest, now: float) -> float:
        """Return the longest time that a request may wait for a slot, in seconds."""
        return (
            request.max_wait_s
            if self._any_uncontended(now, request.excluded)
            else request.max_contended_wait_s
        )

    def _expected_wait_s(self, request: SlotRequest, now: float) -> float:
        capacity = self.capacity(now)
        if capacity == 0:
            return float("inf")
        return (self._count_ahead(request) + 1) * self.expected_s() / capacity

    def refuse(self, request: SlotRequest, reason: str, wait_s: float = 0.0) -> Refusal:
        """Return a refusal with a jittered Retry-After.

        :param wait_s: time in seconds before which a retry would be refused again.
        """
        jitter = 1 + RETRY_AFTER_JITTER * (2 * self._rng.random() - 1)
        delay_s = max(wait_s, retry_after_s(request.objective_s)) * jitter
        return Refusal(request, min(delay_s, MAX_RETRY_AFTER_SHARE * request.remaining_s), reason)

    def _remove_queued(self, holder: str, key: int) -> None:
        self._queue = [
            queued
            for queued in self._queue
            if (queued.request.holder, queued.request.key) != (holder, key)
        ]

    # Slots

    def _occupy_slot(self, request: SlotRequest, id_: str, now: float) -> None:
        upstream = self._upstreams.get(id_)
        if upstream is None:
            return
        key = (request.holder, request.key)
        self._slots[key] = (id_, now + request.remaining_s + SLOT_EXPIRY_MARGIN_S)
        self._end_interval(upstream, False, now)
        upstream.start(key, now)

    def _end_interval(self, upstream: health.Health, answered: bool, now: float) -> None:
        """End an interval of constant concurrency and record it in the concurrency limit."""
        interval = upstream.end_interval(now)
        if interval is not None:
            self._limit.record(*interval, answered=answered)

    def _expire_slots(self, now: float) -> None:
        for (holder, key), (_, expires_at) in list(self._slots.items()):
            if expires_at <= now:
                self.release(holder, key, health.Report(health.Outcome.ABANDONED), now)

    def _update_upstream(self, upstream: upstreams.Upstream) -> None:
        known = self._upstreams.get(upstream.id)
        if known is None or known.upstream.started_ms != upstream.started_ms:
            self._upstreams[upstream.id] = health.Health(upstream)
        else:
            known.upstream = upstream

    # Averages

    def _record_time(
        self, upstream: health.Health, request: health.InFlightRequest, now: float
    ) -> None:
        """Update the average times with a response."""
        elapsed_s = now - request.started_at
        work_s = elapsed_s / request.slowdown
        upstream.record_time(work_s, self._mean_s, request.slowdown)
        self._mean_s += SMOOTHING * (work_s - self._mean_s)
        self._mean_elapsed_s += SMOOTHING * (elapsed_s - self._mean_elapsed_s)
