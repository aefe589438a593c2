"""Start a node on the platform: python3 -m ebonybend.platform."""

import os
import sys
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal
from types import FrameType

STANDARD_DESCRIPTORS = (0, 1, 2)
# Where the build of the deploy file puts the dependencies.
DEPENDENCIES = os.path.join(os.path.dirname(__file__), "..", "..", "target", "deps")
STOPPED_LINE = b'{"event": "stopped", "reason": "a signal before the start"}\n'


def main() -> int:
    """Run the node and return the exit status."""
    # SIGHUP would end the process until the node handles it, so little is imported
    # before this. The settings are read after it; nothing is lost with an ignored one.
    signal(SIGHUP, SIG_IGN)
    signal(SIGTERM, end_before_start)
    signal(SIGINT, end_before_start)
    open_standard_descriptors()
    sys.path.append(os.path.abspath(DEPENDENCIES))
    # Imported here because it takes most of the time of the start.
    from ebonybend.platform.run import run_node

    return run_node()


def end_process(status: int) -> None:
    """End at once, without the steps by which the interpreter itself ends.

    These take about a third of the time of a start, with all connections open, and
    restore the default action of the signals.
    """
    for stream in (sys.stdout, sys.stderr):
        try:
            if stream is not None:
                stream.flush()
        except OSError:
            # The reader of the output has left; nobody can be told.
            continue
    os._exit(status)


def end_before_start(_number: int, _frame: FrameType | None) -> None:
    """End the process, which has accepted nothing yet."""
    os.write(1, STOPPED_LINE)
    os._exit(0)


def open_standard_descriptors() -> None:
    """Open descriptors that the parent closed; sockets would get their numbers."""
    for descriptor in STANDARD_DESCRIPTORS:
        try:
            os.fstat(descriptor)
        except OSError:
            # Gets the lowest free number, which is this one.
            os.open(os.devnull, os.O_RDWR)


if __name__ == "__main__":
    end_process(main())
