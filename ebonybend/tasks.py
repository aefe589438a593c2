"""Background coroutines on the reactor that end together."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ebonybend.logs import get_logger


class Timers(Protocol):
    """The part of the reactor that counts time; seconds() is monotonic."""

    def seconds(self) -> float:
        """Return the time in seconds."""
        ...

    def callLater(self, delay: float, function: Any, *arguments: Any) -> Any:
        """Call a function after a delay in seconds."""
        ...


class ReactorClock:
    """The reactor's time as a Clock."""

    def __init__(self, timers: Timers):
        self.timers = timers

    def monotonic(self) -> float:
        """Return the reactor's time in seconds."""
        return self.timers.seconds()


class Tasks:
    """Coroutines that run in the background until they are stopped."""

    def __init__(self, timers: Timers):
        self.timers = timers
        self.running: set[Deferred[Any]] = set()
        self.stopped = False

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> Deferred[Any]:
        """Run a coroutine; log its failure."""
        task = Deferred.fromCoroutine(coroutine)
        self.running.add(task)
        task.addErrback(self._log_failure)
        task.addBoth(self._ended, task)
        return task

    def sleep(self, seconds: float) -> Deferred[None]:
        """Return a Deferred that fires after a time."""
        return deferLater(self.timers, seconds)

    def repeat(
        self, period_s: float, step: Callable[[], Awaitable[None]]
    ) -> Deferred[Any]:
        """Run a step now and then once per period, also after it failed."""
        return self.start(self._repeat(period_s, step))

    def stop(self) -> None:
        """Cancel everything that runs."""
        self.stopped = True
        for task in tuple(self.running):
            task.cancel()

    async def _repeat(
        self, period_s: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        while not self.stopped:
            started = self.timers.seconds()
            try:
                await step()
            except CancelledError:
                return
            except Exception as error:
                get_logger().exception("step_failed", error=repr(error))
            spent = self.timers.seconds() - started
            await self.sleep(max(period_s - spent, 0.0))

    def _log_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            get_logger().error("task_failed", error=failure.getTraceback())

    def _ended(self, result: Any, task: Deferred[Any]) -> Any:
        self.running.discard(task)
        return result
