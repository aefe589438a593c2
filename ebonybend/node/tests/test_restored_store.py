from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.tests.simulated_region import (
    CONTACT_S,
    IN_FORCE_S,
    KIND,
    KINDS,
    Region,
)


class RestoredStoreTest(TestWithScenarios, TestCase):
    """Guards against nodes that stay in the history before the store was restored.

    Load pattern: a region of 12 nodes, of which most read from relays, while the store
    gives out the revisions again that they know.
    """

    scenarios = [
        ("all reach the store", {}),
        ("a node doesn't reach the store", {"cut": 1}),
        ("no relay reaches the store at first", {"cut_relays": 2}),
        ("several kinds", {"kinds": KINDS}),
        ("several kinds, a node doesn't reach the store", {"kinds": KINDS, "cut": 1}),
        (
            "several kinds, one node reaches the store",
            {"kinds": KINDS, "nodes": 5, "cut": 3, "cut_relays": 1},
        ),
        ("fewer revisions than before", {"writes": 1}),
        ("no change", {"writes": 0}),
        ("a region without relays", {"nodes": 4}),
    ]
    cut = 0
    cut_relays = 0
    writes = 20
    nodes = 12
    kinds = (KIND,)

    def test_all_have_the_new_history(self):
        region = Region(self.kinds, nodes=self.nodes)
        copy = region.memory.copy()
        for number in range(8):
            region.change(f"lost-{number}")
        region.run(IN_FORCE_S)
        readers = [n for n in region.nodes.values() if n.store.is_following()]
        cut = readers[: self.cut] + region.relays()[: self.cut_relays]
        region.set_down(True)
        region.run(1.0)
        region.memory.restore(copy)
        names = {f"new-{number}" for number in range(self.writes)}
        self.write(region, names)
        region.set_down(False)
        for node in cut:
            node.client.down = True
        region.run(CONTACT_S)
        for node in region.nodes.values():
            if node not in cut or self.cut:
                self.assert_objects(node, names)
        self.write(region, ["later"])
        region.run(IN_FORCE_S)
        for node in region.nodes.values():
            if node not in cut or self.cut:
                self.assert_objects(node, {*names, "later"})

    def write(self, region, names):
        for kind in self.kinds:
            for name in names:
                region.memory.write(kind, name, b"2")

    def assert_objects(self, node, names):
        for kind, watcher in node.watchers.items():
            found = set(watcher.objects) - {"first"}
            self.assertEqual(set(names), found, f"{kind} at {node.relays.own_name}")
