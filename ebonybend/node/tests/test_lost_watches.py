from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.tests.simulated_region import (
    CONTACT_S,
    IN_FORCE_S,
    KINDS,
    NODES,
    Region,
)

SILENCE_S = 4.0


class LostWatchTest(TestWithScenarios, TestCase):
    """Guards against a watch that a silent store lost and that waits for its timeout.

    Load pattern: objects of each kind change before and during an outage in which the
    store receives calls and answers none, and change again after it.
    """

    scenarios = [
        (f"{name}, {nodes} nodes", {"change_before_s": change_s, "nodes": nodes})
        for nodes in (2, NODES)
        for name, change_s in (
            ("change well before", 2.0),
            ("change just before", 0.2),
            ("change during the outage", -1.0),
        )
    ]

    def test_changes_after_the_outage_are_in_force_in_time(self):
        region = Region(KINDS, nodes=self.nodes)
        before_s = max(self.change_before_s, 0.0)
        if before_s:
            self.change_all(region)
        region.run(before_s)
        self.set_silent(region, True)
        region.run(1.0)
        if not before_s:
            self.change_all(region)
        region.run(SILENCE_S - 1.0)
        self.set_silent(region, False)
        region.run(CONTACT_S - IN_FORCE_S)
        version = self.change_all(region)
        region.run(IN_FORCE_S)
        for name, node in region.nodes.items():
            for kind, watcher in node.watchers.items():
                self.assertGreaterEqual(
                    watcher.newest_version, version[kind], f"{kind} on {name}"
                )

    def change_all(self, region):
        return {kind: region.memory.write(kind, "first", b"2") for kind in KINDS}

    def set_silent(self, region, silent):
        for node in region.nodes.values():
            node.client.silent = silent


class CancelledWatchTest(TestCase):
    """Guards against a call that the node cancels and takes for a lost one."""

    def test_it_renews_no_other_watch(self):
        region = Region(KINDS, nodes=2)
        node = next(iter(region.nodes.values()))
        calls = node.client.calls
        node.watcher.resync()
        region.run(1.0)
        # One call asks at once, and one waits for changes.
        self.assertEqual(calls + 2, node.client.calls)


class DroppedHistoryTest(TestWithScenarios, TestCase):
    """Guards against a node that relays can't tell what it missed, and that waits.

    Load pattern: the store cuts all watches off, drops its history, and goes on; the
    nodes of a large region read from relays that listed all objects again.
    """

    scenarios = [
        (f"away for {seconds} s", {"outage_s": seconds}) for seconds in (0.1, 0.5, 1.5)
    ]

    def test_changes_of_the_gap_are_in_force_in_time(self):
        region = Region(KINDS)
        region.set_down(True)
        version = {kind: region.memory.write(kind, "second", b"2") for kind in KINDS}
        region.memory.history_from = region.memory.version
        region.run(self.outage_s)
        region.set_down(False)
        region.run(CONTACT_S)
        for name, node in region.nodes.items():
            for kind, watcher in node.watchers.items():
                self.assertIn("second", watcher.objects, f"{kind} on {name}")
                self.assertGreaterEqual(watcher.version, version[kind])


class OldVersionTest(TestCase):
    """Guards against a reader whose version is older than the deletions of relays.

    A node that can't reach the store has no other source.
    """

    def test_relays_send_all_objects(self):
        region = Region(KINDS)
        node = next(n for n in region.nodes.values() if n.store.is_following())
        node.silent = node.client.down = True
        region.change("gone")
        region.run(1.0)
        region.change("gone", deleted=True)
        region.change("new")
        region.run(1.0)
        for other in region.nodes.values():
            for watcher in other.watchers.values():
                if other is not node:
                    watcher.change_log.restart(watcher.version)
        node.silent = False
        region.run(IN_FORCE_S)
        self.assertEqual({"first", "new"}, set(node.watcher.objects))
