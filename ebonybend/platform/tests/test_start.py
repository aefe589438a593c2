import subprocess
import sys
from pathlib import Path

from testtools import TestCase

ROOT = Path(__file__).resolve().parents[3]
# Prints each module that is imported while SIGHUP ends the process.
SCRIPT = """
import runpy, signal, sys

class Recorder:
    def find_spec(self, name, path=None, target=None):
        if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
            names.setdefault(name)

names = {}
signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, Recorder())
sys.argv = ["node"]
try:
    runpy.run_module("ebonybend.platform", run_name="__main__")
finally:
    print(*names)
"""


class StartTest(TestCase):
    """Guards against SIGHUP ending a process that is starting."""

    def test_nothing_is_imported_before_hang_ups_are_ignored(self):
        run = subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=ROOT,
            env={"PATH": "/usr/bin"},
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(2, run.returncode, run.stderr)
        self.assertIn("EBONYBEND_NODE_FILE is not set", run.stderr)
        expected = ["ebonybend", "ebonybend.platform", "ebonybend.platform.__main__"]
        self.assertEqual(expected, run.stdout.split())
