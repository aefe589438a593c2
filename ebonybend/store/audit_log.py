"""The audit log, stored on the platform as objects of bounded size."""

from collections.abc import Iterable

from attrs import frozen
from returns.result import Failure, Result, Success

from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.store.audit_entry import AuditEntry
from ebonybend.store.client import (
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)

KIND = "audit"
MAX_CHUNK_ENTRIES = 500
# The platform accepts values up to 1 MB.
MAX_CHUNK_BYTES = 900_000
# An attempt fails if another control appends at the same time or an answer is lost.
MAX_ATTEMPTS = 12
FINAL_FAILURES = frozenset({StoreFailureKind.UNAVAILABLE, StoreFailureKind.REJECTED})


@frozen
class AuditChunk:
    """The value of an audit object; a full chunk never changes."""

    entries: tuple[AuditEntry, ...] = ()


@frozen
class _VersionedChunk:
    """A chunk with its number and its version, which is 0 if it doesn't exist."""

    number: int
    version: int
    entries: tuple[AuditEntry, ...]


def chunk_name(number: int) -> str:
    """Return the name of the object that holds a chunk."""
    return f"{number:06d}"


class AuditLog:
    """Append entries once each and read the newest ones."""

    def __init__(self, store: ObjectStore):
        self.store = store
        # The chunk to append to; None before the first use.
        self.number: int | None = None

    async def append(self, entries: Iterable[AuditEntry]) -> Result[None, StoreFailure]:
        """Append entries once each, even if the answer to a write is lost."""
        remaining = list(entries)
        located = await self._last_number()
        if not isinstance(located, Success):
            return Failure(located.failure())
        number = located.unwrap()
        failure = StoreFailure(StoreFailureKind.CONFLICT, "too many conflicts")
        for _ in range(MAX_ATTEMPTS):
            # After a conflict or a lost answer the same chunk is read again, even if it
            # is full by now, because the lost write may have filled it.
            found = await self._read(number)
            if not isinstance(found, Success):
                return Failure(found.failure())
            chunk = found.unwrap()
            remaining = [entry for entry in remaining if entry not in chunk.entries]
            if not remaining:
                self.number = max(self.number or 0, number)
                return Success(None)
            fitting = _fitting(chunk.entries, remaining)
            if not fitting:
                number += 1
                continue
            written = await self._write(chunk, fitting)
            if isinstance(written, Success):
                continue
            failure = written.failure()
            if failure.kind in FINAL_FAILURES:
                return Failure(failure)
        return Failure(failure)

    async def newest(self, limit: int) -> Result[tuple[AuditEntry, ...], StoreFailure]:
        """Return the newest entries, newest first."""
        found: list[AuditEntry] = []
        current = await self._newest_chunk()
        if not isinstance(current, Success):
            return Failure(current.failure())
        chunk = current.unwrap()
        found += reversed(chunk.entries)
        for number in range(chunk.number - 1, -1, -1):
            if len(found) >= limit:
                break
            older = await self._read(number)
            if not isinstance(older, Success):
                return Failure(older.failure())
            found += reversed(older.unwrap().entries)
        return Success(tuple(found[:limit]))

    async def _write(
        self, chunk: _VersionedChunk, entries: list[AuditEntry]
    ) -> Result[int, StoreFailure]:
        value = to_json(AuditChunk((*chunk.entries, *entries)))
        name = chunk_name(chunk.number)
        return await self.store.put(KIND, name, value, chunk.version)

    async def _last_number(self) -> Result[int, StoreFailure]:
        """Return the number of the chunk that was last used."""
        if self.number is not None:
            return Success(self.number)
        located = await self._locate()
        if isinstance(located, Success):
            self.number = located.unwrap()
        return located

    async def _newest_chunk(self) -> Result[_VersionedChunk, StoreFailure]:
        """Return the last chunk, which may not exist yet."""
        located = await self._last_number()
        if not isinstance(located, Success):
            return Failure(located.failure())
        number = located.unwrap()
        found = await self._read(number)
        while isinstance(found, Success) and _is_full(found.unwrap().entries):
            number += 1
            found = await self._read(number)
        return found

    async def _locate(self) -> Result[int, StoreFailure]:
        """Find the last chunk by exponential search, then by binary search."""
        low, step = 0, 1
        growing = True
        while step:
            found = await self._read(low + step)
            if not isinstance(found, Success):
                return Failure(found.failure())
            exists = found.unwrap().version > 0
            if exists:
                low += step
            growing = growing and exists
            step = step * 2 if growing else step // 2
        return Success(low)

    async def _read(self, number: int) -> Result[_VersionedChunk, StoreFailure]:
        found = await self.store.get(KIND, chunk_name(number))
        if isinstance(found, Success):
            return _decode(number, found.unwrap())
        if found.failure().kind is StoreFailureKind.NOT_FOUND:
            return Success(_VersionedChunk(number, 0, ()))
        return Failure(found.failure())


def _decode(number: int, stored: StoredObject) -> Result[_VersionedChunk, StoreFailure]:
    try:
        chunk = from_json(bytes(stored.value), AuditChunk)
    except SteeringError as error:
        message = f"{KIND}/{stored.name} is malformed: {error.message}"
        return Failure(StoreFailure(StoreFailureKind.REJECTED, message))
    return Success(_VersionedChunk(number, stored.version, chunk.entries))


def _is_full(entries: tuple[AuditEntry, ...]) -> bool:
    return len(entries) >= MAX_CHUNK_ENTRIES or _size(entries) >= MAX_CHUNK_BYTES


def _size(entries: Iterable[AuditEntry]) -> int:
    return len(to_json(tuple(entries)))


def _fitting(
    present: tuple[AuditEntry, ...], entries: list[AuditEntry]
) -> list[AuditEntry]:
    """Return the leading entries that still fit into a chunk."""
    free_entries = MAX_CHUNK_ENTRIES - len(present)
    free_bytes = MAX_CHUNK_BYTES - _size(present)
    fitting: list[AuditEntry] = []
    for entry in entries[: max(free_entries, 0)]:
        free_bytes -= _size((entry,))
        if free_bytes < 0 and (present or fitting):
            break
        fitting.append(entry)
    return fitting
