"""Collect events and append them to the audit log in batches."""

from collections import deque
from collections.abc import Callable
from time import time

from returns.result import Success

from ebonybend.logs import get_logger
from ebonybend.store.audit_entry import AuditEntry
from ebonybend.store.audit_log import AuditLog

# Limits the writes to the platform to one per control in this period.
FLUSH_PERIOD_S = 2.0
# Limit while the platform is unavailable; the oldest events are dropped first.
MAX_WAITING = 500
MAX_DETAIL = 2000


class AuditQueue:
    """Queue of events to be written to the audit log."""

    def __init__(self, log: AuditLog, instance: str, wall: Callable[[], float] = time):
        self.log = log
        self.instance = instance
        self.wall = wall
        self.waiting: deque[AuditEntry] = deque()
        # Events dropped since the start, for metrics.
        self.dropped = 0

    def note(self, event: str, detail: str) -> None:
        """Queue an event that no person caused."""
        self.add(event, self.instance, detail)

    def add(
        self,
        event: str,
        author: str,
        detail: str,
        revision: int = 0,
        change_id: str = "",
        reason: str = "",
    ) -> None:
        """Queue an event with its author."""
        get_logger().info("audit", audit_event=event, author=author, detail=detail)
        entry = AuditEntry(
            self.wall(),
            author,
            event,
            revision,
            change_id,
            reason,
            detail[:MAX_DETAIL],
        )
        self.waiting.append(entry)
        if len(self.waiting) > MAX_WAITING:
            self.waiting.popleft()
            self.dropped += 1

    async def flush(self) -> None:
        """Write the queued events; keep them for the next flush if that fails."""
        entries = tuple(self.waiting)
        if not entries:
            return
        written = await self.log.append(entries)
        if isinstance(written, Success):
            for entry in entries:
                if self.waiting and self.waiting[0] is entry:
                    self.waiting.popleft()
