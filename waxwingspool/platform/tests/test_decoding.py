"""Tests of the decoding of the platform's formats, including invalid input."""

import base64
import json
import unittest
from unittest import mock

from waxwingspool import exceptions
from waxwingspool.catalog import routes, store_version
from waxwingspool.platform import configuration, headers, registration, settings, store

VERSION = store_version.StoreVersion(1, 3)

SETTINGS_FILE = """
[self]
node = "edge-1"
ip = "10.1.0.34"
zone = "accra-a"
region = "accra"
bootstrap = true
unknown = 1
[self.limits]
cpu-share = 0.5
cores = 2
link-mbps = 10.0
[network]
internal-port-range = [7540,7555]
[network.listen]
front = "10.1.0.34:8548"
ready = "10.1.0.34:8542"
[network.zones]
accra-a = "accra"
[platform.platform]
address = "10.200.1.7:8541"
[terms.bounds]
drain-ms = 3000
retry-budget-slack = 62
"""


def make_document() -> dict:
    rule = {
        "name": "r",
        "kind": "safe",
        "latency-goal-ms": 200,
        "priority": 2,
        "match": {"path-prefix": "/lepu/"},
        "action": {
            "weighted-split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
            "timeout-ms": 1000,
            "max-attempts": 2,
        },
    }
    limits = {
        "max-header-bytes": 16384,
        "max-body-bytes": 1000,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }
    return {
        "version": 7,
        "limits": limits,
        "listeners": [{"host": "A.example", "rules": [rule]}],
        "clusters": [{"name": "s", "health-path": "/health", "max-conns": 260}],
    }


class SettingsTest(unittest.TestCase):
    def test_fields_are_translated_to_internal_names(self) -> None:
        decoded = settings.decode(SETTINGS_FILE)
        self.assertEqual(("edge-1", "accra-a"), (decoded.name, decoded.data_centre))
        self.assertEqual(("10.1.0.34", 8548), decoded.caller_address)
        self.assertEqual((7540, 7555), (decoded.peer_port, decoded.metrics_port))
        self.assertEqual((3.0, 62), (decoded.bounds.drain_s, decoded.bounds.retry_allowance))
        self.assertEqual((1.0, 10.0, True), (decoded.cores, decoded.link_mbps, decoded.first_start))

    def test_error_names_the_missing_field(self) -> None:
        with self.assertRaisesRegex(exceptions.ConfigurationError, "ip"):
            settings.decode(SETTINGS_FILE.replace('ip = "10.1.0.34"', ""))


class ConfigurationTest(unittest.TestCase):
    def test_decoded_route_is_found_by_host_and_prefix(self) -> None:
        table = configuration.decode(json.dumps(make_document()).encode())
        route = table.find("a.example", "/lepu/2f")
        self.assertEqual(routes.Kind.IDEMPOTENT, route.kind)
        self.assertEqual([90, 10], [weighted.weight for weighted in route.weighted_services])
        self.assertIsNone(table.find("a.example", "/lepu"))
        self.assertEqual((7, 0.2), (table.version, route.objective_s))

    def test_invalid_values_are_rejected(self) -> None:
        without_service = make_document()
        del without_service["listeners"][0]["rules"][0]["action"]["weighted-split"]
        values = [b"", b"{", b"[]", b'{"version": "x"}', json.dumps(without_service).encode()]
        for value in values:
            with self.subTest(value[:30]), self.assertRaises(exceptions.ConfigurationError):
                configuration.decode(value)


class RegistrationTest(unittest.TestCase):
    row = {
        "service": "s",
        "address": "10.0.0.9:8080",
        "zone": "accra-a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmup-left-ms": 500,
        "seq": 4,
        "born": 17,
    }

    def decode(self, **changes: object):
        value = json.dumps({**self.row, **changes}).encode()
        return registration.decode("i-1", value, VERSION, 10.0)

    def test_valid_row_is_decoded(self) -> None:
        upstream = self.decode()
        self.assertEqual((("10.0.0.9", 8080), 10.5), (upstream.address, upstream.warm_at))
        self.assertTrue(self.decode(state="draining").draining)

    def test_invalid_rows_of_other_writers_are_ignored(self) -> None:
        for changes in (
            {"state": "asleep"},
            {"slots": "4"},
            {"slots": 0},
            {"address": "10.0.0.9"},
            {"address": "10.0.0.9:x"},
            {"service": 7},
            {"born": "now"},
        ):
            with self.subTest(changes):
                self.assertIsNone(self.decode(**changes))
        self.assertIsNone(registration.decode("i-1", b"\xff\x00", VERSION, 10.0))


class LoadTest(unittest.TestCase):
    def test_load_that_is_no_finite_number_is_ignored(self) -> None:
        for text in ("nan,1,1", "1,inf,1", "1,1,1e999", "1,1,1,nan", "1,1,1,-inf"):
            with self.subTest(text):
                self.assertIsNone(headers.parse_load(text))


class RateLimitTest(unittest.TestCase):
    def test_decimal_numbers_are_read(self) -> None:
        for text, rate in (("1", 1.0), ("2.2", 2.2), (" 0 ", 0.0), (".5", 0.5), ("1e-05", 1e-5)):
            with self.subTest(text):
                self.assertEqual(rate, headers.parse_rate_limit(text))

    def test_lowest_of_several_limits_holds(self) -> None:
        self.assertEqual(1.0, headers.parse_rate_limit("3, 1, many"))

    def test_text_that_is_no_finite_number_of_at_least_zero_is_rejected(self) -> None:
        texts = "", "-1", "nan", "inf", "1e400", "1_000", "many", "\xb2", "1/s", "0." + "0" * 5000
        for text in texts:
            with self.subTest(text[:20]), self.assertRaises(ValueError):
                headers.parse_rate_limit(text)


class StoreTest(unittest.TestCase):
    def test_rows_and_deleted_rows_are_decoded(self) -> None:
        rows = [
            {"key": "a", "ver": 4, "value": base64.b64encode(b"x").decode()},
            {"key": "b", "ver": 5, "tombstone": True},
        ]
        page = store.decode_page(json.dumps({"rows": rows, "ver": 9, "now-ms": 1}).encode(), 1)
        self.assertEqual(((1, 9), False), (page.version, page.has_more))
        self.assertEqual([b"x", None], [row.value for row in page.rows])

    def test_row_of_another_part_is_not_taken_for_the_configuration(self) -> None:
        value = base64.b64encode(b"x").decode()
        rows = [
            {"part": "", "key": "config", "ver": 4, "value": value},
            {"part": "p", "key": "config", "ver": 5, "value": value},
            {"part": "p", "key": "config", "ver": 6, "tombstone": True},
        ]
        page = store.decode_page(json.dumps({"rows": rows, "ver": 9, "now-ms": 1}).encode(), 1)
        expected = store.Row("config", b"x", store_version.StoreVersion(1, 4))
        self.assertEqual((expected,), page.rows)
        self.assertEqual((1, 9), page.version)

    def test_response_of_too_many_rows_is_not_decoded(self) -> None:
        # Guards against a response that takes more memory than the process may have.
        rows = b",".join([b'{"key":"a","ver":1}'] * (store.MAX_ROWS + 1))
        with (
            mock.patch.object(store, "_decoder") as decoder,
            self.assertRaisesRegex(exceptions.StoreUnavailable, "rows"),
        ):
            store.decode_page(b'{"ver": 1, "rows": [%b]}' % rows, 1)
        decoder.decode.assert_not_called()

    def test_malformed_response_counts_as_an_outage(self) -> None:
        for body in (b"", b"{}", b'{"ver": 1, "rows": [{"key": "a", "ver": 1, "value": "?"}]}'):
            with self.subTest(body), self.assertRaises(exceptions.StoreUnavailable):
                store.decode_page(body, 1)
