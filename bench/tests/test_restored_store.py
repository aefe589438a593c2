from time import monotonic, sleep

from bench.node_fleet import server_object
from bench.tests.fleet_case import FleetCase
from standins.proxy_rules import ProxyRule

SERVICE, ZONE, REGION_ZONES = "history", "kingston-a", ("kingston-a", "kingston-b")
MEMBERS_KIND = "ebonybend-nodes"
# Documented bounds: until a change is in force, until a leaving server gets no more
# requests, and until a node is up to date after an impairment of the store.
APPLY_LIMIT_S = 2.5
DRAIN_LIMIT_S = 2.5
CONTACT_S = 4.0
AWAY_S = 0.6
# Time after the store's return in which its other writers write again.
REWRITE_S = 1.5


class RestoredStoreTest(FleetCase):
    """Nodes as processes, and a store that comes back from an older copy."""

    # Revisions that the store gives out before a node asks again.
    revisions = 40

    def restore(self, copy, write=lambda: None):
        """Come back from a copy; others write before the nodes reach the store."""
        self.state.error_status = 503
        sleep(AWAY_S)
        self.state.restore(copy)
        write()
        for number in range(self.revisions):
            self.state.put("other", f"o{number}", {})
        self.state.error_status = None

    def send_for(self, seconds):
        until = monotonic() + seconds
        while monotonic() < until:
            for node in self.fleet.nodes:
                self.send(node)
            sleep(0.05)

    def has_config(self, version):
        return all(self.fleet.config_in_force(n) == version for n in self.fleet.nodes)

    def servers(self, *zones):
        return [
            server
            for server in self.fleet.servers.values()
            if server.service == SERVICE and server.zone in zones
        ]

    def late_arrivals(self, servers, since):
        return [
            round(at - since, 2)
            for server in servers
            for at, _ in server.endpoint.arrived
            if at > since
        ]


class ReusedRevisionTest(RestoredStoreTest):
    """Guards against changes that are missed because their revisions are reused.

    The store has given out more revisions than the nodes knew before they ask again.
    """

    def test_changed_configuration(self):
        copy = self.state.copy()
        self.fleet.set_config()
        self.fleet.wait_until(
            lambda: self.has_config(self.fleet.config_version), APPLY_LIMIT_S
        )
        self.restore(copy, self.fleet.set_config)
        self.fleet.wait_until(
            lambda: self.has_config(self.fleet.config_version), APPLY_LIMIT_S
        )

    def test_removed_server(self):
        (server,) = self.servers(ZONE)
        copy = self.state.copy()
        for _ in range(3):
            self.fleet.set_state(server, "ready")
        sleep(1.0)
        self.restore(copy, lambda: self.state.remove("servers", server.name))
        returned_at = monotonic()
        self.send_for(CONTACT_S + 1.0)
        self.assertEqual([], self.late_arrivals([server], returned_at + CONTACT_S))

    def test_same_revision_with_another_content(self):
        (server,) = self.servers(ZONE)
        copy = self.state.copy()
        self.fleet.set_state(server, "ready")
        sleep(1.0)
        self.restore(copy, lambda: self.fleet.set_state(server, "draining"))
        returned_at = monotonic()
        self.send_for(CONTACT_S + 1.0)
        self.assertEqual([], self.late_arrivals([server], returned_at + CONTACT_S))


class OlderCopyTest(RestoredStoreTest):
    """Guards against a copy that is believed over what a node knew."""

    revisions = 0

    def test_leaving_server_is_ready_in_the_copy(self):
        (server,) = self.servers(ZONE)
        copy = self.state.copy()
        self.fleet.set_state(server, "draining")
        sleep(DRAIN_LIMIT_S)
        left_at = monotonic()
        self.restore(copy)
        self.send_for(REWRITE_S)
        self.fleet.set_state(server, "draining")
        self.send_for(1.0)
        self.assertEqual([], self.late_arrivals([server], left_at))

    def test_removed_server_is_listed_in_the_copy(self):
        (server,) = self.servers(ZONE)
        copy = self.state.copy()
        self.state.remove("servers", server.name)
        sleep(DRAIN_LIMIT_S)
        left_at = monotonic()
        self.restore(copy)
        self.send_for(REWRITE_S)
        self.assertEqual([], self.late_arrivals([server], left_at))
        # It lives, and writes again.
        value = server_object(SERVICE, ZONE, server.address)
        self.state.put("servers", server.name, value)
        self.send_for(1.0)
        self.assertNotEqual([], self.late_arrivals([server], left_at))

    def test_evacuation_is_missing_in_the_copy(self):
        copy = self.state.copy()
        self.state.put("evacuations", ZONE, {})
        sleep(DRAIN_LIMIT_S)
        evacuated_at = monotonic()
        self.restore(copy)
        self.send_for(REWRITE_S)
        self.state.put("evacuations", ZONE, {})
        self.send_for(1.0)
        self.assertEqual([], self.late_arrivals(self.servers(ZONE), evacuated_at))
        self.state.remove("evacuations", ZONE)
        self.send_for(2.0)
        self.assertNotEqual([], self.late_arrivals(self.servers(ZONE), evacuated_at))

    def test_entries_of_nodes_are_written_again(self):
        copy = self.state.copy()
        copy.kinds.pop(MEMBERS_KIND)
        self.restore(copy)
        self.fleet.wait_until(
            lambda: (
                self.state.kinds.get(MEMBERS_KIND, {}).keys() == self.fleet.nodes.keys()
            ),
            CONTACT_S,
        )


class RelayedEraTest(RestoredStoreTest):
    """Guards against relays and readers that compare revisions of two histories.

    Load pattern: a region of six nodes, of which one doesn't reach the store.
    """

    nodes_per_zone = 3

    def test_node_without_the_store_gets_the_new_history(self):
        copy = self.state.copy()
        for _ in range(3):
            self.fleet.set_config()
            sleep(0.5)
        self.fleet.wait_until(
            lambda: self.has_config(self.fleet.config_version), APPLY_LIMIT_S
        )
        name = f"{ZONE}-1"
        store = self.fleet.nodes[name].store
        self.fleet.add_rule(ProxyRule(name="cut", target=store, action="cut"))
        self.restore(copy, self.fleet.set_config)
        self.fleet.wait_until(
            lambda: self.has_config(self.fleet.config_version), CONTACT_S
        )
        self.fleet.remove_rule("cut")
        self.fleet.set_config()
        self.fleet.wait_until(
            lambda: self.has_config(self.fleet.config_version),
            CONTACT_S + APPLY_LIMIT_S,
        )
