"""Write the records that this control process owns."""

from collections import defaultdict
from collections.abc import Iterable

from attrs import evolve

from ebonybend.control.entry_link import EntryLink
from ebonybend.control.members import SILENCE_S, Members
from ebonybend.control.platform_feed import PlatformFeed
from ebonybend.control.rules_view import RulesView
from ebonybend.peers.merge import Replica, instance_version
from ebonybend.peers.records import (
    DomainSummary,
    InstanceListing,
    InstanceRecord,
    InstanceRevision,
    LoadRecord,
    RecordKind,
)
from ebonybend.settings import Settings
from ebonybend.steering.table import ServiceLoad, ShiftUsage
from ebonybend.world import LifeState


class OwnRecords:
    """The own instance's records and, as the lowest-named control, the domain's."""

    def __init__(
        self,
        settings: Settings,
        incarnation_s: int,
        replica: Replica,
        members: Members,
        entry: EntryLink,
        rules: RulesView,
        feed: PlatformFeed,
    ):
        self.settings = settings
        self.replica = replica
        self.members = members
        self.entry = entry
        self.rules = rules
        self.feed = feed
        self.first_version = instance_version(incarnation_s, 0)

    def write(self) -> None:
        """Renew all own records."""
        self.write_instance()
        self._write(RecordKind.LOAD, self._load())
        if self.members.is_leader():
            self._write_domain()

    def write_instance(self) -> None:
        """Renew the instance record if anything but its key epoch changed."""
        record = self._instance()
        known = self.replica.get(RecordKind.INSTANCE, self.settings.instance)
        same = known and evolve(known, key_epoch=record.key_epoch) == record
        if not same:
            self._write(RecordKind.INSTANCE, record)

    def _write(self, kind: RecordKind, body: InstanceRecord | LoadRecord) -> None:
        name = self.settings.instance
        # Peers may hold a record of an earlier incarnation whose clock was ahead.
        version = max(self.first_version, self.replica.version(kind, name)) + 1
        self.replica.write(kind, name, version, body, name)

    def _instance(self) -> InstanceRecord:
        report = self.entry.report
        return InstanceRecord(
            self.settings.instance,
            self.settings.failure_domain,
            report.incarnation if report else 0,
            report.public_address if report else "",
            report.peer_address if report else "",
            self.settings.exchange_advertise,
            self._state(),
            self.entry.ready,
            report.key_epoch if report else 0,
        )

    def _state(self) -> LifeState:
        report = self.entry.report
        if report is not None and report.state is LifeState.LEAVING:
            return LifeState.LEAVING
        if self.settings.instance in self.rules.drained("instance"):
            return LifeState.LEAVING
        return LifeState.LIVE

    def _load(self) -> LoadRecord:
        report = self.entry.report
        # The load of a silent entry process is not known any more.
        live = report is not None and self.entry.age_s < SILENCE_S
        return LoadRecord(
            self.settings.instance,
            self.entry.rules_revision,
            report.key_epoch if live else 0,
            report.services if live else (),
            tuple(x.server for x in report.servers if x.draining) if live else (),
            self.feed.failing,
            report.shifts if live else (),
        )

    def _write_domain(self) -> None:
        summary = self.domain_summary()
        name = self.settings.failure_domain
        version = self.replica.version(RecordKind.DOMAIN, name) + 1
        self.replica.write(
            RecordKind.DOMAIN, name, version, summary, self.settings.instance
        )

    def domain_summary(self) -> DomainSummary:
        """Return the summary of the own domain."""
        domain = self.settings.failure_domain
        deployment = self.replica.get(RecordKind.DEPLOYMENT)
        planned = deployment and deployment.deployment.domain(domain)
        loads = self.members.live_loads()
        names = self.members.domain_names()
        revisions = {
            name: loads[name].rules_revision if name in loads else self._last(name)
            for name in names
        }
        newest = self.rules.revision
        listing = self.replica.get(RecordKind.INSTANCES, domain) or InstanceListing()
        listed = {item.name for item in listing.items}
        return DomainSummary(
            domain,
            planned.region if planned else "",
            sum_loads(load.services for load in loads.values()),
            newest,
            tuple(
                InstanceRevision(name, revisions[name])
                for name in names
                if revisions[name] < newest
            ),
            tuple(name for name in names if name in listed and name not in loads),
            self.replica.version(RecordKind.INSTANCES, domain),
            sum_shifts(load.shifts for load in loads.values()),
        )

    def _last(self, name: str) -> int:
        """Return the revision that a silent instance reported last."""
        load = self.replica.get(RecordKind.LOAD, name)
        return load.rules_revision if load else 0


def sum_loads(reports: Iterable[tuple[ServiceLoad, ...]]) -> tuple[ServiceLoad, ...]:
    """Add up the loads of each service; the latency is weighted by slots."""
    by_service: dict[str, list[ServiceLoad]] = defaultdict(list)
    for report in reports:
        for load in report:
            by_service[load.service].append(load)
    return tuple(_sum(name, by_service[name]) for name in sorted(by_service))


def sum_shifts(reports: Iterable[tuple[ShiftUsage, ...]]) -> tuple[ShiftUsage, ...]:
    """Add up what was sent under each shift or cap."""
    totals: dict[str, ShiftUsage] = {}
    for report in reports:
        for usage in report:
            known = totals.get(usage.rule_text, ShiftUsage(usage.rule_text, 0, 0))
            totals[usage.rule_text] = ShiftUsage(
                usage.rule_text, known.sent + usage.sent, known.units + usage.units
            )
    return tuple(totals[text] for text in sorted(totals))


def _sum(service: str, loads: list[ServiceLoad]) -> ServiceLoad:
    slots = sum(load.slots for load in loads)
    in_flight = sum(load.in_flight for load in loads)
    weighted = sum(load.latency_ms * load.slots for load in loads)
    latency = round(weighted / slots, 1) if slots else 0.0
    return ServiceLoad(service, slots, in_flight, latency)
