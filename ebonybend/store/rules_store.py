"""The platform's rules object, and how rule changes are written to it."""

from collections.abc import Callable
from enum import Enum
from random import Random
from time import time

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.rules.diff import diff_rules
from ebonybend.store.audit_entry import AuditEntry
from ebonybend.store.audit_log import AuditLog
from ebonybend.store.client import (
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks, Timers

KIND = "rules"
NAME = "main"
RECENT_CHANGES = 20
# Keeps 20 differences below 100 KB, next to a text of up to 256 KB in a 1 MB object.
MAX_DIFFERENCE_LINES = 20
MAX_DIFFERENCE_LINE = 200
# Below the 5 s for which the command-line tool waits for an answer.
APPLY_TIME_S = 4.0
ACCEPTED_EVENT = "rules_applied"


@frozen
class Change:
    """An accepted change, which is also its own audit entry."""

    revision: int
    change_id: str
    author: str
    reason: str
    # Time of acceptance, seconds since the epoch.
    at: float
    # Lines of the difference from the previous revision.
    difference: tuple[str, ...] = ()

    def audit_entry(self) -> AuditEntry:
        """Return the change as an entry of the audit log."""
        return AuditEntry(
            self.at,
            self.author,
            ACCEPTED_EVENT,
            self.revision,
            self.change_id,
            self.reason,
            "\n".join(self.difference),
        )


@frozen
class RulesObject:
    """The value of the platform object rules/main."""

    revision: int = 0
    change_id: str = ""
    text: str = ""
    author: str = ""
    reason: str = ""
    # Time of acceptance, seconds since the epoch.
    at: float = 0.0
    # The last changes, oldest first, up to this revision.
    recent: tuple[Change, ...] = ()
    # Changes up to this revision are also in the audit log.
    archived_revision: int = 0

    def accepted_revision(self, change_id: str) -> int | None:
        """Return the revision that contains a change, or None if it isn't known."""
        if self.revision and self.change_id == change_id:
            return self.revision
        matches = (x.revision for x in self.recent if x.change_id == change_id)
        return next(matches, None)


@frozen
class ProposedChange:
    """A change that an operator requests."""

    change_id: str
    base_revision: int
    text: str
    author: str
    reason: str


class ApplyFailureKind(Enum):
    """Why a change is not known to be accepted."""

    CONFLICT = "conflict"
    REJECTED = "rejected"
    # The platform can't be reached; nothing was written.
    UNAVAILABLE = "unavailable"
    # The platform can't be reached, and a write may have taken effect.
    UNRESOLVED = "unresolved"


@frozen
class ApplyFailure:
    """A change that is not known to be accepted."""

    kind: ApplyFailureKind
    message: str
    # On a conflict, the rules that were accepted instead.
    current: RulesObject | None = None


@frozen
class _VersionedRules:
    """The rules object, and the version on which an update is conditional."""

    version: int
    rules: RulesObject


class RulesStore:
    """Write changes conditionally, and resolve writes whose answer was lost."""

    def __init__(
        self,
        store: ObjectStore,
        audit: AuditLog,
        timers: Timers,
        random: Random,
        rules_in_force: Callable[[], RulesObject],
        wall: Callable[[], float] = time,
    ):
        self.store = store
        self.audit = audit
        self.timers = timers
        self.random = random
        # The newest rules known to this process; the platform may have lost them.
        self.rules_in_force = rules_in_force
        self.wall = wall
        self.tasks = Tasks(timers)

    async def read(self) -> Result[_VersionedRules, StoreFailure]:
        """Return the rules object, empty if there is none."""
        found = await self.store.get(KIND, NAME)
        if isinstance(found, Success):
            return self._decode(found.unwrap())
        if found.failure().kind is StoreFailureKind.NOT_FOUND:
            return Success(self._newest_rules(_VersionedRules(0, RulesObject())))
        return Failure(found.failure())

    async def apply(self, change: ProposedChange) -> Result[RulesObject, ApplyFailure]:
        """Write a change; return the rules that include it, or the failure."""
        deadline = self.timers.seconds() + APPLY_TIME_S
        backoff = Backoff(self.random)
        may_be_written = False
        while True:
            failure = StoreFailure(StoreFailureKind.UNAVAILABLE, "")
            read = await self.read()
            if isinstance(read, Success):
                found = read.unwrap()
                outcome = _known_outcome(found.rules, change)
                if outcome is not None:
                    return outcome
                written = await self._write(found, change)
                if isinstance(written, Success):
                    return Success(written.unwrap())
                failure = written.failure()
            else:
                failure = read.failure()
            if failure.kind is StoreFailureKind.REJECTED:
                return Failure(ApplyFailure(ApplyFailureKind.REJECTED, failure.message))
            if isinstance(read, Success):
                answer_lost = failure.kind is StoreFailureKind.ANSWER_LOST
                may_be_written = may_be_written or answer_lost
            if failure.kind is not StoreFailureKind.CONFLICT:
                delay = backoff.next()
                if self.timers.seconds() + delay > deadline:
                    return Failure(_deadline_failure(may_be_written, failure))
                await self.tasks.sleep(delay)

    async def _write(
        self, found: _VersionedRules, change: ProposedChange
    ) -> Result[RulesObject, StoreFailure]:
        archived = await self._archive(found.rules)
        if not isinstance(archived, Success):
            # The rules object itself was not written.
            return Failure(
                evolve(archived.failure(), kind=StoreFailureKind.UNAVAILABLE)
            )
        rules = self._next(archived.unwrap(), change)
        written = await self.store.put(KIND, NAME, to_json(rules), found.version)
        return written.map(lambda _version: rules)

    async def _archive(self, rules: RulesObject) -> Result[RulesObject, StoreFailure]:
        """Copy the recent changes to the audit log before one of them is dropped."""
        full = len(rules.recent) >= RECENT_CHANGES
        if not full or rules.recent[0].revision <= rules.archived_revision:
            return Success(rules)
        entries = tuple(
            change.audit_entry()
            for change in rules.recent
            if change.revision > rules.archived_revision
        )
        appended = await self.audit.append(entries)
        newest = rules.recent[-1].revision
        return appended.map(lambda _: evolve(rules, archived_revision=newest))

    def _next(self, rules: RulesObject, change: ProposedChange) -> RulesObject:
        accepted = Change(
            rules.revision + 1,
            change.change_id,
            change.author,
            change.reason,
            self.wall(),
            bounded_difference(rules.text, change.text),
        )
        return RulesObject(
            accepted.revision,
            change.change_id,
            change.text,
            change.author,
            change.reason,
            accepted.at,
            (*rules.recent, accepted)[-RECENT_CHANGES:],
            rules.archived_revision,
        )

    def _decode(self, stored: StoredObject) -> Result[_VersionedRules, StoreFailure]:
        try:
            rules = from_json(bytes(stored.value), RulesObject)
        except SteeringError as error:
            message = f"{KIND}/{NAME} is malformed: {error.message}"
            return Failure(StoreFailure(StoreFailureKind.REJECTED, message))
        return Success(self._newest_rules(_VersionedRules(stored.version, rules)))

    def _newest_rules(self, read: _VersionedRules) -> _VersionedRules:
        """Use the rules in force if those of the platform are older.

        Revisions must not go down when the platform is restored from a backup.
        """
        known = self.rules_in_force()
        if known.revision <= read.rules.revision:
            return read
        recent, archived = read.rules.recent, read.rules.archived_revision
        rules = evolve(known, recent=recent, archived_revision=archived)
        return _VersionedRules(read.version, rules)


def _known_outcome(
    rules: RulesObject, change: ProposedChange
) -> Result[RulesObject, ApplyFailure] | None:
    """Return the outcome of a change if the rules alone determine it, or None."""
    if rules.accepted_revision(change.change_id) is not None:
        return Success(rules)
    if rules.revision == change.base_revision:
        return None
    message = (
        f"revision {rules.revision} by {rules.author} was accepted; "
        f"this change is based on revision {change.base_revision}"
    )
    return Failure(ApplyFailure(ApplyFailureKind.CONFLICT, message, rules))


def _deadline_failure(may_be_written: bool, failure: StoreFailure) -> ApplyFailure:
    if may_be_written:
        return ApplyFailure(ApplyFailureKind.UNRESOLVED, failure.message)
    return ApplyFailure(ApplyFailureKind.UNAVAILABLE, failure.message)


def bounded_difference(old_text: str, new_text: str) -> tuple[str, ...]:
    """Return the difference of two texts for display, cut to a bounded size."""
    lines = diff_rules(old_text, new_text)
    shown = tuple(line[:MAX_DIFFERENCE_LINE] for line in lines[:MAX_DIFFERENCE_LINES])
    omitted = len(lines) - len(shown)
    return (*shown, f"and {omitted} more") if omitted else shown
