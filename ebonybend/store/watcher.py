"""Watch the objects of one kind by long polls that resume from the last version."""

from collections.abc import Callable, Mapping
from random import Random

from attrs import evolve
from returns.result import Result, Success
from twisted.internet.defer import CancelledError, Deferred

from ebonybend.logs import get_logger
from ebonybend.store.change_log import ChangeLog
from ebonybend.store.client import (
    ObjectList,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.era import UNKNOWN_ERA
from ebonybend.tasks import Tasks, Timers

# Short enough to detect a dead connection in about 12 s, and long enough that an idle
# watch costs the platform 0.1 calls per second.
WATCH_TIMEOUT_MS = 10_000
FIRST_BACKOFF_S = 0.2
# The watch recovers at most this long after the platform does.
MAX_BACKOFF_S = 5.0

OnChange = Callable[[str, int, Mapping[str, StoredObject]], None]


class Backoff:
    """Delays that double up to a limit, each with random jitter."""

    def __init__(self, random: Random, max_delay_s: float = MAX_BACKOFF_S):
        self.random = random
        self.max_delay_s = max_delay_s
        self.delay_s = FIRST_BACKOFF_S

    def reset(self) -> None:
        """Restart from the first delay."""
        self.delay_s = FIRST_BACKOFF_S

    def next(self) -> float:
        """Return the next delay in seconds, of which up to half is random."""
        delay = self.delay_s * (0.5 + self.random.random() / 2)
        self.delay_s = min(self.delay_s * 2, self.max_delay_s)
        return delay


class Watcher:
    """Maintain a copy of the objects of one kind and report each change."""

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        timers: Timers,
        random: Random,
        on_change: OnChange,
        max_backoff_s: float = MAX_BACKOFF_S,
        watch_timeout_ms: int = WATCH_TIMEOUT_MS,
    ):
        self.store = store
        self.kind = kind
        self.timers = timers
        self.on_change = on_change
        self.backoff = Backoff(random, max_backoff_s)
        self.watch_timeout_ms = watch_timeout_ms
        self.objects: dict[str, StoredObject] = {}
        self.change_log = ChangeLog()
        # Version of the last answer; stays known while the objects are listed again.
        self.last_version = 0
        # Era of the last list, in which all versions here were given out.
        self.era = UNKNOWN_ERA
        # Version from which the watch resumes; None until the first list.
        self.version: int | None = None
        # Newest version of an object of this kind, deleted ones included.
        self.newest_version = 0
        self.last_contact: float | None = None
        self.failing = False
        # Whether the platform is asked for changes without waiting for one.
        self.resyncing = False
        # Whether the call in progress was cancelled, so that the next follows at once.
        self.interrupted = False
        self.call_started_at = 0.0
        self.pending_step: Deferred[bool] | None = None
        self.tasks: Tasks | None = None

    def start(self) -> None:
        """Watch until stopped, from the last version if there is one."""
        if self.tasks is None:
            self.tasks = Tasks(self.timers)
            self.tasks.start(self._run(self.tasks))

    def stop(self) -> None:
        """Stop the watch, and retain the objects and the version."""
        if self.tasks is not None:
            self.tasks.stop()
            self.tasks = None

    def resync(self) -> None:
        """Ask for changes at once instead of waiting for a watch that may be dead."""
        self.resyncing = True
        if self.pending_step is not None:
            self.interrupted = True
            self.pending_step.cancel()

    def renew(self, lost_at: float) -> None:
        """Ask for changes at once if an outage at a time may have lost the watch."""
        if self.call_started_at < lost_at:
            self.resync()

    def record_outage(self) -> None:
        """Record that the platform was unavailable while the watch waited."""
        self.failing = True

    def begin_era(self) -> None:
        """List all objects at once, because versions are given out again."""
        self._leave_history()
        self.resync()

    def changes_since(self, since: int, era: int = UNKNOWN_ERA) -> ObjectList | None:
        """Return the objects changed since a version; None if there is none newer.

        Returns all objects if the version is older than the log of deletions, or of
        another era.
        """
        if self.version is None:
            return None
        is_same_era = era in (UNKNOWN_ERA, self.era)
        changes = None
        if is_same_era:
            changes = self.change_log.changes_since(since, self.version, self.objects)
        if changes is None and (not is_same_era or since < self.version):
            objects = tuple(self.objects.values())
            return ObjectList(self.version, objects, True, self.era)
        return changes and evolve(changes, era=self.era)

    async def read(self) -> bool:
        """List the objects once; return whether the platform answered."""
        return self._apply(await self.store.list(self.kind), complete=True)

    async def _run(self, tasks: Tasks) -> None:
        while not tasks.stopped:
            self.pending_step = Deferred.fromCoroutine(self._step())
            reached = False
            # A cancelled call either raises or fails as one without an answer.
            try:
                reached = await self.pending_step
            except CancelledError:
                pass
            except Exception:
                # The next change applies all objects again.
                get_logger().exception("watch_step_failed", kind=self.kind)
            self.pending_step = None
            if tasks.stopped:
                return
            interrupted, self.interrupted = self.interrupted, False
            if reached:
                self.backoff.reset()
            elif not interrupted:
                await tasks.sleep(self.backoff.next())

    async def _step(self) -> bool:
        self.call_started_at = self.timers.seconds()
        if self.version is None:
            return await self.read()
        since = self.version
        # After a failure, an immediate answer shows that the platform has recovered; a
        # long poll would show it 10 s later.
        is_urgent = self.failing or self.resyncing
        timeout_ms = 0 if is_urgent else self.watch_timeout_ms
        answer = await self.store.watch(self.kind, since, timeout_ms)
        complete = isinstance(answer, Success) and answer.unwrap().complete
        if isinstance(answer, Success) and not complete:
            found = answer.unwrap()
            if found.era != self.era or found.version < since:
                self._leave_history()
                return True
        return self._apply(answer, complete)

    def _leave_history(self) -> None:
        """List all next, because the version was given out in another history."""
        self.version = None

    def _apply(self, answer: Result[ObjectList, StoreFailure], complete: bool) -> bool:
        if not isinstance(answer, Success):
            self._record_failure(answer.failure())
            return False
        found = answer.unwrap()
        self.last_contact = self.timers.seconds()
        if self.failing:
            self.failing = False
            get_logger().info("watch_returned", kind=self.kind, version=found.version)
        self.resyncing = False
        if complete:
            self._replace_objects(found)
            self.era = found.era
        changed = complete or bool(found.items)
        for item in found.items:
            self.newest_version = max(self.newest_version, item.version)
            if item.deleted:
                self.objects.pop(item.name, None)
                self.change_log.record_deletion(item.name, found.version)
            else:
                self.objects[item.name] = item
        self.version = self.last_version = found.version
        if changed:
            self.on_change(self.kind, found.version, self.objects)
        return True

    def _replace_objects(self, found: ObjectList) -> None:
        objects = {item.name: item for item in found.items}
        is_other_history = found.era != self.era or found.version < self.last_version
        if is_other_history:
            self.newest_version = 0
        if is_other_history or self.change_log.start is None:
            self.change_log.restart(found.version)
        else:
            for name in self.objects.keys() - objects.keys():
                self.change_log.record_deletion(name, found.version)
        self.objects = objects

    def _record_failure(self, failure: StoreFailure) -> None:
        if not self.failing:
            get_logger().warning(
                "watch_failed",
                kind=self.kind,
                error=failure.message,
                waited_s=round(self.timers.seconds() - self.call_started_at, 2),
            )
            self.failing = True
        if failure.kind is StoreFailureKind.REJECTED:
            # The version may be too old to resume from.
            self.version = None
