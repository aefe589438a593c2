"""Find the requests that crash backend servers, and refuse them."""

from collections.abc import Iterable
from enum import Enum

from attrs import frozen
from xxhash import xxh3_128

from ebonybend.clock import Clock

# Two crashes within this time without a success between them refuse a request.
SUSPECT_LIFETIME_S = 60.0
REFUSED_LIFETIME_S = 3600.0
CRASHES_TO_REFUSE = 2
# Bounds the memory when many different requests are in flight on crashing servers.
MOST_SUSPECTS = 10_000
# Several entries use one server, so a notice of a crash may arrive before the own
# connection to the same server is seen to end.
SAME_CRASH_S = 1.0


@frozen
class SuspectView:
    """A request that was running when a backend server crashed."""

    fingerprint: str
    crashes: int
    refused: bool
    # Time since the last crash, in milliseconds.
    age_ms: float = 0.0
    # The servers that crashed; they tell two crashes from two reports of one.
    servers: tuple[str, ...] = ()


class Verdict(Enum):
    """How a request may run."""

    ALLOW = "allow"
    # Only on a server that runs nothing else.
    ISOLATED = "alone"
    REFUSE = "refuse"


def fingerprint(service: str, method: str, path: str, body: bytes) -> str:
    """Return the name of a request's content, 32 hexadecimal digits."""
    # The parts are length-prefixed, so that no two requests share one text.
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
    """The suspects that an instance knows, from its own crashes and from others."""

    def __init__(self, clock: Clock, crashes_to_refuse: int = CRASHES_TO_REFUSE):
        self.clock = clock
        self.crashes_to_refuse = crashes_to_refuse
        self.suspects: dict[str, Suspect] = {}
        # When a fingerprint was last cleared; older notices no longer count.
        self.cleared_at: dict[str, float] = {}
        self.pardoned_at: dict[str, float] = {}

    def record_crash(
        self, fingerprints: Iterable[str], alone: bool, server: str = ""
    ) -> None:
        """Count a crash of a server for the requests that were running on it."""
        now = self.clock.monotonic()
        self._expire(now)
        # The same request may run several times on one server; it counts once.
        for name in set(fingerprints):
            known = self._live(name, now) or Suspect(0, False, now)
            same = server in known.servers and now - known.crashed_at < SAME_CRASH_S
            known.crashes += 0 if same else 1
            known.refused |= alone or known.crashes >= self.crashes_to_refuse
            known.crashed_at = now
            known.servers |= {server} if server else frozenset()
            self.suspects[name] = known

    def record_success(self, name: str) -> None:
        """Clear a suspect that has run without a crash, unless it is refused."""
        known = self.suspects.get(name)
        if known is not None and not known.refused:
            self._clear(name)

    def pardon(self, name: str) -> None:
        """Clear a request, even if it is refused."""
        self._clear(name)
        self.pardoned_at[name] = self.clock.monotonic()

    def verdict(self, name: str) -> Verdict:
        """Return how a request may run."""
        if name not in self.suspects:
            return Verdict.ALLOW
        known = self._live(name, self.clock.monotonic())
        if known is None:
            return Verdict.ALLOW
        return Verdict.REFUSE if known.refused else Verdict.ISOLATED

    def merge(self, *views: SuspectView) -> None:
        """Take in what other instances know; order and repetition don't matter."""
        now = self.clock.monotonic()
        self._expire(now)
        for view in views:
            crashed_at = now - view.age_ms / 1000
            if crashed_at <= self._cleared_at(view):
                continue
            theirs = Suspect(
                view.crashes, view.refused, crashed_at, frozenset(view.servers)
            )
            if now - crashed_at <= theirs.lifetime_s():
                self._merge_one(view.fingerprint, theirs, now)

    def views(self) -> tuple[SuspectView, ...]:
        """Return the current suspects with the ages of their last crashes."""
        now = self.clock.monotonic()
        self._expire(now)
        return tuple(
            SuspectView(
                fingerprint=name,
                crashes=known.crashes,
                refused=known.refused,
                age_ms=(now - known.crashed_at) * 1000,
                servers=tuple(sorted(known.servers)),
            )
            for name, known in self.suspects.items()
        )

    def cleared(self) -> tuple[str, ...]:
        """Return the fingerprints that were cleared and not suspected again."""
        return tuple(name for name in self.cleared_at if name not in self.suspects)

    def _live(self, name: str, now: float) -> Suspect | None:
        known = self.suspects.get(name)
        if known is None or now - known.crashed_at > known.lifetime_s():
            return None
        return known

    def _cleared_at(self, view: SuspectView) -> float:
        """Return when a success or a pardon lifted such a suspicion."""
        lifted = self.pardoned_at.get(view.fingerprint, float("-inf"))
        if view.refused:
            return lifted
        return max(lifted, self.cleared_at.get(view.fingerprint, float("-inf")))

    def _clear(self, name: str) -> None:
        self.suspects.pop(name, None)
        self.cleared_at[name] = self.clock.monotonic()

    def _merge_one(self, name: str, theirs: Suspect, now: float) -> None:
        ours = self._live(name, now)
        if ours is None:
            self.suspects[name] = theirs
            return
        # Crashes on two servers that two instances saw are two crashes.
        ours.servers |= theirs.servers
        ours.crashes = max(ours.crashes, theirs.crashes, len(ours.servers))
        ours.refused |= theirs.refused or ours.crashes >= self.crashes_to_refuse
        ours.crashed_at = max(ours.crashed_at, theirs.crashed_at)

    def _expire(self, now: float) -> None:
        for name in list(self.suspects):
            if self._live(name, now) is None:
                del self.suspects[name]
        _drop_older(self.cleared_at, now - SUSPECT_LIFETIME_S)
        _drop_older(self.pardoned_at, now - REFUSED_LIFETIME_S)
        self._drop_oldest()

    def _drop_oldest(self) -> None:
        excess = len(self.suspects) - MOST_SUSPECTS
        if excess <= 0:
            return
        suspects = self.suspects

        def importance(name: str) -> tuple[bool, float]:
            return suspects[name].refused, suspects[name].crashed_at

        for name in sorted(suspects, key=importance)[:excess]:
            del suspects[name]


def _drop_older(times: dict[str, float], limit: float) -> None:
    for name in [name for name, time in times.items() if time < limit]:
        del times[name]
