"""Store the records of a control process and merge those of its peers."""

from collections.abc import Callable, Iterable
from typing import Any
from zlib import crc32

from attrs import define, evolve

from ebonybend.clock import Clock
from ebonybend.codec import pack, unpack
from ebonybend.peers.records import (
    BODY_TYPES,
    FAST_KINDS,
    MAIN,
    Record,
    RecordKind,
    RecordName,
    RecordVersion,
)

Listener = Callable[[str], None]
# An incarnation is a time in seconds; the counter takes the lower bits of the version.
COUNTER_BITS = 24


def instance_version(incarnation_s: int, counter: int) -> int:
    """Return a record version that is ordered by (incarnation, counter)."""
    return (incarnation_s << COUNTER_BITS) + counter


@define
class StoredRecord:
    """A record with its decoded body and the local times of writing and receipt."""

    record: Record
    body: Any
    written_at: float
    received_at: float


class Replica:
    """Store records by kind and name; a larger (version, writer) replaces a smaller.

    The result doesn't depend on the order of the records or on duplicates.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.stored: dict[RecordName, StoredRecord] = {}
        self.listeners: dict[RecordKind, list[Listener]] = {}
        self._slow_digest: int | None = None

    def add_listener(self, kind: RecordKind, listener: Listener) -> None:
        """Call a listener with the name of each record of a kind that changes."""
        self.listeners.setdefault(kind, []).append(listener)

    def write(
        self, kind: RecordKind, name: str, version: int, body: Any, writer: str = ""
    ) -> bool:
        """Merge a record that this process writes or has read from the platform."""
        return self.merge_record(Record(kind, name, version, pack(body), writer))

    def merge_record(self, record: Record) -> bool:
        """Store a record if it is newer than the stored one; return whether it is."""
        key = RecordName(record.kind, record.name)
        current = self.stored.get(key)
        if current is not None and not _newer(record, current.record):
            return False
        body = unpack(record.body, BODY_TYPES[record.kind])
        now = self.clock.monotonic()
        self.stored[key] = StoredRecord(record, body, now - record.age_ms / 1000, now)
        if record.kind not in FAST_KINDS:
            self._slow_digest = None
        for listener in self.listeners.get(record.kind, ()):
            listener(record.name)
        return True

    def get(self, kind: RecordKind, name: str = MAIN) -> Any:
        """Return a record's body, or None."""
        current = self.stored.get(RecordName(kind, name))
        return None if current is None else current.body

    def version(self, kind: RecordKind, name: str = MAIN) -> int:
        """Return a record's version, 0 if there is none."""
        current = self.stored.get(RecordName(kind, name))
        return 0 if current is None else current.record.version

    def age_s(self, kind: RecordKind, name: str) -> float:
        """Return the time since a record was written, infinite if there is none."""
        current = self.stored.get(RecordName(kind, name))
        if current is None:
            return float("inf")
        return self.clock.monotonic() - current.written_at

    def bodies(self, kind: RecordKind) -> dict[str, Any]:
        """Return all bodies of a kind by name."""
        return {
            key.name: stored.body
            for key, stored in self.stored.items()
            if key.kind is kind
        }

    def record(self, key: RecordName) -> Record | None:
        """Return a record with its current age, or None."""
        current = self.stored.get(key)
        if current is None:
            return None
        age_ms = (self.clock.monotonic() - current.written_at) * 1000
        return evolve(current.record, age_ms=age_ms)

    def records(self, keys: Iterable[RecordName]) -> tuple[Record, ...]:
        """Return those of the named records that are stored."""
        found = (self.record(key) for key in keys)
        return tuple(record for record in found if record is not None)

    def versions(self, kind: RecordKind) -> dict[str, int]:
        """Return the versions of all records of a kind by name."""
        return {
            key.name: stored.record.version
            for key, stored in self.stored.items()
            if key.kind is kind
        }

    def slow_versions(self) -> tuple[RecordVersion, ...]:
        """Return the versions of all slow records except the rules."""
        return tuple(
            RecordVersion(key.kind, key.name, stored.record.version)
            for key, stored in self.stored.items()
            if key.kind not in FAST_KINDS and key.kind is not RecordKind.RULES
        )

    def slow_digest(self) -> int:
        """Return a checksum of the slow versions."""
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
        """Return the names of stored records that are newer than the given versions."""
        return [
            key
            for key, stored in self.stored.items()
            if key.kind is kind and stored.record.version > versions.get(key.name, 0)
        ]

    def older_than(
        self, kind: RecordKind, versions: dict[str, int]
    ) -> list[RecordName]:
        """Return the names of given versions that are newer than the stored records."""
        return [
            RecordName(kind, name)
            for name, version in versions.items()
            if version > self.version(kind, name)
        ]

    def slow_differences(
        self, lines: Iterable[RecordVersion]
    ) -> tuple[list[RecordName], list[RecordName]]:
        """Return the slow records that are newer here, and those newer at the peer."""
        peer_versions = {
            RecordName(line.kind, line.name): line.version for line in lines
        }
        own_versions = {
            RecordName(line.kind, line.name): line.version
            for line in self.slow_versions()
        }
        newer = [
            key for key in own_versions if own_versions[key] > peer_versions.get(key, 0)
        ]
        older = [
            key
            for key in peer_versions
            if peer_versions[key] > own_versions.get(key, 0)
        ]
        return newer, older


def _newer(record: Record, current: Record) -> bool:
    return (record.version, record.writer) > (current.version, current.writer)
