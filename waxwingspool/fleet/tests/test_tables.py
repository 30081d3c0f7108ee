"""Copies of the store's tables, and the members in one of them.

Covers reader failover, missed changes, outages, discarded history and eligible members.
"""

import asyncio
import collections
import time
import unittest
from unittest import mock

from waxwingspool import exceptions
from waxwingspool.catalog import node, store_version
from waxwingspool.fleet import clock, frames, link, members, table_copy, tables
from waxwingspool.fleet import store as store_client
from waxwingspool.platform import store

OWN_IP, READER_IP = "10.0.0.1", "10.0.0.2"


def make_settings(ip: str = OWN_IP) -> node.NodeSettings:
    return node.NodeSettings(
        name=ip,
        ip=ip,
        data_centre="a-1",
        region="a",
        caller_address=(ip, 1),
        readiness_address=(ip, 2),
        link_mbps=100.0,
        cores=1.0,
        peer_port=3,
        metrics_port=4,
        store_address=("10.9.0.1", 5),
        first_start=False,
        regions={"a-1": "a"},
        bounds=node.Bounds(),
    )


def version(number: int, epoch: int = 0) -> store_version.StoreVersion:
    return store_version.StoreVersion(epoch, number)


def row(key: str, number: int, value: bytes | None = b"x", epoch: int = 0) -> store.Row:
    return store.Row(key, value, version(number, epoch))


def reading(number: int, *rows: store.Row, epoch: int = 0) -> store_client.Reading:
    """Return what was read from the store at this moment."""
    page = store.Page(rows, version(number, epoch), False)
    return store_client.Reading(page, time.monotonic())


class FakeStoreClient:
    """Store client with queued responses to the feed of table ``op``; other feeds never respond."""

    def __init__(self) -> None:
        self.responses: asyncio.Queue = asyncio.Queue()
        self.receiving = False
        self.epoch = 0
        self.listing_calls = collections.Counter()

    @property
    def total_listings(self) -> int:
        return sum(self.listing_calls.values())

    async def get_listing(self, table: str) -> store_client.Reading:
        self.listing_calls[table] += 1
        return reading(1)

    async def get_changes(self, table: str, after: int, wait_s: float) -> store_client.Reading:
        if table != "op":
            await asyncio.Event().wait()
        response = await self.responses.get()
        if isinstance(response, Exception):
            raise response
        return response


class TableCopiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        patcher = mock.patch.object(tables.time, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.client = FakeStoreClient()
        self.links = mock.Mock()
        self.links.available.return_value = True
        self.links.get.return_value = mock.Mock(receiving=False)
        self.links.get_or_connect = mock.AsyncMock(return_value=mock.Mock())
        self.on_rows = mock.Mock()
        self.on_recovery = mock.Mock()
        self.members = members.Members(make_settings())
        self.tables = tables.TableCopies(
            make_settings(),
            self.client,
            self.links,
            self.members,
            ("op", "servers"),
            self.on_rows,
            self.on_recovery,
            {},
        )

    def rank(self, *others: str) -> None:
        """Add balancers that rank in this order, and before this one."""
        for ip in others:
            self.members.update(ip, members.encode(make_settings(ip)))
        ranks = [*others, OWN_IP]
        patcher = mock.patch.object(
            tables.readers.election, "ranking", lambda job, ips: [ip for ip in ranks if ip in ips]
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def receive(self, table: str, after: int | None, version: int, *rows: tuple) -> bool:
        frame = frames.Rows(table, after, version, list(rows))
        return self.tables.receive_rows(mock.Mock(peer=READER_IP), frame)

    async def test_rows_after_a_gap_are_rejected(self) -> None:
        self.receive("op", None, 10, ("config", 10, b"one"))
        self.assertTrue(self.receive("op", 12, 13, ("config", 13, b"three")))
        self.assertEqual(version(10), self.tables.versions()["op"])

    async def test_outdated_rows_are_ignored(self) -> None:
        self.receive("op", None, 10, ("config", 10, b"one"))
        self.on_rows.reset_mock()
        self.receive("op", 5, 8, ("config", 8, b"old"))
        self.receive("op", None, 9, ("config", 9, b"old"))
        self.on_rows.assert_not_called()

    async def test_rows_from_a_stale_peer_are_as_old_as_at_the_peer(self) -> None:
        for table in ("op", "servers"):
            rows = [("config", 10, b"x")]
            frame = frames.Rows(table, None, 10, rows, 1.2)
            self.tables.receive_rows(mock.Mock(peer=READER_IP), frame)
        self.assertAlmostEqual(1.2, self.tables.age_s)

    async def test_source_and_age_of_new_rows_are_told(self) -> None:
        rows = [("config", 10, b"x")]
        frame = frames.Rows("op", None, 10, rows, 1.2)
        self.tables.receive_rows(mock.Mock(peer=READER_IP), frame)
        update = self.on_rows.call_args.args[0]
        self.assertEqual(("op", True, READER_IP), (update.table, update.complete, update.source))
        self.assertAlmostEqual(1.2, update.age_s)

    async def test_outdated_rows_do_not_refresh_the_copy(self) -> None:
        for table in ("op", "servers"):
            self.receive(table, None, 10)
        self.now += 5
        for table in ("op", "servers"):
            self.receive(table, None, 9)
        self.assertAlmostEqual(5, self.tables.age_s)

    async def test_feed_relists_after_history_is_gone(self) -> None:
        self.tables._start_reading()
        await asyncio.sleep(0)
        await self.client.responses.put(store_client.HistoryGone("op"))
        before = self.client.total_listings
        for _ in range(5):
            await asyncio.sleep(0)
        self.assertGreater(self.client.total_listings, before)
        self.tables._stop_reading()

    async def test_first_call_of_a_new_reader_does_not_wait_for_changes(self) -> None:
        waits_s = []

        async def get_changes(table: str, after: int, wait_s: float) -> store_client.Reading:
            waits_s.append(wait_s)
            await asyncio.sleep(0)
            return reading(after.number)

        self.client.get_changes = get_changes
        self.receive("op", None, 4)
        self.tables._start_reading(("op",))
        while len(waits_s) < 2:
            await asyncio.sleep(0)
        self.tables._stop_reading()
        self.assertEqual([0.0, tables.FEED_LONG_POLL_S], waits_s[:2])

    async def test_balancer_that_cannot_list_the_members_does_not_read_all_tables(self) -> None:
        listed = []

        async def get_listing(table: str) -> store_client.Reading:
            listed.append(table)
            if len(listed) < 4:
                raise exceptions.StoreUnavailable("busy")
            return reading(1)

        self.client.get_listing = get_listing
        real_sleep = asyncio.sleep
        with mock.patch.object(tables.asyncio, "sleep", lambda _: real_sleep(0)):
            task = asyncio.create_task(self.tables.run())
            while len(listed) < 5:
                await real_sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
        self.assertEqual([members.TABLE] * 4, listed[:4])

    async def test_repeatedly_gone_history_is_relisted_only_after_a_delay(self):
        delays = []

        async def record_delay(delay_s: float) -> None:
            delays.append(delay_s)
            await asyncio.Event().wait()

        self.tables._start_reading()
        await asyncio.sleep(0)
        for _ in range(2):
            await self.client.responses.put(store_client.HistoryGone("op"))
        real_sleep = asyncio.sleep
        with mock.patch.object(tables.asyncio, "sleep", record_delay):
            for _ in range(20):
                await real_sleep(0)
        self.assertEqual(1, len(delays))
        self.assertEqual(2, self.client.listing_calls["op"])
        self.assertGreaterEqual(delays[0], tables.MIN_RETRY_DELAY_S)
        self.tables._stop_reading()

    async def test_store_recovery_is_reported_once(self) -> None:
        self.receive("op", None, 1)
        self.receive("servers", None, 1)
        self.now += tables.MIN_OUTAGE_S + 1
        self.receive("servers", 1, 2, ("u", 2, None))
        self.receive("op", 1, 2)
        self.on_recovery.assert_called_once()

    async def test_first_rows_are_not_a_recovery(self) -> None:
        self.receive("op", None, 1)
        self.on_recovery.assert_not_called()

    async def test_stale_reader_is_suspected_and_store_is_read_directly(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        self.assertEqual(READER_IP, self.tables.reader)
        self.assertFalse(self.tables.is_reading)
        self.now += tables.MAX_AGE_S + 0.1
        self.links.available.return_value = False
        self.tables._select_reader()
        self.links.suspect.assert_called_once()
        self.assertIsNone(self.tables.reader)
        self.assertTrue(self.tables.is_reading)
        self.tables._stop_reading()

    async def test_failover_from_two_stale_readers_fits_into_config_apply_s(self) -> None:
        second_ip = "10.0.0.3"
        for ip in (READER_IP, second_ip):
            self.members.update(ip, members.encode(make_settings(ip)))
        suspected = set()
        self.links.suspect.side_effect = lambda ip, reason: suspected.add(ip)
        self.links.available.side_effect = lambda ip: ip not in suspected
        changed_at = self.now
        self.receive("op", None, 4)
        self.receive("servers", None, 4)
        with mock.patch.object(
            tables.readers.election, "ranking", lambda job, ips: [READER_IP, second_ip, OWN_IP]
        ):
            self.tables._select_reader()
            while not self.tables.is_reading and self.now < changed_at + 10:
                self.now += tables.SELECTION_INTERVAL_S
                self.tables._select_reader()
        self.assertEqual({READER_IP, second_ip}, suspected)
        # The remaining 0.2 s are for the calls to the store from another region.
        self.assertLess(self.now - changed_at, node.Bounds().config_apply_s - 0.2)
        self.tables._stop_reading()

    async def test_reader_is_suspected_only_later_while_its_frame_arrives(self) -> None:
        self.rank(READER_IP)
        self.links.get.return_value.receiving = True
        for table in ("op", "servers"):
            self.receive(table, None, 4)
        self.tables._select_reader()
        self.now += tables.MAX_AGE_S + tables.RECEIVE_EXTENSION_S - 0.1
        self.tables._select_reader()
        self.links.suspect.assert_not_called()
        self.assertFalse(self.tables.is_reading)
        self.now += 0.2
        self.tables._select_reader()
        self.links.suspect.assert_called_once()
        self.tables._stop_reading()

    async def test_direct_reads_continue_until_a_reader_is_fresh(self) -> None:
        self.rank(READER_IP)
        peer_link = mock.Mock(peer=READER_IP)
        self.tables._select_reader()
        self.tables._failovers = 2
        self.tables._select_reader()
        self.assertTrue(self.tables.is_reading)
        self.receive("op", None, 4)
        self.receive("servers", None, 4)
        self.tables._select_reader()
        self.assertTrue(self.tables.is_reading)
        self.tables.receive_table_ages(
            peer_link, frames.TableAges({"op": (4, 0.1), "servers": (4, 0.1)})
        )
        self.tables._select_reader()
        self.assertFalse(self.tables.is_reading)

    async def test_age_reported_by_the_reader_is_adopted(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        self.receive("op", None, 4)
        self.receive("servers", None, 4)
        self.now += 5
        peer_link = mock.Mock(peer=READER_IP)
        ages = {"op": (4, 0.5), "servers": (4, 0.7)}
        self.tables.receive_table_ages(peer_link, frames.TableAges(ages))
        self.assertAlmostEqual(0.7, self.tables.age_s)

    async def test_time_that_frames_wait_on_the_way_counts_as_age(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        peer_link = link.Link(READER_IP, mock.Mock(), mock.Mock())
        clock_difference_s = 500.0
        for table in ("op", "servers"):
            rows = frames.Rows(table, None, 4, [], 0.0, self.now - clock_difference_s)
            self.tables.receive_rows(peer_link, rows)
        ages = {"op": (4, 0.0), "servers": (4, 0.0)}
        sent_at = self.now + 3 - clock_difference_s
        self.now += 5
        self.tables.receive_table_ages(peer_link, frames.TableAges(ages, sent_at))
        self.assertAlmostEqual(2.0, self.tables.age_s, delta=5 * clock.MAX_CLOCK_DRIFT)

    async def test_first_frame_of_a_link_is_as_old_as_the_request_at_most(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        peer_link = link.Link(READER_IP, mock.Mock(), mock.Mock())
        requested_at, sent_at = self.now, self.now - 500.0
        self.now += 3
        for table in ("op", "servers"):
            rows = frames.Rows(table, None, 4, [], 0.2, sent_at, requested_at)
            self.tables.receive_rows(peer_link, rows)
        self.assertAlmostEqual(3.2, self.tables.age_s)
        ages = {"op": (4, 0.1), "servers": (4, 0.1)}
        self.now += 5
        self.tables.receive_table_ages(peer_link, frames.TableAges(ages, sent_at + 7.5))
        self.assertAlmostEqual(0.6, self.tables.age_s, delta=8 * clock.MAX_CLOCK_DRIFT)

    async def test_subscriber_is_told_which_request_a_frame_replies_to(self) -> None:
        self.receive("op", None, 4, ("config", 3, b"c"))
        subscriber = mock.Mock()
        self.tables.add_subscriber(subscriber, frames.Subscribe({"op": -1}, 77.0))
        self.tables._stop_reading()
        sent = [call.args[0] for call in subscriber.send.call_args_list]
        self.assertEqual([77.0] * len(sent), [frame.requested_at for frame in sent])

    def follow(self, reader: str, *others: str) -> mock.Mock:
        """Follow a reader that ranks before the others, and these before this balancer."""
        self.rank(reader, *others)
        for table in ("op", "servers"):
            self.receive(table, None, 4)
        self.tables._select_reader()
        self.assertEqual(reader, self.tables.reader)
        return mock.Mock(peer=reader)

    def receive_ages(self, peer_link: mock.Mock, age_s: float, arriving: bool = False) -> None:
        ages = {"op": (4, age_s), "servers": (4, age_s)}
        frame = frames.TableAges(ages, arriving=arriving)
        self.tables.receive_table_ages(peer_link, frame)

    async def test_reader_is_kept_while_newer_rows_arrive_at_it(self) -> None:
        peer_link = self.follow(READER_IP, "10.0.0.3")
        for _ in range(int((tables.MAX_AGE_S + tables.ARRIVING_EXTENSION_S) / 0.1) - 1):
            self.now += 0.1
            self.receive_ages(peer_link, self.tables.age_s, arriving=True)
            self.tables._select_reader()
            self.assertEqual(READER_IP, self.tables.reader)
        self.assertFalse(self.tables.is_reading)
        self.now += tables.ARRIVING_TIMEOUT_S
        self.tables._select_reader()
        self.assertNotEqual(READER_IP, self.tables.reader)
        self.tables._stop_reading()

    async def test_age_does_not_grow_with_the_time_that_a_reader_is_followed(self) -> None:
        self.follow(READER_IP)
        peer_link = link.Link(READER_IP, mock.Mock(), mock.Mock())
        requests = [frames.Subscribe({}, self.now)]
        self.links.get.return_value.send.side_effect = requests.append
        for _ in range(600):
            self.now += 1.0
            requested_at = requests.pop().sent_at if requests else None
            ages = {"op": (4, 0.1), "servers": (4, 0.1)}
            frame = frames.TableAges(ages, self.now - 500.0, requested_at)
            self.tables.receive_table_ages(peer_link, frame)
            self.assertLess(self.tables.age_s, 0.1 + 1.0 + 0.2)
            self.tables._renew_subscription()

    async def test_subscribers_are_told_whether_newer_rows_arrive(self) -> None:
        self.follow(READER_IP)
        subscriber = mock.Mock()
        for receiving in (False, True):
            self.links.get.return_value.receiving = receiving
            self.tables.add_subscriber(subscriber, frames.Subscribe({"op": 4}))
            self.assertIs(receiving, subscriber.send.call_args.args[0].arriving)

    async def test_subscriber_does_not_make_a_balancer_give_up_a_reader_just_chosen(self) -> None:
        self.follow(READER_IP, "10.0.0.3", "10.0.0.4")
        self.now += tables.MAX_AGE_S + 0.1
        chosen = []
        for number in range(5):
            self.tables.add_subscriber(mock.Mock(peer=f"10.0.1.{number}"), frames.Subscribe({}))
            chosen.append(self.tables.reader)
        self.assertEqual(["10.0.0.3"] * 5, chosen)
        self.tables._stop_reading()

    def be_remote(self, rank: int) -> None:
        """Make the own region remote from the store, with this balancer at a rank."""
        ips = [f"10.0.0.{10 + number}" for number in range(rank)]
        for ip in ips:
            self.members.update(ip, members.encode(make_settings(ip), 0.06))
        self.members.update(OWN_IP, members.encode(make_settings(), 0.06))
        for ip in ("10.1.0.1", "10.1.0.2"):
            near = members.Member(ip, "b-1", "b", 100.0, 1.0, 0.002)
            self.members.update(ip, members.msgspec.json.encode(near))
        patcher = mock.patch.object(
            tables.readers.election, "ranking", lambda job, ips: sorted(ips, key=_last_own)
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    async def test_first_balancer_of_a_remote_region_follows_the_reader_next_to_the_store(self):
        self.be_remote(0)
        self.tables._select_reader()
        self.assertEqual("10.1.0.1", self.tables.reader)
        self.links.available.side_effect = lambda ip: not ip.startswith("10.1.")
        self.tables._unfollow()
        self.tables._select_reader()
        self.assertTrue(self.tables.is_reading)
        self.tables._stop_reading()

    async def test_balancers_of_a_remote_region_cross_the_link_between_regions_in_turn(
        self,
    ) -> None:
        self.be_remote(3)
        for table in ("op", "servers"):
            self.receive(table, None, 4)
        fresh_at, crossed_at = self.now, None
        while crossed_at is None:
            self.now += tables.SELECTION_INTERVAL_S
            self.tables._select_reader()
            if self.tables.is_reading or str(self.tables.reader).startswith("10.1."):
                crossed_at = self.now
        turn_s = tables.readers.turn_delay_s(3, tables.MIN_TABLE_BYTES, True, False)
        self.assertGreaterEqual(crossed_at - fresh_at, tables.MAX_AGE_S + turn_s - 0.001)
        self.tables._stop_reading()

    async def test_direct_reads_of_a_remote_region_do_not_overlap(self) -> None:
        self.be_remote(3)
        self.links.available.side_effect = lambda ip: not ip.startswith("10.1.")
        for table in ("op", "servers"):
            self.receive(table, None, 4)
        fresh_at = self.now
        while not self.tables.is_reading:
            self.now += tables.SELECTION_INTERVAL_S
            self.tables._select_reader()
        # Three balancers ahead, and 0.5 s for each response over a link of 5 Mbit/s.
        self.assertGreater(self.now - fresh_at, tables.MAX_AGE_S + 3 * 0.5)
        self.tables._stop_reading()

    async def test_balancer_that_reads_in_vain_yields_its_turn(self) -> None:
        self.be_remote(3)
        for table in ("op", "servers"):
            self.receive(table, None, 4)
        self.now += 60.0
        self.tables._select_reader()
        self.tables._start_reading()
        for table in ("op", "servers"):
            self.tables._failed_calls[table] = 1
        self.tables._select_reader()
        self.assertFalse(self.tables.is_reading)
        self.assertFalse(self.tables._is_own_turn())
        self.now += tables.readers.turn_delay_s(4, tables.MIN_TABLE_BYTES, True, True)
        self.assertTrue(self.tables._is_own_turn())

    async def test_balancers_next_to_the_store_read_it_without_turns(self) -> None:
        near = members.Member("own", "a-1", "a", 100.0, 1.0, 0.002)
        self.members.update(OWN_IP, members.msgspec.json.encode(near))
        for number in range(8):
            local = members.Member(f"n{number}", "a-1", "a", 100.0, 1.0, 0.002)
            self.members.update(f"10.0.0.{10 + number}", members.msgspec.json.encode(local))
        remote = members.Member("r", "b-1", "b", 100.0, 1.0, 0.06)
        self.members.update("10.1.0.1", members.msgspec.json.encode(remote))
        self.assertTrue(self.tables._is_own_turn())
        self.assertEqual("10.1.0.1", self.tables._ranking.candidates(True)[-1])
        self.assertEqual("10.1.0.1", self.tables._ranking.candidates(False)[-1])

    def announce(self, peer: str, age_s: float) -> None:
        ages = {"op": (0, age_s), "servers": (0, age_s)}
        self.tables.receive_table_ages(mock.Mock(peer=peer), frames.TableAges(ages))

    async def test_balancer_without_fresh_rows_follows_one_that_announces_them(self) -> None:
        other = "10.0.0.3"
        self.rank(READER_IP, other)
        self.tables._select_reader()
        self.announce(other, 0.2)
        self.assertEqual(other, self.tables.reader)

    async def test_announcement_of_old_rows_is_ignored(self) -> None:
        other = "10.0.0.3"
        self.rank(READER_IP, other)
        self.tables._select_reader()
        self.announce(other, tables.MAX_AGE_S)
        self.assertEqual(READER_IP, self.tables.reader)

    async def test_balancer_with_fresh_rows_keeps_its_reader(self) -> None:
        other = "10.0.0.3"
        self.rank(READER_IP, other)
        self.tables._select_reader()
        for table in ("op", "servers"):
            self.receive(table, None, 1)
        self.announce(other, 0.0)
        self.assertEqual(READER_IP, self.tables.reader)

    async def test_fresh_rows_are_announced_once_to_those_that_gave_up_this_balancer(self) -> None:
        former, current = mock.Mock(peer="10.0.0.5"), mock.Mock(peer="10.0.0.6")
        for subscriber in (former, current):
            self.tables.receive(subscriber, frames.Subscribe({}))
        self.tables.receive(former, frames.Unsubscribe())
        self.tables._announce_fresh_rows()
        former.send.reset_mock()
        for table in ("op", "servers"):
            self.receive(table, None, 1)
        for _ in range(2):
            self.tables._announce_fresh_rows()
        former.send.assert_called_once()
        self.assertIsInstance(former.send.call_args.args[0], frames.TableAges)

    async def test_listing_is_requested_from_a_reader_that_is_ahead(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        peer_link = mock.Mock(peer=READER_IP)
        self.tables.receive_table_ages(peer_link, frames.TableAges({"op": (9, 0.1)}))
        peer_link.send.assert_called_once_with(frames.ListingRequest("op"))

    async def test_version_without_changes_reaches_subscribers_without_a_listing(self) -> None:
        self.rank(READER_IP)
        self.tables._select_reader()
        subscriber = mock.Mock()
        self.receive("op", None, 4, ("config", 4, b"x"))
        self.tables._subscribers.add(subscriber)
        self.tables._merge_rows(
            "op", store.Page((), version(9), False), False, tables.STORE, self.now
        )
        sent = bytearray(subscriber.send_encoded.call_args.args[0])
        first, second = (frames.decode(data) for data in frames.split(sent))
        self.assertEqual(frames.Rows("op", 4, 9, [], 0.0, self.now), first)
        self.assertEqual(9, second.ages["op"][0])

    def subscribe(self, version: int) -> frames.Rows:
        """Return what a subscriber with a version of table ``op`` is sent of it."""
        subscriber = mock.Mock()
        self.tables.add_subscriber(subscriber, frames.Subscribe({"op": version}))
        self.tables._stop_reading()
        sent = [call.args[0] for call in subscriber.send.call_args_list]
        return next(f for f in sent if isinstance(f, frames.Rows) and f.table == "op")

    async def test_new_subscriber_is_sent_only_the_changes_that_it_has_missed(self) -> None:
        self.receive("op", None, 4, ("config", 3, b"c"), ("other", 4, b"x"))
        self.receive("op", 4, 9, ("other", 6, None), ("new", 8, b"y"))
        sent = self.subscribe(4)
        self.assertEqual((4, 9), (sent.after, sent.version))
        self.assertEqual([("new", 8, b"y"), ("other", 6, None)], sent.rows)

    async def test_new_subscriber_is_sent_a_listing_if_deletions_are_not_known(self) -> None:
        self.receive("op", None, 4, ("config", 3, b"c"))
        self.assertIsNone(self.subscribe(3).after)
        with mock.patch.object(table_copy, "MAX_DELETIONS", 1):
            self.receive("op", 4, 9, ("a", 6, None), ("b", 8, None))
        self.assertIsNone(self.subscribe(8).after)
        self.assertEqual(version(9), self.tables._copies["op"].deletions_since)

    async def test_row_that_returns_after_its_deletion_is_no_deletion(self) -> None:
        self.receive("op", None, 4, ("config", 3, b"c"))
        self.receive("op", 4, 6, ("config", 6, None))
        self.receive("op", 6, 8, ("config", 8, b"d"))
        self.assertEqual([("config", 8, b"d")], self.subscribe(4).rows)

    async def test_reading_continues_after_failed_calls(self) -> None:
        self.tables._start_reading()
        await asyncio.sleep(0)
        with mock.patch.object(tables, "MIN_RETRY_DELAY_S", 0.0):
            await self.client.responses.put(exceptions.StoreUnavailable("down"))
            await self.client.responses.put(reading(7, row("config", 7)))
            for _ in range(20):
                await asyncio.sleep(0)
        self.assertEqual(version(7), self.tables.versions()["op"])
        self.tables._stop_reading()


def _last_own(ip: str) -> tuple[bool, str]:
    return ip == OWN_IP, ip


class MembersTest(unittest.TestCase):
    def test_region_is_remote_if_the_store_is_farther_than_from_another_region(self) -> None:
        membership = members.Members(make_settings())
        rows = (("a", None), ("a", 0.064), ("a", 0.5), ("b", 0.003), ("b", 0.09), ("c", 0.004))
        for number, (region, rtt_s) in enumerate(rows):
            self.assertIsNone(membership.region_next_to_store("a"))
            member = members.Member(f"n{number}", f"{region}-1", region, store_rtt_s=rtt_s)
            membership.update(f"10.0.1.{number}", members.msgspec.json.encode(member))
            if number == 3:
                break
        self.assertEqual("b", membership.region_next_to_store("a"))
        self.assertIsNone(membership.region_next_to_store("b"))
        self.assertIsNone(membership.region_next_to_store("c"))

    def test_balancers_with_little_capacity_are_not_eligible(self) -> None:
        membership = members.Members(make_settings())
        slow_link = members.Member("n", "a-1", "a", link_mbps=5.0, cores=1.0)
        membership.update("10.0.0.3", members.msgspec.json.encode(slow_link))
        few_cores = members.Member("s", "a-1", "a", link_mbps=100.0, cores=0.2)
        membership.update("10.0.0.4", members.msgspec.json.encode(few_cores))
        self.assertEqual([OWN_IP], membership.eligible("a"))
        self.assertEqual(3, len(membership.in_region("a")))

    def test_replacement_vm_replaces_the_member_of_the_same_name(self) -> None:
        membership = members.Members(make_settings())
        encoded = members.msgspec.json.encode(members.Member("vm", "a-1", "a"))
        membership.update("10.0.0.3", encoded)
        membership.update("10.0.0.9", encoded)
        self.assertNotIn("10.0.0.3", membership.in_region("a"))

    def test_late_row_of_a_replaced_vm_does_not_hide_its_replacement(self) -> None:
        # Guards against a registration that was held up, and against the order of a listing.
        old, new = (
            members.encode(make_settings(), started_ms=started_ms) for started_ms in (1000, 2000)
        )
        for rows in (
            [("10.0.0.3", new), ("10.0.0.9", old)],
            [("10.0.0.3", old), ("10.0.0.9", new)],
        ):
            for order in (rows, rows[::-1], rows * 2):
                with self.subTest(order):
                    membership = members.Members(make_settings("10.0.0.7"))
                    for ip, value in order:
                        membership.update(ip, value)
                    expected = {"10.0.0.7", next(ip for ip, value in rows if value == new)}
                    self.assertEqual(expected, set(membership.in_region("a")))

    def test_late_row_of_a_vm_that_this_balancer_replaces_is_ignored(self) -> None:
        own = make_settings()
        membership = members.Members(own, started_ms=2000)
        membership.update("10.0.0.9", members.encode(own, started_ms=1000))
        self.assertEqual([OWN_IP], membership.addresses())

    def test_rows_of_one_balancer_are_ordered_by_its_starts(self) -> None:
        row_value = members.encode(make_settings(), started_ms=2000)
        self.assertEqual((2000, 0), members.read_position(row_value))
        for value in (members.encode(make_settings()), b"", b"[1]", b"\xff"):
            self.assertIsNone(members.read_position(value))

    def test_balancer_that_is_replaced_while_it_runs_stays_a_member_for_itself(self) -> None:
        own = make_settings()
        membership = members.Members(own, started_ms=1000)
        membership.update("10.0.0.9", members.encode(own, started_ms=2000))
        membership.update(OWN_IP, members.encode(own, started_ms=1000))
        self.assertEqual({OWN_IP, "10.0.0.9"}, set(membership.addresses()))
