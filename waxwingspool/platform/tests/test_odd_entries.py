"""Entries and messages of other writers: too deep, out of range, or no message at all."""

import json
import random
import unittest
from unittest import mock

from waxwingspool.catalog import upstreams
from waxwingspool.dispatch import limits
from waxwingspool.edge import view
from waxwingspool.fleet import frames, link, members, tables
from waxwingspool.fleet.tests import test_tables
from waxwingspool.platform import registration, store
from waxwingspool.platform.tests import test_decoding

NESTED = "[" * 100_000 + "]" * 100_000
NESTED_OBJECTS = '{"a":' * 100_000 + "1" + "}" * 100_000
SOUND = test_decoding.RegistrationTest.row
DIGITS = "9" * 400
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
                self.assertIsNone(registration.decode("i-1", value, 3, 10.0))

    def test_id_that_is_no_token_names_no_upstream(self) -> None:
        for id_ in ODD_IDS:
            with self.subTest(id_[:20]):
                self.assertIsNone(registration.decode(id_, entry(), 3, 10.0))

    def test_any_bytes_are_an_upstream_in_range_or_none(self) -> None:
        rng = random.Random(1)
        for _ in range(3000):
            value = mutate(rng, entry())
            found = registration.decode("i-1", value, 3, 10.0)
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
        self.view = view.View(node_settings, self.members, self.set_usable, mock.Mock())
        self.copies = tables.TableCopies(
            node_settings,
            mock.Mock(),
            mock.Mock(),
            self.members,
            view.TABLES,
            self.view.update,
            mock.Mock(),
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
                        store.Row("i-1", entry(), 5),
                        store.Row("i-2", entry(**{field: text}), 6),
                        store.Row("i-3", entry(address='"10.0.0.8:1"'), 7),
                    )
                    self.copies._merge_rows(
                        "servers", store.Page(rows, 9, False), complete, tables.STORE, 0.0
                    )
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


def mutate(rng: random.Random, data: bytes) -> bytes:
    """Return data with some bytes replaced, inserted, removed or repeated."""
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        start = rng.randrange(len(mutated) + 1)
        end = min(len(mutated), start + rng.choice((0, 1, 1, 4)))
        inserted = rng.choice((b"", rng.randbytes(1), b"9" * 30, b"-", b"[[[[", b"1e999", b"\xff"))
        mutated[start:end] = inserted
    return bytes(mutated)
