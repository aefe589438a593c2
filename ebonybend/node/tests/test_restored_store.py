from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.tests.simulated_region import (
    CONTACT_S,
    IN_FORCE_S,
    KIND,
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
        ("no relay reaches the store at first", {"cut_relays": True}),
        ("fewer revisions than before", {"writes": 1}),
        ("no change", {"writes": 0}),
        ("a region without relays", {"nodes": 4}),
    ]
    cut = 0
    cut_relays = False
    writes = 20
    nodes = 12

    def test_all_have_the_new_history(self):
        region = Region(nodes=self.nodes)
        copy = region.memory.copy()
        for number in range(8):
            region.change(f"lost-{number}")
        region.run(IN_FORCE_S)
        readers = [n for n in region.nodes.values() if n.store.is_following()]
        cut = readers[: self.cut] + (region.relays() if self.cut_relays else [])
        region.set_down(True)
        region.run(1.0)
        region.memory.restore(copy)
        for number in range(self.writes):
            region.change(f"new-{number}")
        region.set_down(False)
        for node in cut:
            node.client.down = True
        region.run(CONTACT_S)
        names = {"first", *(f"new-{number}" for number in range(self.writes))}
        for node in region.nodes.values():
            if node not in cut or self.cut:
                self.assertEqual(names, set(node.watcher.objects), node.relays.own_name)
        region.change("later")
        region.run(IN_FORCE_S)
        for node in region.nodes.values():
            if node not in cut or self.cut:
                self.assertIn("later", node.watcher.objects)
        self.assertEqual({KIND}, set(node.watchers))
