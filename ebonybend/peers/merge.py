"""The records that a control process holds, and how they merge."""

from collections.abc import Callable, Iterable
from typing import Any
from zlib import crc32

from attrs import define, evolve

from ebonybend.clock import Clock
from ebonybend.codec import pack, unpack
from ebonybend.peers.records import (
    BODIES,
    FAST_KINDS,
    MAIN,
    Record,
    RecordKind,
    RecordName,
    VersionLine,
)

Listener = Callable[[str], None]
# An incarnation is a count of seconds; the counter fits below it.
COUNTER_BITS = 24


def instance_version(incarnation_s: int, counter: int) -> int:
    """Return the version of a record by (incarnation, counter)."""
    return (incarnation_s << COUNTER_BITS) + counter


@define
class Held:
    """A record with the time at which it was written, by the own clock."""

    record: Record
    body: Any
    written_at: float
    received_at: float


class Replica:
    """Records by kind and name; only a larger (version, writer) replaces one.

    Neither the order nor the number of times in which records arrive matters.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.held: dict[RecordName, Held] = {}
        self.listeners: dict[RecordKind, list[Listener]] = {}
        self._slow_digest: int | None = None

    def listen(self, kind: RecordKind, listener: Listener) -> None:
        """Call a listener with the name of each record of a kind that changes."""
        self.listeners.setdefault(kind, []).append(listener)

    def write(
        self, kind: RecordKind, name: str, version: int, body: Any, writer: str = ""
    ) -> bool:
        """Offer a record that this process writes or read from the platform."""
        return self.merge_record(Record(kind, name, version, pack(body), writer))

    def merge_record(self, record: Record) -> bool:
        """Take a record if it is newer than the one held; return whether it was."""
        key = RecordName(record.kind, record.name)
        known = self.held.get(key)
        if known is not None and not _newer(record, known.record):
            return False
        body = unpack(record.body, BODIES[record.kind])
        now = self.clock.monotonic()
        self.held[key] = Held(record, body, now - record.age_ms / 1000, now)
        if record.kind not in FAST_KINDS:
            self._slow_digest = None
        for listener in self.listeners.get(record.kind, ()):
            listener(record.name)
        return True

    def get(self, kind: RecordKind, name: str = MAIN) -> Any:
        """Return a record's body, or None."""
        known = self.held.get(RecordName(kind, name))
        return None if known is None else known.body

    def version(self, kind: RecordKind, name: str = MAIN) -> int:
        """Return a record's version, 0 if there is none."""
        known = self.held.get(RecordName(kind, name))
        return 0 if known is None else known.record.version

    def age_s(self, kind: RecordKind, name: str) -> float:
        """Return the time since a record was written; infinite if there is none."""
        known = self.held.get(RecordName(kind, name))
        if known is None:
            return float("inf")
        return self.clock.monotonic() - known.written_at

    def bodies(self, kind: RecordKind) -> dict[str, Any]:
        """Return all bodies of a kind by name."""
        return {
            key.name: held.body for key, held in self.held.items() if key.kind is kind
        }

    def record(self, key: RecordName) -> Record | None:
        """Return a record with its present age, or None."""
        known = self.held.get(key)
        if known is None:
            return None
        age_ms = (self.clock.monotonic() - known.written_at) * 1000
        return evolve(known.record, age_ms=age_ms)

    def records(self, keys: Iterable[RecordName]) -> tuple[Record, ...]:
        """Return those of the named records that are held."""
        found = (self.record(key) for key in keys)
        return tuple(record for record in found if record is not None)

    def versions(self, kind: RecordKind) -> dict[str, int]:
        """Return the versions of all records of a kind by name."""
        return {
            key.name: held.record.version
            for key, held in self.held.items()
            if key.kind is kind
        }

    def slow_versions(self) -> tuple[VersionLine, ...]:
        """Return the versions of all slow records except the rules."""
        return tuple(
            VersionLine(key.kind, key.name, held.record.version)
            for key, held in self.held.items()
            if key.kind not in FAST_KINDS and key.kind is not RecordKind.RULES
        )

    def slow_digest(self) -> int:
        """Return a number that is equal where the slow versions are."""
        if self._slow_digest is None:
            lines = sorted(
                f"{line.kind.value} {line.name} {line.version}"
                for line in self.slow_versions()
            )
            self._slow_digest = crc32("\n".join(lines).encode())
        return self._slow_digest

    def newer_than(
        self, kind: RecordKind, versions: dict[str, int]
    ) -> list[RecordName]:
        """Return the names of records that the owner of the versions lacks."""
        return [
            key
            for key, held in self.held.items()
            if key.kind is kind and held.record.version > versions.get(key.name, 0)
        ]

    def older_than(
        self, kind: RecordKind, versions: dict[str, int]
    ) -> list[RecordName]:
        """Return the names of records that the owner of the versions has newer."""
        return [
            RecordName(kind, name)
            for name, version in versions.items()
            if version > self.version(kind, name)
        ]

    def slow_differences(
        self, lines: Iterable[VersionLine]
    ) -> tuple[list[RecordName], list[RecordName]]:
        """Return which slow records are newer here, and which are newer there."""
        theirs = {RecordName(line.kind, line.name): line.version for line in lines}
        ours = {
            RecordName(line.kind, line.name): line.version
            for line in self.slow_versions()
        }
        newer = [key for key in ours if ours[key] > theirs.get(key, 0)]
        older = [key for key in theirs if theirs[key] > ours.get(key, 0)]
        return newer, older


def _newer(record: Record, known: Record) -> bool:
    return (record.version, record.writer) > (known.version, known.writer)
