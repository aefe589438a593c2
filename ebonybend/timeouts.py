"""Time-outs of processes that may be paused."""

from collections.abc import Callable

from ebonybend.tasks import Timers


class Timeout:
    """Call a function after a time, once what has arrived by then is read.

    A process that was paused fires its timers before it reads its connections. The
    answer may have arrived during the pause.
    """

    def __init__(self, timers: Timers, seconds: float, expire: Callable[[], None]):
        self.timers = timers
        self.expire = expire
        self.timer = timers.callLater(seconds, self._due)

    def _due(self) -> None:
        self.timer = self.timers.callLater(0, self.expire)

    def stop(self) -> None:
        """Don't call it."""
        if self.timer.active():
            self.timer.cancel()
