"""Backoff of suspected peers, and frames that arrive in pieces or many at a time."""

import unittest
from unittest import mock

from waxwingspool.fleet import frames, link
from waxwingspool.fleet.tests import test_tables

PEER = "10.0.0.2"


class SuspectedPeerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patcher = mock.patch.object(link.time, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.links = link.Links(test_tables.make_settings(), mock.Mock(), mock.Mock())

    def test_concurrent_timeouts_count_as_one_failure(self) -> None:
        for _ in range(5):
            self.links.suspect(PEER, "no reply")
        self.now += link.MIN_BACKOFF_S
        self.assertTrue(self.links.available(PEER))

    def test_backoff_grows_with_consecutive_failures(self) -> None:
        self.links.suspect(PEER, "no reply")
        self.now += link.MIN_BACKOFF_S
        self.links.suspect(PEER, "no reply")
        self.now += link.MIN_BACKOFF_S
        self.assertFalse(self.links.available(PEER))


class FrameTest(unittest.TestCase):
    def test_frames_of_one_read_are_unpacked_one_at_a_time(self) -> None:
        rows = frames.Rows("op", None, 1, [("a", 1, bytes(frames.MAX_FRAME_BYTES // 2))])
        encoded = frames.encode(rows)
        with mock.patch.object(frames, "_unpack", wraps=frames._unpack) as unpack:
            for count, frame in enumerate(frames.split(bytearray(encoded * 5)), start=1):
                self.assertEqual(unpack.call_count, count)
                self.assertEqual(frames.decode(frame), rows)
        self.assertEqual(count, 5)


class ArrivingFrameTest(unittest.TestCase):
    def test_link_is_receiving_until_the_frame_is_complete_or_pauses(self) -> None:
        now = 100.0
        on_frame = mock.Mock()
        peer_link = link.Link(PEER, on_frame, mock.Mock())
        encoded = frames.encode(frames.Rows("op", 1, 2, [("config", 2, b"x" * 100)]))
        with mock.patch.object(link.time, "monotonic", lambda: now):
            self.assertFalse(peer_link.receiving)
            peer_link.data_received(encoded[:50])
            self.assertTrue(peer_link.receiving)
            now += link.RECEIVE_PAUSE_S
            self.assertFalse(peer_link.receiving)
            peer_link.data_received(encoded[50:60])
            self.assertTrue(peer_link.receiving)
            peer_link.data_received(encoded[60:])
            self.assertFalse(peer_link.receiving)
        on_frame.assert_called_once()
