"""Suspect requests as all instances together know them."""

from collections.abc import Iterable
from zlib import crc32

from attrs import define

from ebonybend.clock import Clock
from ebonybend.peers.records import SuspectRecord
from ebonybend.steering.table import SuspectView

UNCONFIRMED_LIFETIME_S = 60.0
REFUSED_LIFETIME_S = 3600.0
# Bounds memory and message size when many requests crash servers.
MAX_SUSPECTS = 1000


@define
class _Suspect:
    crashes: int
    refused: bool
    crashed_at: float
    cleared_at: float | None = None

    @property
    def active(self) -> bool:
        if self.refused or self.cleared_at is None:
            return True
        return self.crashed_at > self.cleared_at


class SuspectSet:
    """Merge suspects: the larger crash count wins, and a refusal stays."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.suspects: dict[str, _Suspect] = {}
        self.pardoned: frozenset[str] = frozenset()

    def merge(self, record: SuspectRecord) -> bool:
        """Take what is new in a record; return whether anything was."""
        if record.fingerprint in self.pardoned:
            return False
        now = self.clock.monotonic()
        crashed_at = now - record.age_ms / 1000
        lifetime = REFUSED_LIFETIME_S if record.refused else UNCONFIRMED_LIFETIME_S
        if now - crashed_at > lifetime:
            return False
        cleared_at = None
        if record.cleared_age_ms is not None:
            cleared_at = now - record.cleared_age_ms / 1000
        known = self.suspects.get(record.fingerprint)
        if known is None:
            self._make_room()
            self.suspects[record.fingerprint] = _Suspect(
                record.crashes, record.refused, crashed_at, cleared_at
            )
            return True
        return self._update(known, record, crashed_at, cleared_at)

    def _update(
        self,
        known: _Suspect,
        record: SuspectRecord,
        crashed_at: float,
        cleared_at: float | None,
    ) -> bool:
        before = (known.crashes, known.refused, known.active)
        again = not known.active and crashed_at > (known.cleared_at or 0.0)
        if record.crashes > known.crashes or again:
            known.crashes = max(known.crashes, record.crashes)
            known.crashed_at = crashed_at
        elif record.crashes == known.crashes:
            # Each transfer adds its delay to the age it leaves out. Taking the later
            # time would renew a suspect with each exchange, for ever.
            known.crashed_at = min(known.crashed_at, crashed_at)
        known.refused = known.refused or record.refused
        if cleared_at is not None and known.active and cleared_at > known.crashed_at:
            known.cleared_at = cleared_at
        return before != (known.crashes, known.refused, known.active)

    def clear(self, fingerprint: str) -> bool:
        """Lift a suspicion after a success; a refused request stays refused."""
        known = self.suspects.get(fingerprint)
        if known is None or known.refused or not known.active:
            return False
        known.cleared_at = self.clock.monotonic()
        return True

    def pardon(self, fingerprints: Iterable[str]) -> None:
        """Forget suspects that a rule pardons, and take none from peers."""
        self.pardoned = frozenset(fingerprints)
        for fingerprint in self.pardoned:
            self.suspects.pop(fingerprint, None)

    def expire(self) -> None:
        """Forget suspects whose time is over."""
        now = self.clock.monotonic()
        for fingerprint, known in tuple(self.suspects.items()):
            lifetime = REFUSED_LIFETIME_S if known.refused else UNCONFIRMED_LIFETIME_S
            if now - known.crashed_at > lifetime:
                del self.suspects[fingerprint]

    def digest(self) -> int:
        """Return a number that is equal where the suspects are; 0 for none."""
        if not self.suspects:
            return 0
        lines = (
            f"{fingerprint} {known.crashes} {known.refused} {known.active}"
            for fingerprint, known in sorted(self.suspects.items())
        )
        return crc32("\n".join(lines).encode())

    def records(self) -> tuple[SuspectRecord, ...]:
        """Return all suspects, with their ages."""
        now = self.clock.monotonic()
        return tuple(
            SuspectRecord(
                fingerprint,
                known.crashes,
                known.refused,
                (now - known.crashed_at) * 1000,
                None if known.cleared_at is None else (now - known.cleared_at) * 1000,
            )
            for fingerprint, known in self.suspects.items()
        )

    def views(self) -> tuple[SuspectView, ...]:
        """Return the suspects that still count, for the entry's table."""
        now = self.clock.monotonic()
        return tuple(
            SuspectView(
                fingerprint,
                known.crashes,
                known.refused,
                (now - known.crashed_at) * 1000,
            )
            for fingerprint, known in sorted(self.suspects.items())
            if known.active
        )

    def _make_room(self) -> None:
        if len(self.suspects) < MAX_SUSPECTS:
            return
        oldest = min(self.suspects, key=lambda name: self.suspects[name].crashed_at)
        del self.suspects[oldest]
