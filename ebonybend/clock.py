"""Monotonic time as a value that is passed in."""

from time import monotonic
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        ...


class SystemClock:
    """The machine's monotonic clock."""

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return monotonic()


class ManualClock:
    """A clock that tests move by hand."""

    def __init__(self, start: float = 1000.0):
        self.now = start

    def monotonic(self) -> float:
        """Return the time that was set."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds
