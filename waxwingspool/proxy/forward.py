"""Forwarding of requests to upstreams, with retries and hedging.

Each request gets one final response.
"""

import asyncio
import dataclasses
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from waxwingspool.catalog import routes
from waxwingspool.dispatch import budget, health, split
from waxwingspool.dispatch import slots as dispatch_slots
from waxwingspool.fleet import slots
from waxwingspool.observe import counters, eventlog
from waxwingspool.proxy import body, caller, dialect, exchange, message, pool

__all__ = ["DeploymentState", "Forwarder"]

# Bytes of a request body that are buffered before the request is sent, so that it can be retried.
REQUEST_BUFFER_BYTES = body.HIGH_WATER_BYTES
# Remaining time below which a request is not sent, in seconds: no upstream responds in less.
MIN_REMAINING_S = 0.02
# Multiple of the expected response time after which an idempotent request is hedged, which means
# that it is also sent to a second upstream.
HEDGE_DELAY_FACTOR = 2.5
# Shortest delay of a hedge in seconds.
MIN_HEDGE_DELAY_S = 0.05
# Fraction of the latency objective after which a request is hedged at the latest.
HEDGE_OBJECTIVE_FRACTION = 0.6


class DeploymentState(Protocol):
    """The state of the deployment that the forwarder reads."""

    @property
    def table(self) -> routes.RouteTable | None:
        """The routing table in force, ``None`` before the first one is loaded."""

    @property
    def balancers(self) -> int:
        """The number of balancers that share the retry limit."""


@dataclasses.dataclass(slots=True)
class _Job:
    """The state of a request that is being forwarded.

    :ivar caller_timeout_s: how long the caller says that it waits, in seconds; the timeout of the
        route if the header is missing or malformed.
    :ivar deadline: event loop time at which the request expires, in seconds.
    :ivar body: the part of the request body that is buffered before the first attempt.
    :ivar sent: number of attempts sent so far.
    :ivar tried_upstreams: ids of the upstreams that the request was sent to.
    :ivar may_have_run: whether an upstream may have run the request.
    """

    connection: caller.Connection
    request: caller.Request
    route: routes.Route
    service: str
    request_id: bytes
    caller_timeout_s: float
    deadline: float
    body: bytes = b""
    sent: int = 0
    tried_upstreams: tuple[str, ...] = ()
    may_have_run: bool = False


class Forwarder:
    """Forwards callers' requests to upstreams.

    :param state: routing table and number of balancers.
    :param slot_manager: grants slots at upstreams.
    :param connections: pool of connections to upstreams.
    :param header_names: header names of the platform.
    :param create_budget: returns a new retry budget for a service.
    :param splitter: picks the service for each request of a route that is split between services.
    """

    def __init__(
        self,
        state: DeploymentState,
        slot_source: slots.SlotManager,
        connections: pool.Pool,
        header_names: dialect.Dialect,
        create_budget: Callable[[], budget.RetryBudget],
        splitter: split.Splitter,
    ) -> None:
        self._state = state
        self._slot_manager = slot_source
        self._pool = connections
        self._header_names = header_names
        self._create_budget = create_budget
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._splitter = splitter
        self.under_way = 0

    async def handle(self, connection: caller.Connection, request: caller.Request) -> None:
        """Forward one request and respond to the caller."""
        self.under_way += 1
        try:
            await self._handle(connection, request)
        finally:
            self.under_way -= 1

    async def _handle(self, connection: caller.Connection, request: caller.Request) -> None:
        job = self._admit(connection, request)
        if job is None:
            return
        await self._with_caller(job, self._read_body(job))
        if connection.gone or request.body.failed:
            self._log_end(job, "left", "caller disconnected before its request was read")
            return
        if not await self._with_caller(job, self._run_attempts(job)) and not connection.gone:
            self._expire(job)

    def _admit(self, connection: caller.Connection, request: caller.Request) -> _Job | None:
        """Return the context of a request, or reject the request and return ``None``."""
        table = self._state.table
        request_id = message.first(request.headers, self._header_names.request_id)
        if table is None:
            self._reject(connection, request, 503, "no configuration is known yet")
            return None
        route = table.find(request.host, request.path)
        if route is None:
            self._reject(connection, request, 404, "no route matches")
            return None
        if request_id is None:
            name = self._header_names.request_id.decode()
            self._reject(connection, request, 400, f"the header {name} is missing")
            return None
        caller_timeout_s = self._get_caller_timeout_s(request, route)
        deadline = request.arrived_at + min(route.timeout_s, caller_timeout_s)
        service = self._splitter.pick(route)
        self._get_budget(service).record_request(time.monotonic())
        return _Job(connection, request, route, service, request_id, caller_timeout_s, deadline)

    def _reject(
        self, connection: caller.Connection, request: caller.Request, status: int, reason: str
    ) -> None:
        eventlog.event(
            "request.ended",
            id=message.first(request.headers, self._header_names.request_id),
            outcome="own-answer",
            status=status,
            reason=reason,
            host=request.host,
            path=request.path,
            version=None if self._state.table is None else self._state.table.version,
        )
        headers = [(b"retry-after", b"0.5")] if status == 503 else []
        counters.answered("own", status)
        connection.respond(request, status, reason, headers)

    def _get_caller_timeout_s(self, request: caller.Request, route: routes.Route) -> float:
        """Return how long the caller waits for the response, in seconds."""
        value = message.first(request.headers, self._header_names.time_left)
        if value is None or not value.strip().isdigit():
            return route.timeout_s
        return int(value) / 1000

    async def _with_caller(self, job: _Job, work: Awaitable[None]) -> bool:
        """Run work until it is done, the caller disconnects or the deadline passes.

        :returns: whether the work was done first.
        """
        task = asyncio.ensure_future(work)
        remaining_s = job.deadline - asyncio.get_running_loop().time()
        futures = (task, job.connection.lost)
        try:
            await asyncio.wait(futures, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
            if not task.done() and job.connection.response_started and not job.connection.gone:
                # A response that has been started is completed even after the deadline.
                await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait((task,))
        if task.cancelled():
            return False
        task.result()
        return True

    async def _read_body(self, job: _Job) -> None:
        """Read the body, or as much of a long one as is buffered."""
        await job.request.body.settle(REQUEST_BUFFER_BYTES)
        job.body = job.request.body.take()

    # Attempts

    async def _run_attempts(self, job: _Job) -> None:
        """Send the request until there is a final response."""
        while True:
            result = await self._run_attempt(job)
            if result is None:
                return
            if result.response is not None and not self._should_replace(job, result):
                await self._forward_response(job, result)
                return
            if not self._may_repeat(job, result):
                await self._give_up(job, result)
                return

    async def _run_attempt(self, job: _Job) -> exchange.Result | None:
        """Acquire a slot and send the request; if refused, respond and return ``None``."""
        loop = asyncio.get_running_loop()
        remaining_s = job.deadline - loop.time()
        if remaining_s < MIN_REMAINING_S:
            self._refuse(job, 0.0, "no time is left")
            return None
        slot = await self._acquire_slot(job, remaining_s)
        if isinstance(slot, slots.Refused):
            self._refuse(job, slot.retry_after_s, slot.reason)
            return None
        if job.route.idempotent and job.request.body.complete:
            return await self._send_hedged(job, slot)
        return await self._send(job, slot)

    async def _send(self, job: _Job, slot: slots.Slot) -> exchange.Result:
        """Send one attempt to the upstream of a slot."""
        job.tried_upstreams = (*job.tried_upstreams, slot.upstream.id)
        job.sent += 1
        attempt = exchange.Attempt(job.request, job.body, slot.upstream, job.deadline)
        result = None
        try:
            result = await exchange.send(attempt, self._pool, self._header_names)
            job.may_have_run = job.may_have_run or result.may_have_run
            return result
        except BaseException:
            job.may_have_run = True
            raise
        finally:
            self._finish_attempt(job, slot, result)

    def _finish_attempt(self, job: _Job, slot: slots.Slot, result: exchange.Result | None) -> None:
        """Release the slot, and record and log the outcome of the attempt."""
        if result is None:
            expired = asyncio.get_running_loop().time() >= job.deadline
            outcome = health.Outcome.TIMED_OUT if expired else health.Outcome.ABANDONED
            report = health.Report(outcome)
        else:
            report = result.report()
        self._slot_manager.release(slot, report)
        counters.attempted(job.service, report.outcome.value, report.seconds)
        eventlog.event(
            "attempt.ended",
            id=job.request_id,
            attempt=job.sent,
            service=job.service,
            upstream=slot.upstream.id,
            row=slot.upstream.row_version,
            dispatcher=slot.dispatcher,
            local=slot.local,
            expected_s=slot.expected_s,
            stretched=slot.straggler.done(),
            seconds=report.seconds,
            slowdown=report.slowdown,
            outcome=report.outcome.value,
            reason="abandoned" if result is None else result.reason,
        )

    async def _send_hedged(self, job: _Job, slot: slots.Slot) -> exchange.Result:
        """Send an idempotent request, also to a second upstream if the first is late."""
        first = asyncio.ensure_future(self._send(job, slot))
        tasks = {first}
        try:
            hedge_at = asyncio.get_running_loop().time() + self._get_hedge_delay_s(job, slot)
            await self._wait_until(hedge_at, first, slot.straggler)
            if not await self._start_hedge(job, tasks) and slot.straggler.done():
                await self._wait_until(hedge_at, first)
                await self._start_hedge(job, tasks)
            result = await _first_success(tasks)
            _abort_others(tasks, result)
            return result
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_until(self, when: float, *futures: asyncio.Future) -> None:
        """Wait until an event loop time in seconds, or until one of the futures is done."""
        timeout_s = max(0.0, when - asyncio.get_running_loop().time())
        await asyncio.wait(futures, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)

    async def _start_hedge(self, job: _Job, tasks: set[asyncio.Task]) -> bool:
        """Start a second attempt if needed; return ``False`` if no slot or retry was available."""
        (first,) = tasks
        if first.done() or job.sent >= job.route.attempts:
            return True
        slot = await self._acquire_hedge_slot(job)
        if slot is None:
            return False
        if first.done():
            self._slot_manager.release(slot, health.Report(health.Outcome.UNUSED))
        else:
            tasks.add(asyncio.ensure_future(self._send(job, slot)))
        return True

    def _get_hedge_delay_s(self, job: _Job, slot: slots.Slot) -> float:
        by_expected_time_s = max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * slot.expected_s)
        elapsed_s = asyncio.get_running_loop().time() - job.request.arrived_at
        by_objective_s = HEDGE_OBJECTIVE_FRACTION * job.route.objective_s - elapsed_s
        return max(MIN_HEDGE_DELAY_S, min(by_expected_time_s, by_objective_s))

    async def _acquire_hedge_slot(self, job: _Job) -> slots.Slot | None:
        """Return a slot for a second attempt, ``None`` if there is none or no retry is allowed."""
        remaining_s = job.deadline - asyncio.get_running_loop().time()
        if remaining_s < MIN_REMAINING_S or not self._consume_retry(job):
            return None
        slot = await self._acquire_slot(job, remaining_s, hedge=True)
        return slot if isinstance(slot, slots.Slot) else None

    async def _acquire_slot(
        self, job: _Job, remaining_s: float, hedge: bool = False
    ) -> slots.Slot | slots.Refused:
        """Acquire a slot at an upstream that the request has not been sent to."""
        return await self._slot_manager.acquire(
            job.service,
            remaining_s,
            job.route.objective_s,
            job.route.priority,
            len(job.body),
            job.tried_upstreams,
            hedge,
        )

    # After an attempt

    def _should_replace(self, job: _Job, result: exchange.Result) -> bool:
        """Whether to try another upstream instead of forwarding this one's error response."""
        return result.outcome is health.Outcome.FAILED and job.route.idempotent

    def _may_repeat(self, job: _Job, result: exchange.Result) -> bool:
        """Whether the request may be sent to another upstream."""
        if job.sent >= job.route.attempts or job.connection.gone:
            return False
        if not job.request.body.complete or job.request.body.buffered_bytes:
            # A part of the body was not buffered and cannot be sent again.
            return False
        if result.may_have_run and not job.route.idempotent:
            return False
        if result.outcome is health.Outcome.UNREACHABLE:
            return True
        return self._consume_retry(job)

    def _consume_retry(self, job: _Job) -> bool:
        """Return whether the retry limit allows a retry, and count it if so."""
        return self._get_budget(job.service).try_acquire(time.monotonic(), self._state.balancers)

    def _get_budget(self, service: str) -> budget.RetryBudget:
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = self._create_budget()
        return retry_budget

    # Final responses

    async def _give_up(self, job: _Job, result: exchange.Result) -> None:
        """Respond to a request for which no further attempt will be made."""
        if result.response is not None:
            await self._forward_response(job, result)
        elif job.may_have_run:
            self._respond(job, 502, result.reason, [])
        else:
            self._refuse(job, 0.0, result.reason)

    def _refuse(self, job: _Job, retry_after_s: float, reason: str) -> None:
        """Respond with 503, or with 502 if an upstream may have run the request."""
        if job.may_have_run:
            self._respond(job, 502, f"{reason}, and an earlier attempt failed", [])
            return
        text = b"%.2f" % (retry_after_s or dispatch_slots.retry_after_s(job.route.objective_s))
        self._respond(job, 503, reason, [(b"retry-after", text)])

    def _expire(self, job: _Job) -> None:
        """Respond to a request whose deadline has passed, or abort a response already started."""
        if job.connection.response_started:
            job.connection.abort()
        elif job.may_have_run:
            self._respond(job, 504, "no answer within the request's time", [])
        else:
            self._refuse(job, 0.0, "no slot within the request's time")

    def _respond(self, job: _Job, status: int, reason: str, headers: message.Headers) -> None:
        self._log_end(job, "own-answer", reason, status)
        counters.answered(job.service, status)
        job.connection.respond(job.request, status, reason, headers)

    async def _forward_response(self, job: _Job, result: exchange.Result) -> None:
        """Forward the response of an upstream to the caller."""
        buffered = result.response
        response = buffered.upstream_response
        headers = message.end_to_end_headers(response.headers)
        keep_alive = job.connection.can_keep_alive(job.request)
        status_line = message.status_line(response.status, response.reason)
        length = len(buffered.data) if buffered.complete else response.length
        chunked = length is None
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif response.status not in (204, 304):
            headers.append((b"content-length", b"%d" % length))
        job.connection.begin_answer(status_line, headers, keep_alive)
        if buffered.complete:
            job.connection.write(buffered.data)
        else:
            await self._stream_response(job, result, chunked)
        counters.answered(job.service, response.status)
        self._log_end(job, "delivered", result.reason, response.status)

    async def _stream_response(self, job: _Job, result: exchange.Result, chunked: bool) -> None:
        """Forward the rest of a long response as it arrives."""
        stream = result.response.upstream_response.body
        data = result.response.data
        try:
            while True:
                if data:
                    frame = b"%x\r\n%b\r\n" % (len(data), data) if chunked else data
                    job.connection.write(frame)
                    await job.connection.drain()
                if stream.failed:
                    # A truncated response must not be taken for a complete one.
                    job.connection.abort()
                    return
                if stream.complete and not stream.buffered_bytes:
                    break
                await stream.settle()
                data = stream.take()
            if chunked:
                job.connection.write(b"0\r\n\r\n")
        finally:
            result.connection.abort()

    def _log_end(self, job: _Job, outcome: str, reason: str, status: int | None = None) -> None:
        table = self._state.table
        now = asyncio.get_running_loop().time()
        eventlog.event(
            "request.ended",
            id=job.request_id,
            outcome=outcome,
            status=status,
            reason=reason,
            route=job.route.name,
            service=job.service,
            version=None if table is None else table.version,
            attempts=job.sent,
            upstreams=",".join(job.tried_upstreams),
            seconds=now - job.request.arrived_at,
            left_s=job.deadline - now,
            patience_s=job.caller_timeout_s,
        )
        counters.finished(job.service, outcome, now - job.request.arrived_at)


async def _first_success(tasks: set[asyncio.Task]) -> exchange.Result:
    """Return the first successful result, or the last one if there is none."""
    pending = set(tasks)
    result = None
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            result = task.result()
            if result.outcome is health.Outcome.ANSWERED:
                return result
    return result


def _abort_others(tasks: set[asyncio.Task], chosen: exchange.Result) -> None:
    """Abort responses that arrived at the same moment as the chosen one."""
    for task in tasks:
        if task.done() and task.result() is not chosen and task.result().connection is not None:
            task.result().connection.abort()
