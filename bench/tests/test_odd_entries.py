import json
from time import monotonic, sleep

from testscenarios import TestWithScenarios

from bench.node_fleet import server_object
from bench.tests.fleet_case import FleetCase

NODES = ("kingston-a-1", "kingston-b-1", "montego-a-1")
DRAIN_LIMIT_S = 2.5
DEPTH = 5000


NESTED = "[" * DEPTH + "]" * DEPTH
# Nearly as large as the store allows.
LARGE = 1_000_000
LARGE_NESTED = "[" * (LARGE // 2) + "]" * (LARGE // 2)
LARGE_UNREADABLE = '["\\ud800"' + ',""' * (LARGE // 3) + "]"


def entry(**changes):
    """Return the JSON text of a server's entry with some fields replaced."""
    value = server_object("history", "kingston-a", "127.0.0.1:9")
    for name, changed in changes.items():
        target = next(x for x in (value, value["Info"], value["Status"]) if name in x)
        target[name] = changed
    return json.dumps(value)


def with_extra(text):
    """Return the JSON text of a server's entry with an unknown field."""
    return entry()[:-1] + f', "Extra": {text}' + "}"


MEMBERS = "ebonybend-nodes"
MEMBER = {
    "name": "odd",
    "failure_domain": "kingston-a",
    "region": "kingston",
    "callers_address": "127.0.0.1:9",
    "peer_address": "127.0.0.1:99999",
    "incarnation": 1,
}


class OddEntryTest(TestWithScenarios, FleetCase):
    """Guards against nodes that end, or stop following a list with an odd entry."""

    scenarios = [
        ("nested", {"text": with_extra(NESTED)}),
        ("surrogate", {"text": with_extra('"\\ud800"')}),
        ("port out of range", {"text": entry(Addr="127.0.0.1:99999")}),
        ("port of many digits", {"text": entry(Addr="127.0.0.1:" + "1" * 5000)}),
        ("slots of many digits", {"text": entry(MaxConcurrency=10**400)}),
        ("start of many digits", {"text": entry(born=10**400)}),
        ("nested, of 1 MB", {"text": with_extra(LARGE_NESTED)}),
        ("unreadable, of 1 MB", {"text": with_extra(LARGE_UNREADABLE)}),
        ("nested entry of a node, of 1 MB", {"text": LARGE_NESTED, "kind": MEMBERS}),
        (
            "address of a node",
            {"text": json.dumps(MEMBER), "kind": MEMBERS},
        ),
        (
            "nested entry of a node",
            {"text": NESTED, "kind": MEMBERS},
        ),
        ("nested evacuation", {"text": NESTED, "kind": "evacuations"}),
        ("nested configuration", {"text": NESTED, "kind": "config"}),
        (
            "nested checkpoint",
            {"text": NESTED, "kind": "ebonybend-kept", "name": "kingston"},
        ),
        (
            "nested refused requests",
            {"text": NESTED, "kind": "ebonybend-refused", "name": "all"},
        ),
    ]
    kind = "servers"
    name = "odd"

    def test_nodes_go_on(self):
        self.state.put_raw(self.kind, self.name, self.text)
        # The first requests find nodes that read the entry.
        statuses = {self.send(node) for node in NODES for _ in range(2)}
        self.assertEqual({200}, statuses, self.errors)
        sleep(1.0)
        leaving = [s for s in self.fleet.servers.values() if s.zone == "kingston-a"]
        for server in leaving:
            self.fleet.set_state(server, "draining")
        left_at = monotonic()
        # One node reads the entry in a list, the others in a change.
        self.fleet.processes.kill(NODES[0])
        self.fleet.processes.restart(NODES[0])
        self.fleet.wait_until(self.fleet.all_ready, 10.0)
        sleep(max(left_at + DRAIN_LIMIT_S - monotonic(), 0.0))
        statuses = {self.send(node) for node in NODES for _ in range(20)}
        self.assertEqual({200}, statuses, self.errors)
        late = [
            at - left_at
            for server in leaving
            for at, _ in server.endpoint.arrived
            if at > left_at + DRAIN_LIMIT_S
        ]
        self.assertEqual([], late)
        self.assertEqual([], self.fleet.processes.crashes)
        for text in ("Traceback", "step_failed"):
            self.assertEqual([], self.fleet.log_lines(NODES, text))
        # Each still hears from the others.
        listed = {len(self.fleet.listed_nodes(n, "kingston-a")) for n in NODES}
        self.assertEqual({2}, listed)
