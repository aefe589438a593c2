"""Connect the parts of a control process and run its periodic tasks."""

from random import Random

from twisted.internet.defer import Deferred

from ebonybend.control.audit import FLUSH_PERIOD_S, AuditQueue
from ebonybend.control.changes import ChangeRecorder
from ebonybend.control.client_map import ClientMapShards
from ebonybend.control.entry_link import EntryMonitor
from ebonybend.control.members import Members
from ebonybend.control.notices import Notices
from ebonybend.control.own_records import OwnRecords
from ebonybend.control.platform_feed import PlatformFeed
from ebonybend.control.prober import PROBE_PERIOD_S, Connect, Prober
from ebonybend.control.rules_view import RulesView
from ebonybend.control.status import StatusReporter
from ebonybend.control.table_builder import TableBuilder
from ebonybend.control.where import Explainer
from ebonybend.logs import get_logger
from ebonybend.peers.exchange import PeerExchange, PeerTransport
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import (
    InstanceRevision,
    RecordKind,
    ServerListing,
    SuspectRecord,
)
from ebonybend.peers.suspects import SuspectSet
from ebonybend.settings import Settings
from ebonybend.steering.suspects import SuspectView
from ebonybend.steering.table import (
    EntryReport,
    NoticeReply,
    NoticeRequest,
    TableReply,
)
from ebonybend.store.audit_log import AuditLog
from ebonybend.store.client import ObjectStore
from ebonybend.store.rules_store import RulesObject, RulesStore
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import ReactorClock, Tasks, Timers
from ebonybend.world import ServerState

RECORD_PERIOD_S = 1.0
WATCH_CHECK_PERIOD_S = 0.5
# Maximum time for which the reply to an entry waits until its crash report is sent on.
SUSPECT_PUSH_TIMEOUT_S = 0.3
# Maximum time for which the reply to a peer waits until the local entry process has
# the peer's suspects. Half of the time that the peer waits, so that a terminated entry
# process delays no other instance.
ENTRY_INFORM_TIMEOUT_S = 0.15
# Maximum duration of the entry's long poll for a notice.
MAX_NOTICE_WAIT_S = 5.0


class ControlCore:
    """One control process without its ports and signal handlers."""

    def __init__(
        self,
        settings: Settings,
        started_at: float,
        timers: Timers,
        random: Random,
        store: ObjectStore,
        transport: PeerTransport,
        connect: Connect,
    ):
        clock = ReactorClock(timers)
        self.settings = settings
        self.store = store
        self.transport = transport
        self.timers = timers
        self.random = random
        self.tasks = Tasks(timers)
        self.synchronised = False
        # True after the first stop signal.
        self.stopping = False
        # Fingerprints that the last report listed as cleared.
        self.cleared: frozenset[str] = frozenset()
        self.replica = Replica(clock)
        self.suspects = SuspectSet(clock)
        self.rules = RulesView(self.replica)
        self.members = Members(settings.instance, settings.failure_domain, self.replica)
        self.entry = EntryMonitor(clock)
        self.feed = PlatformFeed(store, self.replica, timers, random)
        self.exchange = PeerExchange(
            settings.instance,
            settings.failure_domain,
            self.replica,
            self.suspects,
            transport,
            self.members.peers,
            settings.seeds,
            timers,
            random,
        )
        self.prober = Prober(clock, connect, self._on_server_state_changed)
        self.builder = TableBuilder(
            int(started_at * 1000),
            clock,
            self.replica,
            self.members,
            self.rules,
            self.suspects,
            self.prober,
        )
        self.own_records = OwnRecords(
            settings,
            int(started_at),
            self.replica,
            self.members,
            self.entry,
            self.rules,
            self.feed,
        )
        self.status = StatusReporter(
            self.replica,
            self.members,
            self.rules,
            self.entry,
            self.feed,
            self.builder,
        )
        self.shards = ClientMapShards(
            self.replica,
            self.members,
            store,
            transport,
            lambda name: self.feed.find_object("clientmap", name),
            timers,
            random,
        )
        self.shards.on_complete = self._on_client_map_complete
        audit_log = AuditLog(store)
        self.audit = AuditQueue(audit_log, settings.instance)
        self.rules_store = RulesStore(
            store, audit_log, timers, random, self._known_rules
        )
        self.changes = ChangeRecorder(self.members, self.builder, self.audit)
        self.explainer = Explainer(clock, self.rules, self.shards)
        self.notices = Notices(timers)
        self.exchange.on_suspects_changed = self._on_suspects_changed
        self.replica.add_listener(RecordKind.RULES, self._on_rules_changed)
        self.replica.add_listener(RecordKind.SERVERS, self._on_servers_listed)

    async def synchronise(self) -> None:
        """Read the platform and the peers; retry until one of them has answered."""
        backoff = Backoff(self.random)
        while not self.synchronised and not self.tasks.stopped:
            if await self._synchronise_once():
                self.synchronised = True
                self.exchange.ready = True
                get_logger().info("synchronised", revision=self.rules.revision)
                return
            await self.tasks.sleep(backoff.next())

    async def _synchronise_once(self) -> bool:
        """Read all sources, so that the newest reachable revision is found."""
        self.own_records.write_instance()
        exchanging = Deferred.fromCoroutine(self.exchange.synchronise())
        platform_read = await self.feed.read()
        ready_peers = await exchanging
        # The platform's list or the first replies may have named more peers.
        ready_peers += await self.exchange.synchronise()
        has_deployment = self.replica.get(RecordKind.DEPLOYMENT) is not None
        return has_deployment and (platform_read or ready_peers > 0)

    def start(self) -> None:
        """Start the periodic tasks; call after synchronise."""
        self.tasks.repeat(RECORD_PERIOD_S, self._update)
        self.tasks.repeat(WATCH_CHECK_PERIOD_S, self._update_watch)
        self.tasks.repeat(PROBE_PERIOD_S, self.prober.run_round)
        self.tasks.repeat(FLUSH_PERIOD_S, self.audit.flush)

    def stop(self) -> None:
        """Stop all tasks."""
        self.tasks.stop()
        self.exchange.tasks.stop()
        self.shards.tasks.stop()
        self.rules_store.tasks.stop()
        self.feed.stop()

    async def handle_entry_report(self, report: EntryReport) -> TableReply:
        """Record the entry's report and return the table if the entry lacks it."""
        changed = self.entry.record_report(report)
        if changed:
            self._write_records()
            self.exchange.push_load()
        if self._merge_suspects(report):
            self.builder.invalidate()
            await self._push_suspects()
        return self._build_reply(report)

    async def wait_for_notice(self, request: NoticeRequest) -> NoticeReply:
        """Return when the entry process should report, or after a maximum wait."""
        count = await self.notices.wait_for_notice(request.taken, MAX_NOTICE_WAIT_S)
        return NoticeReply(count)

    async def wait_until_entry_informed(self) -> None:
        """Wait until the entry process has the peers' suspects, or until a timeout."""
        await self.notices.wait_until_delivered(ENTRY_INFORM_TIMEOUT_S)

    def _on_suspects_changed(self) -> None:
        self.builder.invalidate()
        self.notices.post()

    def _build_reply(self, report: EntryReport) -> TableReply:
        if not self.synchronised or report.rules_revision > self.rules.revision:
            # The entry refuses a table with an older revision.
            return TableReply(age_ms=self._age_ms())
        table = self.builder.current_table()
        if table is None:
            return TableReply(age_ms=self._age_ms())
        reported = (report.table_control_incarnation, report.table_serial)
        if reported == (table.control_incarnation, table.serial):
            table = None
        self.notices.mark_delivered()
        return TableReply(table, self._age_ms())

    def _age_ms(self) -> float:
        """Return the age of the newest update from probes, peers or the platform."""
        contacts = self.exchange.last_contacts.values()
        ages = [
            self.prober.last_answer_age_s(),
            self.feed.contact_age_s(),
            *(self.timers.seconds() - time for time in contacts),
        ]
        return round(min(min(ages), 86_400.0) * 1000)

    def _merge_suspects(self, report: EntryReport) -> bool:
        changes = [
            self.suspects.merge(_suspect_record(view)) for view in report.suspects
        ]
        self.changes.record_refusals(
            {x.fingerprint for x in report.suspects if x.refused}
        )
        # Each report repeats what was cleared, also after a later crash elsewhere.
        cleared = frozenset(report.cleared)
        changes += [self.suspects.clear(name) for name in cleared - self.cleared]
        self.cleared = cleared
        return any(changes)

    async def _push_suspects(self) -> None:
        push = self.exchange.push_suspects(everywhere=True)
        timeout = self.tasks.sleep(SUSPECT_PUSH_TIMEOUT_S)
        done: Deferred[None] = Deferred()
        for event in (push, timeout):
            event.addBoth(lambda _: None if done.called else done.callback(None))
        await done
        timeout.cancel()

    def traffic(self) -> dict[str, int]:
        """Return counts of calls and bytes since the start, by name."""
        return {
            name: getattr(part, name)
            for part, name in (
                (self.store, "platform_calls"),
                (self.transport, "peer_bytes_sent"),
                (self.transport, "peer_bytes_received"),
            )
            if hasattr(part, name)
        }

    async def _update(self) -> None:
        self.suspects.expire()
        self._write_records()
        self.changes.record_changes()
        self.exchange.run_round()

    def _write_records(self) -> None:
        """Write this control's records; push changed revisions in force at once."""
        before = self._revisions_in_force()
        self.own_records.write()
        if self.members.is_leader() and self._revisions_in_force() != before:
            self.exchange.push_rules()

    def _revisions_in_force(self) -> tuple[int | InstanceRevision, ...] | None:
        summary = self.replica.get(RecordKind.DOMAIN, self.settings.failure_domain)
        return summary and (summary.rules_revision, *summary.behind)

    async def _update_watch(self) -> None:
        should_watch = self.members.should_watch()
        if should_watch == self.feed.watching:
            return
        get_logger().info("watch_duty", watching=should_watch)
        if should_watch:
            self.feed.start()
        else:
            self.feed.stop()

    def _known_rules(self) -> RulesObject:
        record = self.rules.record
        if record is None:
            return RulesObject()
        return RulesObject(
            record.revision,
            record.change_id,
            record.text,
            record.author,
            record.reason,
            record.at,
        )

    def _on_client_map_complete(self) -> None:
        self.builder.client_map_version = self.shards.version
        self.builder.invalidate()

    def _on_rules_changed(self, _name: str) -> None:
        get_logger().info("rules_revision", revision=self.rules.revision)
        self.suspects.pardon(self.rules.pardoned())

    def _on_servers_listed(self, name: str) -> None:
        if name != self.settings.failure_domain:
            return
        listing: ServerListing = self.replica.get(RecordKind.SERVERS, name)
        self.prober.set_servers(listing.items)
        self.builder.invalidate()

    def _on_server_state_changed(self, server: str, state: ServerState) -> None:
        get_logger().info("server_state", server=server, state=state.value)
        self.builder.invalidate()


def _suspect_record(view: SuspectView) -> SuspectRecord:
    return SuspectRecord(
        view.fingerprint,
        view.crashes,
        view.refused,
        view.age_ms,
        servers=view.servers,
    )
