"""Entries and messages of other writers: too deep, out of range, or no message at all."""

import json
import random
import unittest
from unittest import mock

from waxwingspool import exceptions
from waxwingspool.catalog import store_version, upstreams
from waxwingspool.dispatch import limits
from waxwingspool.edge import view
from waxwingspool.fleet import departures, frames, link, members, tables
from waxwingspool.fleet.tests import test_tables
from waxwingspool.platform import configuration, headers, registration, settings, store
from waxwingspool.platform.tests import test_decoding

NESTED = "[" * 100_000 + "]" * 100_000
NESTED_OBJECTS = '{"a":' * 100_000 + "1" + "}" * 100_000
SOUND = test_decoding.RegistrationTest.row
DIGITS = "9" * 400
VERSION = store_version.StoreVersion(1, 3)
# Fields that make an entry of an upstream unusable, as JSON.
ODD_FIELDS = (
    ("more", NESTED),
    ("more", NESTED_OBJECTS),
    ("slots", DIGITS),
    ("slots", str(2**63 - 1)),
    ("slots", "1" + "0" * 29),
    ("slots", "-4"),
    ("warmup-left-ms", "1e308"),
    ("warmup-left-ms", DIGITS),
    ("born", DIGITS),
    ("born", "-1"),
    ("address", '"10.0.0.9:99999"'),
    ("address", '"10.0.0.9:0"'),
    ("address", '"10.0.0.9:-1"'),
    ("address", '"10.0.0.9: 80"'),
    ("address", '"10.0.0.9:8_0"'),
    ("address", f'"10.0.0.9:{"9" * 5000}"'),
    ("address", '"x:80"'),
    ("address", '"10.0.0.9 :80"'),
    ("address", '"10.0.0.9\\u0000:80"'),
    ("address", f'"{"a" * 300}:80"'),
    ("address", '"10.0.0.256:80"'),
    ("address", '"::1:80"'),
    ("address", '"0.0.0.0:80"'),
)
ODD_IDS = "", "a b", "a\r\nx: y", "\u20ac", "x" * 300


def entry(**fields: str) -> bytes:
    """Return the entry of an upstream with some fields replaced by JSON texts."""
    texts = {key: json.dumps(value) for key, value in SOUND.items()} | fields
    return ("{" + ",".join(f'"{key}":{text}' for key, text in texts.items()) + "}").encode()


class UpstreamEntryTest(unittest.TestCase):
    def test_entry_out_of_range_names_no_upstream(self) -> None:
        for field, text in ODD_FIELDS:
            with self.subTest(field=field, text=text[:40]):
                value = entry(**{field: text})
                self.assertIsNone(registration.decode("i-1", value, VERSION, 10.0))

    def test_id_that_is_no_token_names_no_upstream(self) -> None:
        for id_ in ODD_IDS:
            with self.subTest(id_[:20]):
                self.assertIsNone(registration.decode(id_, entry(), VERSION, 10.0))

    def test_any_bytes_are_an_upstream_in_range_or_none(self) -> None:
        rng = random.Random(1)
        for _ in range(3000):
            value = mutate(rng, entry())
            found = registration.decode("i-1", value, VERSION, 10.0)
            if found is not None:
                self.assertIn(found.address[1], range(1, 65536))
                self.assertLessEqual(1, limits.ConcurrencyLimit().value(found.slots))
                self.assertLess(found.warm_at, 1e6)


class RowsTest(unittest.TestCase):
    """Sound rows beside an odd one, listed, changed, read from the store or told by a peer."""

    def setUp(self) -> None:
        node_settings = test_tables.make_settings()
        self.usable: list[upstreams.Upstream] = []
        self.members = members.Members(node_settings)
        known_departures = departures.Departures(mock.Mock())
        self.view = view.View(
            node_settings, self.members, self.set_usable, mock.Mock(), known_departures
        )
        self.copies = tables.TableCopies(
            node_settings,
            mock.Mock(),
            mock.Mock(),
            self.members,
            view.TABLES,
            self.view.update,
            mock.Mock(),
            view.POSITION_READERS,
        )
        patcher = mock.patch.object(view.eventlog, "event")
        self.event = patcher.start()
        self.addCleanup(patcher.stop)

    def set_usable(self, usable: list[upstreams.Upstream]) -> None:
        self.usable = usable

    def check_sound_rows_hold(self, odd_key: str, count: int = 2) -> None:
        self.assertEqual(count, len(self.usable))
        unreadable = [c for c in self.event.call_args_list if c.args[0] == "upstream.unreadable"]
        self.assertEqual([odd_key], [call.kwargs["upstream"] for call in unreadable])

    def test_sound_rows_beside_an_odd_one_hold(self) -> None:
        for field, text in ODD_FIELDS:
            for complete in (True, False):
                with self.subTest(field=field, text=text[:40], complete=complete):
                    self.setUp()
                    rows = (
                        test_tables.row("i-1", 5, entry()),
                        test_tables.row("i-2", 6, entry(**{field: text})),
                        test_tables.row("i-3", 7, entry(address='"10.0.0.8:1"')),
                    )
                    page = store.Page(rows, test_tables.version(9), False)
                    self.copies._merge_rows("servers", page, complete, tables.STORE, 0.0)
                    self.check_sound_rows_hold("i-2")

    def test_link_stays_open_when_a_peer_tells_an_odd_row(self) -> None:
        for field, text in ODD_FIELDS:
            with self.subTest(field=field, text=text[:40]):
                self.setUp()
                peer_link = link.Link("10.0.0.2", self.copies.receive, mock.Mock())
                peer_link.connection_made(mock.Mock())
                value = entry(**{field: text})
                rows = [("i-1", 5, entry()), ("i-2", 6, value), ("i-3", 7, None)]
                peer_link.data_received(frames.encode(frames.Rows("servers", None, 9, rows)))
                peer_link._transport.abort.assert_not_called()
                self.check_sound_rows_hold("i-2", count=1)

    def test_odd_members_are_left_out(self) -> None:
        values = [
            b"",
            b'{"name":"n","data_centre":"a","region":"a","x":' + NESTED.encode() + b"}",
            b'{"name":"n","data_centre":"a","region":"a","cores":1e308}',
            b'{"name":"n","data_centre":"a","region":"a","link_mbps":-1}',
            b'{"name":"n","data_centre":"a","region":"a","store_rtt_s":' + DIGITS.encode() + b"}",
        ]
        sound = b'{"name":"n","data_centre":"a","region":"a"}'
        for value in values:
            with self.subTest(value[:60]):
                self.assertFalse(self.members.update("10.0.0.7", value))
        for key in ("x", "10.0.0.256", "10.0.0.7:1", ""):
            with self.subTest(key):
                self.assertFalse(self.members.update(key, sound))
        self.assertEqual(1, self.members.count)
        self.assertTrue(self.members.update("10.0.0.7", sound))


class MessageTest(unittest.TestCase):
    """Everything else that is decoded: frames, pages, configurations, settings and headers."""

    def test_nested_frames_close_the_link_as_malformed(self) -> None:
        depth = 100_000
        nested = b"\x91" * depth + b"\xc0"
        datas = [nested, b"\x92\x0d" + nested, b"\x93\x00\xa1a" + nested]
        for data in datas:
            with self.subTest(data[:4]), mock.patch.object(link.eventlog, "event") as event:
                peer_link = link.Link("10.0.0.2", mock.Mock(), mock.Mock())
                peer_link.connection_made(mock.Mock())
                peer_link.data_received(len(data).to_bytes(4, "big") + data)
                peer_link._transport.abort.assert_called_once()
                event.assert_called_once()

    def test_any_bytes_are_a_frame_or_malformed(self) -> None:
        rng = random.Random(2)
        request = frames.SlotRequest("s", 1, "a", 1.0, 1.0, 1, 0, ("u",), False, False, True)
        sent = [
            request,
            frames.Granted(1, "u", 0.1, True),
            frames.RateLimit("u", 1, 2.0, 1.0, 0.2, 0.1, "r", False),
            frames.Rows("servers", None, 9, [("i-1", 5, b"x")]),
        ]
        for _ in range(3000):
            peer_link = link.Link("10.0.0.2", mock.Mock(), mock.Mock())
            peer_link.connection_made(mock.Mock())
            with mock.patch.object(link.eventlog, "event"):
                peer_link.data_received(mutate(rng, frames.encode(rng.choice(sent))))

    def test_nested_pages_count_as_an_outage(self) -> None:
        for text in (NESTED, NESTED_OBJECTS):
            for body in (text, f'{{"ver":1,"x":{text}}}', f'{{"ver":1,"rows":[{text}]}}'):
                with self.subTest(body[:20]), self.assertRaises(exceptions.StoreUnavailable):
                    store.decode_page(body.encode(), 1)

    def test_page_out_of_range_counts_as_an_outage(self) -> None:
        for body in (f'{{"ver":{DIGITS}}}', f'{{"ver":1,"now-ms":{DIGITS}}}', '{"ver":-9}'):
            with self.subTest(body[:20]), self.assertRaises(exceptions.StoreUnavailable):
                store.decode_page(body.encode(), 1)

    def test_any_bytes_are_a_page_or_an_outage(self) -> None:
        rng = random.Random(3)
        body = b'{"ver":9,"now-ms":1.5,"rows":[{"key":"a","ver":4,"value":"eA=="}]}'
        for _ in range(3000):
            try:
                store.decode_page(mutate(rng, body), 1)
            except exceptions.StoreUnavailable:
                pass

    def test_odd_configurations_are_rejected(self) -> None:
        document = test_decoding.make_document()
        text = json.dumps(document)
        action = '"timeout-ms": 1000'
        self.assertIn(action, text)
        odd = [
            NESTED,
            text[:-1] + f', "x": {NESTED}}}',
            text.replace(action, f'"timeout-ms": {DIGITS}'),
            text.replace(action, '"timeout-ms": -1'),
            text.replace('"max-attempts": 2', f'"max-attempts": {DIGITS}'),
            text.replace('"weight": 90', '"weight": -1'),
            text.replace('"priority": 2', f'"priority": {DIGITS}'),
            text.replace('"version": 7', f'"version": {DIGITS}'),
            text.replace('"max-body-bytes": 1000', f'"max-body-bytes": {DIGITS}'),
        ]
        for value in odd:
            with self.subTest(value[:60]), self.assertRaises(exceptions.ConfigurationError):
                configuration.decode(value.encode())

    def test_any_bytes_are_a_configuration_or_rejected(self) -> None:
        rng = random.Random(4)
        value = json.dumps(test_decoding.make_document()).encode()
        for _ in range(3000):
            try:
                configuration.decode(mutate(rng, value))
            except exceptions.ConfigurationError:
                pass

    def test_odd_settings_are_rejected(self) -> None:
        text = test_decoding.SETTINGS_FILE
        for odd in (
            text + "x = " + NESTED,
            text.replace("10.1.0.34:8548", "10.1.0.34:99999"),
            text.replace("10.200.1.7:8541", "store:8541"),
        ):
            with self.subTest(odd[-40:]), self.assertRaises(exceptions.ConfigurationError):
                settings.decode(odd)

    def test_load_out_of_range_is_ignored(self) -> None:
        for text in ("1e308,0,4", "-1,0,4", "1,0,4,1e300", "1,0,4,-5", ",".join(["1"] * 9999)):
            with self.subTest(text[:20]):
                self.assertIsNone(headers.parse_load(text))


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return data with some bytes replaced, inserted, removed or repeated."""
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(mutated) + 1)
        end = min(len(mutated), start + rng.choice((0, 1, 1, 4)))
        inserted = rng.choice((b"", rng.randbytes(1), b"9" * 30, b"-", b"[[[[", b"1e999", b"\xff"))
        mutated[start:end] = inserted
    return bytes(mutated)
