"""Background coroutines on the reactor that are cancelled together."""

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ebonybend.logs import get_logger
from ebonybend.steps import Pause


class Timers(Protocol):
    """The timer methods of the reactor, whose clock is monotonic."""

    def seconds(self) -> float:
        """Return the time in seconds."""
        ...

    def callLater(self, delay: float, function: Any, *arguments: Any) -> Any:
        """Call a function after a delay in seconds."""
        ...


def pause_between_steps(timers: Timers) -> Pause:
    """Return a function that lets the event loop do its other work once."""
    return lambda: deferLater(timers, 0)


class ReactorClock:
    """A Clock that reads the reactor's time."""

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
        """Run a coroutine in the background and log its failure."""
        task = Deferred.fromCoroutine(coroutine)
        self.running.add(task)
        task.addErrback(self._log_failure)
        task.addBoth(self._remove_task, task)
        return task

    def sleep(self, seconds: float) -> Deferred[None]:
        """Return a Deferred that fires after a number of seconds."""
        return deferLater(self.timers, seconds)

    def repeat(
        self, period_s: float, step: Callable[[], Awaitable[None]]
    ) -> Deferred[Any]:
        """Run a step now and once per period; a failed step is logged and repeated."""
        return self.start(self._repeat(period_s, step))

    def stop(self) -> None:
        """Cancel all running coroutines and end all repetitions."""
        self.stopped = True
        for task in tuple(self.running):
            task.cancel()

    async def _repeat(
        self, period_s: float, step: Callable[[], Awaitable[None]]
    ) -> None:
        while not self.stopped:
            started_at = self.timers.seconds()
            try:
                await step()
            except CancelledError:
                return
            except Exception as error:
                get_logger().exception("step_failed", error=repr(error))
            elapsed_s = self.timers.seconds() - started_at
            await self.sleep(max(period_s - elapsed_s, 0.0))

    def _log_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            get_logger().error("task_failed", error=failure.getTraceback())

    def _remove_task(self, result: Any, task: Deferred[Any]) -> Any:
        self.running.discard(task)
        return result
