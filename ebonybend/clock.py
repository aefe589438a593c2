"""Sources of monotonic time, so that tests can pass in their own."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        ...


class SystemClock:
    """The machine's monotonic clock, which counts the time of suspensions."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock:
    """A clock for tests that changes only when it is advanced."""

    def __init__(self, start: float = 1000.0):
        self.now = start

    def monotonic(self) -> float:
        """Return the clock's time in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self.now += seconds
