"""The state that a node watches in the store: routing, servers, evacuations, nodes."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from ebonybend.logs import get_logger
from ebonybend.node.decoded import DecodedObjects
from ebonybend.node.lag import LagDetector
from ebonybend.node.members import Members, NodeHeartbeat
from ebonybend.node.relayed_store import RelayedStore
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.settings import NodeSettings
from ebonybend.node.wire import Documents
from ebonybend.steering.lapsed import ExpiredServers
from ebonybend.steering.restored import (
    ENTRY_LIFETIME_S,
    HeldEvacuations,
    RestoredServers,
)
from ebonybend.steering.server_state import ServerTable
from ebonybend.store.availability import Outage
from ebonybend.store.client import StoredObject
from ebonybend.store.era import UNKNOWN_ERA
from ebonybend.store.watcher import OnChange, Watcher
from ebonybend.world import BackendServer

# Added to the retention time of expired servers before the list is evaluated again.
EXPIRY_MARGIN_S = 0.05
# Under which the lag detector compares eras, beside the kinds of objects.
ERA = "era"
# Index of the servers' watcher.
SERVERS_INDEX = 1
# Long, because each answer without a change costs a call; a dead watch is detected by
# keep-alive probes and by other nodes' heartbeats.
MAX_WATCH_S = 25.0
# Limits the calls to a store with a very short history.
MIN_WATCH_S = 1.0
# Fraction of the store's history after which a watch ends, so that the next one resumes
# from a version that the store still has.
HISTORY_FRACTION = 0.8
MS_PER_S = 1000
# Bounds the delay until a recovered store is noticed; changes must take effect within
# 2.5 s.
MAX_BACKOFF_S = 0.8


def _do_nothing() -> None:
    """Do nothing."""


class WatchedState:
    """Watch the store's objects and apply each change."""

    def __init__(
        self,
        store: RelayedStore,
        documents: Documents,
        reactor: Any,
        random: Random,
        routing: RoutingState,
        servers: ServerTable,
        members: Members,
        settings: Callable[[], NodeSettings],
        on_routing: Callable[[], None],
        on_server_list: Callable[[Mapping[str, BackendServer]], None],
        on_change: Callable[[], None] = _do_nothing,
        is_following: Callable[[], bool] = lambda: False,
        on_new_era: Callable[[], None] = _do_nothing,
    ):
        self.documents = documents
        self.reactor = reactor
        self.routing = routing
        self.servers = servers
        self.members = members
        self.settings = settings
        self.on_routing = on_routing
        self.on_server_list = on_server_list
        # Called after each change that was read.
        self.on_change = on_change
        # Returns whether changes are read from relays and not from the store.
        self.is_following = is_following
        self.eras = store.eras
        self.eras.on_change = self._schedule_new_era
        # Called when the store came back from an older copy.
        self.on_new_era = on_new_era
        self.availability = store.availability
        self.availability.on_return = self.on_store_return
        self.expired_servers = ExpiredServers()
        self.restored_servers = RestoredServers()
        self.held_evacuations = HeldEvacuations(reactor.seconds)
        # Era of the last list of each kind that was applied.
        self.applied_eras: dict[str, int] = {}
        self.lag_detector = LagDetector()
        self.decoded_servers = DecodedObjects(self._decode_server)
        self.decoded_members = DecodedObjects(documents.decode_member)
        self.watchers = [
            Watcher(
                store,
                kind,
                reactor,
                random,
                self._notifying(apply),
                MAX_BACKOFF_S,
                self._watch_timeout_ms(),
            )
            for kind, apply in (
                (documents.config_kind, self.on_config),
                (documents.servers_kind, self.on_servers),
                (documents.evacuations_kind, self.on_evacuations),
                (documents.members_kind, self.on_members),
            )
        ]
        self.watchers_by_kind = {watcher.kind: watcher for watcher in self.watchers}

    def _watch_timeout_ms(self) -> int:
        history_s = self.settings().store_history_s
        watch_s = max(MIN_WATCH_S, min(MAX_WATCH_S, HISTORY_FRACTION * history_s))
        return int(watch_s * MS_PER_S)

    def apply_settings(self) -> None:
        """Apply changed settings to the next watches, and to all servers."""
        for watcher in self.watchers:
            watcher.watch_timeout_ms = self._watch_timeout_ms()
        self.redecode_servers()

    def _notifying(self, apply: OnChange) -> OnChange:
        def apply_and_notify(
            kind: str, version: int, objects: Mapping[str, StoredObject]
        ) -> None:
            apply(kind, version, objects)
            self.on_change()

        return apply_and_notify

    def start(self) -> None:
        """Watch the store until stopped."""
        for watcher in self.watchers:
            watcher.start()

    def stop(self) -> None:
        """Stop watching the store."""
        for watcher in self.watchers:
            watcher.stop()

    def is_synchronised(self) -> bool:
        """Return whether routing, servers and evacuations are known."""
        listed = all(
            watcher.version is not None or watcher.last_contact is not None
            for watcher in self._request_watchers()
        )
        return listed and self.routing.version is not None

    def resync(self) -> None:
        """Ask the store at once for changes of what requests depend on."""
        for watcher in self._request_watchers():
            watcher.resync()

    def renew_watches(self, lost_at: float, answered_kind: str | None) -> None:
        """Send the watches again that an outage may have lost.

        The watch of answered_kind is about to return its answer.
        """
        for watcher in self.watchers:
            if watcher.kind == answered_kind:
                watcher.record_outage()
            else:
                watcher.renew(lost_at)

    def is_current_since(self, time: float) -> bool:
        """Return whether the store, or a relay, has answered all of it since a time."""
        return all(
            watcher.last_contact is not None and watcher.last_contact >= time
            for watcher in self._request_watchers()
        )

    def _request_watchers(self) -> list[Watcher]:
        """Return the watchers of routing, servers and evacuations."""
        return self.watchers[: SERVERS_INDEX + 2]

    def newest_versions(self) -> dict[str, int]:
        """Return the newest version of an object of each kind."""
        return {watcher.kind: watcher.newest_version for watcher in self.watchers}

    def store_contact_s(self) -> float:
        """Return for how long the store has been available to this node.

        It is 0 if changes are read from relays.
        """
        return 0.0 if self.is_following() else self.availability.available_s()

    def versions_to_relay(self) -> dict[str, int] | None:
        """Return the versions read from the store; None if this node is no relay."""
        if not self.is_synchronised() or self.is_following():
            return None
        versions = {w.kind: w.version for w in self.watchers if not w.failing}
        known = {kind: v for kind, v in versions.items() if v is not None}
        return known if len(known) == len(self.watchers) else None

    def apply_heartbeat(self, heartbeat: NodeHeartbeat) -> None:
        """Compare the versions known here with those in a heartbeat.

        Lists a kind again if the version here stays older than the reported one. Drops
        expired servers early if the other node's contact with the store shows that
        they were removed.
        """
        now = self.reactor.seconds()
        is_same_era = heartbeat.era in (UNKNOWN_ERA, self.eras.current)
        is_held = self.expired_servers.remaining_s(now) > 0
        if heartbeat.followed_s and is_held and is_same_era:
            self.expired_servers.record_store_available_since(
                now - heartbeat.followed_s
            )
            if not self.expired_servers.remaining_s(now):
                self.reapply_servers()
        if UNKNOWN_ERA not in (heartbeat.era, self.era) and heartbeat.era != self.era:
            self._compare_era(heartbeat, now)
            return
        for watcher in self.watchers:
            reported = heartbeat.newest.get(watcher.kind, 0)
            # A list doesn't contain the newest change if that was a deletion, but it is
            # complete up to its own version.
            own = max(watcher.newest_version, watcher.last_version)
            if self.lag_detector.should_relist(watcher.kind, own, reported, now):
                get_logger().warning(
                    "watch_behind",
                    kind=watcher.kind,
                    newest=watcher.newest_version,
                    told=reported,
                    peer=heartbeat.name,
                )
                watcher.resync()

    def _compare_era(self, heartbeat: NodeHeartbeat, now: float) -> None:
        """Ask the store at once if another node stays in a later era.

        Only the store, or a relay, states an era that counts.
        """
        known = self.eras.current
        if self.lag_detector.should_relist(ERA, known, heartbeat.era, now):
            get_logger().warning(
                "era_behind", era=known, told=heartbeat.era, peer=heartbeat.name
            )
            for watcher in self.watchers:
                watcher.resync()

    def on_config(
        self, _kind: str, _version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Apply the routing configuration."""
        stored = objects.get(self.documents.config_name)
        if stored is None:
            return
        config = self.documents.decode_config(stored)
        if config is None:
            get_logger().error("config_not_readable", version=stored.version)
            return
        if self.routing.apply(config):
            self.on_routing()

    def on_servers(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Apply the list of backend servers."""
        era = self.watchers_by_kind[kind].era
        listed = self.decoded_servers.update(era, objects)
        previous = self.servers.states
        now = self.reactor.seconds()
        known = {name: state.server for name, state in previous.items()}
        if self._enters_era(kind):
            self._hold_servers(known, listed, objects)
        versions = {name: stored.version for name, stored in objects.items()}
        listed = self.restored_servers.merge(known, listed, versions, now)
        servers = self.expired_servers.merge(known, listed, now)
        missing = servers.keys() - listed.keys()
        if missing:
            get_logger().info("servers_kept", missing=sorted(missing))
            self.reactor.callLater(
                self.expired_servers.remaining_s(now) + EXPIRY_MARGIN_S,
                self.reapply_servers,
            )
        self.servers.update(servers, now)
        self.on_server_list(servers)
        for name, server in servers.items():
            known = previous.get(name)
            if known is None or known.server.state is not server.state:
                get_logger().info(
                    "server_listed",
                    server=name,
                    state=server.state.value,
                    service=server.service,
                    domain=server.failure_domain,
                    cold_s=server.cold_for_s,
                    revision=version,
                )
        for name in previous.keys() - servers.keys():
            get_logger().info("server_gone", server=name, revision=version)

    def _hold_servers(
        self,
        known: Mapping[str, BackendServer],
        listed: Mapping[str, BackendServer],
        objects: Mapping[str, StoredObject],
    ) -> None:
        """Hold what was known of servers before the store was restored."""
        now = self.reactor.seconds()
        settle_s = self.settings().bounds.settle_s
        self.expired_servers.record_store_recovery(now, now, settle_s)
        versions = {name: stored.version for name, stored in objects.items()}
        gone = self.servers.unlisted_servers()
        self.restored_servers.begin_era(known, gone, listed, versions, now)
        if self.restored_servers.outdated:
            outdated = sorted(self.restored_servers.outdated)
            get_logger().info("restored_entries_not_used", servers=outdated)
            self.reactor.callLater(
                ENTRY_LIFETIME_S + EXPIRY_MARGIN_S, self.reapply_servers
            )

    def _decode_server(self, stored: StoredObject) -> BackendServer | None:
        """Return a server, or None if its entry can't be used."""
        server = self.documents.decode_server(stored, self.settings().regions)
        if server is None:
            get_logger().warning(
                "server_entry_not_used", server=stored.name, revision=stored.version
            )
        return server

    def redecode_servers(self) -> None:
        """Decode all servers again, because the regions of failure domains changed."""
        self.decoded_servers.clear()
        self.reapply_servers()

    @property
    def era(self) -> int:
        """Return the era of all versions known here; 0 if they are of several."""
        eras = {watcher.era for watcher in self.watchers}
        return eras.pop() if len(eras) == 1 else UNKNOWN_ERA

    def _schedule_new_era(self) -> None:
        # The call whose answer showed it has to end first.
        self.reactor.callLater(0, self._begin_era)

    def _enters_era(self, kind: str) -> bool:
        """Return whether the objects of a kind are the first of a later era."""
        era = self.watchers_by_kind[kind].era
        before = self.applied_eras.get(kind, era)
        self.applied_eras[kind] = era
        return before != era

    def _begin_era(self) -> None:
        """List all kinds again, because the store came back from an older copy."""
        self.availability.record_restored()
        for watcher in self.watchers:
            if watcher.era != self.eras.current:
                watcher.begin_era()
        self.on_new_era()

    def on_store_return(self, outage: Outage) -> None:
        """Retain servers whose entries expired in an outage of the store."""
        settle_s = self.settings().bounds.settle_s
        self.expired_servers.record_store_recovery(
            outage.ended_at, outage.lost_at, settle_s
        )

    def reapply_servers(self) -> None:
        """Apply the last list of servers again, without servers that stayed expired."""
        watcher = self.watchers[SERVERS_INDEX]
        if watcher.version is None:
            return
        self.on_servers(watcher.kind, watcher.newest_version, watcher.objects)

    def on_evacuations(
        self, kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Apply the list of evacuated failure domains."""
        if self._enters_era(kind):
            settle_s = self.settings().bounds.settle_s
            self.held_evacuations.begin_era(self.servers.evacuated, objects, settle_s)
            if self.held_evacuations.until:
                held = sorted(self.held_evacuations.until)
                get_logger().info("evacuations_kept", domains=held)
                self.reactor.callLater(
                    settle_s + EXPIRY_MARGIN_S, self.reapply_evacuations
                )
        domains = self.held_evacuations.merge(objects)
        cold_s = {name: s.cold_s for name, s in self.routing.services.items()}
        if domains != self.servers.evacuated:
            get_logger().info("evacuations", domains=sorted(domains), revision=version)
        self.servers.set_evacuated(domains, cold_s, self.reactor.seconds())

    def reapply_evacuations(self) -> None:
        """Apply the last list of evacuations again, without those that were held."""
        watcher = self.watchers_by_kind[self.documents.evacuations_kind]
        if watcher.version is not None:
            self.on_evacuations(watcher.kind, watcher.version, watcher.objects)

    def on_members(
        self, kind: str, _version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Apply the list of nodes."""
        era = self.watchers_by_kind[kind].era
        decoded = self.decoded_members.update(era, objects)
        found = {member.name: member for member in decoded.values()}
        self.members.update_list(found, self.reactor.seconds())
