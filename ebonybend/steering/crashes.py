"""Tell requests that were running on a server when it crashed.

A connection that ends without an answer may also be a lost answer. Only a server that
refuses connections soon after has crashed.
"""

from ebonybend.clock import Clock
from ebonybend.steering.suspects import SuspectRegistry, SuspectView, Verdict

# Time between lost answers and a refused connection that shows a crash.
CRASH_S = 1.5
# Innocent requests run beside a culprit, so one or two crashes prove nothing.
CRASHES_TO_REFUSE = 3
# Suspects that a beat tells; a datagram is to stay below 1400 bytes.
MOST_TOLD = 4


class CrashDetector:
    """Suspect the requests that were lost on servers that crashed."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.registry = SuspectRegistry(clock, CRASHES_TO_REFUSE)
        # Lost requests by server, with the time of the loss.
        self.lost: dict[str, list[tuple[float, str]]] = {}

    def record_lost_request(self, server: str, fingerprint: str) -> None:
        """Take in that a connection ended while a request was running."""
        now = self.clock.monotonic()
        recent = self._recent(server, now)
        self.lost[server] = [*recent, (now, fingerprint)]

    def record_refused_connection(self, server: str) -> None:
        """Take in that a server refuses connections: it has crashed."""
        recent = self._recent(server, self.clock.monotonic())
        self.lost.pop(server, None)
        if recent:
            names = {fingerprint for _, fingerprint in recent}
            self.registry.record_crash(names, False, server)

    def is_refused(self, fingerprint: str) -> bool:
        """Tell whether a request has crashed too many servers."""
        return self.registry.verdict(fingerprint) is Verdict.REFUSE

    def has_suspects(self) -> bool:
        """Tell whether any request is suspected."""
        return bool(self.registry.suspects)

    def suspects_to_report(self) -> tuple[SuspectView, ...]:
        """Return the suspects to tell other nodes, the worst first."""
        views = sorted(self.registry.views(), key=lambda v: (-v.crashes, v.age_ms))
        return tuple(views[:MOST_TOLD])

    def _recent(self, server: str, now: float) -> list[tuple[float, str]]:
        return [(at, f) for at, f in self.lost.get(server, ()) if now - at <= CRASH_S]
