"""Directories for the logs of processes, which are kept if a test fails."""

import sys
from pathlib import Path
from shutil import rmtree
from tempfile import mkdtemp

from testtools import TestCase


def log_directory(test: TestCase) -> Path:
    """Return a new directory; remove it at the end of the test unless that fails."""
    directory = Path(mkdtemp(prefix="ebonybend-"))
    failures = []
    test.addOnException(failures.append)

    def end() -> None:
        if failures:
            print(f"{test.id()}: its logs are in {directory}", file=sys.stderr)
        else:
            rmtree(directory)

    test.addCleanup(end)
    return directory
