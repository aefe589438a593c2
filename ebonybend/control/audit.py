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
MAX_PENDING = 500
MAX_DETAIL_LENGTH = 2000


class AuditQueue:
    """Queue of events to be written to the audit log."""

    def __init__(
        self, log: AuditLog, instance: str, wall_clock: Callable[[], float] = time
    ):
        self.log = log
        self.instance = instance
        self.wall_clock = wall_clock
        self.pending: deque[AuditEntry] = deque()
        # Events dropped since the start, for metrics.
        self.dropped = 0

    def add_automatic(self, event: str, detail: str) -> None:
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
            self.wall_clock(),
            author,
            event,
            revision,
            change_id,
            reason,
            detail[:MAX_DETAIL_LENGTH],
        )
        self.pending.append(entry)
        if len(self.pending) > MAX_PENDING:
            self.pending.popleft()
            self.dropped += 1

    async def flush(self) -> None:
        """Write the queued events; keep them for the next flush if that fails."""
        entries = tuple(self.pending)
        if not entries:
            return
        written = await self.log.append(entries)
        if isinstance(written, Success):
            for entry in entries:
                if self.pending and self.pending[0] is entry:
                    self.pending.popleft()
