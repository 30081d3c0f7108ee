"""Slots while the dispatcher is unreachable, and notifications of stragglers."""

import asyncio
import time
import unittest
from unittest import mock

from waxwingspool import exceptions
from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import election, health
from waxwingspool.dispatch import slots as dispatch_slots
from waxwingspool.fleet import departures, frames, members, slots
from waxwingspool.fleet.tests import test_tables

PEER_IP = "10.0.0.2"
CONTENTION_SLOWDOWN = 7.0


class SlotManagerTestCase(unittest.IsolatedAsyncioTestCase):
    """A slot manager whose only peer, the dispatcher, can't be reached."""

    def setUp(self) -> None:
        settings = test_tables.make_settings()
        membership = members.Members(settings)
        membership.update(PEER_IP, members.encode(test_tables.make_settings(PEER_IP)))
        links = mock.Mock()
        links.get_or_connect = mock.AsyncMock(side_effect=exceptions.PeerUnavailable("gone"))
        self.departures = departures.Departures(self.update_upstreams)
        self.slot_manager = slots.SlotManager(settings, membership, links, self.departures)
        self.upstream = upstreams.Upstream(
            "u1", "tags", ("10.0.1.1", 80), "a-1", 4, False, 0.0, 0, 1
        )
        self.slot_manager.update_upstreams([self.upstream])
        patcher = mock.patch.object(election, "ranking", lambda job, ips: [PEER_IP])
        patcher.start()
        self.addCleanup(patcher.stop)

    def update_upstreams(self) -> None:
        leaving = self.departures.is_leaving(self.upstream)
        self.slot_manager.update_upstreams([] if leaving else [self.upstream])

    async def acquire(self) -> slots.Slot | slots.Refused:
        return await self.slot_manager.acquire("tags", 2.0, 0.6, 1, 0, ())


class FallbackTest(SlotManagerTestCase):
    async def test_local_share_is_used_without_waiting(self) -> None:
        slot = await self.acquire()
        self.assertTrue(slot.local)

    async def test_contended_upstream_is_used_if_there_is_no_other(self) -> None:
        unused = health.Report(health.Outcome.UNUSED)
        self.slot_manager.release(await self.acquire(), unused)
        self.slot_manager.record_probe(self.upstream, 0, CONTENTION_SLOWDOWN)
        self.assertIsInstance(await self.acquire(), slots.Slot)

    async def test_reply_timeout_covers_the_wait_for_an_uncontended_upstream(self) -> None:
        objective_s = 2.0
        with mock.patch.object(slots.asyncio, "timeout", wraps=asyncio.timeout) as timeout:
            await self.slot_manager.acquire("tags", 10.0, objective_s, 1, 0, ())
        queue_wait_s = dispatch_slots.MAX_CONTENDED_WAIT_SHARE * objective_s
        self.assertGreaterEqual(timeout.call_args.args[0], queue_wait_s + slots.REPLY_MARGIN_S)

    async def test_slot_holder_is_notified_of_a_straggler(self) -> None:
        slot = await self.acquire()
        self.assertFalse(slot.straggler.done())
        self.slot_manager.record_probe(self.upstream, 1, CONTENTION_SLOWDOWN)
        self.assertTrue(slot.straggler.done())

    async def test_notification_about_a_released_slot_is_ignored(self) -> None:
        self.slot_manager.receive_straggler(frames.Straggler(99))


class RateLimitTest(SlotManagerTestCase):
    """What peers tell about rate limits."""

    def tell(self, rate: float | None, ago_s: float = 0.0, started_ms: int = 0) -> dict[str, float]:
        now = time.monotonic()
        peer_link = mock.Mock(peer=PEER_IP, to_local_time=lambda sent_at, _: sent_at)
        frame = frames.RateLimit("u1", started_ms, rate, now, ago_s, ago_s, "r1", False)
        self.slot_manager.receive_rate_limit(peer_link, frame)
        return self.slot_manager.known_rate_limits()

    async def test_told_limit_is_kept_to_until_its_end_is_told(self) -> None:
        self.assertEqual({"u1": 2.0}, self.tell(2.0, ago_s=1.0))
        self.assertEqual({"u1": 2.0}, self.tell(None, ago_s=1.5))
        self.assertEqual({}, self.tell(None))

    async def test_limit_of_another_incarnation_is_ignored(self) -> None:
        self.assertEqual({}, self.tell(2.0, started_ms=7))

    async def test_limit_that_is_no_rate_is_ignored(self) -> None:
        for rate in (float("nan"), float("inf"), -1.0):
            self.assertEqual({}, self.tell(rate))

    async def test_limit_of_an_upstream_that_has_left_is_forgotten(self) -> None:
        self.tell(2.0)
        self.slot_manager.update_upstreams([])
        self.slot_manager.update_upstreams([self.upstream])
        self.assertEqual({}, self.slot_manager.known_rate_limits())

    async def test_own_share_without_a_dispatcher_starts_without_a_request(self) -> None:
        self.tell(1000.0)
        self.assertIsInstance(await self.acquire(), slots.Refused)
