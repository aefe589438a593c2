"""Build the routing table for the entry process."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.control.members import LIVENESS_TIMEOUT_S, Members
from ebonybend.control.rules_view import RulesView
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    DomainSummary,
    InstanceRecord,
    LoadRecord,
    RecordKind,
    ServerListing,
)
from ebonybend.peers.suspects import SuspectSet
from ebonybend.steering.table import DomainView, InstanceView, ServerView, Table
from ebonybend.world import BackendServer, Instance, LifeState, ServerState

# Maximum age of a table. A change that must apply at once invalidates it earlier.
MAX_TABLE_AGE_S = 1.0
# Instances of a domain without updates for this time are omitted from lookups.
DOMAIN_TIMEOUT_S = 10.0
KEY_EPOCH_S = 60.0


@frozen
class ProbeView:
    """The last probe result of a backend server."""

    state: ServerState
    in_flight: int
    # Time since the last answered probe; infinite if there was none.
    age_s: float


class ProbeResults(Protocol):
    """Probe results of the local domain's backend servers."""

    def view(self, server: str) -> ProbeView:
        """Return the last probe result of a server."""
        ...


class TableBuilder:
    """Build tables with increasing serials from records, probe results and rules."""

    def __init__(
        self,
        incarnation: int,
        clock: Clock,
        replica: Replica,
        members: Members,
        rules: RulesView,
        suspects: SuspectSet,
        probes: ProbeResults,
    ):
        self.incarnation = incarnation
        self.clock = clock
        self.replica = replica
        self.members = members
        self.rules = rules
        self.suspects = suspects
        self.probes = probes
        # Version of the client map that the entry can fetch from this control.
        self.client_map_version = 0
        self.serial = 0
        self.table: Table | None = None
        self.built_at = 0.0
        self.stale = True
        for kind in (RecordKind.RULES, RecordKind.DEPLOYMENT, RecordKind.INSTANCE):
            replica.add_listener(kind, self._on_record_changed)

    def invalidate(self) -> None:
        """Build a new table at the next request, whatever the age of the last."""
        self.stale = True

    def current_table(self) -> Table | None:
        """Return a table that isn't stale; None while the deployment is unknown."""
        expired = self.clock.monotonic() - self.built_at >= MAX_TABLE_AGE_S
        if self.table is None or self.stale or expired:
            self._build()
        return self.table

    def _on_record_changed(self, _name: str) -> None:
        self.stale = True

    def _build(self) -> None:
        deployment_record = self.replica.get(RecordKind.DEPLOYMENT)
        if deployment_record is None:
            return
        self.stale = False
        self.built_at = self.clock.monotonic()
        self.serial += 1
        self.table = Table(
            self.serial,
            self.incarnation,
            self.rules.revision,
            self.rules.text,
            deployment_record.deployment,
            self.members.failure_domain,
            self.servers(),
            self.instances(),
            self._domain_views(),
            self.suspects.views(),
            self.client_map_version,
        )

    def servers(self) -> tuple[ServerView, ...]:
        """Return the local domain's backend servers."""
        listing = self.replica.get(RecordKind.SERVERS, self.members.failure_domain)
        leaving = set(self.rules.drained("backend"))
        for load in self.members.live_loads().values():
            leaving.update(load.draining)
        items = (listing or ServerListing()).items
        return tuple(self._server_view(item, item.name in leaving) for item in items)

    def _server_view(self, server: BackendServer, leaving: bool) -> ServerView:
        probe = self.probes.view(server.name)
        leaving = leaving or server.state is LifeState.LEAVING
        return ServerView(
            server.name,
            server.service,
            server.address,
            server.slots,
            server.connections,
            ServerState.DRAINING if leaving else probe.state,
            probe.in_flight,
            age_ms(probe.age_s),
        )

    def instances(self) -> tuple[InstanceView, ...]:
        """Return all instances with an instance record, by name."""
        listed = {
            item.name: item
            for listing in self.replica.bodies(RecordKind.INSTANCES).values()
            for item in listing.items
        }
        drained = self.rules.drained("instance")
        loads = self.replica.bodies(RecordKind.LOAD)
        summaries = self.replica.bodies(RecordKind.DOMAIN)
        records = self.replica.bodies(RecordKind.INSTANCE)
        return tuple(
            self._instance_view(
                records[name], listed.get(name), drained, loads, summaries
            )
            for name in sorted(records)
        )

    def _instance_view(
        self,
        record: InstanceRecord,
        listed: Instance | None,
        drained: frozenset[str],
        loads: Mapping[str, LoadRecord],
        summaries: Mapping[str, DomainSummary],
    ) -> InstanceView:
        if record.failure_domain == self.members.failure_domain:
            age_s, revision, epoch = self._local_state(record, loads.get(record.name))
            live = age_s < LIVENESS_TIMEOUT_S
        else:
            summary = summaries.get(record.failure_domain)
            age_s = self.replica.age_s(RecordKind.DOMAIN, record.failure_domain)
            silent = summary is None or record.name in summary.silent
            live = age_s < DOMAIN_TIMEOUT_S and not silent
            revision = summary.revision_of(record.name) if summary else 0
            epoch = self._remote_key_epoch(record)
        is_listed_live = listed is not None and listed.state is LifeState.LIVE
        leaving = record.state is LifeState.LEAVING or record.name in drained
        leaving = leaving or (listed is not None and not is_listed_live)
        return InstanceView(
            record.name,
            record.incarnation,
            record.failure_domain,
            record.public_address,
            record.peer_address,
            record.control_address,
            LifeState.LEAVING if leaving else LifeState.LIVE,
            record.ready and live,
            epoch,
            revision,
            age_ms(age_s),
            is_listed_live,
        )

    def _local_state(
        self, record: InstanceRecord, load: LoadRecord | None
    ) -> tuple[float, int, int]:
        is_own = record.name == self.members.own_name
        age_s = 0.0 if is_own else self.replica.age_s(RecordKind.LOAD, record.name)
        if load is None:
            return age_s, 0, record.key_epoch
        return age_s, load.rules_revision, load.key_epoch

    def _remote_key_epoch(self, record: InstanceRecord) -> int:
        # Ages omit transfer times, so the result is never ahead of the owner's epoch.
        age_s = self.replica.age_s(RecordKind.INSTANCE, record.name)
        return record.key_epoch + int(age_s / KEY_EPOCH_S)

    def _domain_views(self) -> tuple[DomainView, ...]:
        summaries = self.replica.bodies(RecordKind.DOMAIN)
        return tuple(
            DomainView(
                name,
                summaries[name].region,
                summaries[name].services,
                age_ms(self.replica.age_s(RecordKind.DOMAIN, name)),
            )
            for name in sorted(summaries)
        )


def age_ms(age_s: float) -> float:
    """Return an age in whole milliseconds, limited to one day if it is unknown."""
    return float(round(min(age_s, 86_400.0) * 1000))
