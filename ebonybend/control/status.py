"""Report what is in force where."""

from collections.abc import Iterable

from ebonybend.control.admin_messages import (
    InstanceStatus,
    ServerStatus,
    ShiftStatus,
    StatusAnswer,
    SuspectStatus,
)
from ebonybend.control.entry_link import EntryLink
from ebonybend.control.members import SILENCE_S, Members
from ebonybend.control.own_records import sum_shifts
from ebonybend.control.platform_feed import PlatformFeed
from ebonybend.control.rules_view import RulesView
from ebonybend.control.table_builder import DOMAIN_SILENCE_S, TableBuilder, age_ms
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    DomainSummary,
    InstanceRecord,
    LoadRecord,
    RecordKind,
)
from ebonybend.rules.model import CapRule, ShiftRule

NEVER_HEARD_MS = -1.0


class StatusReporter:
    """Answer whether the newest revision is in force everywhere."""

    def __init__(
        self,
        replica: Replica,
        members: Members,
        rules: RulesView,
        entry: EntryLink,
        feed: PlatformFeed,
        builder: TableBuilder,
    ):
        self.replica = replica
        self.members = members
        self.rules = rules
        self.entry = entry
        self.feed = feed
        self.builder = builder

    def status(self) -> StatusAnswer:
        """Return the state of the whole system as this control sees it."""
        revision = self.rules.revision
        waiting = self.waiting_for(revision)
        return StatusAnswer(
            revision,
            # Without a list nothing is known about everywhere.
            bool(self._listed()) and not waiting,
            self._instances(),
            self._servers(),
            self._shifts(),
            tuple(
                SuspectStatus(x.fingerprint, x.crashes, x.refused, x.age_ms)
                for x in self.builder.suspects.views()
            ),
            self._platform_reachable(),
            waiting,
        )

    def waiting_for(self, revision: int) -> tuple[str, ...]:
        """Return the listed instances that have not reported a revision in force."""
        return tuple(
            name
            for name, domain in self._listed().items()
            if self._reported(name, domain) < revision
        )

    def _listed(self) -> dict[str, str]:
        """Return the failure domain of each instance that the platform lists."""
        return {
            item.name: domain
            for domain, listing in sorted(
                self.replica.bodies(RecordKind.INSTANCES).items()
            )
            for item in listing.items
        }

    def _reported(self, name: str, domain: str) -> int:
        """Return the revision that a listed instance is known to have in force."""
        if domain == self.members.failure_domain:
            load: LoadRecord | None = self.replica.get(RecordKind.LOAD, name)
            return load.rules_revision if load else 0
        summary: DomainSummary | None = self.replica.get(RecordKind.DOMAIN, domain)
        if summary is None:
            return 0
        if summary.listing_version < self.replica.version(RecordKind.INSTANCES, domain):
            # The summary may not cover an instance that was listed since.
            return 0
        return summary.revision_of(name)

    def _instances(self) -> tuple[InstanceStatus, ...]:
        names = dict(self._listed())
        planned = self.replica.get(RecordKind.DEPLOYMENT)
        if planned is not None:
            for domain in planned.deployment.failure_domains:
                names.update(dict.fromkeys(domain.instances, domain.name))
        return tuple(self._instance(name, names[name]) for name in sorted(names))

    def _instance(self, name: str, domain: str) -> InstanceStatus:
        record: InstanceRecord | None = self.replica.get(RecordKind.INSTANCE, name)
        if record is None:
            return InstanceStatus(name, domain, "unknown", 0, NEVER_HEARD_MS, False)
        age_s, reachable = self._contact(name, domain)
        return InstanceStatus(
            name,
            domain,
            record.state.value,
            self._reported(name, domain),
            age_ms(age_s),
            reachable,
        )

    def _contact(self, name: str, domain: str) -> tuple[float, bool]:
        """Return the time since an instance was heard of, and whether it answers."""
        if name == self.members.own:
            return 0.0, True
        if domain == self.members.failure_domain:
            age_s = self.replica.age_s(RecordKind.LOAD, name)
            return age_s, age_s < SILENCE_S
        summary: DomainSummary | None = self.replica.get(RecordKind.DOMAIN, domain)
        age_s = self.replica.age_s(RecordKind.DOMAIN, domain)
        silent = summary is None or name in summary.silent
        return age_s, age_s < DOMAIN_SILENCE_S and not silent

    def _servers(self) -> tuple[ServerStatus, ...]:
        """Return the own domain's servers; limits are those of the own entry."""
        report = self.entry.report
        limits = {x.server: x.limit for x in report.servers} if report else {}
        return tuple(
            ServerStatus(
                view.name,
                view.service,
                self.members.failure_domain,
                view.state.value,
                view.reported_in_flight,
                limits.get(view.name, 0),
            )
            for view in self.builder.servers()
        )

    def _shifts(self) -> tuple[ShiftStatus, ...]:
        own = self.members.failure_domain
        summaries: Iterable[DomainSummary] = self.replica.bodies(
            RecordKind.DOMAIN
        ).values()
        reports = [x.shifts for x in summaries if x.name != own]
        reports += [load.shifts for load in self.members.live_loads().values()]
        sent = {usage.rule_text: usage.sent for usage in sum_shifts(reports)}
        return tuple(
            ShiftStatus(rule.text, rule.body.cap_per_second, sent.get(rule.text, 0))
            for rule in self.rules.in_force()
            if isinstance(rule.body, ShiftRule | CapRule)
        )

    def _platform_reachable(self) -> bool:
        """Return whether the domain's watch of the platform works."""
        if self.feed.watching:
            return not self.feed.failing
        loads = self.members.live_loads().items()
        return any(
            not load.watch_failing for name, load in loads if name != self.members.own
        )
