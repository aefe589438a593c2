import subprocess
import sys
from pathlib import Path
from tempfile import TemporaryDirectory

from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.errors import SteeringError
from ebonybend.platform.run import (
    MAX_SETTINGS_WAIT_S,
    METRICS_PORT,
    metrics_port,
    wait_for_settings,
)
from ebonybend.platform.tests.test_formats import SETTINGS

ROOT = Path(__file__).resolve().parents[3]
# Prints each module that is imported while SIGHUP ends the process.
SCRIPT = """
import runpy, signal, sys

class Recorder:
    def find_spec(self, name, path=None, target=None):
        if signal.getsignal(signal.SIGHUP) is signal.SIG_DFL:
            print("imported", name, flush=True)

signal.signal(signal.SIGHUP, signal.SIG_DFL)
sys.meta_path.insert(0, Recorder())
sys.argv = ["node"]
runpy.run_module("ebonybend.platform", run_name="__main__")
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
        lines = run.stdout.splitlines()
        imported = [x.split()[1] for x in lines if x.startswith("imported ")]
        self.assertEqual(expected, list(dict.fromkeys(imported)))
        self.assertIn('"process_ends"', lines[-1])


class SettingsWaitTest(TestWithScenarios, TestCase):
    """Guards against a node that ends since its settings file is being written."""

    scenarios = [
        ("whole", {"texts": [SETTINGS], "reads": 1}),
        ("cut in half", {"texts": [SETTINGS[:100], SETTINGS], "reads": 2}),
        ("empty", {"texts": ["", "", SETTINGS], "reads": 3}),
        ("missing", {"texts": [None, SETTINGS], "reads": 2}),
        ("never", {"texts": [""], "reads": 151, "error": "Listen"}),
    ]
    error = None

    def test_waits(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        path = Path(directory.name) / "settings.toml"
        slept = []

        def write(number):
            text = self.texts[min(number, len(self.texts) - 1)]
            if text is not None:
                path.write_text(text)

        def sleep(seconds):
            slept.append(seconds)
            write(len(slept))

        write(0)
        arguments = path, lambda: round(sum(slept), 3), sleep
        if self.error is None:
            self.assertEqual("kingston", wait_for_settings(*arguments).region)
        else:
            raised = self.assertRaises(SteeringError, wait_for_settings, *arguments)
            self.assertIn(self.error, raised.message)
            self.assertAlmostEqual(MAX_SETTINGS_WAIT_S, sum(slept), 3)
        self.assertEqual(self.reads, len(slept) + 1)


class MetricsPortTest(TestWithScenarios, TestCase):
    """Guards against a node that doesn't start for the port of its metrics."""

    scenarios = [
        (repr(text), {"text": text, "port": port})
        for text, port in (
            ("9000", 9000),
            ("", int(METRICS_PORT)),
            ("x", int(METRICS_PORT)),
            ("0", int(METRICS_PORT)),
            ("70000", int(METRICS_PORT)),
            ("9" * 5000, int(METRICS_PORT)),
        )
    ]

    def test_port(self):
        self.assertEqual(self.port, metrics_port(self.text))
