"""Twisted's reactor on an asyncio loop, with less work per timer and per write."""

from asyncio import AbstractEventLoop, new_event_loop, set_event_loop
from collections.abc import Callable
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.main import installReactor
from twisted.python.log import callWithLogger
from zope.interface import implementer


@implementer(IDelayedCall)
class LoopTimer:
    """A delayed call that is one timer of the loop."""

    __slots__ = ("loop", "work", "time", "handle", "state")

    def __init__(self, loop: AbstractEventLoop, delay: float, work: Callable[[], Any]):
        self.loop = loop
        self.work = work
        self.time = loop.time() + delay
        self.handle = loop.call_at(self.time, self._run)
        self.state: type[Exception] | None = None

    def _run(self) -> None:
        if self.time > self.loop.time():
            # The call was moved to a later time, which keeps the earlier timer.
            self.handle = self.loop.call_at(self.time, self._run)
            return
        self.state = AlreadyCalled
        self.work()

    def active(self) -> int:
        """Return whether the call is still to be made."""
        return self.state is None

    def getTime(self) -> float:
        """Return the loop's time at which the call is made."""
        return self.time

    def cancel(self) -> None:
        """Don't make the call."""
        self._check()
        self.state = AlreadyCancelled
        self.handle.cancel()

    def reset(self, secondsFromNow: float) -> None:
        """Make the call after a time from now."""
        self._check()
        self._move(self.loop.time() + secondsFromNow)

    def delay(self, secondsLater: float) -> None:
        """Make the call later than planned."""
        self._check()
        self._move(self.time + secondsLater)

    def _check(self) -> None:
        if self.state is not None:
            raise self.state

    def _move(self, time: float) -> None:
        sooner = time < self.time
        self.time = time
        if sooner:
            self.handle.cancel()
            self.handle = self.loop.call_at(time, self._run)


class LoopReactor(AsyncioSelectorReactor):
    """A reactor whose timers are the loop's, and which tries to write before polling.

    The base class keeps a heap of its own and plans its next timer again on every call,
    and it changes the poll set twice for every write. Both were the largest costs of a
    forwarded request after HTTP parsing.
    """

    def __init__(self, loop: AbstractEventLoop):
        # Writers with data that has not been tried yet, or is being written.
        self._untried: set[Any] = set()
        super().__init__(loop)

    def seconds(self) -> float:
        """Return the loop's time, which a change of the wall clock doesn't move."""
        return self._asyncioEventloop.time()

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any, **kwargs: Any
    ) -> LoopTimer:
        """Call a function after a number of seconds."""

        def work() -> None:
            try:
                callable(*args, **kwargs)
            except Exception:
                self._log.failure("delayed call failed")

        return LoopTimer(self._asyncioEventloop, max(0.0, delay), work)

    def stop(self) -> None:
        """Stop the reactor in the next turn of the loop."""
        super().stop()
        self._asyncioEventloop.call_soon(self.runUntilCurrent)

    def addWriter(self, writer: Any) -> None:
        """Write in the next turn of the loop; poll only for what is left."""
        if writer in self._writers or writer in self._untried:
            return
        self._untried.add(writer)
        self._asyncioEventloop.call_soon(self._try_write, writer)

    def _try_write(self, writer: Any) -> None:
        if writer not in self._untried:
            return
        callWithLogger(writer, self._readOrWrite, writer, False)
        # A writer that has written everything was removed meanwhile.
        if writer in self._untried:
            self._untried.discard(writer)
            super().addWriter(writer)

    def removeWriter(self, writer: Any) -> None:
        """Write no more for a writer."""
        if writer in self._untried:
            self._untried.discard(writer)
            return
        super().removeWriter(writer)

    def getWriters(self) -> list[Any]:
        """Return all writers."""
        return [*super().getWriters(), *self._untried]


def install_reactor() -> None:
    """Install the reactor on a new asyncio loop, which grpc.aio then shares."""
    loop = new_event_loop()
    set_event_loop(loop)
    installReactor(LoopReactor(loop))
