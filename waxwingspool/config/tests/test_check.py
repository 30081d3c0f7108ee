"""Tests of the configuration check."""

import copy
import json
import pathlib
import unittest

from waxwingspool.config import check

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def places(document):
    """Return the places of all findings about a document."""
    result = check.check(json.dumps(document))
    return {f.place for f in result.error} if result.is_error() else set()


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.document = json.loads((EXAMPLES / "kwabena.json").read_text())

    def test_examples_are_valid(self):
        for path in EXAMPLES.glob("*.json"):
            with self.subTest(path=path.name):
                self.assertTrue(check.check(path.read_text()).is_ok())

    def test_unknown_fields_are_found_with_their_place(self):
        self.document["services"][0]["rules"][0]["retrys"] = 1
        self.assertEqual({"/services/0/rules/0/retrys"}, places(self.document))

    def test_findings_are_reported_together(self):
        self.document["services"][0]["upstreams"][3]["data_centre"] = "lagos-1"
        self.document["services"][1]["rules"][1]["hedge_share"] = 0.1
        self.document["services"][2]["upstreams"][0]["name"] = "paytag-01"
        expected = {
            "/services/0/upstreams/3/data_centre",
            "/services/1/rules/1/hedge_share",
            "/services/2/upstreams/0/name",
        }
        self.assertEqual(expected, places(self.document))

    def test_duplicate_services_are_found(self):
        self.document["services"].append(copy.deepcopy(self.document["services"][0]))
        self.assertIn("/services", places(self.document))

    def test_a_non_idempotent_rule_takes_no_resendable_method(self):
        self.document["services"][1]["rules"][1]["methods"] = ["PUT"]
        self.assertEqual({"/services/1/rules/1/methods/0"}, places(self.document))

    def test_a_payment_can_not_be_declared_idempotent(self):
        self.document["services"][1]["rules"][1]["idempotent"] = True
        self.assertEqual({"/services/1/rules/1/idempotent"}, places(self.document))
