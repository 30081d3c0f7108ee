"""Tests of the command-line interface."""

import json
import pathlib
import tempfile
import unittest

import typer.testing

from waxwingspool.cli import main

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class CommandTest(unittest.TestCase):
    def run_command(self, *arguments):
        """Run a command in process and return its result."""
        return typer.testing.CliRunner().invoke(main.app, [str(a) for a in arguments])

    def write_json(self, value):
        """Return the path of a temporary file with a JSON value."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(directory) / "file.json"
        path.write_text(json.dumps(value))
        return path

    def test_check_prints_number_of_services_and_upstreams(self):
        result = self.run_command("check", EXAMPLES / "kwabena.json")
        self.assertEqual(0, result.exit_code)
        self.assertIn("3 services, 40 upstreams", result.output)

    def test_check_reports_findings_with_location(self):
        result = self.run_command("check", self.write_json({"format": 2}))
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        self.assertIn("/format:", result.output)
        self.assertIn("/regions:", result.output)

    def test_missing_file_is_reported_by_name(self):
        result = self.run_command("check", "/nowhere.json")
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        self.assertIn("/nowhere.json: No such file", result.output)

    def test_all_settings_errors_are_reported_together(self):
        result = self.run_command("run", "--settings", self.write_json({"id": "VM 1", "port": 1}))
        self.assertEqual(main.EXIT_FINDINGS, result.exit_code)
        for pointer in ("/id:", "/port:", "/region:"):
            self.assertIn(pointer, result.output)

    def test_unreachable_balancer_is_reported_by_address(self):
        for command in ("status", "burn"):
            result = self.run_command(command, "--balancer", "127.0.0.1:9")
            self.assertEqual(main.EXIT_UNKNOWN, result.exit_code)
            self.assertIn("127.0.0.1:9 did not answer", result.output)
