"""An in-memory object store with fault injection, for tests."""

from attrs import define, evolve, field
from msgspec import Raw
from returns.result import Failure, Result, Success
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import Clock, deferLater

from ebonybend.store.client import (
    ObjectList,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.era import EraTracker

CALL_S = 0.005
TIMEOUT_S = 2.0


@define
class MemoryStore:
    """The objects of a store that all clients share."""

    clock: Clock
    version: int = 0
    objects: dict[tuple[str, str], StoredObject] = field(factory=dict)
    watchers: list[Deferred] = field(factory=list)
    writes: list[tuple[str, str]] = field(factory=list)
    # Watches of an older version are rejected, since their history was dropped.
    history_from: int = 0
    era: int = 0

    def copy(self):
        """Return a copy from which the store can be restored."""
        return self.version, dict(self.objects)

    def restore(self, copy):
        """Come back from an older copy, with the next era; waiting watches end."""
        self.era += 1
        self.version, objects = copy
        self.objects = dict(objects)
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher.cancel()

    def cut_watches(self):
        """Close the connections of the watches that wait."""
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher.errback(ConnectionError())

    def write(self, kind, name, value, deleted=False):
        """Write unconditionally; return the new version."""
        self.version += 1
        stored = StoredObject(name, self.version, Raw(value), deleted)
        self.objects[kind, name] = stored
        self.writes.append((kind, name))
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            if not watcher.called:
                watcher.callback(None)
        return self.version

    def changes(self, kind, since):
        """Return the objects of a kind changed since a version."""
        items = (x for key, x in self.objects.items() if key[0] == kind)
        return tuple(x for x in items if x.version > since)

    def next_change(self):
        """Return a Deferred that fires at the next change."""
        watcher = Deferred(self._forget)
        self.watchers.append(watcher)
        return watcher

    def _forget(self, watcher):
        # A write takes all watchers off the list before it calls the first.
        if watcher in self.watchers:
            self.watchers.remove(watcher)


@define
class StoreClient:
    """One client's access to the store, with its own faults."""

    store: MemoryStore
    # Calls end without an answer, after down_s.
    down: bool = False
    down_s: float = TIMEOUT_S
    # Calls are received and never answered, and end by the caller's timeout. Watches
    # that were sent before go on.
    silent: bool = False
    # The next writes take effect without an answer.
    lose_answers: int = 0
    # The next writes have no effect and no answer.
    lose_requests: int = 0
    # The next write takes effect this much later, without an answer.
    delay_writes_s: float = 0.0
    calls: int = 0
    pings: int = 0
    eras: EraTracker = field(init=False)

    def __attrs_post_init__(self):
        self.eras = EraTracker(self.store.clock.seconds)

    async def list(self, kind) -> Result:
        """Return all objects of a kind."""
        failure = await self._call()
        if failure:
            return Failure(failure)
        self._record_era()
        items = tuple(x for x in self.store.changes(kind, 0) if not x.deleted)
        return Success(ObjectList(self.store.version, items, era=self.store.era))

    async def get(self, kind, name) -> Result:
        """Return one object."""
        failure = await self._call()
        if failure:
            return Failure(failure)
        stored = self._stored(kind, name)
        if stored is None:
            return Failure(StoreFailure(StoreFailureKind.NOT_FOUND, name))
        return Success(stored)

    async def put(self, kind, name, value, version) -> Result:
        """Write if the version matches."""
        failure = await self._call()
        if failure:
            return Failure(failure)
        if self.lose_requests:
            self.lose_requests -= 1
            return Failure(_lost())
        if self.delay_writes_s:
            delay, self.delay_writes_s = self.delay_writes_s, 0.0
            self.store.clock.callLater(delay, self._put, kind, name, value, version)
            return Failure(_lost())
        result = self._put(kind, name, value, version)
        if self.lose_answers:
            self.lose_answers -= 1
            return Failure(_lost())
        return result

    async def watch(self, kind, since, timeout_ms) -> Result:
        """Wait for changes since a version."""
        failure = await self._call(timeout_ms / 1000 + TIMEOUT_S)
        if failure:
            return Failure(failure)
        self._record_era()
        if not self.store.history_from <= since <= self.store.version:
            return Failure(StoreFailure(StoreFailureKind.REJECTED, "history dropped"))
        clock = self.store.clock
        deadline = clock.seconds() + timeout_ms / 1000
        while not self.store.changes(kind, since) and clock.seconds() < deadline:
            next_change = self.store.next_change()
            timer = clock.callLater(deadline - clock.seconds(), next_change.cancel)
            try:
                await next_change
            except ConnectionError:
                return Failure(_lost())
            except CancelledError:
                if timer.active():
                    return Failure(cancelled())
                break
            finally:
                if timer.active():
                    timer.cancel()
        if self.down:
            return Failure(_lost())
        self._record_era()
        items = self.store.changes(kind, since)
        return Success(ObjectList(self.store.version, items, era=self.store.era))

    async def ping(self, kind, name, timeout_s) -> bool:
        """Return whether the store answers in time."""
        clock = self.store.clock
        self.pings += 1
        answers = not (self.down or self.silent)
        await deferLater(clock, CALL_S if answers else min(timeout_s, self.down_s))
        if answers:
            self._record_era()
        return answers

    def _record_era(self):
        self.eras.record(self.store.era, self.store.clock.seconds())

    async def _call(self, timeout_s=TIMEOUT_S):
        self.calls += 1
        clock = self.store.clock
        if self.silent:
            try:
                await deferLater(clock, timeout_s)
            except CancelledError:
                return cancelled()
            return _lost()
        if self.down:
            await deferLater(clock, self.down_s)
            return StoreFailure(StoreFailureKind.UNAVAILABLE, "down")
        await deferLater(clock, CALL_S)
        return None

    def _stored(self, kind, name):
        stored = self.store.objects.get((kind, name))
        return None if stored is None or stored.deleted else stored

    def _put(self, kind, name, value, version):
        stored = self._stored(kind, name)
        if version != (stored.version if stored else 0):
            current = evolve(stored) if stored else None
            return Failure(StoreFailure(StoreFailureKind.CONFLICT, "version", current))
        return Success(self.store.write(kind, name, value))


def _lost():
    return StoreFailure(StoreFailureKind.ANSWER_LOST, "lost")


def cancelled():
    """Return the failure of a call that its caller cancelled."""
    return evolve(_lost(), cancelled=True)


def result_of(clock, coroutine, seconds=60.0):
    """Run a coroutine on a simulated clock and return its result."""
    found = []
    failures = []
    task = Deferred.fromCoroutine(coroutine)
    task.addCallbacks(found.append, failures.append)
    end = clock.seconds() + seconds
    while not found and not failures and clock.seconds() < end:
        clock.advance(0.005)
    if failures:
        failures[0].raiseException()
    if not found:
        raise AssertionError(f"no result in {seconds} s")
    return found[0]
