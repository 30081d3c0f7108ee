"""Forwarding of requests to upstreams, with retries and hedging.

Each request gets one final response.
"""

import asyncio
import dataclasses
import functools
import time
from collections.abc import Awaitable, Callable
from typing import Protocol

from waxwingspool.catalog import routes
from waxwingspool.dispatch import budget, health, split
from waxwingspool.dispatch import slots as dispatch_slots
from waxwingspool.fleet import slots
from waxwingspool.observe import counters, eventlog
from waxwingspool.proxy import body, caller, exchange, header_names, message, pool

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
# Time after the deadline for which a started response without a length is still forwarded, and for
# which one with a length may make no progress, in seconds.
MAX_LATE_S = 30.0
# Slowest average rate after the deadline of a response with a length, in bytes per second.
MIN_LATE_RATE = 16 * 1024

# Longest text of the time that a caller waits, in characters.
MAX_TIMEOUT_CHARS = 15

_STOPPING = "the balancer is stopping"


class DeploymentState(Protocol):
    """The state of the deployment that the forwarder reads."""

    @property
    def route_table(self) -> routes.RouteTable | None:
        """The routing table in force, ``None`` before the first one is loaded."""

    @property
    def balancer_count(self) -> int:
        """The number of balancers that share the retry budget."""


@dataclasses.dataclass(slots=True)
class _RequestContext:
    """The state of a request that is being forwarded.

    :ivar caller_timeout_s: how long the caller says that it waits, in seconds; the timeout of the
        route if the header is missing or malformed.
    :ivar deadline: event loop time at which the request expires, in seconds.
    :ivar body: the part of the request body that is buffered before the first attempt.
    :ivar attempts_sent: number of attempts sent so far.
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
    attempts_sent: int = 0
    tried_upstreams: tuple[str, ...] = ()
    may_have_run: bool = False

    @property
    def body_is_whole(self) -> bool:
        """Whether the buffered part is the whole body, so that it can be sent more than once."""
        stream = self.request.body
        return stream.complete and stream.received_bytes == len(self.body)


class Forwarder:
    """Forwards callers' requests to upstreams.

    :param state: routing table and number of balancers.
    :param slot_manager: grants slots at upstreams.
    :param connections: pool of connections to upstreams.
    :param names: header names of the platform.
    :param create_budget: returns a new retry budget for a service.
    :param splitter: picks the service for each request of a route that is split between services.
    :param get_age_s: returns the age of the state in seconds, for the log.
    :param may_send: whether a request with a latency objective in seconds may be sent to an
        upstream; not if the process is likely to stop before the response.
    """

    def __init__(
        self,
        state: DeploymentState,
        slot_manager: slots.SlotManager,
        connections: pool.Pool,
        names: header_names.HeaderNames,
        create_budget: Callable[[], budget.RetryBudget],
        splitter: split.Splitter,
        get_age_s: Callable[[], float],
        may_send: Callable[[float], bool],
    ) -> None:
        self._state = state
        self._slot_manager = slot_manager
        self._pool = connections
        self._header_names = names
        self._create_budget = create_budget
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._splitter = splitter
        self._get_age_s = get_age_s
        self._may_send = may_send
        self.in_flight = 0

    async def handle(self, connection: caller.Connection, request: caller.Request) -> None:
        """Forward one request and respond to the caller."""
        self.in_flight += 1
        try:
            await self._handle(connection, request)
        finally:
            self.in_flight -= 1

    async def _handle(self, connection: caller.Connection, request: caller.Request) -> None:
        context = self._admit(connection, request)
        if context is None:
            return
        await self._run_until_deadline(context, self._read_body(context))
        if connection.disconnected or request.body.failed:
            left = "caller disconnected before its request was read"
            self._log_end(context, "left", left if connection.disconnected else "its body failed")
            return
        if (
            not await self._run_until_deadline(context, self._run_attempts(context))
            and not connection.disconnected
        ):
            self._expire(context)

    def _admit(
        self, connection: caller.Connection, request: caller.Request
    ) -> _RequestContext | None:
        """Return the context of a request, or reject the request and return ``None``."""
        table = self._state.route_table
        request_id = message.get_header(request.headers, self._header_names.request_id)
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
        if not self._may_send(route.objective_s):
            self._reject(connection, request, 503, _STOPPING)
            return None
        caller_timeout_s = self._get_caller_timeout_s(request, route)
        deadline = request.arrived_at + min(route.timeout_s, caller_timeout_s)
        service = self._splitter.pick(route)
        self._get_budget(service).record_request(time.monotonic())
        return _RequestContext(
            connection, request, route, service, request_id, caller_timeout_s, deadline
        )

    def _reject(
        self, connection: caller.Connection, request: caller.Request, status: int, reason: str
    ) -> None:
        eventlog.event(
            # A name of their own keeps the few refusals from being dropped among many responses.
            "request.rejected" if status < 500 else "request.ended",
            id=message.get_header(request.headers, self._header_names.request_id),
            outcome="own-answer",
            status=status,
            reason=reason,
            host=request.host[: caller.MAX_LOGGED_BYTES],
            path=request.path[: caller.MAX_LOGGED_BYTES],
            version=None if self._state.route_table is None else self._state.route_table.version,
            age_s=self._get_age_s(),
        )
        headers = [(b"retry-after", b"0.5")] if status == 503 else []
        counters.record_response("own", status)
        connection.respond(request, status, reason, headers)

    def _get_caller_timeout_s(self, request: caller.Request, route: routes.Route) -> float:
        """Return how long the caller waits for the response, in seconds."""
        value = message.get_header(request.headers, self._header_names.timeout_ms)
        if value is None or len(value) > MAX_TIMEOUT_CHARS or not value.strip().isdigit():
            return route.timeout_s
        return int(value) / 1000

    async def _run_until_deadline(self, context: _RequestContext, work: Awaitable[None]) -> bool:
        """Run work until it is done, the caller disconnects or the deadline passes.

        :returns: whether the work was done first.
        """
        task = asyncio.ensure_future(work)
        remaining_s = context.deadline - asyncio.get_running_loop().time()
        futures = (task, context.connection.connection_closed)
        try:
            await asyncio.wait(futures, timeout=remaining_s, return_when=asyncio.FIRST_COMPLETED)
            if (
                not task.done()
                and context.connection.response_started
                and not context.connection.disconnected
            ):
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

    async def _read_body(self, context: _RequestContext) -> None:
        """Read the body, or as much of a long one as is buffered."""
        await context.request.body.wait_for_data(REQUEST_BUFFER_BYTES)
        context.body = context.request.body.read_available()

    # Attempts

    async def _run_attempts(self, context: _RequestContext) -> None:
        """Send the request until there is a final response."""
        while True:
            result = await self._run_attempt(context)
            if result is None:
                return
            if result.buffered_response is not None and not self._should_replace(context, result):
                await self._forward_response(context, result)
                return
            if not self._may_retry(context, result):
                await self._give_up(context, result)
                return

    async def _run_attempt(self, context: _RequestContext) -> exchange.Result | None:
        """Acquire a slot and send the request; if refused, respond and return ``None``."""
        loop = asyncio.get_running_loop()
        remaining_s = context.deadline - loop.time()
        if remaining_s < MIN_REMAINING_S:
            self._refuse(context, 0.0, "no time is left")
            return None
        if not self._may_send(context.route.objective_s):
            self._refuse(context, 0.0, _STOPPING)
            return None
        slot = await self._acquire_slot(context, remaining_s)
        if isinstance(slot, slots.Refused):
            self._refuse(context, slot.retry_after_s, slot.reason)
            return None
        if not self._may_send(context.route.objective_s):
            self._slot_manager.release(slot, health.Report(health.Outcome.UNUSED))
            self._refuse(context, 0.0, _STOPPING)
            return None
        if context.route.idempotent and context.body_is_whole:
            return await self._send_hedged(context, slot)
        return await self._send(context, slot)

    async def _send(self, context: _RequestContext, slot: slots.Slot) -> exchange.Result:
        """Send one attempt to the upstream of a slot."""
        context.tried_upstreams = (*context.tried_upstreams, slot.upstream.id)
        context.attempts_sent += 1
        attempt = exchange.Attempt(
            context.request,
            context.body,
            slot.upstream,
            context.deadline,
            functools.partial(
                self._slot_manager.record_departure,
                slot.upstream,
                "response",
                context.request_id[: caller.MAX_LOGGED_BYTES].decode("latin-1"),
            ),
        )
        result = None
        try:
            result = await exchange.send(attempt, self._pool, self._header_names)
            context.may_have_run = context.may_have_run or result.may_have_run
            return result
        except BaseException:
            context.may_have_run = True
            raise
        finally:
            self._finish_attempt(context, slot, result)

    def _finish_attempt(
        self, context: _RequestContext, slot: slots.Slot, result: exchange.Result | None
    ) -> None:
        """Release the slot, and record and log the outcome of the attempt."""
        if result is None:
            expired = asyncio.get_running_loop().time() >= context.deadline
            outcome = health.Outcome.TIMED_OUT if expired else health.Outcome.ABANDONED
            report = health.Report(outcome)
        else:
            report = result.report()
        self._slot_manager.release(slot, report)
        counters.record_attempt(context.service, report.outcome.value, report.seconds)
        eventlog.event(
            "attempt.ended",
            id=context.request_id,
            attempt=context.attempts_sent,
            service=context.service,
            upstream=slot.upstream.id,
            row=slot.upstream.row_version,
            dispatcher=slot.dispatcher,
            local=slot.local,
            expected_s=slot.expected_s,
            stretched=slot.straggler.done(),
            seconds=report.seconds,
            slowdown=report.slowdown,
            rate_limit=None if report.limit is None else report.limit.rate,
            outcome=report.outcome.value,
            reason="abandoned" if result is None else result.reason,
        )

    async def _send_hedged(self, context: _RequestContext, slot: slots.Slot) -> exchange.Result:
        """Send an idempotent request, also to a second upstream if the first is late."""
        first = asyncio.ensure_future(self._send(context, slot))
        tasks = {first}
        try:
            hedge_at = asyncio.get_running_loop().time() + self._get_hedge_delay_s(context, slot)
            await self._wait_until(hedge_at, first, slot.straggler)
            if not await self._start_hedge(context, tasks) and slot.straggler.done():
                await self._wait_until(hedge_at, first)
                await self._start_hedge(context, tasks)
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

    async def _start_hedge(self, context: _RequestContext, tasks: set[asyncio.Task]) -> bool:
        """Start a second attempt if needed; return ``False`` if no slot or retry was available."""
        (first,) = tasks
        if first.done() or context.attempts_sent >= context.route.max_attempts:
            return True
        slot = await self._acquire_hedge_slot(context)
        if slot is None:
            return False
        if first.done():
            self._slot_manager.release(slot, health.Report(health.Outcome.UNUSED))
        else:
            tasks.add(asyncio.ensure_future(self._send(context, slot)))
        return True

    def _get_hedge_delay_s(self, context: _RequestContext, slot: slots.Slot) -> float:
        by_expected_time_s = max(MIN_HEDGE_DELAY_S, HEDGE_DELAY_FACTOR * slot.expected_s)
        elapsed_s = asyncio.get_running_loop().time() - context.request.arrived_at
        by_objective_s = HEDGE_OBJECTIVE_FRACTION * context.route.objective_s - elapsed_s
        return max(MIN_HEDGE_DELAY_S, min(by_expected_time_s, by_objective_s))

    async def _acquire_hedge_slot(self, context: _RequestContext) -> slots.Slot | None:
        """Return a slot for a second attempt, ``None`` if there is none or no retry is allowed."""
        remaining_s = context.deadline - asyncio.get_running_loop().time()
        if remaining_s < MIN_REMAINING_S or not self._may_send(context.route.objective_s):
            return None
        if not self._consume_retry(context):
            return None
        slot = await self._acquire_slot(context, remaining_s, hedge=True)
        return slot if isinstance(slot, slots.Slot) else None

    async def _acquire_slot(
        self, context: _RequestContext, remaining_s: float, hedge: bool = False
    ) -> slots.Slot | slots.Refused:
        """Acquire a slot at an upstream that the request has not been sent to."""
        return await self._slot_manager.acquire(
            context.service,
            remaining_s,
            context.route.objective_s,
            context.route.priority,
            len(context.body),
            context.tried_upstreams,
            hedge,
        )

    # After an attempt

    def _should_replace(self, context: _RequestContext, result: exchange.Result) -> bool:
        """Whether to try another upstream instead of forwarding this one's error response."""
        return result.outcome is health.Outcome.FAILED and context.route.idempotent

    def _may_retry(self, context: _RequestContext, result: exchange.Result) -> bool:
        """Whether the request may be sent to another upstream."""
        if context.attempts_sent >= context.route.max_attempts or context.connection.disconnected:
            return False
        if not context.body_is_whole:
            # A part of the body was not buffered and cannot be sent again.
            return False
        if result.may_have_run and not context.route.idempotent:
            return False
        if result.outcome is health.Outcome.UNREACHABLE:
            return True
        return self._consume_retry(context)

    def _consume_retry(self, context: _RequestContext) -> bool:
        """Return whether the retry budget allows a retry, and count it if so."""
        return self._get_budget(context.service).try_acquire(
            time.monotonic(), self._state.balancer_count
        )

    def _get_budget(self, service: str) -> budget.RetryBudget:
        retry_budget = self._budgets.get(service)
        if retry_budget is None:
            retry_budget = self._budgets[service] = self._create_budget()
        return retry_budget

    # Final responses

    async def _give_up(self, context: _RequestContext, result: exchange.Result) -> None:
        """Respond to a request for which no further attempt will be made."""
        if result.buffered_response is not None:
            await self._forward_response(context, result)
        elif context.may_have_run:
            self._respond(context, 502, result.reason, [])
        else:
            self._refuse(context, 0.0, result.reason)

    def _refuse(self, context: _RequestContext, retry_after_s: float, reason: str) -> None:
        """Respond with 503, or with 502 if an upstream may have run the request."""
        if context.may_have_run:
            self._respond(context, 502, f"{reason}, and an earlier attempt failed", [])
            return
        text = b"%.2f" % (retry_after_s or dispatch_slots.retry_after_s(context.route.objective_s))
        self._respond(context, 503, reason, [(b"retry-after", text)])

    def _expire(self, context: _RequestContext) -> None:
        """Respond to a request whose deadline has passed, or abort a response already started."""
        if context.connection.response_started:
            context.connection.abort()
        elif context.may_have_run:
            self._respond(context, 504, "no answer within the request's time", [])
        else:
            self._refuse(context, 0.0, "no slot within the request's time")

    def _respond(
        self, context: _RequestContext, status: int, reason: str, headers: message.Headers
    ) -> None:
        self._log_end(context, "own-answer", reason, status)
        counters.record_response(context.service, status)
        context.connection.respond(context.request, status, reason, headers)

    async def _forward_response(self, context: _RequestContext, result: exchange.Result) -> None:
        """Forward the response of an upstream to the caller."""
        buffered = result.buffered_response
        response = buffered.upstream_response
        headers = message.end_to_end_headers(response.headers)
        keep_alive = context.connection.can_keep_alive(context.request)
        status_line = message.status_line(response.status, response.reason)
        length = len(buffered.data) if buffered.complete else response.length
        chunked = length is None
        if chunked:
            headers.append((b"transfer-encoding", b"chunked"))
        elif response.status not in (204, 304):
            headers.append((b"content-length", b"%d" % length))
        context.connection.start_response(status_line, headers, keep_alive)
        if buffered.complete:
            context.connection.write(buffered.data)
        elif not await self._stream_response(context, result, chunked):
            return
        counters.record_response(context.service, response.status)
        self._log_end(context, "delivered", result.reason, response.status)

    async def _stream_response(
        self, context: _RequestContext, result: exchange.Result, chunked: bool
    ) -> bool:
        """Forward the rest of a long response as it arrives; return whether it is complete.

        A response that is not must not be taken for a complete one, so the connection is aborted.
        """
        stream = result.buffered_response.upstream_response.body
        # References to what has been sent would hold its memory while the caller doesn't read.
        data, result.buffered_response.data = result.buffered_response.data, b""
        length = result.buffered_response.upstream_response.length or 0
        ends_at = context.deadline + MAX_LATE_S + length / MIN_LATE_RATE
        try:
            async with asyncio.timeout_at(ends_at) as timeout:
                while True:
                    if data:
                        frame = b"%x\r\n%b\r\n" % (len(data), data) if chunked else data
                        context.connection.write(frame)
                        data = frame = b""
                        await context.connection.drain()
                    if stream.failed or stream.complete and not stream.buffered_bytes:
                        break
                    progress_at = max(context.deadline, asyncio.get_running_loop().time())
                    timeout.reschedule(min(ends_at, progress_at + MAX_LATE_S))
                    await stream.wait_for_data()
                    data = stream.read_available()
            reason = str(result.connection.failure) if stream.failed else None
        except TimeoutError:
            reason = f"no end of the answer {MAX_LATE_S:.0f} s after the request's time"
        finally:
            result.connection.abort()
        if reason is not None:
            self._log_end(context, "cut", reason, result.buffered_response.upstream_response.status)
            context.connection.abort()
        elif chunked:
            context.connection.write(b"0\r\n\r\n")
        return reason is None

    def _log_end(
        self, context: _RequestContext, outcome: str, reason: str, status: int | None = None
    ) -> None:
        table = self._state.route_table
        now = asyncio.get_running_loop().time()
        eventlog.event(
            "request.ended",
            id=context.request_id,
            outcome=outcome,
            status=status,
            reason=reason,
            route=context.route.name,
            service=context.service,
            version=None if table is None else table.version,
            attempts=context.attempts_sent,
            upstreams=",".join(context.tried_upstreams),
            seconds=now - context.request.arrived_at,
            left_s=context.deadline - now,
            patience_s=context.caller_timeout_s,
        )
        counters.record_request(context.service, outcome, now - context.request.arrived_at)


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


def _abort_others(tasks: set[asyncio.Task], kept: exchange.Result) -> None:
    """Abort responses of other attempts that arrived at the same moment as the kept result."""
    for task in tasks:
        if task.done() and task.result() is not kept and task.result().connection is not None:
            task.result().connection.abort()
