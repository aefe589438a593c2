"""Merge the suspect requests that the instances report."""

from collections.abc import Iterable
from zlib import crc32

from attrs import define

from ebonybend.clock import Clock
from ebonybend.peers.records import SuspectRecord
from ebonybend.steering.suspects import (
    CRASHES_TO_REFUSE,
    REFUSED_LIFETIME_S,
    SUSPECT_LIFETIME_S,
    SuspectView,
)

# Bounds memory and message size when many requests crash servers.
MAX_SUSPECTS = 1000


@define
class _Suspect:
    crashes: int
    refused: bool
    crashed_at: float
    cleared_at: float | None
    servers: frozenset[str]

    @property
    def active(self) -> bool:
        if self.refused or self.cleared_at is None:
            return True
        return self.crashed_at > self.cleared_at

    @property
    def lifetime_s(self) -> float:
        return REFUSED_LIFETIME_S if self.refused else SUSPECT_LIFETIME_S

    @property
    def state(self) -> tuple[int, bool, bool, tuple[str, ...]]:
        """All values except the times, which differ slightly between instances."""
        servers = tuple(sorted(self.servers))
        return self.crashes, self.refused, self.active, servers


class SuspectSet:
    """Merge suspects: the larger crash count wins, and a refused one stays refused."""

    def __init__(self, clock: Clock):
        self.clock = clock
        self.suspects: dict[str, _Suspect] = {}
        self.pardoned: frozenset[str] = frozenset()

    def merge(self, record: SuspectRecord) -> bool:
        """Merge a record; return whether that changed anything except times."""
        if record.fingerprint in self.pardoned:
            return False
        now = self.clock.monotonic()
        received = _from_record(record, now)
        if now - received.crashed_at > received.lifetime_s:
            return False
        known = self.suspects.get(record.fingerprint)
        if known is None:
            self._evict_if_full()
            self.suspects[record.fingerprint] = received
            return True
        before = known.state
        _merge_suspect(known, received)
        return before != known.state

    def clear(self, fingerprint: str) -> bool:
        """Clear a suspicion after a success; a refused request stays refused."""
        known = self.suspects.get(fingerprint)
        if known is None or known.refused or not known.active:
            return False
        known.cleared_at = self.clock.monotonic()
        return True

    def pardon(self, fingerprints: Iterable[str]) -> None:
        """Delete suspects that a rule pardons, and ignore later records of them."""
        self.pardoned = frozenset(fingerprints)
        for fingerprint in self.pardoned:
            self.suspects.pop(fingerprint, None)

    def expire(self) -> None:
        """Delete expired suspects."""
        now = self.clock.monotonic()
        for fingerprint, known in tuple(self.suspects.items()):
            if now - known.crashed_at > known.lifetime_s:
                del self.suspects[fingerprint]

    def digest(self) -> int:
        """Return a checksum of the suspects, 0 if there are none."""
        if not self.suspects:
            return 0
        lines = (
            f"{fingerprint} {known.state}"
            for fingerprint, known in sorted(self.suspects.items())
        )
        return crc32("\n".join(lines).encode())

    def records(self) -> tuple[SuspectRecord, ...]:
        """Return the records of all suspects, with their ages."""
        now = self.clock.monotonic()
        return tuple(
            SuspectRecord(
                fingerprint,
                known.crashes,
                known.refused,
                (now - known.crashed_at) * 1000,
                None if known.cleared_at is None else (now - known.cleared_at) * 1000,
                tuple(sorted(known.servers)),
            )
            for fingerprint, known in self.suspects.items()
        )

    def views(self) -> tuple[SuspectView, ...]:
        """Return the active suspects, for the entry's table."""
        now = self.clock.monotonic()
        return tuple(
            SuspectView(
                fingerprint,
                known.crashes,
                known.refused,
                (now - known.crashed_at) * 1000,
                tuple(sorted(known.servers)),
            )
            for fingerprint, known in sorted(self.suspects.items())
            if known.active
        )

    def _evict_if_full(self) -> None:
        if len(self.suspects) < MAX_SUSPECTS:
            return
        oldest = min(self.suspects, key=lambda name: self.suspects[name].crashed_at)
        del self.suspects[oldest]


def _from_record(record: SuspectRecord, now: float) -> _Suspect:
    cleared_age_ms = record.cleared_age_ms
    suspect = _Suspect(
        max(record.crashes, len(record.servers)),
        record.refused,
        now - record.age_ms / 1000,
        None if cleared_age_ms is None else now - cleared_age_ms / 1000,
        frozenset(record.servers),
    )
    _refuse_repeated(suspect)
    return suspect


def _merge_suspect(known: _Suspect, received: _Suspect) -> None:
    if not known.active and received.crashed_at > (known.cleared_at or 0.0):
        # The suspicion was cleared before this crash, so the count starts again.
        known.crashes = received.crashes
        known.servers = received.servers
        known.crashed_at = received.crashed_at
    else:
        _merge_crashes(known, received)
    known.refused = known.refused or received.refused
    cleared_at = received.cleared_at
    if cleared_at is not None and cleared_at > known.crashed_at and known.active:
        known.cleared_at = cleared_at


def _merge_crashes(known: _Suspect, received: _Suspect) -> None:
    servers = known.servers | received.servers
    # Crashes of two servers, reported by two instances, are two crashes.
    crashes = max(known.crashes, received.crashes, len(servers))
    if crashes > known.crashes:
        known.crashed_at = max(known.crashed_at, received.crashed_at)
    else:
        # The age in a record omits the transfer time, so the crash seems later at each
        # receiver. With the later time each exchange would renew a suspect forever.
        known.crashed_at = min(known.crashed_at, received.crashed_at)
    known.crashes = crashes
    known.servers = servers
    _refuse_repeated(known)


def _refuse_repeated(suspect: _Suspect) -> None:
    if suspect.active and suspect.crashes >= CRASHES_TO_REFUSE:
        suspect.refused = True
