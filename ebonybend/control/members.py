"""Track which control processes are live, and which of them leads or watches."""

from attrs import frozen

from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    InstanceListing,
    InstanceRecord,
    LoadRecord,
    RecordKind,
)

# A control is live if its load record was renewed within this time.
LIVENESS_TIMEOUT_S = 3.0


@frozen
class Peer:
    """Name, failure domain and address of another control process."""

    name: str
    failure_domain: str
    address: str


class Members:
    """Instances of all failure domains, from records and the platform's lists."""

    def __init__(self, own_name: str, failure_domain: str, replica: Replica):
        self.own_name = own_name
        self.failure_domain = failure_domain
        self.replica = replica
        self._peers: tuple[Peer, ...] | None = None
        for kind in (RecordKind.INSTANCE, RecordKind.INSTANCES):
            replica.add_listener(kind, self._invalidate_peers)

    def is_live(self, name: str) -> bool:
        """Return whether a control of the local domain is live."""
        return (
            name == self.own_name
            or self.replica.age_s(RecordKind.LOAD, name) < LIVENESS_TIMEOUT_S
        )

    def live_loads(self) -> dict[str, LoadRecord]:
        """Return the load records of the live controls of the local domain."""
        loads = self.replica.bodies(RecordKind.LOAD)
        return {name: load for name, load in loads.items() if self.is_live(name)}

    def is_leader(self) -> bool:
        """Return whether this is the lowest-named live control of its domain."""
        return self.own_name <= min(self.live_loads(), default=self.own_name)

    def should_watch(self) -> bool:
        """Return whether this control watches the platform for its domain.

        A control watches if the watch of each live control with a lower name fails.
        """
        loads = self.live_loads().items()
        return all(load.watch_failing for name, load in loads if name < self.own_name)

    def peers(self) -> tuple[Peer, ...]:
        """Return all known controls except this one, by name."""
        if self._peers is None:
            self._peers = self._find_peers()
        return self._peers

    def local_instance_names(self) -> tuple[str, ...]:
        """Return the names of the local domain's listed and live instances."""
        listing = self.replica.get(RecordKind.INSTANCES, self.failure_domain)
        names = {self.own_name, *self.live_loads()}
        names.update(item.name for item in (listing or InstanceListing()).items)
        return tuple(sorted(names))

    def _invalidate_peers(self, _name: str) -> None:
        self._peers = None

    def _find_peers(self) -> tuple[Peer, ...]:
        found: dict[str, Peer] = {}
        for listing in self.replica.bodies(RecordKind.INSTANCES).values():
            for item in listing.items:
                found[item.name] = Peer(
                    item.name, item.failure_domain, item.control_address
                )
        # The record of a replaced instance has its new address before the list does.
        records: dict[str, InstanceRecord] = self.replica.bodies(RecordKind.INSTANCE)
        for name, record in records.items():
            found[name] = Peer(name, record.failure_domain, record.control_address)
        found.pop(self.own_name, None)
        return tuple(found[name] for name in sorted(found))
