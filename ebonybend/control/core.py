"""The state of one control process and its loops, without ports or signals."""

from random import Random

from twisted.internet.defer import Deferred

from ebonybend.control.audit import FLUSH_PERIOD_S, AuditQueue
from ebonybend.control.changes import ChangeNotes
from ebonybend.control.client_map import ClientMapShards
from ebonybend.control.entry_link import EntryLink
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
DUTY_PERIOD_S = 0.5
# The entry waits this long at most until its crash notice is sent on.
SUSPECT_PUSH_S = 0.3
# A peer's notice is answered once the own entry has it, or after this time; half of
# what the peer waits, so that an entry that is gone delays nobody else.
ENTRY_INFORMED_S = 0.15
# Longest time for which the entry's call for a notice is held.
NOTICE_HOLD_S = 5.0


class ControlCore:
    """Everything that one control process knows and does."""

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
        # Set from the first stop signal on.
        self.stopping = False
        self.cleared: frozenset[str] = frozenset()
        self.replica = Replica(clock)
        self.suspects = SuspectSet(clock)
        self.rules = RulesView(self.replica)
        self.members = Members(settings.instance, settings.failure_domain, self.replica)
        self.entry = EntryLink(clock)
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
        self.prober = Prober(clock, connect, self._server_changed)
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
            lambda name: self.feed.stored("clientmap", name),
            timers,
            random,
        )
        self.shards.on_complete = self._client_map_complete
        audit_log = AuditLog(store)
        self.audit = AuditQueue(audit_log, settings.instance)
        self.rules_store = RulesStore(
            store, audit_log, timers, random, self._rules_in_force
        )
        self.changes = ChangeNotes(self.members, self.builder, self.audit)
        self.explainer = Explainer(clock, self.rules, self.shards)
        self.notices = Notices(timers)
        self.exchange.on_suspects = self._suspects_told
        self.replica.listen(RecordKind.RULES, self._rules_changed)
        self.replica.listen(RecordKind.SERVERS, self._servers_listed)

    async def synchronise(self) -> None:
        """Read the platform and the peers until one of them has answered."""
        backoff = Backoff(self.random)
        while not self.synchronised and not self.tasks.stopped:
            if await self._synchronise_once():
                self.synchronised = True
                self.exchange.ready = True
                get_logger().info("synchronised", revision=self.rules.revision)
                return
            await self.tasks.sleep(backoff.next())

    async def _synchronise_once(self) -> bool:
        """Ask every source, so that no newer revision within reach is missed."""
        self.own_records.write_instance()
        asking = Deferred.fromCoroutine(self.exchange.synchronise())
        read = await self.feed.read()
        ready_peers = await asking
        # The platform's list or the first peers may have named more peers.
        ready_peers += await self.exchange.synchronise()
        planned = self.replica.get(RecordKind.DEPLOYMENT) is not None
        return planned and (read or ready_peers > 0)

    def start(self) -> None:
        """Start the loops; call once synchronised."""
        self.tasks.repeat(RECORD_PERIOD_S, self._renew)
        self.tasks.repeat(DUTY_PERIOD_S, self._check_duty)
        self.tasks.repeat(PROBE_PERIOD_S, self.prober.round)
        self.tasks.repeat(FLUSH_PERIOD_S, self.audit.flush)

    def stop(self) -> None:
        """Stop all loops."""
        self.tasks.stop()
        self.exchange.tasks.stop()
        self.shards.tasks.stop()
        self.rules_store.tasks.stop()
        self.feed.stop()

    async def entry_report(self, report: EntryReport) -> TableReply:
        """Take the entry's report and return what it lacks."""
        urgent = self.entry.accept(report)
        if urgent:
            self._write_records()
            self.exchange.push_load()
        if self._take_suspects(report):
            self.builder.hurry()
            await self._push_suspects()
        return self._reply(report)

    async def notice(self, request: NoticeRequest) -> NoticeReply:
        """Answer the entry process when it should report, or after a time."""
        told = await self.notices.wait_told(request.taken, NOTICE_HOLD_S)
        return NoticeReply(told)

    async def entry_informed(self) -> None:
        """Return once the entry process is given what peers told, or after a time."""
        await self.notices.wait_taken(ENTRY_INFORMED_S)

    def _suspects_told(self) -> None:
        self.builder.hurry()
        self.notices.tell()

    def _reply(self, report: EntryReport) -> TableReply:
        if not self.synchronised or report.rules_revision > self.rules.revision:
            # A table with an older revision would be refused by the entry.
            return TableReply(age_ms=self._age_ms())
        table = self.builder.current()
        if table is None:
            return TableReply(age_ms=self._age_ms())
        known = (report.table_control_incarnation, report.table_serial)
        if known == (table.control_incarnation, table.serial):
            table = None
        self.notices.take()
        return TableReply(table, self._age_ms())

    def _age_ms(self) -> float:
        """Return the age of the newest update from probes, peers or the platform."""
        contacts = self.exchange.contacts.values()
        ages = [
            self.prober.newest_age_s(),
            self.feed.contact_age_s(),
            *(self.timers.seconds() - time for time in contacts),
        ]
        return round(min(min(ages), 86_400.0) * 1000)

    def _take_suspects(self, report: EntryReport) -> bool:
        changes = [self.suspects.merge(_suspect(view)) for view in report.suspects]
        self.changes.refusals({x.fingerprint for x in report.suspects if x.refused})
        # A report repeats what was cleared, also after a later crash elsewhere.
        cleared = frozenset(report.cleared)
        changes += [self.suspects.clear(name) for name in cleared - self.cleared]
        self.cleared = cleared
        return any(changes)

    async def _push_suspects(self) -> None:
        sent = self.exchange.push_suspects(everywhere=True)
        waited = self.tasks.sleep(SUSPECT_PUSH_S)
        done: Deferred[None] = Deferred()
        for event in (sent, waited):
            event.addBoth(lambda _: None if done.called else done.callback(None))
        await done
        waited.cancel()

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

    async def _renew(self) -> None:
        self.suspects.expire()
        self._write_records()
        self.changes.compare()
        self.exchange.round()

    def _write_records(self) -> None:
        """Renew the own records; tell others at once which revision is in force."""
        before = self._in_force()
        self.own_records.write()
        if self.members.is_leader() and self._in_force() != before:
            self.exchange.push_rules()

    def _in_force(self) -> tuple[int | InstanceRevision, ...] | None:
        summary = self.replica.get(RecordKind.DOMAIN, self.settings.failure_domain)
        return summary and (summary.rules_revision, *summary.behind)

    async def _check_duty(self) -> None:
        should_watch = self.members.should_watch()
        if should_watch == self.feed.watching:
            return
        get_logger().info("watch_duty", watching=should_watch)
        if should_watch:
            self.feed.start()
        else:
            self.feed.stop()

    def _rules_in_force(self) -> RulesObject:
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

    def _client_map_complete(self) -> None:
        self.builder.client_map_version = self.shards.version
        self.builder.hurry()

    def _rules_changed(self, _name: str) -> None:
        get_logger().info("rules_revision", revision=self.rules.revision)
        self.suspects.pardon(self.rules.pardoned())

    def _servers_listed(self, name: str) -> None:
        if name != self.settings.failure_domain:
            return
        listing: ServerListing = self.replica.get(RecordKind.SERVERS, name)
        self.prober.set_servers(listing.items)
        self.builder.hurry()

    def _server_changed(self, server: str, state: ServerState) -> None:
        get_logger().info("server_state", server=server, state=state.value)
        self.builder.hurry()


def _suspect(view: SuspectView) -> SuspectRecord:
    return SuspectRecord(
        view.fingerprint,
        view.crashes,
        view.refused,
        view.age_ms,
        servers=view.servers,
    )
