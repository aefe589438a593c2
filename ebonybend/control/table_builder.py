"""Build the routing table for the entry process."""

from collections.abc import Mapping
from typing import Protocol

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.control.members import SILENCE_S, Members
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

# What must be known at once asks for a new table; the rest is renewed each second.
TABLE_PERIOD_S = 1.0
# A domain without updates for this time serves no look-ups.
DOMAIN_SILENCE_S = 10.0
KEY_EPOCH_S = 60.0


@frozen
class ProbeView:
    """What probes last found on a backend server."""

    state: ServerState
    in_flight: int
    # Time since the last answered probe; infinite without one.
    age_s: float


class Probes(Protocol):
    """The results of probing the own domain's backend servers."""

    def view(self, server: str) -> ProbeView:
        """Return what is known of a server."""
        ...


class TableBuilder:
    """Combine records, probes and rules into tables with growing serials."""

    def __init__(
        self,
        incarnation: int,
        clock: Clock,
        replica: Replica,
        members: Members,
        rules: RulesView,
        suspects: SuspectSet,
        probes: Probes,
    ):
        self.incarnation = incarnation
        self.clock = clock
        self.replica = replica
        self.members = members
        self.rules = rules
        self.suspects = suspects
        self.probes = probes
        # Version of the client map that the entry can fetch from here.
        self.client_map_version = 0
        self.serial = 0
        self.table: Table | None = None
        self.built_at = 0.0
        self.urgent = True
        for kind in (RecordKind.RULES, RecordKind.DEPLOYMENT, RecordKind.INSTANCE):
            replica.listen(kind, self._changed)

    def hurry(self) -> None:
        """Build a new table at the next request, however young the last is."""
        self.urgent = True

    def current(self) -> Table | None:
        """Return a table that is at most TABLE_PERIOD_S old, None without a plan."""
        old = self.clock.monotonic() - self.built_at >= TABLE_PERIOD_S
        if self.table is None or self.urgent or old:
            self._build()
        return self.table

    def _changed(self, _name: str) -> None:
        self.urgent = True

    def _build(self) -> None:
        planned = self.replica.get(RecordKind.DEPLOYMENT)
        if planned is None:
            return
        self.urgent = False
        self.built_at = self.clock.monotonic()
        self.serial += 1
        self.table = Table(
            self.serial,
            self.incarnation,
            self.rules.revision,
            self.rules.text,
            planned.deployment,
            self.members.failure_domain,
            self.servers(),
            self.instances(),
            self._domains(),
            self.suspects.views(),
            self.client_map_version,
        )

    def servers(self) -> tuple[ServerView, ...]:
        """Return the own domain's backend servers."""
        listing = self.replica.get(RecordKind.SERVERS, self.members.failure_domain)
        leaving = set(self.rules.drained("backend"))
        for load in self.members.live_loads().values():
            leaving.update(load.draining)
        items = (listing or ServerListing()).items
        return tuple(self._server(item, item.name in leaving) for item in items)

    def _server(self, server: BackendServer, leaving: bool) -> ServerView:
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
        """Return all instances that have told their addresses, by name."""
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
            self._instance(records[name], listed.get(name), drained, loads, summaries)
            for name in sorted(records)
        )

    def _instance(
        self,
        record: InstanceRecord,
        listed: Instance | None,
        drained: frozenset[str],
        loads: Mapping[str, LoadRecord],
        summaries: Mapping[str, DomainSummary],
    ) -> InstanceView:
        if record.failure_domain == self.members.failure_domain:
            age_s, revision, epoch = self._near(record, loads.get(record.name))
            live = age_s < SILENCE_S
        else:
            summary = summaries.get(record.failure_domain)
            age_s = self.replica.age_s(RecordKind.DOMAIN, record.failure_domain)
            silent = summary is None or record.name in summary.silent
            live = age_s < DOMAIN_SILENCE_S and not silent
            revision = summary.revision_of(record.name) if summary else 0
            epoch = self._far_epoch(record)
        listed_live = listed is not None and listed.state is LifeState.LIVE
        leaving = record.state is LifeState.LEAVING or record.name in drained
        leaving = leaving or (listed is not None and not listed_live)
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
            listed_live,
        )

    def _near(
        self, record: InstanceRecord, load: LoadRecord | None
    ) -> tuple[float, int, int]:
        own = record.name == self.members.own
        age_s = 0.0 if own else self.replica.age_s(RecordKind.LOAD, record.name)
        if load is None:
            return age_s, 0, record.key_epoch
        return age_s, load.rules_revision, load.key_epoch

    def _far_epoch(self, record: InstanceRecord) -> int:
        # Ages leave out transfer times, so the result is never ahead of the owner's.
        age_s = self.replica.age_s(RecordKind.INSTANCE, record.name)
        return record.key_epoch + int(age_s / KEY_EPOCH_S)

    def _domains(self) -> tuple[DomainView, ...]:
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
    """Return an age in whole milliseconds; an unknown age is a day."""
    return float(round(min(age_s, 86_400.0) * 1000))
