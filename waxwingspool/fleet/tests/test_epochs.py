"""Versions of several epochs of the store: in calls, copies and frames."""

import asyncio
import itertools
import unittest
from unittest import mock

import msgspec

from waxwingspool import exceptions
from waxwingspool.fleet import frames, members, store, tables
from waxwingspool.fleet.tests import test_tables
from waxwingspool.platform import store as platform_store

PEER_IP = "10.0.0.2"


class ClientTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.client = store.StoreClient(test_tables.make_settings())

    def respond(self, *responses: tuple[int, bytes, bytes | None]) -> None:
        """Let the store respond to calls with a status, a body and the header with its epoch."""
        answers = iter(responses)

        async def exchange(*_: object) -> mock.Mock:
            status, data, epoch = next(answers)
            headers = [] if epoch is None else [(platform_store.EPOCH_HEADER, epoch)]
            stream = mock.Mock(failed=False, complete=True, wait_for_data=mock.AsyncMock())
            stream.read_available.return_value = data
            return mock.Mock(status=status, headers=headers, body=stream)

        connection = mock.Mock(read_response=exchange)
        self.client._get_connection = mock.AsyncMock(return_value=connection)

    async def get_changes(self, number: int, epoch: int) -> store.Reading:
        return await self.client.get_changes("op", test_tables.version(number, epoch), 0.0)

    async def test_changes_after_a_version_of_an_earlier_epoch_are_not_used(self) -> None:
        # Guards against a counter that has passed the old version, so that there is no status 410.
        self.respond((200, b'{"ver": 950}', b"2"))
        with self.assertRaises(store.HistoryGone):
            await self.get_changes(900, 1)
        self.assertEqual(2, self.client.epoch)

    async def test_late_response_of_an_earlier_epoch_counts_as_a_failed_call(self) -> None:
        # Guards against a call that was under way as the store went, and is answered afterwards.
        self.respond((200, b'{"ver": 50}', b"2"), (200, b'{"ver": 901}', b"1"))
        await self.get_changes(50, 2)
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.get_changes(900, 1)
        self.assertEqual(2, self.client.epoch)

    async def test_listing_whose_pages_are_of_two_epochs_is_not_used(self) -> None:
        row = b'{"rows": [{"key": "a", "ver": 1, "value": ""}], "has-more": true, "ver": 5}'
        self.respond((200, row, b"1"), (200, b'{"ver": 5}', b"2"))
        with self.assertRaises(store.HistoryGone):
            await self.client.get_listing("op")

    async def test_response_without_an_epoch_is_of_the_latest_one(self) -> None:
        self.respond((200, b'{"ver": 5}', None), (200, b'{"ver": 5}', b"3"), (503, b"", None))
        reading = await self.client.get_listing("op")
        self.assertEqual((0, 5), reading.page.version)
        await self.get_changes(5, 3)
        with self.assertRaises(exceptions.StoreUnavailable):
            await self.get_changes(5, 3)
        self.assertEqual(3, self.client.epoch)

    async def test_unreadable_epoch_counts_as_a_failed_call(self) -> None:
        for text in (b"", b"x", b"-1", b"1.5", b"9" * 400, "٣".encode()):
            with self.subTest(text):
                self.respond((200, b'{"ver": 5}', text))
                with self.assertRaises(exceptions.StoreUnavailable):
                    await self.client.get_listing("op")
        self.assertEqual(0, self.client.epoch)

    async def test_write_tells_in_which_epoch_it_was_acknowledged(self) -> None:
        self.respond((200, b'{"ver": 5}', b"4"))
        self.assertEqual(4, await self.client.put("balancers", "10.0.0.1", b"x"))


class CopiesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 1000.0
        patcher = mock.patch.object(tables.time, "monotonic", lambda: self.now)
        patcher.start()
        self.addCleanup(patcher.stop)
        self.client = test_tables.FakeStoreClient()
        self.on_rows = mock.Mock()
        self.links = mock.Mock()
        self.links.get_or_connect = mock.AsyncMock(return_value=mock.Mock())
        self.tables = tables.TableCopies(
            test_tables.make_settings(),
            self.client,
            self.links,
            members.Members(test_tables.make_settings()),
            ("op", "servers"),
            self.on_rows,
            mock.Mock(),
            {},
        )
        for table in ("op", "servers"):
            self.list_rows(table, 50, test_tables.row("a", 20, b"x", 2), epoch=2)

    def list_rows(self, table: str, number: int, *rows: platform_store.Row, epoch: int) -> None:
        page = platform_store.Page(rows, test_tables.version(number, epoch), False)
        self.tables._merge_rows(table, page, True, tables.STORE, self.now)

    def relay(self, after: int | None, number: int, *rows: tuple, epoch: int) -> bool:
        frame = frames.Rows("op", after, number, list(rows), epoch=epoch)
        return self.tables.receive_rows(mock.Mock(peer=PEER_IP), frame)

    def value(self) -> bytes:
        return self.tables._copies["op"].rows["a"].value

    def test_rows_that_a_peer_relays_from_an_earlier_epoch_are_ignored(self) -> None:
        # Guards against a reader that has not noticed yet that the store was restored.
        self.assertFalse(self.relay(40, 900, ("a", 900, b"lost"), epoch=1))
        self.assertFalse(self.relay(None, 901, ("a", 901, b"lost"), epoch=1))
        self.assertEqual(b"x", self.value())

    def test_changes_of_a_later_epoch_need_a_listing_first(self) -> None:
        # Guards against changes that are applied to rows of which some were lost.
        self.assertTrue(self.relay(10, 60, ("b", 60, b"y"), epoch=3))
        self.assertFalse(self.relay(None, 60, ("b", 60, b"y"), epoch=3))
        self.assertEqual(test_tables.version(60, 3), self.tables.versions()["op"])
        self.assertEqual({"b"}, set(self.tables._copies["op"].rows))

    def test_peer_may_tell_of_a_new_epoch_before_the_store_does(self) -> None:
        self.assertFalse(self.relay(None, 12, ("a", 12, b"y"), epoch=3))
        self.list_rows("op", 51, test_tables.row("a", 20, b"x", 2), epoch=2)
        self.assertEqual(b"y", self.value())

    def test_ages_of_an_earlier_or_unknown_epoch_do_not_refresh_copies(self) -> None:
        # Guards against copies that are taken for fresh although nobody has confirmed them.
        self.tables._reader = PEER_IP
        self.now += 5.0
        peer_link = mock.Mock(peer=PEER_IP)
        for epochs in ({"op": 1, "servers": 1}, {}):
            ages = {"op": (50, 0.0), "servers": (50, 0.0)}
            self.tables.receive_table_ages(peer_link, frames.TableAges(ages, epochs=epochs))
            self.assertAlmostEqual(5.0, self.tables.age_s)
        peer_link.send.assert_not_called()
        frame = frames.TableAges(ages, epochs={"op": 2, "servers": 2})
        self.tables.receive_table_ages(peer_link, frame)
        self.assertAlmostEqual(0.0, self.tables.age_s)

    def test_ages_of_a_later_epoch_request_a_listing(self) -> None:
        self.tables._reader = PEER_IP
        peer_link = mock.Mock(peer=PEER_IP)
        self.tables.receive_table_ages(
            peer_link, frames.TableAges({"op": (7, 0.0)}, epochs={"op": 3})
        )
        peer_link.send.assert_called_once_with(frames.ListingRequest("op"))

    async def test_announcement_of_an_earlier_epoch_is_not_followed(self) -> None:
        self.now += 5.0
        ages = {"op": (50, 0.0), "servers": (50, 0.0)}
        for epoch, reader in ((1, None), (2, PEER_IP)):
            frame = frames.TableAges(ages, epochs={"op": epoch, "servers": epoch})
            self.tables.receive_table_ages(mock.Mock(peer=PEER_IP), frame)
            self.assertEqual(reader, self.tables.reader)

    def test_subscriber_of_an_earlier_epoch_is_sent_a_listing(self) -> None:
        # Guards against a subscriber whose version has the same number as the restored one.
        for epochs, after in (({"op": 1}, None), ({}, None)):
            with self.subTest(epochs=epochs):
                peer_link = mock.Mock(peer="10.0.0.7")
                self.tables.add_subscriber(
                    peer_link, frames.Subscribe({"op": 50}, self.now, epochs)
                )
                self.tables._stop_reading()
                sent = [c.args[0] for c in peer_link.send.call_args_list]
                (rows,) = (f for f in sent if isinstance(f, frames.Rows) and f.table == "op")
                self.assertEqual((after, 2, 50), (rows.after, rows.epoch, rows.version))

    def test_subscribers_are_sent_a_listing_once_the_store_was_restored(self) -> None:
        # Guards against a restored table with the rows of before: a subscriber may have others.
        subscriber = mock.Mock(peer="10.0.0.7")
        frame = frames.Subscribe({"op": 50, "servers": 50}, self.now, {"op": 2, "servers": 2})
        self.tables.add_subscriber(subscriber, frame)
        self.tables._stop_reading()
        self.list_rows("op", 30, test_tables.row("a", 20, b"x", 3), epoch=3)
        data = bytearray(subscriber.send_encoded.call_args.args[0])
        rows = frames.decode(next(frames.split(data)))
        self.assertEqual((None, 3, 30), (rows.after, rows.epoch, rows.version))

    def test_new_rows_tell_whether_the_store_was_restored(self) -> None:
        self.list_rows("op", 51, test_tables.row("a", 51, b"z", 2), epoch=2)
        self.assertFalse(self.on_rows.call_args.args[0].restored)
        self.list_rows("op", 30, test_tables.row("a", 20, b"x", 3), epoch=3)
        self.assertTrue(self.on_rows.call_args.args[0].restored)

    async def test_direct_reader_lists_all_tables_once_it_knows_a_new_epoch(self) -> None:
        # Guards against a table whose feed goes on because the counter has passed its version.
        listed = []

        async def get_listing(table: str) -> store.Reading:
            listed.append(table)
            return test_tables.reading(1, epoch=3)

        self.client.get_listing, self.client.epoch = get_listing, 3
        self.client.get_changes = mock.AsyncMock(side_effect=asyncio.Event().wait)
        self.tables._start_reading()
        for _ in range(5):
            await asyncio.sleep(0)
        self.tables._stop_reading()
        self.assertEqual({"op", "servers", "balancers"}, set(listed))
        self.assertEqual({3}, {version.epoch for version in self.tables.versions().values()})

    async def test_long_poll_for_the_members_ends_once_a_new_epoch_is_known(self) -> None:
        # Guards against a call that the store of before will never answer.
        polled, listed = [], []

        async def get_changes(table: str, after: tuple, wait_s: float) -> store.Reading:
            polled.append(table)
            if table != "op":
                await asyncio.Event().wait()
            await asyncio.sleep(0)
            self.client.epoch = 3
            raise store.HistoryGone(table)

        async def get_listing(table: str) -> store.Reading:
            listed.append(table)
            if len(listed) > 2:
                await asyncio.Event().wait()
            return test_tables.reading(1, epoch=3)

        self.list_rows(members.TABLE, 50, epoch=2)
        self.client.get_changes, self.client.get_listing = get_changes, get_listing
        self.tables._start_reading(("op", members.TABLE))
        for _ in range(20):
            await asyncio.sleep(0)
        self.tables._stop_reading()
        self.assertEqual(["op", members.TABLE], listed[:2])


class _FormerRows(msgspec.Struct, array_like=True, tag=8):
    """Rows as a version of the program without epochs sends and reads them."""

    table: str
    after: int | None
    version: int
    rows: list[tuple[str, int, bytes | None]]
    age_s: float = 0.0
    sent_at: float | None = None
    requested_at: float | None = None


class _FormerSubscribe(msgspec.Struct, array_like=True, tag=7):
    versions: dict[str, int]
    sent_at: float | None = None


class _FormerTableAges(msgspec.Struct, array_like=True, tag=9):
    ages: dict[str, tuple[int, float]]
    sent_at: float | None = None
    requested_at: float | None = None
    arriving: bool = False


class FormerFramesTest(unittest.TestCase):
    def test_peers_without_epochs_read_frames_and_are_read(self) -> None:
        # Guards against links that close while the program is replaced by its next version.
        former = msgspec.msgpack.Decoder(_FormerRows | _FormerSubscribe | _FormerTableAges)
        pairs = itertools.chain(
            [(frames.Rows("op", 3, 4, [], epoch=2), _FormerRows("op", 3, 4, []))],
            [(frames.Subscribe({"op": 4}, 1.0, {"op": 2}), _FormerSubscribe({"op": 4}, 1.0))],
            [(frames.TableAges({}, epochs={"op": 2}), _FormerTableAges({}))],
        )
        for frame, expected in pairs:
            self.assertEqual(expected, former.decode(frames.encode(frame)[4:]))
            self.assertEqual(type(frame), type(frames.decode(msgspec.msgpack.encode(expected))))

    def test_frames_without_epochs_are_of_an_unknown_epoch(self) -> None:
        frame = frames.decode(msgspec.msgpack.encode(_FormerSubscribe({"op": 4}, 1.0)))
        self.assertEqual((0, 4), frame.store_version("op"))
        self.assertEqual((0, -1), frame.store_version("servers"))
