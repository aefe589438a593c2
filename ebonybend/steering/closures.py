"""Tell a server that closed all its connections from a network that did.

A process that ends closes all its connections at once, and a later one may listen
before anyone is refused. A fault of the network closes those to several servers, and a
connection that was idle for some time may have reached the server's idle timeout.
"""

from collections.abc import Hashable
from math import inf

# Connections that are closed within this time count as closed at once.
WINDOW_S = 0.1
# A single connection may be closed for many reasons.
MIN_CONNECTIONS = 2


class Closures:
    """The connections that servers closed lately."""

    def __init__(self) -> None:
        # Times at which connections of each server were closed, within two windows.
        self.closed_at: dict[Hashable, list[float]] = {}
        # Those of them that were in use until then.
        self.used_at: dict[Hashable, list[float]] = {}
        # Time at which the last of all its connections was closed, by server.
        self.closed_all_at: dict[Hashable, float] = {}

    def record(
        self, server: Hashable, now: float, was_used: bool, is_last: bool
    ) -> None:
        """Record that a server closed a connection.

        was_used states whether it was in use, is_last whether none is left.
        """
        self.closed_at = _recent(self.closed_at, now)
        self.closed_at.setdefault(server, []).append(now)
        self.used_at = _recent(self.used_at, now)
        if was_used:
            self.used_at.setdefault(server, []).append(now)
        used = [at for at in self.used_at.get(server, ()) if at > now - WINDOW_S]
        self.closed_all_at.pop(server, None)
        if is_last and len(used) >= MIN_CONNECTIONS:
            self.closed_all_at[server] = now

    def closed_all_alone(self, server: Hashable) -> float | None:
        """Return when a server closed all its connections, if no other closed any."""
        at = self.closed_all_at.pop(server, -inf)
        others = (
            x
            for name, times in self.closed_at.items()
            for x in times
            if name != server and abs(x - at) <= WINDOW_S
        )
        return at if at > -inf and not any(others) else None


def _recent(
    times: dict[Hashable, list[float]], now: float
) -> dict[Hashable, list[float]]:
    recent = {
        name: [at for at in found if at > now - 2 * WINDOW_S]
        for name, found in times.items()
    }
    return {name: found for name, found in recent.items() if found}
