"""Simulated time with Twisted's timer interface, for thousands of timers."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any


class SimulatedCall:
    """A call that is made at a simulated time unless it is cancelled."""

    __slots__ = ("function", "arguments", "is_active")

    def __init__(self, function: Callable[..., Any], arguments: tuple[Any, ...]):
        self.function = function
        self.arguments = arguments
        self.is_active = True

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return self.is_active

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_active = False


class SimulatedClock:
    """A clock that advances from one call to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls: list[tuple[float, int, SimulatedCall]] = []
        # Orders calls for the same time as they were made.
        self.numbers = count()

    def seconds(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., Any], *arguments: Any
    ) -> SimulatedCall:
        """Call a function after a simulated delay in seconds."""
        call = SimulatedCall(function, arguments)
        heappush(self.calls, (self.now + delay, next(self.numbers), call))
        return call

    def run_until(self, end: float) -> None:
        """Make all calls up to a time."""
        while self.calls and self.calls[0][0] <= end:
            self.now, _, call = heappop(self.calls)
            if call.is_active:
                call.is_active = False
                call.function(*call.arguments)
        self.now = end
