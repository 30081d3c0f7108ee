"""Tests of the validation of configuration files."""

import copy
import json
import pathlib
import unittest

from waxwingspool.config import check

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def finding_locations(document):
    """Return the locations of all findings about a document."""
    result = check.check(json.dumps(document))
    return {f.location for f in result.error} if result.is_error() else set()


class CheckTest(unittest.TestCase):
    def setUp(self):
        self.document = json.loads((EXAMPLES / "kwabena.json").read_text())

    def test_examples_are_valid(self):
        for path in EXAMPLES.glob("*.json"):
            with self.subTest(path=path.name):
                self.assertTrue(check.check(path.read_text()).is_ok())

    def test_unknown_field_is_reported_with_its_location(self):
        self.document["services"][0]["rules"][0]["retrys"] = 1
        self.assertEqual({"/services/0/rules/0/retrys"}, finding_locations(self.document))

    def test_all_findings_are_reported_together(self):
        self.document["services"][0]["upstreams"][3]["data_centre"] = "lagos-1"
        self.document["services"][1]["rules"][1]["hedge_share"] = 0.1
        self.document["services"][2]["upstreams"][0]["name"] = "paytag-01"
        expected = {
            "/services/0/upstreams/3/data_centre",
            "/services/1/rules/1/hedge_share",
            "/services/2/upstreams/0/name",
        }
        self.assertEqual(expected, finding_locations(self.document))

    def test_duplicate_service_is_reported(self):
        self.document["services"].append(copy.deepcopy(self.document["services"][0]))
        self.assertIn("/services", finding_locations(self.document))

    def test_non_idempotent_rule_rejects_idempotent_method(self):
        self.document["services"][1]["rules"][1]["methods"] = ["PUT"]
        self.assertEqual({"/services/1/rules/1/methods/0"}, finding_locations(self.document))

    def test_payment_must_not_be_idempotent(self):
        self.document["services"][1]["rules"][1]["idempotent"] = True
        self.assertEqual({"/services/1/rules/1/idempotent"}, finding_locations(self.document))
