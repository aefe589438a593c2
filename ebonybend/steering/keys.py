"""At-most-once registry of idempotency keys, bound to one process incarnation."""

from collections import deque
from enum import Enum

from attrs import define, evolve, field, frozen

from ebonybend.clock import Clock
from ebonybend.errors import ErrorKind, SteeringError

EPOCH_S = 60.0
# Keys of older epochs are not dispatched, and their records are dropped.
KEPT_EPOCHS = 60
# A key is first used soon after it was given out. Keys without a record are not
# dispatched after this number of epochs, so refusals need no longer be remembered.
FRESH_EPOCHS = 2
# Larger answers are not kept: only that the request was answered.
KEPT_ANSWER_BYTES = 64 << 10
# Bodies kept by one process; above it the oldest are dropped.
KEPT_TOTAL_BYTES = 64 << 20
# About 100 MB of records. Above it new keys are refused, because dropping a record
# would allow a second dispatch.
MAX_RECORDS = 200_000


@frozen
class KeyPrefix:
    """The part of a key that names its owner."""

    instance: str
    incarnation: int
    epoch: int

    def __str__(self) -> str:
        return f"{self.instance}~{self.incarnation}~{self.epoch}"

    @classmethod
    def parse(cls, key: str) -> "KeyPrefix":
        """Return the prefix of a key; raise BAD_KEY if it has none."""
        parts = key.split("~", 3)
        if len(parts) != 4 or not parts[0] or not parts[3]:
            raise _bad_key(key)
        if not _is_number(parts[1]) or not _is_number(parts[2]):
            raise _bad_key(key)
        prefix = cls(parts[0], int(parts[1]), int(parts[2]))
        if not key.startswith(f"{prefix}~"):
            # Two spellings of one number would make two keys of one.
            raise _bad_key(key)
        return prefix


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 18


def _bad_key(key: str) -> SteeringError:
    return SteeringError(
        ErrorKind.BAD_KEY,
        f"key {key!r} is not <instance>~<incarnation>~<epoch>~<caller id>",
    )


@frozen
class StoredAnswer:
    """An answer that is given again when its request is sent again."""

    # Identifies the request, so that a key can't be used for another one.
    fingerprint: str
    status: int
    content_type: str | None
    # None when the answer is too large to be kept.
    body: bytes | None
    served_by: str
    region: str = ""

    def within_limit(self) -> "StoredAnswer":
        """Return the answer without its body if the body is too large."""
        if self.body is not None and len(self.body) > KEPT_ANSWER_BYTES:
            return evolve(self, body=None)
        return self


@frozen
class OutcomeRecord:
    """A key's final outcome as it is handed to a peer."""

    key: str
    # None when the outcome is unknown.
    answer: StoredAnswer | None


@frozen
class SealedIncarnation:
    """A statement that an incarnation dispatches nothing more."""

    instance: str
    incarnation: int
    # Epochs that the records cover, both included.
    oldest_epoch: int
    newest_epoch: int
    # Number of outcome records; a peer that holds fewer can't tell what did not run.
    outcomes: int


class ReservationState(Enum):
    """What the registry knows about a key."""

    NEW = "new"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    # The request did not run under this key and won't.
    NOT_RUN = "not_run"
    EXPIRED = "expired"
    NOT_OWNED = "not_owned"
    # The key's epoch is in the future, so this process did not give it out.
    NOT_ISSUED = "not_issued"
    # The key was used for another request.
    MISMATCH = "mismatch"
    SEALED = "sealed"
    FULL = "full"


@frozen
class Reservation:
    """The registry's answer to a request under a key."""

    state: ReservationState
    answer: StoredAnswer | None = None


class _State(Enum):
    RESERVED = "reserved"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    # Refused. A copy that was delayed on its way must not run after the refusal.
    NOT_RUN = "not_run"


@define
class _Record:
    epoch: int
    fingerprint: str
    state: _State = _State.RESERVED
    answer: StoredAnswer | None = None
    # Place in the log of final outcomes, or None.
    logged: int | None = None


@frozen
class OutcomeBatch:
    """Outcomes after a mark, and the mark after them."""

    outcomes: tuple[OutcomeRecord, ...]
    mark: int


@define
class BodyBudget:
    """Keep the newest bodies within a total size."""

    sizes: deque[tuple[str, int]] = field(factory=deque)
    total: int = 0

    def add(self, key: str, size: int) -> list[str]:
        """Count a body; return the keys whose bodies must be dropped."""
        self.sizes.append((key, size))
        self.total += size
        dropped = []
        while self.total > KEPT_TOTAL_BYTES:
            old, old_size = self.sizes.popleft()
            self.total -= old_size
            dropped.append(old)
        return dropped


class KeyRegistry:
    """Allow at most one dispatch per key of one process incarnation."""

    def __init__(self, own: str, incarnation: int, clock: Clock):
        self.own = own
        self.incarnation = incarnation
        self.clock = clock
        self.started = clock.monotonic()
        self.sealed = False
        self._records: dict[str, _Record] = {}
        self._by_epoch: dict[int, set[str]] = {}
        self._refused_by_epoch: dict[int, list[str]] = {}
        self._purged_epoch = 0
        self._bodies = BodyBudget()
        # Keys with a final outcome, by their place in the order of completion.
        self._log: dict[int, str] = {}
        self._log_end = 0

    def epoch(self) -> int:
        """Return the minutes since the start of this process."""
        return int((self.clock.monotonic() - self.started) / EPOCH_S)

    def prefix(self) -> KeyPrefix:
        """Return the prefix of keys that are given out now."""
        return KeyPrefix(self.own, self.incarnation, self.epoch())

    def owns(self, prefix: KeyPrefix) -> bool:
        """Tell whether this incarnation is the key's owner."""
        return (prefix.instance, prefix.incarnation) == (self.own, self.incarnation)

    def reserve(self, key: str, fingerprint: str = "") -> Reservation:
        """Reserve a key for a request, or return what is known about it."""
        self._purge()
        prefix = KeyPrefix.parse(key)
        refusal = self._refusal(prefix)
        if refusal is not None:
            return Reservation(refusal)
        record = self._records.get(key)
        if record is not None:
            return self._known(record, fingerprint)
        if prefix.epoch < self.epoch() - FRESH_EPOCHS:
            return Reservation(ReservationState.NOT_RUN)
        if self.sealed:
            return Reservation(ReservationState.SEALED)
        if len(self._records) >= MAX_RECORDS:
            return Reservation(ReservationState.FULL)
        self._records[key] = _Record(prefix.epoch, fingerprint)
        self._by_epoch.setdefault(prefix.epoch, set()).add(key)
        return Reservation(ReservationState.NEW)

    def _refusal(self, prefix: KeyPrefix) -> ReservationState | None:
        if not self.owns(prefix):
            return ReservationState.NOT_OWNED
        epoch = self.epoch()
        if prefix.epoch > epoch:
            return ReservationState.NOT_ISSUED
        if prefix.epoch < epoch - KEPT_EPOCHS:
            return ReservationState.EXPIRED
        return None

    def _known(self, record: _Record, fingerprint: str) -> Reservation:
        if record.fingerprint != fingerprint:
            return Reservation(ReservationState.MISMATCH)
        if record.state is _State.FINISHED:
            return Reservation(ReservationState.FINISHED, record.answer)
        if record.state is _State.UNKNOWN:
            return Reservation(ReservationState.UNKNOWN)
        if record.state is _State.NOT_RUN:
            return Reservation(ReservationState.NOT_RUN)
        return Reservation(ReservationState.RUNNING)

    def begin_dispatch(self, key: str) -> bool:
        """Allow the dispatch of a reserved key; return False if it must not run."""
        self._purge()
        record = self._records.get(key)
        if record is None or record.state is not _State.RESERVED or self.sealed:
            return False
        record.state = _State.DISPATCHED
        return True

    def record_answer(self, key: str, answer: StoredAnswer) -> None:
        """Store the answer of a dispatched key."""
        record = self._records.get(key)
        if record is None or record.state is not _State.DISPATCHED:
            return
        record.state = _State.FINISHED
        record.answer = answer.within_limit()
        self._append_log(key, record)
        if record.answer.body is not None:
            for old in self._bodies.add(key, len(record.answer.body)):
                self._drop_body(old)

    def _drop_body(self, key: str) -> None:
        record = self._records.get(key)
        if record is not None and record.answer is not None:
            record.answer = evolve(record.answer, body=None)

    def record_unknown(self, key: str) -> None:
        """Record that a dispatched request may have run without an answer."""
        record = self._records.get(key)
        if record is not None and record.state is _State.DISPATCHED:
            record.state = _State.UNKNOWN
            self._append_log(key, record)

    def _append_log(self, key: str, record: _Record) -> None:
        record.logged = self._log_end
        self._log[self._log_end] = key
        self._log_end += 1

    def record_not_run(self, key: str) -> None:
        """Record that a key's request provably did not run; it never will."""
        record = self._records.get(key)
        if record is None or record.state not in (_State.RESERVED, _State.DISPATCHED):
            return
        record.state = _State.NOT_RUN
        self._refused_by_epoch.setdefault(record.epoch, []).append(key)

    def outcomes_since(self, mark: int, most: int = 256) -> OutcomeBatch:
        """Return outcomes after a mark, oldest first, at most a number of them."""
        end = min(mark + most, self._log_end)
        keys = [self._log[place] for place in range(mark, end) if place in self._log]
        outcomes = tuple(OutcomeRecord(key, self._records[key].answer) for key in keys)
        return OutcomeBatch(outcomes, end)

    def close(self) -> None:
        """Dispatch nothing from now on; what runs may still end."""
        self.sealed = True

    def seal(self) -> SealedIncarnation:
        """Dispatch nothing from now on; what still runs counts as unknown."""
        self._purge()
        self.close()
        for key, record in self._records.items():
            if record.state is _State.DISPATCHED:
                record.state = _State.UNKNOWN
                self._append_log(key, record)
        epoch = self.epoch()
        final = sum(r.logged is not None for r in self._records.values())
        oldest = max(0, epoch - KEPT_EPOCHS)
        return SealedIncarnation(self.own, self.incarnation, oldest, epoch, final)

    def _purge(self) -> None:
        """Drop the records of expired epochs, and refusals sooner."""
        self._purge_refusals()
        oldest = self.epoch() - KEPT_EPOCHS
        if oldest <= self._purged_epoch:
            return
        self._purged_epoch = oldest
        for epoch in [e for e in self._by_epoch if e < oldest]:
            for key in self._by_epoch.pop(epoch):
                record = self._records.pop(key)
                if record.logged is not None:
                    del self._log[record.logged]

    def _purge_refusals(self) -> None:
        oldest = self.epoch() - FRESH_EPOCHS
        for epoch in [e for e in self._refused_by_epoch if e < oldest]:
            for key in self._refused_by_epoch.pop(epoch):
                del self._records[key]
                self._by_epoch[epoch].discard(key)
