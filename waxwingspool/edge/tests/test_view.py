"""What the view reports about the configuration that it applies."""

import json
import unittest
from unittest import mock

from waxwingspool.edge import view
from waxwingspool.fleet import members, tables
from waxwingspool.fleet.tests import test_tables

DOCUMENT = {
    "version": 7,
    "limits": {
        "max-header-bytes": 1,
        "max-body-bytes": 1,
        "header-timeout-ms": 1,
        "idle-timeout-ms": 1,
    },
    "listeners": [],
    "clusters": [],
}


class ViewTest(unittest.TestCase):
    def test_source_and_age_of_the_configuration_in_force_are_logged(self) -> None:
        settings = test_tables.make_settings()
        membership = members.Members(settings)
        subject = view.View(settings, membership, mock.Mock(), mock.Mock(), mock.Mock())
        row = test_tables.row("config", 12, json.dumps(DOCUMENT).encode())
        with mock.patch.object(view.eventlog, "event") as event:
            subject.update(tables.Update("op", (row,), True, "10.0.0.2", 0.4))
        event.assert_called_once_with(
            "configuration.in-force",
            version=7,
            before=-1,
            row=test_tables.version(12),
            routes=0,
            source="10.0.0.2",
            age_s=0.4,
        )
