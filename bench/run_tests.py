"""Run every test module and print the numbers of passed and failed tests."""

import sys
import unittest
from pathlib import Path

from hypothesis import settings
from testscenarios import generate_scenarios
from testtools import TestResult, TextTestResult
from testtools.testsuite import iterate_tests

ROOT = Path(__file__).resolve().parent.parent
PACKAGES = ("ebonybend", "standins", "bench")
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
KNOWN_FAILURE_PREFIX = "test: "


def known_failures() -> frozenset[str]:
    """Return the ids of the tests listed in KNOWN-RED.txt."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines()
    return frozenset(
        line.removeprefix(KNOWN_FAILURE_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_FAILURE_PREFIX)
    )


def discover(patterns: list[str]) -> unittest.TestSuite:
    """Load all tests, or those whose id contains one of the patterns."""
    loader = unittest.TestLoader()
    suite = unittest.TestSuite()
    for package in PACKAGES:
        discovered = loader.discover(str(ROOT / package), "test_*.py", str(ROOT))
        # A scenario has an id of its own, so KNOWN-RED.txt can list a single one.
        for test in generate_scenarios(discovered):
            if not patterns or any(pattern in test.id() for pattern in patterns):
                suite.addTest(test)
    if loader.errors:
        raise SystemExit("\n".join(loader.errors))
    return suite


def main(arguments: list[str]) -> int:
    """Run the selected tests and return the exit status."""
    # Makes hypothesis use the same examples in each run.
    settings.register_profile(
        "repeatable", derandomize=True, database=None, deadline=None
    )
    settings.load_profile("repeatable")
    known = known_failures()
    selected = unittest.TestSuite()
    excluded = []
    for test in iterate_tests(discover(arguments)):
        if test.id() in known:
            excluded.append(test.id())
        else:
            selected.addTest(test)
    for test_id in excluded:
        print(f"known failure, not run: {test_id}")
    result: TestResult = TextTestResult(sys.stderr, failfast=False, verbosity=2)
    result.startTestRun()
    selected.run(result)
    result.stopTestRun()
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
