"""Slots while the dispatcher is unreachable, and notifications of stragglers."""

import asyncio
import unittest
from unittest import mock

from waxwingspool import exceptions
from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import election, health
from waxwingspool.dispatch import slots as dispatch_slots
from waxwingspool.fleet import frames, members, slots
from waxwingspool.fleet.tests import test_tables

PEER_IP = "10.0.0.2"
CONTENTION_SLOWDOWN = 7.0


class FallbackTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        settings = test_tables.make_settings()
        membership = members.Members(settings)
        membership.update(PEER_IP, members.encode(test_tables.make_settings(PEER_IP)))
        links = mock.Mock()
        links.get_or_connect = mock.AsyncMock(side_effect=exceptions.PeerUnavailable("gone"))
        self.slot_manager = slots.SlotManager(settings, membership, links)
        self.upstream = upstreams.Upstream(
            "u1", "tags", ("10.0.1.1", 80), "a-1", 4, False, 0.0, 0, 1
        )
        self.slot_manager.update_upstreams([self.upstream])
        patcher = mock.patch.object(election, "ranking", lambda job, ips: [PEER_IP])
        patcher.start()
        self.addCleanup(patcher.stop)

    async def acquire(self) -> slots.Slot | slots.Refused:
        return await self.slot_manager.acquire("tags", 2.0, 0.6, 1, 0, ())

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
