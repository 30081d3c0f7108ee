"""Tests of signal handling during start-up."""

import subprocess
import sys
import unittest

# Runs the entry point with a main function that only sends SIGHUP to its own process.
SIGHUP_DURING_START = """
import os, runpy, signal
from waxwingspool.edge import process

def main():
    os.kill(os.getpid(), signal.SIGHUP)
    return 0

process.main = main
runpy.run_module("waxwingspool.edge", run_name="__main__")
"""


class StartTest(unittest.TestCase):
    def test_sighup_during_start_does_not_end_the_process(self) -> None:
        completed = subprocess.run([sys.executable, "-c", SIGHUP_DURING_START], check=False)
        self.assertEqual(0, completed.returncode)
