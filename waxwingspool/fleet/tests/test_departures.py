"""Departures of upstreams: what is remembered, who is told, and slots meanwhile."""

import asyncio
import time
import unittest
from collections.abc import Callable
from unittest import mock

from waxwingspool.catalog import store_version, upstreams
from waxwingspool.dispatch import election, health
from waxwingspool.fleet import departures, frames, members, slots
from waxwingspool.fleet.tests import test_tables

OWN_IP, PEER_IP, OTHER_IP = test_tables.OWN_IP, "10.0.0.2", "10.0.0.3"
SERVICE = "tags"


def make_upstream(id_: str = "u1", started_ms: int = 7) -> upstreams.Upstream:
    version = store_version.StoreVersion(1, 1)
    return upstreams.Upstream(
        id_, SERVICE, ("10.0.1.1", 80), "a-1", 4, False, 0.0, started_ms, version
    )


class RememberedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        patcher = mock.patch.object(time, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.on_change = mock.Mock()
        self.departures = departures.Departures(self.on_change)
        self.upstream = make_upstream()

    def record(self, upstream: upstreams.Upstream, in_use: bool = True) -> None:
        self.departures.record(upstream, "response", in_use, "r1")

    def test_change_is_reported_once(self) -> None:
        self.assertFalse(self.departures.is_leaving(self.upstream))
        for _ in range(3):
            self.record(self.upstream)
        self.assertTrue(self.departures.is_leaving(self.upstream))
        self.on_change.assert_called_once_with()

    def test_new_start_is_not_leaving(self) -> None:
        # Guards against a departure that outlives the start that it is about.
        self.record(self.upstream)
        for started_ms in (8, 6):
            self.assertFalse(self.departures.is_leaving(make_upstream("u1", started_ms)))

    def test_departure_holds_for_as_long_as_the_store_lists_the_upstream(self) -> None:
        # Guards against an entry that goes on saying ready for longer than departures are kept.
        self.record(self.upstream)
        for _ in range(100):
            self.now += departures.RETENTION_S / 2
            self.departures.retain([self.upstream])
        self.assertTrue(self.departures.is_leaving(self.upstream))

    def test_departure_holds_beyond_the_removal_of_the_row(self) -> None:
        # Guards against a store that is restored from a copy in which the row still stands.
        self.record(self.upstream)
        self.now += departures.RETENTION_S - 0.1
        self.departures.retain([])
        self.assertTrue(self.departures.is_leaving(self.upstream))
        self.now += 0.2
        self.departures.retain([])
        self.assertFalse(self.departures.is_leaving(self.upstream))
        self.assertEqual(0, self.departures.count)

    def test_number_of_departures_is_bounded(self) -> None:
        with mock.patch.object(departures, "MAX_DEPARTURES", 10):
            for number in range(100):
                self.record(make_upstream(f"u{number}"))
        self.assertEqual(10, self.departures.count)
        self.assertTrue(self.departures.is_leaving(make_upstream("u99")))

    def test_each_peer_is_told_once(self) -> None:
        self.assertEqual((), self.departures.take_untold(PEER_IP))
        self.record(self.upstream)
        self.assertEqual((("u1", 7),), self.departures.take_untold(PEER_IP))
        self.assertEqual((), self.departures.take_untold(PEER_IP))
        self.assertEqual((("u1", 7),), self.departures.take_untold(OTHER_IP))

    def test_peer_whose_link_closed_is_told_again(self) -> None:
        # Guards against a departure that was sent on a link that did not deliver it.
        self.record(self.upstream)
        self.departures.take_untold(PEER_IP)
        self.departures.forget_peer(PEER_IP)
        self.assertEqual((("u1", 7),), self.departures.take_untold(PEER_IP))

    def test_peer_is_not_told_what_it_has_told(self) -> None:
        self.departures.receive(PEER_IP, [("u1", 7)], lambda start: True)
        self.assertTrue(self.departures.is_leaving(self.upstream))
        self.assertEqual((), self.departures.take_untold(PEER_IP))
        self.assertEqual((("u1", 7),), self.departures.take_untold(OTHER_IP))

    def test_departure_that_the_store_shows_as_well_is_not_told(self) -> None:
        # Guards against messages about each upstream of a release, which the store announces.
        self.record(self.upstream, in_use=False)
        self.assertEqual((), self.departures.take_untold(PEER_IP))

    def test_many_departures_are_told_in_several_messages(self) -> None:
        for number in range(departures.MAX_TOLD_AT_ONCE + 1):
            self.record(make_upstream(f"u{number}"))
        counts = [len(self.departures.take_untold(PEER_IP)) for _ in range(3)]
        self.assertEqual([departures.MAX_TOLD_AT_ONCE, 1, 0], counts)


class EndTest(unittest.TestCase):
    """Ends of departures that the store can't tell, because it is away."""

    def setUp(self) -> None:
        self.on_change = mock.Mock()
        self.departures = departures.Departures(self.on_change)
        self.upstream = make_upstream()
        self.departures.record(self.upstream, "response", True, "r1")
        patcher = mock.patch.object(departures.eventlog, "event")
        patcher.start()
        self.addCleanup(patcher.stop)

    def check(self, *results: departures.Check) -> bool:
        """Return whether the upstream is leaving after some health checks."""
        for result in results:
            self.departures.record_check(self.upstream, result)
        return self.departures.is_leaving(self.upstream)

    def test_new_start_under_the_same_id_is_used_while_the_store_is_away(self) -> None:
        # Guards against an upstream that stays away until its new row can be read.
        self.assertTrue(self.check(departures.Check.LEAVING))
        self.on_change.reset_mock()
        self.assertFalse(self.check(departures.Check.SERVING))
        self.on_change.assert_called_once_with()

    def test_process_that_ended_and_started_again_is_used(self) -> None:
        self.assertFalse(self.check(departures.Check.GONE, departures.Check.SERVING))

    def test_health_checks_that_never_told_of_the_departure_do_not_end_it(self) -> None:
        # Guards against a health check that lies, or does not have the header.
        self.assertTrue(self.check(departures.Check.SERVING, departures.Check.UNKNOWN))

    def test_probe_that_told_of_the_departure_may_end_it(self) -> None:
        self.departures.record(self.upstream, "probe", True)
        self.assertFalse(self.check(departures.Check.SERVING))

    def test_peer_that_does_not_know_of_the_end_does_not_undo_it(self) -> None:
        self.check(departures.Check.LEAVING, departures.Check.SERVING)
        self.departures.receive(PEER_IP, [("u1", 7)], lambda start: True)
        self.assertFalse(self.departures.is_leaving(self.upstream))

    def test_peers_are_not_told_of_a_departure_that_has_ended(self) -> None:
        self.check(departures.Check.LEAVING, departures.Check.SERVING)
        self.assertEqual((), self.departures.take_untold(PEER_IP))

    def test_next_departure_is_taken_and_told(self) -> None:
        self.departures.take_untold(PEER_IP)
        self.check(departures.Check.LEAVING, departures.Check.SERVING)
        self.departures.record(self.upstream, "response", True, "r2")
        self.assertTrue(self.departures.is_leaving(self.upstream))
        self.assertEqual((("u1", 7),), self.departures.take_untold(PEER_IP))
        self.assertTrue(self.check(departures.Check.SERVING))


class SlotsTest(unittest.IsolatedAsyncioTestCase):
    """A slot manager with three upstreams; a peer may be the dispatcher."""

    def setUp(self) -> None:
        settings = test_tables.make_settings()
        membership = members.Members(settings)
        for ip in (PEER_IP, OTHER_IP):
            membership.update(ip, members.encode(test_tables.make_settings(ip)))
        self.known = {f"u{n}": make_upstream(f"u{n}") for n in range(3)}
        self.peer_link = self.make_link(PEER_IP)
        links = mock.Mock()
        links.get.return_value = self.peer_link
        links.get_or_connect = mock.AsyncMock(return_value=self.peer_link)
        self.departures = departures.Departures(self.update_upstreams)
        self.slot_manager = slots.SlotManager(settings, membership, links, self.departures)
        self.update_upstreams()
        self.set_dispatcher(PEER_IP)

    def make_link(self, peer: str) -> mock.Mock:
        peer_link = mock.Mock(peer=peer)
        peer_link.sent = []
        peer_link.send.side_effect = peer_link.sent.append
        return peer_link

    def set_dispatcher(self, ip: str) -> None:
        patcher = mock.patch.object(election, "ranking", lambda job, ips: [ip])
        patcher.start()
        self.addCleanup(patcher.stop)

    def update_upstreams(self) -> None:
        usable = [u for u in self.known.values() if not self.departures.is_leaving(u)]
        self.slot_manager.update_upstreams(usable)

    def leave(self, id_: str) -> None:
        self.slot_manager.record_departure(self.known[id_], "response", "r1")

    def grant(self, choose: Callable[[frames.SlotRequest], str]) -> None:
        """Let the peer grant slots at chosen upstreams."""

        def reply(frame: frames.Frame) -> None:
            self.peer_link.sent.append(frame)
            if isinstance(frame, frames.SlotRequest):
                granted = frames.Granted(frame.key, choose(frame), 0.1)
                asyncio.get_running_loop().call_soon(self.slot_manager.receive_reply, granted)

        self.peer_link.send.side_effect = reply

    async def acquire(self) -> slots.Slot | slots.Refused:
        return await self.slot_manager.acquire(SERVICE, 2.0, 0.6, 1, 0, ())

    def sent(self, kind: type) -> list:
        return [frame for frame in self.peer_link.sent if isinstance(frame, kind)]

    async def test_dispatcher_is_told_with_the_release_of_the_slot(self) -> None:
        # Guards against a dispatcher that goes on granting slots at a leaving upstream.
        self.grant(lambda request: "u1")
        slot = await self.acquire()
        self.leave("u1")
        self.slot_manager.release(slot, health.Report(health.Outcome.ANSWERED, 0.1))
        self.assertEqual((("u1", 7),), self.sent(frames.Release)[-1].departures)

    async def test_next_dispatcher_is_told_with_the_first_request(self) -> None:
        # Guards against a dispatcher that has just taken over, and knows rows of the store only.
        self.leave("u1")
        self.grant(lambda request: "u2")
        await self.acquire()
        await self.acquire()
        told = [request.departures for request in self.sent(frames.SlotRequest)]
        self.assertEqual([(("u1", 7),), ()], told)

    async def test_slot_at_a_leaving_upstream_is_given_back_for_another_one(self) -> None:
        # Guards against a dispatcher that knows less than this balancer.
        self.leave("u1")
        self.grant(lambda request: "u2" if "u1" in request.excluded else "u1")
        slot = await self.acquire()
        self.assertEqual(("u2", PEER_IP), (slot.upstream.id, slot.dispatcher))
        (release,) = self.sent(frames.Release)
        first, second = self.sent(frames.SlotRequest)
        self.assertEqual((first.key, "unused"), (release.key, release.outcome))
        self.assertLessEqual(second.remaining_s, first.remaining_s)

    async def test_dispatcher_that_grants_nothing_else_is_not_asked_for_ever(self) -> None:
        self.leave("u1")
        self.grant(lambda request: "u1")
        slot = await self.acquire()
        self.assertTrue(slot.local)
        self.assertNotEqual("u1", slot.upstream.id)
        self.assertEqual(slots.MAX_SLOT_REQUESTS, len(self.sent(frames.SlotRequest)))

    async def test_dispatcher_that_is_told_grants_no_slot_at_a_leaving_upstream(self) -> None:
        self.set_dispatcher(OWN_IP)
        requester = self.make_link(OTHER_IP)
        self.slot_manager.receive_departures(OTHER_IP, [("u0", 7), ("u1", 7)])
        for key in range(3):
            request = frames.SlotRequest(SERVICE, key, "a-1", 2.0, 0.6, 1, 0, (), False, False)
            self.slot_manager.receive_slot_request(requester, request)
        granted = {f.upstream for f in requester.sent if isinstance(f, frames.Granted)}
        self.assertEqual({"u2"}, granted)

    async def test_dispatcher_tells_those_that_request_slots(self) -> None:
        # Guards against balancers that use a leaving upstream once they have no dispatcher.
        self.set_dispatcher(OWN_IP)
        self.slot_manager.receive_departures(OTHER_IP, [("u1", 7)])
        requester = self.make_link(PEER_IP)
        request = frames.SlotRequest(SERVICE, 1, "a-1", 2.0, 0.6, 1, 0, (), False, False)
        self.slot_manager.receive_slot_request(requester, request)
        self.assertEqual((("u1", 7),), requester.sent[-1].departures)

    async def test_departure_of_another_start_is_remembered_but_not_applied(self) -> None:
        # Guards against a table of this balancer that is older or newer than that of the peer.
        self.slot_manager.receive_departures(PEER_IP, [("u1", 6), ("unknown", 1)])
        self.assertFalse(self.departures.is_leaving(self.known["u1"]))
        self.assertTrue(self.departures.is_leaving(make_upstream("unknown", 1)))
        self.grant(lambda request: "u1")
        self.assertEqual("u1", (await self.acquire()).upstream.id)

    async def fill(self) -> tuple[list[slots.Slot], asyncio.Future]:
        """Take slots until a request has to wait; return the slots and the request."""
        held = []
        while True:
            task = asyncio.ensure_future(self.acquire())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            if not task.done():
                return held, task
            held.append(task.result())
            self.assertIsInstance(held[-1], slots.Slot)

    async def test_waiting_requests_are_sent_to_another_upstream(self) -> None:
        # Guards against requests that wait for an upstream that leaves meanwhile.
        self.set_dispatcher(OWN_IP)
        held, waiting = await self.fill()
        self.leave("u0")
        for slot in held:
            self.slot_manager.release(slot, health.Report(health.Outcome.ANSWERED, 0.1))
        self.assertIn((await waiting).upstream.id, ("u1", "u2"))

    async def test_request_in_flight_at_a_leaving_upstream_ends_as_it_would(self) -> None:
        self.set_dispatcher(OWN_IP)
        slot = await self.acquire()
        self.leave(slot.upstream.id)
        report = health.Report(health.Outcome.ANSWERED, 0.1)
        self.slot_manager.release(slot, report)
        others = {(await self.acquire()).upstream.id for _ in range(2)}
        self.assertNotIn(slot.upstream.id, others)


if __name__ == "__main__":
    unittest.main()
