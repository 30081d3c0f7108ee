"""Tests of the command line."""

import json
import pathlib
import tempfile
import unittest

import typer.testing

from waxwingspool.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class CommandLineTest(unittest.TestCase):
    def call(self, *arguments):
        """Run a command and return its result."""
        return typer.testing.CliRunner().invoke(main.app, [str(a) for a in arguments])

    def file(self, value):
        """Return a file with a JSON value."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "file.json"
        path.write_text(json.dumps(value))
        return path

    def test_check_counts_what_a_file_describes(self):
        result = self.call("check", EXAMPLES / "kwabena.json")
        self.assertEqual(0, result.exit_code)
        self.assertIn("3 services, 40 upstreams", result.output)

    def test_check_reports_findings_with_their_places(self):
        result = self.call("check", self.file({"format": 2}))
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        self.assertIn("/format:", result.output)
        self.assertIn("/regions:", result.output)

    def test_a_file_that_is_not_there_is_named(self):
        result = self.call("check", "/nowhere.json")
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        self.assertIn("/nowhere.json: No such file", result.output)

    def test_settings_are_checked_together(self):
        result = self.call("run", "--settings", self.file({"id": "VM 1", "port": 1}))
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        for place in ("/id:", "/port:", "/region:"):
            self.assertIn(place, result.output)

    def test_a_balancer_that_does_not_answer_is_named(self):
        for command in ("status", "burn"):
            result = self.call(command, "--balancer", "127.0.0.1:9")
            self.assertEqual(main.EXIT_UNKNOWN, result.exit_code)
            self.assertIn("127.0.0.1:9 did not answer", result.output)
