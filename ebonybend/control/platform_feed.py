"""Turn the platform's objects into records."""

from collections.abc import Iterable, Mapping
from random import Random

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

KINDS = ("deployment", "rules", "instance", "server", "clientmap")


class PlatformFeed:
    """Read and watch the platform, and write what it holds into the replica."""

    def __init__(
        self, store: ObjectStore, replica: Replica, timers: Timers, random: Random
    ):
        self.replica = replica
        self.timers = timers
        self.watchers = [
            Watcher(store, kind, timers, random, self._changed) for kind in KINDS
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
        """Watch nothing."""
        self.watching = False
        for watcher in self.watchers:
            watcher.stop()

    def stored(self, kind: str, name: str) -> StoredObject | None:
        """Return an object as it was last read."""
        watcher = next(w for w in self.watchers if w.kind == kind)
        return watcher.objects.get(name)

    @property
    def failing(self) -> bool:
        """Return whether any watch gets no answer."""
        return self.watching and any(w.failing for w in self.watchers)

    def contact_age_s(self) -> float:
        """Return the time since the platform last answered."""
        times = [w.last_contact for w in self.watchers if w.last_contact is not None]
        return self.timers.seconds() - max(times) if times else float("inf")

    def _changed(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        try:
            self._write(kind, version, objects)
        except SteeringError as error:
            # A malformed object must not displace the last good one.
            get_logger().error("platform_object_bad", kind=kind, error=error.message)

    def _write(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        if kind == "deployment":
            self._write_deployment(objects.get(MAIN))
        elif kind == "rules":
            self._write_rules(objects.get(MAIN))
        elif kind == "instance":
            items = _decoded(objects, Instance)
            self._write_listings(RecordKind.INSTANCES, InstanceListing, version, items)
        elif kind == "server":
            items = _decoded(objects, BackendServer)
            self._write_listings(RecordKind.SERVERS, ServerListing, version, items)
        else:
            self._write_client_map(version, objects)

    def _write_deployment(self, stored: StoredObject | None) -> None:
        if stored is None:
            return
        record = DeploymentRecord(_value(stored.value, Deployment))
        self.replica.write(RecordKind.DEPLOYMENT, MAIN, stored.version, record)

    def _write_rules(self, stored: StoredObject | None) -> None:
        if stored is None:
            return
        rules = _value(stored.value, RulesObject)
        record = rules_record(rules)
        self.replica.write(RecordKind.RULES, MAIN, rules.revision, record)

    def _write_listings(
        self,
        kind: RecordKind,
        body: type[InstanceListing] | type[ServerListing],
        version: int,
        items: Iterable[Instance | BackendServer],
    ) -> None:
        domains: dict[str, list[Instance | BackendServer]] = {
            name: [] for name in self.replica.bodies(kind)
        }
        for item in items:
            domains.setdefault(item.failure_domain, []).append(item)
        for name, found in domains.items():
            listing = body(tuple(sorted(found, key=lambda item: item.name)))
            # A listing keeps its version while its domain does not change, so that
            # only the domain that changed is sent to the peers.
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


def _value(value: Raw, kind: type) -> object:
    return from_json(bytes(value), kind)


def _decoded(objects: Mapping[str, StoredObject], kind: type) -> list:
    found = []
    for stored in objects.values():
        try:
            found.append(_value(stored.value, kind))
        except SteeringError as error:
            get_logger().error(
                "platform_object_bad", name=stored.name, error=error.message
            )
    return found
