"""Time-outs that allow for pauses of the process."""

from collections.abc import Callable

from ebonybend.tasks import Timers


class Timeout:
    """Call a function after a time, but read received data first.

    A process that resumes after a pause fires its timers before it reads its
    connections, although the answer may have been received during the pause.
    """

    def __init__(self, timers: Timers, seconds: float, expire: Callable[[], None]):
        self.timers = timers
        self.expire = expire
        self.expired = False
        self.timer = timers.callLater(seconds, self._defer_expiry)

    def _defer_expiry(self) -> None:
        self.timer = self.timers.callLater(0, self._expire)

    def _expire(self) -> None:
        self.expired = True
        self.expire()

    def stop(self) -> None:
        """Cancel the call."""
        if self.timer.active():
            self.timer.cancel()
