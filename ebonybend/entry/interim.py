"""Interim stand-ins for decision modules that are not part of the tree yet."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Any

from ebonybend.steering.table import ServerView


class ServerResult(Enum):
    """How an attempt on a backend server ended."""

    SUCCESS = "success"
    SHED = "shed"
    UNREACHABLE = "unreachable"
    LOST = "lost"
    TIMEOUT = "timeout"


class Admission:
    """Limit requests in flight to the slots of a server."""

    def __init__(self) -> None:
        self.slots: dict[str, int] = {}
        self.running: Counter[str] = Counter()

    def start(self, server: str) -> bool:
        """Take a slot if one is free."""
        if self.running[server] >= self.slots.get(server, 0):
            return False
        self.running[server] += 1
        return True

    def finish(self, server: str, result: ServerResult, latency_s: float) -> None:
        """Release a slot."""
        self.running[server] -= 1

    def free(self, server: str) -> int:
        """Return the free slots."""
        return self.slots.get(server, 0) - self.running[server]

    def limit(self, server: str) -> int:
        """Return the slots."""
        return self.slots.get(server, 0)

    def set_state(self, server: str, state: Any) -> None:
        """Ignore the state."""


class ServerChooser:
    """Choose the server with the most free slots."""

    def __init__(self, admission: Admission):
        self.admission = admission

    def choose(
        self, candidates: Iterable[ServerView], exclude: Iterable[str] = ()
    ) -> ServerView | None:
        """Return a server with a free slot, or None."""
        free = [
            view
            for view in candidates
            if view.name not in exclude and self.admission.free(view.name) > 0
        ]
        return max(free, key=lambda v: self.admission.free(v.name), default=None)

    def observe(self, server: str, latency_s: float) -> None:
        """Ignore the latency."""

    def latency_ms(self, server: str) -> float:
        """Return no latency."""
        return 0.0
