"""Convert the platform's objects to records."""

from collections.abc import Iterable, Mapping
from random import Random
from typing import TypeVar

from msgspec import Raw

from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    MAIN,
    ClientMapRecord,
    DeploymentRecord,
    InstanceListing,
    RecordKind,
    RulesRecord,
    ServerListing,
    ShardVersion,
)
from ebonybend.store.client import ObjectStore, StoredObject
from ebonybend.store.rules_store import RulesObject
from ebonybend.store.watcher import Watcher
from ebonybend.tasks import Timers
from ebonybend.world import BackendServer, Deployment, Instance

T = TypeVar("T")

OBJECT_KINDS = ("deployment", "rules", "instance", "server", "clientmap")


class PlatformFeed:
    """Read and watch the platform, and write its objects to the replica."""

    def __init__(
        self, store: ObjectStore, replica: Replica, timers: Timers, random: Random
    ):
        self.replica = replica
        self.timers = timers
        self.watchers = [
            Watcher(store, kind, timers, random, self._on_objects_changed)
            for kind in OBJECT_KINDS
        ]
        self.watching = False

    async def read(self) -> bool:
        """Read all kinds once; return whether the platform answered each."""
        for watcher in self.watchers:
            if not await watcher.read():
                return False
        return True

    def start(self) -> None:
        """Watch all kinds."""
        self.watching = True
        for watcher in self.watchers:
            watcher.start()

    def stop(self) -> None:
        """Stop all watches."""
        self.watching = False
        for watcher in self.watchers:
            watcher.stop()

    def find_object(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as last read, or None."""
        watcher = next(w for w in self.watchers if w.kind == kind)
        return watcher.objects.get(name)

    @property
    def failing(self) -> bool:
        """Return whether any watch fails."""
        return self.watching and any(w.failing for w in self.watchers)

    def contact_age_s(self) -> float:
        """Return the time since the platform last answered, infinite if never."""
        times = [w.last_contact for w in self.watchers if w.last_contact is not None]
        return self.timers.seconds() - max(times) if times else float("inf")

    def _on_objects_changed(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        try:
            self._write_records(kind, version, objects)
        except SteeringError as error:
            # A malformed object must not replace the last valid one.
            get_logger().error("platform_object_bad", kind=kind, error=error.message)

    def _write_records(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        if kind == "deployment":
            self._write_deployment(objects.get(MAIN))
        elif kind == "rules":
            self._write_rules(objects.get(MAIN))
        elif kind == "instance":
            items = _decode_all(objects, Instance)
            self._write_listings(RecordKind.INSTANCES, InstanceListing, version, items)
        elif kind == "server":
            items = _decode_all(objects, BackendServer)
            self._write_listings(RecordKind.SERVERS, ServerListing, version, items)
        else:
            self._write_client_map(version, objects)

    def _write_deployment(self, stored: StoredObject | None) -> None:
        if stored is None:
            return
        record = DeploymentRecord(_decode(stored.value, Deployment))
        self.replica.write(RecordKind.DEPLOYMENT, MAIN, stored.version, record)

    def _write_rules(self, stored: StoredObject | None) -> None:
        if stored is None:
            return
        rules = _decode(stored.value, RulesObject)
        record = rules_record(rules)
        self.replica.write(RecordKind.RULES, MAIN, rules.revision, record)

    def _write_listings(
        self,
        kind: RecordKind,
        body: type[InstanceListing] | type[ServerListing],
        version: int,
        items: Iterable[Instance | BackendServer],
    ) -> None:
        items_by_domain: dict[str, list[Instance | BackendServer]] = {
            name: [] for name in self.replica.bodies(kind)
        }
        for item in items:
            items_by_domain.setdefault(item.failure_domain, []).append(item)
        for name, domain_items in items_by_domain.items():
            listing = body(tuple(sorted(domain_items, key=lambda item: item.name)))
            # An unchanged listing keeps its version, so that only the listings of
            # changed domains are sent to the peers.
            if listing != self.replica.get(kind, name):
                self.replica.write(kind, name, version, listing)

    def _write_client_map(
        self, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        shards = tuple(
            ShardVersion(name, objects[name].version) for name in sorted(objects)
        )
        self.replica.write(
            RecordKind.CLIENT_MAP, MAIN, version, ClientMapRecord(shards)
        )


def rules_record(rules: RulesObject) -> RulesRecord:
    """Return the part of the platform's rules object that peers exchange."""
    return RulesRecord(
        rules.revision,
        rules.change_id,
        rules.text,
        rules.author,
        rules.reason,
        rules.at,
    )


def _decode(value: Raw, kind: type[T]) -> T:
    return from_json(bytes(value), kind)


def _decode_all(
    objects: Mapping[str, StoredObject], kind: type[Instance] | type[BackendServer]
) -> list[Instance | BackendServer]:
    """Return the usable objects; an odd one doesn't invalidate the others."""
    found = []
    for stored in objects.values():
        try:
            decoded = _decode(stored.value, kind)
        except SteeringError as error:
            _log_odd(stored.name, error.message)
            continue
        if decoded.is_valid():
            found.append(decoded)
        else:
            _log_odd(stored.name, "a name, an address or a number is out of range")
    return found


def _log_odd(name: str, error: str) -> None:
    get_logger().error("platform_object_bad", name=name, error=error)
