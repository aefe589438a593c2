"""Which control processes of the failure domain are alive, and who does what."""

from attrs import frozen

from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    InstanceListing,
    InstanceRecord,
    LoadRecord,
    RecordKind,
)

# A control that renewed its load record within this time is alive.
SILENCE_S = 3.0


@frozen
class Peer:
    """Where another control process is reached."""

    name: str
    failure_domain: str
    address: str


class Members:
    """The instances of all failure domains as records and lists name them."""

    def __init__(self, own: str, failure_domain: str, replica: Replica):
        self.own = own
        self.failure_domain = failure_domain
        self.replica = replica
        self._peers: tuple[Peer, ...] | None = None
        for kind in (RecordKind.INSTANCE, RecordKind.INSTANCES):
            replica.listen(kind, self._forget)

    def is_live(self, name: str) -> bool:
        """Return whether a control of the own domain is alive."""
        return name == self.own or self.replica.age_s(RecordKind.LOAD, name) < SILENCE_S

    def live_loads(self) -> dict[str, LoadRecord]:
        """Return the load records of the live controls of the own domain."""
        loads = self.replica.bodies(RecordKind.LOAD)
        return {name: load for name, load in loads.items() if self.is_live(name)}

    def is_leader(self) -> bool:
        """Return whether this is the lowest-named live control of its domain."""
        return self.own <= min(self.live_loads(), default=self.own)

    def should_watch(self) -> bool:
        """Return whether this control watches the platform for its domain.

        A control watches when each live control with a lower name fails to.
        """
        loads = self.live_loads().items()
        return all(load.watch_failing for name, load in loads if name < self.own)

    def peers(self) -> tuple[Peer, ...]:
        """Return all known controls but the own, by name."""
        if self._peers is None:
            self._peers = self._find_peers()
        return self._peers

    def domain_names(self) -> tuple[str, ...]:
        """Return the names of the own domain's listed and known instances."""
        listing = self.replica.get(RecordKind.INSTANCES, self.failure_domain)
        names = {self.own, *self.live_loads()}
        names.update(item.name for item in (listing or InstanceListing()).items)
        return tuple(sorted(names))

    def _forget(self, _name: str) -> None:
        self._peers = None

    def _find_peers(self) -> tuple[Peer, ...]:
        found: dict[str, Peer] = {}
        for listing in self.replica.bodies(RecordKind.INSTANCES).values():
            for item in listing.items:
                found[item.name] = Peer(
                    item.name, item.failure_domain, item.control_address
                )
        # A replaced instance tells its new address before the list shows it.
        records: dict[str, InstanceRecord] = self.replica.bodies(RecordKind.INSTANCE)
        for name, record in records.items():
            found[name] = Peer(name, record.failure_domain, record.control_address)
        found.pop(self.own, None)
        return tuple(found[name] for name in sorted(found))
