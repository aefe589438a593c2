"""Detect the requests that crash backend servers, and refuse them."""

from collections.abc import Iterable
from enum import Enum

from attrs import frozen
from xxhash import xxh3_128

from ebonybend.clock import Clock

# A request is refused after two crashes within this time without a success in between.
SUSPECT_LIFETIME_S = 60.0
REFUSED_LIFETIME_S = 3600.0
CRASHES_TO_REFUSE = 2
# Longest time between the ends of one suspicion on two instances.
FORGETTING_S = 5.0
# Bounds the memory when many different requests are in flight on crashing servers.
MAX_SUSPECTS = 10_000
# Several entries use one server, so the notice of a crash may arrive before this
# entry's own connection to that server ends.
SAME_CRASH_S = 1.0


@frozen
class SuspectView:
    """A request that was running when a backend server crashed."""

    fingerprint: str
    crashes: int
    refused: bool
    # Time since the last crash, in milliseconds.
    age_ms: float = 0.0
    # The servers that crashed; distinguishes two crashes from two reports of one.
    servers: tuple[str, ...] = ()


class Verdict(Enum):
    """How a request may run."""

    ALLOW = "allow"
    # Only on a server that runs nothing else.
    ISOLATED = "alone"
    REFUSE = "refuse"


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return a hash of a request's content, 32 hexadecimal digits."""
    # The lengths of the parts keep different requests from sharing one text.
    head = f"{len(service)},{len(method)},{len(path)};{service}{method}{path}"
    state = xxh3_128(head.encode())
    state.update(body)
    return state.hexdigest()


class Suspect:
    """A request that was running when a server crashed."""

    __slots__ = ("crashes", "refused", "crashed_at", "servers")

    def __init__(
        self,
        crashes: int,
        refused: bool,
        crashed_at: float,
        servers: frozenset[str] = frozenset(),
    ):
        self.crashes = crashes
        self.refused = refused
        self.crashed_at = crashed_at
        self.servers = servers

    def lifetime_s(self) -> float:
        """Return how long the suspicion lasts after the last crash."""
        return REFUSED_LIFETIME_S if self.refused else SUSPECT_LIFETIME_S


class SuspectRegistry:
    """The suspects of an instance, from its own crashes and from other instances."""

    def __init__(self, clock: Clock, crashes_to_refuse: int = CRASHES_TO_REFUSE):
        self.clock = clock
        self.crashes_to_refuse = crashes_to_refuse
        self.suspects: dict[str, Suspect] = {}
        # Time when a fingerprint was last cleared; earlier crashes are ignored.
        self.cleared_at: dict[str, float] = {}
        self.pardoned_at: dict[str, float] = {}

    def record_crash(
        self, fingerprints: Iterable[str], isolated: bool, server: str = ""
    ) -> None:
        """Count a crash of a server for the requests that were running on it."""
        now = self.clock.monotonic()
        self._expire(now)
        # The same request may run several times on one server; it counts once.
        for fingerprint in set(fingerprints):
            suspect = self._current(fingerprint, now) or Suspect(0, False, now)
            same_crash = (
                server in suspect.servers and now - suspect.crashed_at < SAME_CRASH_S
            )
            suspect.crashes += 0 if same_crash else 1
            suspect.refused |= isolated or suspect.crashes >= self.crashes_to_refuse
            suspect.crashed_at = now
            suspect.servers |= {server} if server else frozenset()
            self.suspects[fingerprint] = suspect

    def record_success(self, fingerprint: str) -> None:
        """Clear a suspect that ran without a crash, unless it is refused."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and not suspect.refused:
            self._clear(fingerprint)

    def pardon(self, fingerprint: str) -> None:
        """Clear a request, even if it is refused."""
        self._clear(fingerprint)
        self.pardoned_at[fingerprint] = self.clock.monotonic()

    def verdict(self, fingerprint: str) -> Verdict:
        """Return how a request may run."""
        if fingerprint not in self.suspects:
            return Verdict.ALLOW
        suspect = self._current(fingerprint, self.clock.monotonic())
        if suspect is None:
            return Verdict.ALLOW
        return Verdict.REFUSE if suspect.refused else Verdict.ISOLATED

    def merge(self, *views: SuspectView) -> None:
        """Merge the suspects of other instances; order and repetition don't matter."""
        now = self.clock.monotonic()
        self._expire(now)
        for view in views:
            crashed_at = now - view.age_ms / 1000
            if crashed_at <= self._cleared_at(view):
                continue
            remote = Suspect(
                view.crashes, view.refused, crashed_at, frozenset(view.servers)
            )
            # Near its end, an instance that has just forgotten the suspicion would take
            # it over again from one that forgets it a little later.
            if now - crashed_at <= remote.lifetime_s() - FORGETTING_S:
                self._merge_one(view.fingerprint, remote, now)

    def views(self) -> tuple[SuspectView, ...]:
        """Return the current suspects with the ages of their last crashes."""
        now = self.clock.monotonic()
        self._expire(now)
        return tuple(
            SuspectView(
                fingerprint=fingerprint,
                crashes=suspect.crashes,
                refused=suspect.refused,
                age_ms=(now - suspect.crashed_at) * 1000,
                servers=tuple(sorted(suspect.servers)),
            )
            for fingerprint, suspect in self.suspects.items()
        )

    def cleared(self) -> tuple[str, ...]:
        """Return the fingerprints that were cleared and aren't suspected again."""
        return tuple(
            fingerprint
            for fingerprint in self.cleared_at
            if fingerprint not in self.suspects
        )

    def _current(self, fingerprint: str, now: float) -> Suspect | None:
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now - suspect.crashed_at > suspect.lifetime_s():
            return None
        return suspect

    def _cleared_at(self, view: SuspectView) -> float:
        """Return when a success or a pardon last cleared such a suspect."""
        pardoned = self.pardoned_at.get(view.fingerprint, float("-inf"))
        if view.refused:
            return pardoned
        return max(pardoned, self.cleared_at.get(view.fingerprint, float("-inf")))

    def _clear(self, fingerprint: str) -> None:
        self.suspects.pop(fingerprint, None)
        self.cleared_at[fingerprint] = self.clock.monotonic()

    def _merge_one(self, fingerprint: str, remote: Suspect, now: float) -> None:
        local = self._current(fingerprint, now)
        if local is None:
            self.suspects[fingerprint] = remote
            return
        # A view that says nothing new doesn't renew the suspicion, since its age lacks
        # the time that it travelled.
        if remote.crashes > local.crashes or not remote.servers <= local.servers:
            local.crashed_at = max(local.crashed_at, remote.crashed_at)
        # Crashes on two servers that two instances saw are two crashes.
        local.servers |= remote.servers
        local.crashes = max(local.crashes, remote.crashes, len(local.servers))
        local.refused |= remote.refused or local.crashes >= self.crashes_to_refuse

    def _expire(self, now: float) -> None:
        for fingerprint in list(self.suspects):
            if self._current(fingerprint, now) is None:
                del self.suspects[fingerprint]
        _drop_older(self.cleared_at, now - SUSPECT_LIFETIME_S)
        _drop_older(self.pardoned_at, now - REFUSED_LIFETIME_S)
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        excess = len(self.suspects) - MAX_SUSPECTS
        if excess <= 0:
            return
        suspects = self.suspects

        def importance(fingerprint: str) -> tuple[bool, float]:
            return suspects[fingerprint].refused, suspects[fingerprint].crashed_at

        for fingerprint in sorted(suspects, key=importance)[:excess]:
            del suspects[fingerprint]


def _drop_older(times: dict[str, float], limit: float) -> None:
    for fingerprint in [
        fingerprint for fingerprint, time in times.items() if time < limit
    ]:
        del times[fingerprint]
