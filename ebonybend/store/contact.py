"""Detect when the store answers again after an outage."""

from collections.abc import Callable

from ebonybend.logs import get_logger

# Called when the store answers again, with the time of the last unanswered call, and
# with the kind of the watch that was answered; None if it was another call.
OnReturn = Callable[[float, str | None], None]


def ignore_return(_lost_at: float, _kind: str | None) -> None:
    """Do nothing when the store answers again."""


class StoreContact:
    """Whether the store answers calls.

    A silent store may lose a watch that is sent to it, and a lost watch looks like one
    that waits for a change. So the watches of an outage are sent again after it.
    """

    def __init__(self, on_return: OnReturn = ignore_return):
        self.on_return = on_return
        # Time at which the last call ended without an answer; None after an answer.
        self.lost_at: float | None = None

    def record_loss(self, now: float) -> None:
        """Record a call that ended without an answer."""
        if self.lost_at is None:
            get_logger().warning("store_lost")
        self.lost_at = now

    def record_answer(self, kind: str | None = None) -> None:
        """Record an answer to the watch of a kind, or to another call."""
        if self.lost_at is not None:
            lost_at, self.lost_at = self.lost_at, None
            get_logger().info("store_answers", kind=kind)
            self.on_return(lost_at, kind)
