"""Know when the store was unavailable for so long that entries in it expired.

A server's entry is removed when the server has left, or after some silence of the
server, which an outage of the store causes as well. Only in the second case is a server
without an entry still in use, so an outage has to be told from less:

- A call that the store doesn't answer, or answers with an error, begins an outage. It
  reaches back to the last answer.
- Any answer ends it. A refusal because of the rate of calls is an answer.
- A waiting watch may be cut off by a store that is available, so its end alone shows
  nothing: the next answer comes soon, and the outage is too short to count.

Each node knows this from its own calls and from the pulses of relays, which state that
the store answered them. It is not passed on, but the time since the last outage is. A
restarted node knows no outage, and no servers of before one.
"""

from collections.abc import Callable
from math import inf

from attrs import frozen

from ebonybend.logs import get_logger


@frozen
class Outage:
    """A time in which the store answered nothing."""

    # Time of the last answer before it.
    began_at: float
    # Time at which the last call without an answer was sent.
    lost_at: float
    ended_at: float


class StoreAvailability:
    """The outages of the store, as this node knows them."""

    def __init__(
        self,
        clock: Callable[[], float],
        shortest_outage_s: Callable[[], float] = lambda: 0.0,
    ):
        self.clock = clock
        # Returns the length from which on an outage counts.
        self.shortest_outage_s = shortest_outage_s
        # Called when an outage that counts has ended.
        self.on_return: Callable[[Outage], None] = lambda _: None
        self.answered_at = clock()
        # Time of the first answer, of the end of the last outage that counts, or of the
        # store's return from an older copy.
        self.available_since: float | None = None
        # Time at which the last call without an answer was sent, if no answer followed.
        self.lost_at: float | None = None

    def record_answer(self) -> None:
        """Record that the store answers now."""
        began_at, self.answered_at = self.answered_at, self.clock()
        lost_at, self.lost_at = self.lost_at, None
        if self.available_since is None:
            self.available_since = self.answered_at
        outage_s = self.answered_at - began_at
        if lost_at is None or outage_s < self.shortest_outage_s():
            return
        get_logger().info("store_outage_ended", seconds=round(outage_s, 2))
        self.available_since = self.answered_at
        self.on_return(Outage(began_at, lost_at, self.answered_at))

    def record_restored(self) -> None:
        """Record that the store has come back from an older copy, without entries."""
        self.available_since = self.clock()

    def record_loss(self, asked_at: float) -> None:
        """Record that a call that was sent at a time ended without an answer."""
        self.lost_at = max(asked_at, self.lost_at or -inf)

    def available_s(self) -> float:
        """Return the time since the last outage; 0 in one or before any answer."""
        now = self.clock()
        if self.available_since is None:
            return 0.0
        is_out = self.lost_at is not None
        if is_out and now - self.answered_at >= self.shortest_outage_s():
            return 0.0
        return now - self.available_since
