"""Simulates a load pattern against a dispatcher in virtual time.

Upstreams process a few requests concurrently, slow down when nearly full, and queue a few more.
They run on machines with contention in blocks of half a second; a request that starts during
contention takes longer as a whole. Callers retry after a refusal.
"""

import dataclasses
import heapq
import itertools
import random
from collections.abc import Callable

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import health, slots

STEP_S = 0.01
CONTENTION_BLOCK_S = 0.5


@dataclasses.dataclass
class Pattern:
    """A load pattern.

    :ivar contended_share: fraction of the half-second blocks with contention.
    :ivar contention_slowdown: factor by which requests that start in such a block take longer.
    :ivar probe_s: interval of probes in seconds, ``None`` for none.
    :ivar slow: number of upstreams that are six times as slow throughout.
    :ivar unresponsive: number of upstreams that never respond.
    :ivar external_requests: requests at each upstream that another dispatcher has granted.
    :ivar max_retries: retries of a caller after refusals.
    :ivar caller_timeout_s: time in seconds that a caller waits, retries included.
    :ivar hedged: whether stragglers are sent to a second upstream.
    :ivar burst: start and end in seconds of a burst, and the factor on the request rate during it.
    """

    upstreams: int = 7
    rate: float = 40.0
    seconds: float = 15.0
    work_s: float = 0.22
    objective_s: float = 0.6
    timeout_s: float = 2.5
    contended_share: float = 0.35
    contention_slowdown: float = 7.0
    probe_s: float | None = 0.1
    slow: int = 0
    unresponsive: int = 0
    external_requests: int = 0
    max_retries: int = 2
    caller_timeout_s: float = 6.0
    hedged: bool = False
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    urgent_share: float = 0.0
    seed: int = 1


@dataclasses.dataclass
class Result:
    """Outcomes as seen by the callers.

    :ivar late: responses after the latency objective.
    :ivar refused: requests refused on the last retry.
    :ivar lost: requests whose attempts all timed out.
    """

    requests: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    urgent_requests: int = 0
    urgent_in_time: int = 0
    max_wait_s: float = 0.0


@dataclasses.dataclass
class _Request:
    arrived_at: float
    work_s: float
    retries: int
    priority: int
    sent_at: float = 0.0
    submitted_at: float = 0.0
    attempts: set[int] = dataclasses.field(default_factory=set)


class _SimulatedUpstream:
    """A simulated upstream.

    Above the utilization ``knee``, all its requests take ``knee_factor`` times as long.
    """

    slots = 4
    queue_size = 8
    knee = 0.8
    knee_factor = 1.7

    def __init__(self, pattern: Pattern, number: int) -> None:
        self._pattern = pattern
        self._rng = random.Random(pattern.seed * 1000 + number)
        self._phase = self._rng.random() * CONTENTION_BLOCK_S
        self._blocks: dict[int, float] = {}
        self.slow_factor = 6.0 if number < pattern.slow else 1.0
        self.unresponsive = pattern.slow <= number < pattern.slow + pattern.unresponsive
        self.running: dict[int, float] = {}
        self.waiting: list[tuple[int, float]] = []

    def slowdown(self, now: float) -> float:
        block = int((now + self._phase) / CONTENTION_BLOCK_S)
        if block not in self._blocks:
            contended = self._rng.random() < self._pattern.contended_share
            self._blocks[block] = self._pattern.contention_slowdown if contended else 1.0
        return self._blocks[block]

    def add(self, key: int, work_s: float, now: float) -> bool:
        """Run or queue a request; return whether there was room."""
        if len(self.running) + self._pattern.external_requests < self.slots:
            self.running[key] = work_s * self.slowdown(now)
        elif len(self.waiting) < self.queue_size:
            self.waiting.append((key, work_s))
        else:
            return False
        return True

    def remove(self, key: int) -> None:
        self.running.pop(key, None)
        self.waiting = [item for item in self.waiting if item[0] != key]

    @property
    def load(self) -> int:
        return len(self.running) + len(self.waiting) + self._pattern.external_requests

    def step(self, now: float) -> list[int]:
        """Advance by one step; return the requests that have finished."""
        if self.unresponsive:
            return []
        utilization = (len(self.running) + self._pattern.external_requests) / self.slots
        overload_factor = self.knee_factor if utilization > self.knee else 1.0
        progress = STEP_S / (overload_factor * self.slow_factor)
        done = []
        for key in list(self.running):
            self.running[key] -= progress
            if self.running[key] <= 0:
                del self.running[key]
                done.append(key)
        while self.waiting and len(self.running) + self._pattern.external_requests < self.slots:
            key, work_s = self.waiting.pop(0)
            self.running[key] = work_s * self.slowdown(now)
        return done


def make_upstream(number: int) -> upstreams.Upstream:
    """Return the registered form of a simulated upstream."""
    return upstreams.Upstream(
        f"u{number}", "tags", ("10.0.0.1", 8000 + number), "a", 4, False, 0.0, 0, number
    )


def make_dispatcher(pattern: Pattern) -> slots.Dispatcher:
    """Return a dispatcher with the upstreams of a pattern."""
    dispatcher = slots.Dispatcher(random.Random(pattern.seed))
    dispatcher.update(make_upstream(number) for number in range(pattern.upstreams))
    return dispatcher


def simulate(
    pattern: Pattern, make: Callable[[Pattern], slots.Dispatcher] = make_dispatcher
) -> Result:
    """Simulate a pattern and return its result."""
    return _Simulation(pattern, make(pattern)).run()


class _Simulation:
    def __init__(self, pattern: Pattern, dispatcher: slots.Dispatcher) -> None:
        self._pattern = pattern
        self._dispatcher = dispatcher
        self._upstreams = {
            f"u{n}": _SimulatedUpstream(pattern, n) for n in range(pattern.upstreams)
        }
        self._rng = random.Random(pattern.seed)
        self._keys = itertools.count()
        self._arrivals: list[tuple[float, int, _Request]] = []
        self._requests: dict[int, _Request] = {}
        self._upstream_ids: dict[int, str] = {}
        self._result = Result()

    def run(self) -> Result:
        at = 0.0
        while at < self._pattern.seconds:
            start, end, factor = self._pattern.burst
            rate = self._pattern.rate * (factor if start <= at < end else 1.0)
            at += self._rng.expovariate(rate)
            urgent = self._rng.random() < self._pattern.urgent_share
            work_s = self._pattern.work_s * self._rng.lognormvariate(0, 0.3)
            request = _Request(at, work_s, 0, 0 if urgent else 1)
            self._result.requests += 1
            self._result.urgent_requests += urgent
            heapq.heappush(self._arrivals, (at, next(self._keys), request))
        now, probed_at = 0.0, 0.0
        while now < self._pattern.seconds + self._pattern.caller_timeout_s:
            now += STEP_S
            if self._pattern.probe_s is not None and now - probed_at >= self._pattern.probe_s:
                probed_at = now
                self._probe(now)
            while self._arrivals and self._arrivals[0][0] <= now:
                self._submit(heapq.heappop(self._arrivals)[2], now)
            self._advance_upstreams(now)
            for decision in self._dispatcher.poll(now):
                self._apply(decision, now)
        return self._result

    def _probe(self, now: float) -> None:
        for id_, upstream in self._upstreams.items():
            if upstream.unresponsive:
                self._dispatcher.record_failed_probe(id_)
            else:
                self._dispatcher.record_probe(id_, upstream.load, upstream.slowdown(now), now)
        for _, key in self._dispatcher.take_stragglers():
            if self._pattern.hedged and key in self._requests:
                self._hedge(key, now)

    def _hedge(self, first_key: int, now: float) -> None:
        """Send a request to a second upstream, if there is a spare slot."""
        request, key = self._requests[first_key], next(self._keys)
        remaining_s = request.arrived_at + self._pattern.caller_timeout_s - now
        slot_request = slots.SlotRequest(
            key,
            "vm",
            "a",
            remaining_s,
            self._pattern.objective_s,
            request.priority,
            excluded=(self._upstream_ids[first_key],),
            hedge=True,
        )
        decision = self._dispatcher.submit(slot_request, now)
        if isinstance(decision, slots.Grant):
            self._requests[key] = request
            self._apply(decision, now)

    def _submit(self, request: _Request, now: float) -> None:
        key = next(self._keys)
        self._requests[key] = request
        request.submitted_at = now
        remaining_s = min(
            self._pattern.timeout_s, request.arrived_at + self._pattern.caller_timeout_s - now
        )
        slot_request = slots.SlotRequest(
            key, "vm", "a", remaining_s, self._pattern.objective_s, request.priority
        )
        decision = self._dispatcher.submit(slot_request, now)
        if decision is not None:
            self._apply(decision, now)

    def _apply(self, decision: slots.Decision, now: float) -> None:
        key = decision.request.key
        request = self._requests[key]
        self._result.max_wait_s = max(self._result.max_wait_s, now - request.submitted_at)
        if isinstance(decision, slots.Refusal):
            del self._requests[key]
            self._schedule_retry(request, now + decision.retry_after_s)
            return
        request.sent_at = now
        if not self._upstreams[decision.upstream].add(key, request.work_s, now):
            self._release(key, health.Outcome.FULL, now)
            self._requests.pop(key)
            if not request.attempts:
                self._schedule_retry(request, now + 0.1)
            return
        self._upstream_ids[key] = decision.upstream
        request.attempts.add(key)

    def _schedule_retry(self, request: _Request, at: float) -> None:
        request.retries += 1
        if request.retries > self._pattern.max_retries:
            self._result.refused += 1
        else:
            heapq.heappush(self._arrivals, (at, next(self._keys), request))

    def _advance_upstreams(self, now: float) -> None:
        for upstream in self._upstreams.values():
            for key in upstream.step(now):
                self._record_response(key, now)
        for key, id_ in list(self._upstream_ids.items()):
            request = self._requests[key]
            if now - request.sent_at > self._pattern.timeout_s:
                self._upstreams[id_].remove(key)
                request.attempts.discard(key)
                self._result.lost += not request.attempts
                self._release(key, health.Outcome.TIMED_OUT, now)
                del self._requests[key], self._upstream_ids[key]

    def _record_response(self, key: int, now: float) -> None:
        request = self._requests.pop(key)
        del self._upstream_ids[key]
        for other in request.attempts - {key}:
            self._upstreams[self._upstream_ids[other]].remove(other)
            self._release(other, health.Outcome.ABANDONED, now)
            del self._requests[other], self._upstream_ids[other]
        request.attempts.clear()
        in_time = now - request.arrived_at <= self._pattern.objective_s
        self._result.in_time += in_time
        self._result.late += not in_time
        self._result.urgent_in_time += in_time and request.priority == 0
        self._release(key, health.Outcome.ANSWERED, now)

    def _release(self, key: int, outcome: health.Outcome, now: float) -> None:
        slowdown = None
        if key in self._upstream_ids:
            slowdown = self._upstreams[self._upstream_ids[key]].slowdown(now)
        self._dispatcher.release("vm", key, health.Report(outcome, 0.0, slowdown), now)
