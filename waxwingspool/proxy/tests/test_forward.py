"""Tests of hedging: second attempts of idempotent requests."""

import asyncio
import unittest
from unittest import mock

from waxwingspool.catalog import routes, upstreams
from waxwingspool.dispatch import budget, health, split
from waxwingspool.fleet import frames, slots
from waxwingspool.observe import eventlog
from waxwingspool.platform import headers
from waxwingspool.proxy import body, caller, exchange, forward

TIMEOUT_S, OBJECTIVE_S, EXPECTED_S = 600.0, 300.0, 100.0


def make_slot(key: int) -> slots.Slot:
    target = upstreams.Upstream(f"u{key}", "tags", ("10.0.0.1", key), "a", 4, False, 0.0, 0, 1)
    request = frames.SlotRequest("tags", key, "a", TIMEOUT_S, OBJECTIVE_S, 1, 0, (), False, False)
    return slots.Slot(key, "tags", target, EXPECTED_S, "10.0.0.9", request)


def make_request() -> caller.Request:
    complete_body = body.Body(mock.Mock(), mock.Mock())
    complete_body.finish()
    fields = [(b"x-request-id", b"r1"), (b"x-request-deadline", b"600000")]
    now = asyncio.get_running_loop().time()
    return caller.Request(b"GET", b"/t/x", "/t/x", "a", fields, complete_body, 0, now, True, 0)


class HedgeTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.sent: list[str] = []
        self.kind = routes.Kind.IDEMPOTENT

    def make_forwarder(self, may_send=lambda objective_s: True) -> forward.Forwarder:
        weighted_services = (routes.WeightedService("tags", 1.0),)
        route = routes.Route(
            "r", "a", "/t/", self.kind, weighted_services, TIMEOUT_S, OBJECTIVE_S, 2, 1
        )
        services = [routes.Service("tags", "/health", 100)]
        table = routes.build_route_table(1, routes.Limits(), services, [route])
        self.slot_manager = mock.Mock()
        self.slot_manager.acquire = mock.AsyncMock(side_effect=[make_slot(1), make_slot(2)])
        return forward.Forwarder(
            mock.Mock(route_table=table, balancer_count=1),
            self.slot_manager,
            mock.Mock(),
            headers.HEADER_NAMES,
            lambda: budget.RetryBudget(0.2, 50.0, 10.0, float("-inf")),
            mock.Mock(spec=split.Splitter, pick=lambda route: "tags"),
            lambda: 0.25,
            may_send,
        )

    async def send(self, attempt: exchange.Attempt, *_: object) -> exchange.Result:
        """Fake ``exchange.send``: upstream u1 never responds, any other one responds at once."""
        self.sent.append(attempt.target.id)
        if attempt.target.id == "u1":
            await asyncio.Event().wait()
        response = mock.Mock(status=200, reason=b"OK", headers=[])
        buffered = exchange.BufferedResponse(response, b"whole", True)
        return exchange.Result(
            health.Outcome.ANSWERED, True, "status 200", buffered_response=buffered
        )

    async def run_event_loop(self) -> None:
        for _ in range(20):
            await asyncio.sleep(0)

    async def forward_request(
        self, straggler: bool, hedge_results: list | None = None
    ) -> mock.Mock:
        """Forward a request and return its connection.

        :param straggler: whether the first attempt is reported as a straggler.
        :param hedge_results: results of requests for a hedge slot; if given, the straggler is
            reported before the first attempt starts.
        """
        connection = mock.Mock(disconnected=False, response_started=False)
        connection.connection_closed = asyncio.get_running_loop().create_future()
        with mock.patch.object(exchange, "send", self.send):
            first = make_slot(1)
            forwarder = self.make_forwarder()
            self.slot_manager.acquire.side_effect = [first, *(hedge_results or [make_slot(2)])]
            handling = asyncio.ensure_future(forwarder.handle(connection, make_request()))
            if hedge_results is None:
                await self.run_event_loop()
            if straggler:
                first.straggler.set_result(None)
            await self.run_event_loop()
            handling.cancel()
            await asyncio.gather(handling, return_exceptions=True)
        return connection

    async def test_straggler_is_hedged_at_once(self) -> None:
        connection = await self.forward_request(straggler=True)
        self.assertEqual(["u1", "u2"], self.sent)
        connection.write.assert_called_once_with(b"whole")

    async def test_refused_hedge_slot_is_requested_again_after_hedge_delay(self) -> None:
        refused = slots.Refused(0.1, "no slot to spare")
        with (
            mock.patch.object(forward, "HEDGE_DELAY_FACTOR", 0.0),
            mock.patch.object(forward, "MIN_HEDGE_DELAY_S", 0.0),
        ):
            connection = await self.forward_request(
                straggler=True, hedge_results=[refused, make_slot(2)]
            )
        self.assertEqual(["u1", "u2"], self.sent)
        connection.write.assert_called_once_with(b"whole")

    async def test_request_within_expected_time_is_sent_once(self) -> None:
        await self.forward_request(straggler=False)
        self.assertEqual(["u1"], self.sent)

    async def test_straggler_that_is_not_idempotent_is_sent_once(self) -> None:
        self.kind = routes.Kind.NON_IDEMPOTENT
        await self.forward_request(straggler=True)
        self.assertEqual(["u1"], self.sent)

    async def send_streamed(self, buffered: bytes, rest: bytes) -> list[tuple[str, int]]:
        """Return upstream and bytes of each attempt; all consume the rest and are refused."""
        sent = []
        stream = body.Body(mock.Mock(), mock.Mock())
        stream.feed(buffered)

        async def refuse_after_reading(attempt: exchange.Attempt, *_: object) -> exchange.Result:
            sent.append((attempt.target.id, len(attempt.body)))
            attempt.request.body.feed(rest)
            attempt.request.body.finish()
            attempt.request.body.read_available()
            return exchange.Result(health.Outcome.FULL, False, "turned away with status 503")

        request = make_request()
        request.body = stream
        connection = mock.Mock(disconnected=False, response_started=False)
        connection.connection_closed = asyncio.get_running_loop().create_future()
        with mock.patch.object(exchange, "send", refuse_after_reading):
            await self.make_forwarder().handle(connection, request)
        self.assertEqual(503, connection.respond.call_args.args[1])
        return sent

    async def test_body_that_was_streamed_to_one_upstream_is_not_sent_in_part_to_another(self):
        for self.kind in (routes.Kind.NON_IDEMPOTENT, routes.Kind.IDEMPOTENT):
            first = bytes(forward.REQUEST_BUFFER_BYTES)
            self.assertEqual([("u1", len(first))], await self.send_streamed(first, b"rest"))

    async def test_body_that_was_buffered_whole_is_sent_to_another_upstream(self) -> None:
        self.kind = routes.Kind.NON_IDEMPOTENT
        first = bytes(forward.REQUEST_BUFFER_BYTES)
        sent = await self.send_streamed(first, b"")
        self.assertEqual([("u1", len(first)), ("u2", len(first))], sent)

    async def test_request_that_comes_late_in_a_planned_stop_is_refused_and_not_sent(self) -> None:
        connection = mock.Mock(disconnected=False)
        await self.make_forwarder(lambda _: False).handle(connection, make_request())
        self.assertEqual(503, connection.respond.call_args.args[1])
        self.slot_manager.acquire.assert_not_called()

    async def test_request_that_waits_for_a_slot_during_a_planned_stop_is_not_sent(self) -> None:
        connection = mock.Mock(disconnected=False, response_started=False)
        connection.connection_closed = asyncio.get_running_loop().create_future()
        may_send = mock.Mock(side_effect=[True, True, False])
        with mock.patch.object(exchange, "send", self.send):
            await self.make_forwarder(may_send).handle(connection, make_request())
        self.assertEqual(503, connection.respond.call_args.args[1])
        self.assertEqual([], self.sent)
        report = self.slot_manager.release.call_args.args[1]
        self.assertIs(health.Outcome.UNUSED, report.outcome)

    async def test_unmatched_route_is_logged_with_version_and_age_of_the_configuration(
        self,
    ) -> None:
        request = make_request()
        request.host, request.path = "other", "/t/" + "x" * 1000
        with mock.patch.object(eventlog, "event") as event:
            await self.make_forwarder().handle(mock.Mock(), request)
        fields = event.call_args.kwargs
        self.assertEqual(("request.rejected",), event.call_args.args)
        self.assertEqual((404, 1, 0.25), (fields["status"], fields["version"], fields["age_s"]))
        self.assertEqual(caller.MAX_LOGGED_BYTES, len(fields["path"]))

    def get_timeout_s(self, text: bytes) -> float:
        forwarder = self.make_forwarder()
        request = make_request()
        request.headers[1] = (b"x-request-deadline", text)
        route = forwarder._state.route_table.find("a", "/t/x")
        return forwarder._get_caller_timeout_s(request, route)

    async def test_timeout_with_too_many_digits_counts_as_that_of_the_route(self) -> None:
        self.assertEqual(1.5, self.get_timeout_s(b"1500"))
        for text in (b"9" * 400, b"9" * 5000, b"-5", b"1e3", b""):
            with self.subTest(text[:10]):
                self.assertEqual(TIMEOUT_S, self.get_timeout_s(text))
