"""The state that a node follows in the store: routing, servers, evacuations, nodes."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from ebonybend.logs import get_logger
from ebonybend.node.lag import LagDetector
from ebonybend.node.members import Beat, Members
from ebonybend.node.routing_state import RoutingState
from ebonybend.node.settings import NodeSettings
from ebonybend.node.wire import Documents
from ebonybend.steering.lapsed import ExpiredServers
from ebonybend.steering.server_state import ServerTable
from ebonybend.store.client import ObjectStore, StoredObject
from ebonybend.store.watcher import Watcher
from ebonybend.world import BackendServer

# Added to the time after which lapsed servers are looked at again.
MARGIN_S = 0.05
# Position of the watch on servers.
SERVERS = 1
# Changes that follow one another within this time are read in one call.
GATHER_S = 0.4
# The same for the list of nodes, which beats tell sooner.
GATHER_NODES_S = 1.0
# Long, because each answer without a change is a call; a dead watch is found by
# keep-alive probes and by other nodes' beats.
WATCH_TIMEOUT_MS = 25_000
# A store that is back is noticed after this time; changes are to be in force 2.5 s
# after they are made.
LONGEST_BACKOFF_S = 0.8


def _ignore() -> None:
    """Do nothing on the return of the store."""


class FollowedState:
    """Follow the store's objects and apply each change."""

    def __init__(
        self,
        store: ObjectStore,
        documents: Documents,
        reactor: Any,
        random: Random,
        routing: RoutingState,
        servers: ServerTable,
        members: Members,
        settings: Callable[[], NodeSettings],
        on_routing: Callable[[], None],
        on_list: Callable[[Mapping[str, BackendServer]], None],
    ):
        self.documents = documents
        self.reactor = reactor
        self.routing = routing
        self.servers = servers
        self.members = members
        self.settings = settings
        self.on_routing = on_routing
        self.on_list = on_list
        self.lapsed = ExpiredServers()
        self.lag = LagDetector()
        # Version of each server's entry, and what it holds.
        self.decoded: dict[str, tuple[int, BackendServer | None]] = {}
        self.watchers = [
            Watcher(
                store,
                kind,
                reactor,
                random,
                on_change,
                batch_delay_s,
                LONGEST_BACKOFF_S,
                WATCH_TIMEOUT_MS,
                on_recovery,
            )
            for kind, on_change, batch_delay_s, on_recovery in (
                (documents.config_kind, self.on_config, GATHER_S, _ignore),
                (documents.servers_kind, self.on_servers, GATHER_S, self.on_recovery),
                (documents.evacuations_kind, self.on_evacuations, GATHER_S, _ignore),
                (documents.members_kind, self.on_members, GATHER_NODES_S, _ignore),
            )
        ]

    def start(self) -> None:
        """Follow the store until stopped."""
        for watcher in self.watchers:
            watcher.start()

    def stop(self) -> None:
        """Follow the store no more."""
        for watcher in self.watchers:
            watcher.stop()

    def is_complete(self) -> bool:
        """Tell whether routing, servers and evacuations are known."""
        listed = all(
            watcher.version is not None or watcher.last_contact is not None
            for watcher in self.watchers[: SERVERS + 2]
        )
        return listed and self.routing.version is not None

    def newest(self) -> dict[str, int]:
        """Return the newest version of an object of each kind."""
        return {watcher.kind: watcher.newest_version for watcher in self.watchers}

    def followed_s(self) -> float:
        """Return the time for which the list of servers was answered; 0 if it isn't."""
        since = self.watchers[SERVERS].available_since
        return 0.0 if since is None else self.reactor.seconds() - since

    def compare(self, beat: Beat) -> None:
        """List anew what another node knows a newer version of, if that lasts.

        Drop missing servers that would be back, had the store been away.
        """
        now = self.reactor.seconds()
        if beat.followed_s and self.lapsed.remaining_s(now):
            self.lapsed.record_store_available_since(now - beat.followed_s)
            if not self.lapsed.remaining_s(now):
                self.relist()
        for watcher in self.watchers:
            told = beat.newest.get(watcher.kind, 0)
            if self.lag.is_behind(watcher.kind, watcher.newest_version, told, now):
                get_logger().warning(
                    "watch_behind",
                    kind=watcher.kind,
                    newest=watcher.newest_version,
                    told=told,
                    peer=beat.name,
                )
                watcher.resync()

    def on_config(
        self, _kind: str, _version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Take in the configuration."""
        stored = objects.get(self.documents.config_name)
        if stored is None:
            return
        config = self.documents.decode_config(stored)
        if config is None:
            get_logger().error("config_not_readable", version=stored.version)
            return
        if self.routing.take(config):
            self.on_routing()

    def on_servers(
        self, _kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Take in the list of backend servers."""
        decoded = (self._decode_server(stored) for stored in objects.values())
        listed = {server.name: server for server in decoded if server is not None}
        self.decoded = {name: self.decoded[name] for name in objects}
        before = self.servers.states
        now = self.reactor.seconds()
        known = {name: state.server for name, state in before.items()}
        servers = self.lapsed.merge(known, listed, now)
        missing = servers.keys() - listed.keys()
        if missing:
            get_logger().info("servers_kept", missing=sorted(missing))
            self.reactor.callLater(self.lapsed.remaining_s(now) + MARGIN_S, self.relist)
        self.servers.update(servers, now)
        self.on_list(servers)
        for name, server in servers.items():
            known = before.get(name)
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
        for name in before.keys() - servers.keys():
            get_logger().info("server_gone", server=name, revision=version)

    def _decode_server(self, stored: StoredObject) -> BackendServer | None:
        """Return a server; only an object that changed is decoded."""
        known = self.decoded.get(stored.name)
        if known is None or known[0] != stored.version:
            regions = self.settings().regions
            server = self.documents.decode_server(stored, regions)
            known = self.decoded[stored.name] = stored.version, server
        return known[1]

    def forget_decoded(self) -> None:
        """Decode all servers anew, because the regions of failure domains changed."""
        self.decoded.clear()
        self.relist()

    def on_recovery(self) -> None:
        """Keep servers in use whose entries lapsed while the store was away."""
        settle_s = self.settings().bounds.settle_s
        unavailable_at = self.watchers[SERVERS].unavailable_at
        self.lapsed.record_store_recovery(
            self.reactor.seconds(), unavailable_at, settle_s
        )

    def relist(self) -> None:
        """Take in the list again, now without the servers that did not return."""
        watcher = self.watchers[SERVERS]
        if watcher.version is None:
            return
        self.on_servers(watcher.kind, watcher.newest_version, watcher.objects)

    def on_evacuations(
        self, _kind: str, version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Take in which failure domains are evacuated."""
        cold_s = {name: s.cold_s for name, s in self.routing.services.items()}
        if frozenset(objects) != self.servers.evacuated:
            get_logger().info("evacuations", domains=sorted(objects), revision=version)
        self.servers.set_evacuated(objects, cold_s, self.reactor.seconds())

    def on_members(
        self, _kind: str, _version: int, objects: Mapping[str, StoredObject]
    ) -> None:
        """Take in the list of nodes."""
        decoded = (self.documents.decode_member(o) for o in objects.values())
        found = {member.name: member for member in decoded if member is not None}
        self.members.update_list(found, self.reactor.seconds())
