"""Twisted reactor on an asyncio loop, with lower cost per timer and per write."""

from asyncio import AbstractEventLoop, SelectorEventLoop, set_event_loop
from collections.abc import Callable
from time import CLOCK_BOOTTIME, clock_gettime
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.main import installReactor
from twisted.python.log import callWithLogger
from zope.interface import implementer


class BootTimeLoop(SelectorEventLoop):
    """An asyncio loop whose clock counts the time for which the machine is suspended.

    After a suspension, deadlines and lifetimes that ended meanwhile have passed.
    """

    def time(self) -> float:
        """Return the time since the machine was started, in seconds."""
        return clock_gettime(CLOCK_BOOTTIME)


@implementer(IDelayedCall)
class LoopTimer:
    """A Twisted delayed call that is one timer of the asyncio loop."""

    __slots__ = ("loop", "callback", "time", "handle", "inactive_error")

    def __init__(
        self, loop: AbstractEventLoop, delay: float, callback: Callable[[], Any]
    ):
        self.loop = loop
        self.callback = callback
        self.time = loop.time() + delay
        self.handle = loop.call_at(self.time, self._run)
        # Raised by each change of a call that was made or cancelled.
        self.inactive_error: type[Exception] | None = None

    def _run(self) -> None:
        if self.time > self.handle.when():
            # The call was delayed, which left the earlier timer in place. Even if its
            # new time has passed, calls of earlier times go first.
            self.handle = self.loop.call_at(self.time, self._run)
            return
        self.inactive_error = AlreadyCalled
        self.callback()

    def active(self) -> int:
        """Return whether the call is still pending."""
        return self.inactive_error is None

    def getTime(self) -> float:
        """Return the time of the call, on the loop's clock."""
        return self.time

    def cancel(self) -> None:
        """Cancel the call."""
        self._raise_if_inactive()
        self.inactive_error = AlreadyCancelled
        self.handle.cancel()

    def reset(self, secondsFromNow: float) -> None:
        """Make the call a number of seconds from now."""
        self._raise_if_inactive()
        self._reschedule(self.loop.time() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:
        """Postpone the call by a number of seconds."""
        self._raise_if_inactive()
        self._reschedule(self.time + secondsLater)

    def _raise_if_inactive(self) -> None:
        if self.inactive_error is not None:
            raise self.inactive_error

    def _reschedule(self, time: float) -> None:
        is_earlier = time < self.time
        self.time = time
        if is_earlier:
            self.handle.cancel()
            self.handle = self.loop.call_at(time, self._run)


class LoopReactor(AsyncioSelectorReactor):
    """A reactor that uses the loop's timers and tries to write before it polls.

    The base class keeps its own timer heap and reschedules its next timer on every
    call, and it changes the poll set twice for every write. These were the largest
    costs of a forwarded request after HTTP parsing.
    """

    def __init__(self, loop: AbstractEventLoop):
        # Writers whose first write is scheduled or in progress.
        self._pending_writers: set[Any] = set()
        super().__init__(loop)

    def seconds(self) -> float:
        """Return the loop's monotonic time in seconds."""
        return self._asyncioEventloop.time()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> LoopTimer:
        """Call a function after a delay in seconds."""

        def callback() -> None:
            try:
                callable(*args, **kwargs)
            except Exception:
                self._log.failure("delayed call failed")

        return LoopTimer(self._asyncioEventloop, max(0.0, delay), callback)

    def stop(self) -> None:
        """Stop the reactor in the next iteration of the loop."""
        super().stop()
        self._asyncioEventloop.call_soon(self.runUntilCurrent)

    def addWriter(self, writer: Any) -> None:
        """Write in the next iteration of the loop; poll only if data remains."""
        if writer in self._writers or writer in self._pending_writers:
            return
        self._pending_writers.add(writer)
        self._asyncioEventloop.call_soon(self._try_write, writer)

    def _try_write(self, writer: Any) -> None:
        if writer not in self._pending_writers:
            return
        callWithLogger(writer, self._readOrWrite, writer, False)
        # A writer that wrote all its data has called removeWriter by now.
        if writer in self._pending_writers:
            self._pending_writers.discard(writer)
            super().addWriter(writer)

    def removeWriter(self, writer: Any) -> None:
        """Stop writing for a writer."""
        if writer in self._pending_writers:
            self._pending_writers.discard(writer)
            return
        super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Return all writers."""
        return [*super().getWriters(), *self._pending_writers]


def install_reactor() -> None:
    """Install the reactor on a new asyncio loop, which grpc.aio uses too."""
    loop = BootTimeLoop()
    set_event_loop(loop)
    installReactor(LoopReactor(loop))
