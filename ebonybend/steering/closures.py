"""Tell a server that closed all its connections from a network that did.

A process that ends closes all its connections at once, and a later one may listen
before anyone is refused. A fault of the network closes those to several servers.
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
        # Times at which connections of a server were closed, within the window.
        self.closed_at: dict[Hashable, list[float]] = {}
        # Time at which the last of all its connections was closed, by server.
        self.closed_all_at: dict[Hashable, float] = {}

    def record(self, server: Hashable, now: float, is_last: bool) -> None:
        """Record that a server closed a connection, and whether it was the last one."""
        recent = [at for at in self.closed_at.get(server, ()) if at > now - WINDOW_S]
        self.closed_at[server] = [*recent, now]
        self.closed_at = {
            name: times
            for name, times in self.closed_at.items()
            if times[-1] > now - WINDOW_S
        }
        self.closed_all_at = {
            name: at
            for name, at in self.closed_all_at.items()
            if at > now - 2 * WINDOW_S
        }
        if is_last and len(self.closed_at[server]) >= MIN_CONNECTIONS:
            self.closed_all_at[server] = now

    def closed_all_alone(self, server: Hashable) -> float | None:
        """Return when a server closed all its connections; None if others did, too."""
        at = self.closed_all_at.get(server, -inf)
        others = (x for name, x in self.closed_all_at.items() if name != server)
        is_alone = all(abs(other - at) > WINDOW_S for other in others)
        return at if at > -inf and is_alone else None
