"""Versioned objects with conditional writes and lists that can lag behind them."""

from collections import deque
from typing import Any

from attrs import evolve, field, frozen
from msgspec import Raw
from twisted.internet.defer import Deferred

KINDS = ("deployment", "instance", "server", "rules", "audit", "clientmap")
LAGGING_KINDS = ("instance", "server")
NULL = Raw(b"null")


@frozen
class StoredObject:
    """One object with a JSON value."""

    name: str
    # Store version of the last change; 0 if the object doesn't exist.
    version: int
    value: Raw = NULL
    deleted: bool = False


@frozen
class ObjectList:
    """The objects of one kind, or those changed since a version."""

    version: int
    items: tuple[StoredObject, ...]


class VersionConflict(Exception):
    """The expected version differs from the object's version."""

    def __init__(self, current: StoredObject):
        super().__init__(f"object is at version {current.version}")
        self.current = current


@frozen
class _PendingChange:
    """A written change that is not visible to readers yet."""

    visible_at: float
    change: StoredObject


class KindStore:
    """The objects of one kind, as written and as visible to readers."""

    def __init__(self) -> None:
        self.written: dict[str, StoredObject] = {}
        self.visible: dict[str, StoredObject] = {}
        self.pending: deque[_PendingChange] = deque()
        self.watchers: list[Deferred[None]] = []

    def publish_due(self, now: float) -> None:
        """Make the changes whose time has come visible, in the order of writing."""
        changed = False
        while self.pending and self.pending[0].visible_at <= now:
            change = self.pending.popleft().change
            self.visible[change.name] = change
            changed = True
        if not changed:
            return
        watchers, self.watchers = self.watchers, []
        for watcher in watchers:
            watcher.callback(None)

    def list_version(self, store_version: int) -> int:
        """Return the version from which a watch misses no change."""
        if self.pending:
            return self.pending[0].change.version - 1
        return store_version


@frozen
class ObjectStore:
    """All objects, with one version that increases with each write."""

    reactor: Any
    kinds: dict[str, KindStore] = field(
        factory=lambda: {kind: KindStore() for kind in KINDS}
    )
    versions: list[int] = field(factory=lambda: [0])
    lag: dict[str, float] = field(factory=dict)

    @property
    def version(self) -> int:
        """Return the version of the last change."""
        return self.versions[0]

    def get(self, kind: str, name: str) -> StoredObject:
        """Return the visible state of an object, with version 0 if there is none."""
        found = self.kinds[kind].visible.get(name)
        if found is None or found.deleted:
            return StoredObject(name, 0)
        return found

    def list(self, kind: str) -> ObjectList:
        """Return the visible objects of a kind."""
        store = self.kinds[kind]
        items = tuple(x for x in store.visible.values() if not x.deleted)
        return ObjectList(store.list_version(self.version), items)

    def changes(self, kind: str, since: int) -> ObjectList:
        """Return the objects changed since a version, including deleted ones."""
        store = self.kinds[kind]
        items = tuple(x for x in store.visible.values() if x.version > since)
        return ObjectList(store.list_version(self.version), items)

    def put(
        self, kind: str, name: str, value: bytes, expected: int | None
    ) -> StoredObject:
        """Write an object; raise VersionConflict if the version doesn't match."""
        return self._write(kind, StoredObject(name, 0, Raw(value)), expected)

    def delete(self, kind: str, name: str, expected: int | None) -> StoredObject:
        """Delete an object; raise VersionConflict if the version doesn't match."""
        return self._write(kind, StoredObject(name, 0, deleted=True), expected)

    def _write(
        self, kind: str, change: StoredObject, expected: int | None
    ) -> StoredObject:
        store = self.kinds[kind]
        current = store.written.get(change.name, StoredObject(change.name, 0))
        if current.deleted:
            current = StoredObject(change.name, 0)
        if expected is not None and expected != current.version:
            raise VersionConflict(current)
        self.versions[0] += 1
        change = evolve(change, version=self.version)
        store.written[change.name] = change
        lag = self.lag.get(kind, 0.0)
        now = self.reactor.seconds()
        store.pending.append(_PendingChange(now + lag, change))
        if lag > 0:
            self.reactor.callLater(lag, self._publish_due, store)
        store.publish_due(now)
        return change

    def _publish_due(self, store: KindStore) -> None:
        store.publish_due(self.reactor.seconds())

    def set_lag(self, seconds: float) -> None:
        """Set the time for which changes of the lists stay invisible."""
        for kind in LAGGING_KINDS:
            self.lag[kind] = seconds
            self._apply_lag(self.kinds[kind], seconds)

    def _apply_lag(self, store: KindStore, lag: float) -> None:
        """Make pending changes visible earlier if the lag becomes shorter."""
        now = self.reactor.seconds()
        earlier = [
            _PendingChange(min(x.visible_at, now + lag), x.change)
            for x in store.pending
        ]
        store.pending = deque(earlier)
        if earlier and lag > 0:
            self.reactor.callLater(lag, self._publish_due, store)
        store.publish_due(now)

    def next_change(self, kind: str) -> Deferred[None]:
        """Return a Deferred that fires at the next visible change of a kind."""
        watchers = self.kinds[kind].watchers
        watcher: Deferred[None] = Deferred(lambda x: watchers.remove(x))
        watchers.append(watcher)
        return watcher
