"""Know when the process behind a server's entry ended and another one took its place.

A server may start again under its name and address, and the list learns it late, or not
at all while the store is down. A process has ended if its address refuses a connection,
if another server answers there, or if all of a node's connections to it were closed at
once. A later answer or accepted connection is the first sign of the next process, which
is cold for a time from its start, so at most for that time from this sign.

Each node records its own evidence and tells the other nodes with its age. The knowledge
belongs to the entry that the list names and ends when the list names a later process.
A node that is cut off goes by its own evidence, and a restarted one by the list.
"""

from math import inf

from attrs import define

# An end that others report this soon after the first sign of the next process may be
# the end before it, since a report's age lacks the time that it travelled.
REPORT_MARGIN_S = 0.5


@define
class ProcessLife:
    """The last end of the process behind an entry, and the sign of the next one."""

    # Last time at which no process of the server answered.
    ended_at: float = -inf
    # First sign of life since then.
    returned_at: float = -inf

    @property
    def is_awaited(self) -> bool:
        """Return whether a process has ended and the next one gave no sign yet."""
        return self.returned_at < self.ended_at

    def record_end(self, at: float, margin_s: float = 0.0) -> bool:
        """Record that no process answered at a time; return whether one has ended."""
        if at <= self.returned_at + margin_s or at <= self.ended_at:
            return False
        was_awaited, self.ended_at = self.is_awaited, at
        return not was_awaited

    def record_alive(self, asked_at: float, now: float) -> bool:
        """Record a sign of life; return whether it is the first of a process."""
        if not self.is_awaited or asked_at <= self.ended_at:
            return False
        self.returned_at = now
        return True
