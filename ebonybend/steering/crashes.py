"""Detect which requests were running on a server when it crashed.

A connection that ends without an answer may also mean that the answer was lost. Only a
server that refuses connections soon after that has crashed.
"""

from ebonybend.clock import Clock
from ebonybend.steering.suspects import SuspectRegistry, SuspectView, Verdict

# A connection refused within this time after a lost answer shows a crash.
CRASH_WINDOW_S = 1.5
# Other requests run beside the one that crashes a server, so one or two crashes don't
# identify it.
CRASHES_TO_REFUSE = 3
# Suspects in a heartbeat, whose datagram has to stay below 1400 bytes.
MAX_REPORTED_SUSPECTS = 4


class CrashDetector:
    """Register as suspects the requests that were lost on servers that crashed."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.registry = SuspectRegistry(clock, CRASHES_TO_REFUSE)
        # Lost requests by server, with the times of their losses.
        self.lost_requests: dict[str, list[tuple[float, str]]] = {}

    def record_lost_request(self, server: str, fingerprint: str) -> None:
        """Record a request whose connection ended before its answer."""
        now = self.clock.monotonic()
        recent = self._recent(server, now)
        self.lost_requests[server] = [*recent, (now, fingerprint)]

    def record_refused_connection(self, server: str) -> dict[str, int]:
        """Record a crash of a server that refuses connections after lost requests.

        Returns the crashes counted so far for each of these requests.
        """
        recent = self._recent(server, self.clock.monotonic())
        self.lost_requests.pop(server, None)
        names = {fingerprint for _, fingerprint in recent}
        if names:
            self.registry.record_crash(names, False, server)
        return {name: self.registry.suspects[name].crashes for name in names}

    def is_refused(self, fingerprint: str) -> bool:
        """Return whether a request has crashed too many servers."""
        return self.registry.verdict(fingerprint) is Verdict.REFUSE

    def has_suspects(self) -> bool:
        """Return whether there is any suspect."""
        return bool(self.registry.suspects)

    def suspects_to_report(self) -> tuple[SuspectView, ...]:
        """Return the suspects for the heartbeat, those with most crashes first."""
        views = sorted(self.registry.views(), key=lambda v: (-v.crashes, v.age_ms))
        return tuple(views[:MAX_REPORTED_SUSPECTS])

    def _recent(self, server: str, now: float) -> list[tuple[float, str]]:
        return [
            (at, f)
            for at, f in self.lost_requests.get(server, ())
            if now - at <= CRASH_WINDOW_S
        ]
