from random import Random

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.control.client_map import ClientMapObject
from ebonybend.control.platform_feed import rules_record
from ebonybend.control.tests.cluster import Cluster, deployment
from ebonybend.peers.records import MAIN, DeploymentRecord, RecordKind
from ebonybend.steering.suspects import SuspectView
from ebonybend.steering.table import ClientMapRequest, ServerLoad
from ebonybend.store.rules_store import ProposedChange
from ebonybend.world import LifeState, ServerState

TEXT = "# Ana (test): {}\nweights service=rides latency=0.8 headroom=0.2\n"
EVERYWHERE_S = 5.0


def apply(cluster, name, change_id, base=None):
    """Start a change at a control; return the list that gets its result."""
    core = cluster.nodes[name].core
    base = core.rules.revision if base is None else base
    change = ProposedChange(change_id, base, TEXT.format(change_id), "Ana", "test")
    results = []

    def accepted(result):
        results.append(result)
        rules = result.value_or(None)
        if rules is not None:
            record = rules_record(rules)
            core.replica.write(RecordKind.RULES, MAIN, rules.revision, record)

    Deferred.fromCoroutine(core.rules_store.apply(change)).addCallback(accepted)
    return results


class ClusterCase(TestCase):
    def setUp(self):
        super().setUp()
        self.cluster = Cluster()
        self.nodes = self.cluster.nodes

    def change(self, name, change_id="c1"):
        results = apply(self.cluster, name, change_id)
        self.cluster.run_until(lambda: results, 5.0)
        return results[0].unwrap().revision


class SpreadTest(TestWithScenarios, ClusterCase):
    """Guards against an accepted change that stays unknown somewhere."""

    scenarios = [
        ("healthy", {"without_platform": (), "from_node": "k2-a"}),
        (
            "watches cut",
            {
                "without_platform": ("k1-a", "k1-b", "m1-a", "m1-b", "v1-a"),
                "from_node": "k2-a",
            },
        ),
        (
            "one domain cut from the platform",
            {"without_platform": ("m1-a", "m1-b"), "from_node": "k1-a"},
        ),
        (
            "leader cut from the platform",
            {"without_platform": ("k1-a",), "from_node": "v1-a"},
        ),
    ]

    def test_in_force_everywhere_in_time(self):
        self.cluster.start_all()
        for name in self.without_platform:
            self.nodes[name].store.down = True
        self.cluster.run(4.0)
        revision = self.change(self.from_node)
        self.cluster.run_until(lambda: self.cluster.in_force(revision), EVERYWHERE_S)
        for node in self.nodes.values():
            status = node.core.status.status
            self.cluster.run_until(lambda s=status: s().in_force_everywhere, 4.0)


class CutOffTest(ClusterCase):
    """Guards against a cut-off domain that misses a change or goes back."""

    def test_domain_catches_up_after_a_cut(self):
        self.cluster.start_all()
        self.cluster.cut(("m1-a", "m1-b"))
        for name in ("m1-a", "m1-b"):
            self.nodes[name].store.down = True
        revision = self.change("k1-a")
        others = [name for name in self.nodes if not name.startswith("m1")]
        self.cluster.run_until(
            lambda: self.cluster.in_force(revision, others), EVERYWHERE_S
        )
        self.cluster.run(10.0)
        self.assertFalse(self.nodes["k1-a"].core.status.status().in_force_everywhere)
        self.cluster.cuts.clear()
        self.cluster.run_until(lambda: self.cluster.in_force(revision), EVERYWHERE_S)

    def test_a_lower_revision_from_the_platform_is_ignored(self):
        self.cluster.start_all()
        old = bytes(self.cluster.memory.objects.get(("rules", "main"), b"") or b"")
        self.assertEqual(b"", old)
        self.change("k1-a", "c1")
        first = bytes(self.cluster.memory.objects["rules", "main"].value)
        self.change("k1-a", "c2")
        self.cluster.run(2.0)
        self.cluster.memory.write("rules", "main", first)
        self.cluster.run(5.0)
        self.assertTrue(self.cluster.in_force(2))
        self.assertEqual(3, self.change("v1-a", "c3"))


class StartTest(ClusterCase):
    """Guards against a start with an older revision, or without any."""

    def test_not_ready_without_platform_and_peers(self):
        self.nodes["k1-a"].store.down = True
        self.cluster.start("k1-a")
        self.cluster.run(10.0)
        self.assertFalse(self.nodes["k1-a"].core.synchronised)
        self.assertIsNone(self.nodes["k1-a"].entry.table)
        self.nodes["k1-a"].store.down = False
        self.cluster.run(10.0)
        self.assertTrue(self.nodes["k1-a"].core.synchronised)

    def test_two_empty_controls_do_not_confirm_each_other(self):
        for name in ("k1-a", "k1-b"):
            self.nodes[name].store.down = True
            self.cluster.start(name)
        self.cluster.run(10.0)
        self.assertFalse(self.nodes["k1-a"].core.synchronised)

    def test_a_peer_that_has_only_read_the_deployment_is_not_enough(self):
        planned = DeploymentRecord(deployment(self.cluster.domains))
        for name in ("k1-a", "k1-b"):
            self.nodes[name].store.down = True
            self.cluster.start(name)
            core = self.nodes[name].core
            core.replica.write(RecordKind.DEPLOYMENT, MAIN, 1, planned)
        self.cluster.run(10.0)
        self.assertFalse(self.nodes["k1-a"].core.synchronised)
        self.assertFalse(self.nodes["k1-b"].core.synchronised)

    def test_a_peer_is_enough(self):
        self.cluster.start_all()
        revision = self.change("k1-a")
        self.cluster.kill("m1-a")
        for node in self.nodes.values():
            node.store.down = True
        self.nodes["m1-a"].entry.table = None
        self.cluster.run(5.0)
        self.cluster.start("m1-a")
        node = self.nodes["m1-a"]
        self.cluster.run_until(lambda: node.core.synchronised, 5.0)
        self.assertEqual(revision, node.core.rules.revision)
        self.cluster.run(1.0)
        self.assertEqual(3, len(node.entry.table.servers))

    def test_the_newer_revision_of_a_peer_wins_over_the_platform(self):
        self.cluster.start_all()
        self.change("k1-a", "c1")
        first = bytes(self.cluster.memory.objects["rules", "main"].value)
        self.change("k1-a", "c2")
        self.cluster.run(2.0)
        self.cluster.kill("v1-a")
        self.cluster.memory.write("rules", "main", first)
        self.cluster.start("v1-a")
        node = self.nodes["v1-a"]
        self.cluster.run_until(lambda: node.core.synchronised, 5.0)
        self.assertEqual(2, node.core.rules.revision)


class WatchDutyTest(ClusterCase):
    """Guards against a domain without a watch, and against one watch per control."""

    def watching(self, domain="k1"):
        return [
            name
            for name, node in self.nodes.items()
            if node.domain == domain and node.core and node.core.feed.watching
        ]

    def test_one_watch_for_each_domain(self):
        self.cluster.start_all()
        self.assertEqual(["k1-a"], self.watching())
        self.assertEqual(["m1-a"], self.watching("m1"))

    def test_takeover_when_silent(self):
        self.cluster.start_all()
        self.cluster.kill("k1-a")
        spent = self.cluster.run_until(lambda: self.watching() == ["k1-b"], 4.0)
        self.assertGreater(spent, 1.9)
        self.cluster.start("k1-a")
        self.cluster.run(3.0)
        self.assertEqual(["k1-a"], self.watching())

    def test_takeover_when_the_watch_fails(self):
        self.cluster.start_all()
        self.nodes["k1-a"].store.down = True
        self.cluster.run(16.0)
        self.assertEqual(["k1-a", "k1-b"], self.watching())
        self.assertTrue(self.nodes["k1-b"].core.status.status().platform_reachable)


class StatusTest(ClusterCase):
    """Guards against a report of "in force everywhere" that is not true."""

    def test_waits_for_each_entry_process(self):
        self.cluster.start_all()
        self.nodes["m1-b"].entry.deaf = True
        self.change("k1-a")
        self.cluster.run(6.0)
        for node in self.nodes.values():
            status = node.core.status.status()
            self.assertFalse(status.in_force_everywhere)
            self.assertEqual(("m1-b",), status.waiting_for)
        self.nodes["m1-b"].entry.deaf = False
        self.cluster.run(4.0)
        for node in self.nodes.values():
            self.assertTrue(node.core.status.status().in_force_everywhere)

    def test_waits_for_an_instance_that_was_just_listed(self):
        self.cluster.start_all()
        self.change("k1-a")
        self.cluster.run(4.0)
        new = self.nodes["v1-a"]
        new.name, new.address = "v1-z", "127.0.0.1:2999"
        self.cluster.list_instance(new)
        new.name, new.address = "v1-a", "127.0.0.1:2005"
        for _ in range(400):
            self.cluster.run(0.01)
            for node in self.nodes.values():
                status = node.core.status.status()
                if "v1-z" in [instance.name for instance in status.instances]:
                    self.assertFalse(status.in_force_everywhere)
        self.assertEqual(("v1-z",), self.nodes["k1-a"].core.status.waiting_for(1))


class SuspectsTest(ClusterCase):
    """Guards against a crashing request that is tried in the next domain."""

    def test_reaches_all_domains(self):
        self.cluster.start_all()
        entry = self.nodes["k1-b"].entry
        entry.suspects = (SuspectView("f1", 1, False, servers=("s",)),)
        self.cluster.run_until(
            lambda: all(table.suspects for table in self.cluster.tables()), 1.0
        )

    def test_success_lifts_it_everywhere(self):
        self.test_reaches_all_domains()
        self.nodes["k1-b"].entry.suspects = ()
        self.nodes["m1-a"].core.suspects.clear("f1")
        self.cluster.run(4.0)
        self.assertFalse(any(table.suspects for table in self.cluster.tables()))


class ClientMapTest(ClusterCase):
    """Guards against an entry that gets an incomplete or mixed client map."""

    def write(self, number, body):
        self.cluster.write("clientmap", f"{number:04d}", ClientMapObject(body))

    def shards(self, name):
        core = self.nodes[name].core
        version = core.shards.version
        count = core.shards.answer(ClientMapRequest(version, 0)).shards
        requests = [ClientMapRequest(version, number) for number in range(count)]
        return [core.shards.answer(request).body for request in requests]

    def test_changes_reach_all_controls(self):
        self.write(0, b"a")
        self.write(1, b"b")
        self.cluster.start_all()
        self.write(1, b"c")
        self.cluster.run(8.0)
        version = self.nodes["k1-a"].core.shards.version
        for name, node in self.nodes.items():
            self.assertEqual([b"a", b"c"], self.shards(name))
            self.assertEqual(version, node.entry.table.client_map_version)

    def test_a_start_without_platform_gets_it_from_peers(self):
        self.write(0, b"a")
        self.cluster.start_all()
        self.cluster.kill("v1-a")
        for node in self.nodes.values():
            node.store.down = True
        self.cluster.start("v1-a")
        self.cluster.run(15.0)
        self.assertEqual([b"a"], self.shards("v1-a"))

    def test_unknown_shard_has_no_body(self):
        self.cluster.start_all()
        answer = self.nodes["k1-a"].core.shards.answer(ClientMapRequest(1, 5))
        self.assertEqual((0, b""), (answer.shards, answer.body))


class LeavingTest(TestWithScenarios, ClusterCase):
    """Guards against new work on a server that leaves, whoever noticed it first."""

    server = "rides-k1-1"
    scenarios = [
        (source, {"source": source}) for source in ("list", "health", "entry", "rule")
    ]

    def leave(self):
        if self.source == "list":
            self.cluster.list_server(self.server, "k1", LifeState.LEAVING)
        elif self.source == "health":
            self.cluster.servers[self.server].state = "draining"
        elif self.source == "entry":
            load = ServerLoad(self.server, 0, 4, 1.0, draining=True)
            self.nodes["k1-b"].entry.servers = (load,)
        else:
            text = f"# Ben (operations): kernel\ndrain backend={self.server}\n"
            core = self.nodes["k1-a"].core
            change = ProposedChange("c", 0, text, "Ben", "kernel")
            applied = []
            Deferred.fromCoroutine(core.rules_store.apply(change)).addCallback(
                lambda result: applied.append(result.unwrap())
            )
            self.cluster.run_until(lambda: applied, 1.0)

    def states(self):
        return [
            view.state
            for name in ("k1-a", "k1-b")
            for view in self.nodes[name].entry.table.servers
            if view.name == self.server
        ]

    def test_known_to_the_domain_in_time(self):
        self.cluster.start_all()
        self.assertEqual([ServerState.READY] * 2, self.states())
        self.leave()
        self.cluster.run_until(lambda: self.states() == [ServerState.DRAINING] * 2, 3.0)


class RandomFaultsTest(TestWithScenarios, ClusterCase):
    """Guards against revisions that go down, or differ after all faults ended."""

    scenarios = [(f"seed {seed}", {"seed": seed}) for seed in range(6)]

    def test_converges(self):
        random = Random(self.seed)
        self.cluster.start_all()
        for number in range(12):
            self.fault(random, f"c{number}")
            self.cluster.run(random.uniform(0.2, 3.0))
        self.cluster.cuts.clear()
        for name, node in self.nodes.items():
            node.store.down = False
            if node.core is None:
                self.cluster.start(name)
        self.cluster.run(12.0)
        newest = max(node.core.rules.revision for node in self.nodes.values())
        self.assertTrue(self.cluster.in_force(newest))
        for node in self.nodes.values():
            self.assertTrue(node.core.status.status().in_force_everywhere)

    def fault(self, random, change_id):
        name = random.choice(sorted(self.nodes))
        node = self.nodes[name]
        kind = random.choice(["cut", "heal", "platform", "restart", "edit", "edit"])
        if kind == "cut":
            self.cluster.cut((name,))
        elif kind == "heal":
            self.cluster.cuts.clear()
        elif kind == "platform":
            node.store.down = not node.store.down
        elif kind == "restart" and node.core is not None:
            self.cluster.kill(name)
        elif node.core is None:
            self.cluster.start(name)
        elif node.core.synchronised:
            node.store.lose_answers = random.choice([0, 1])
            apply(self.cluster, name, change_id)
