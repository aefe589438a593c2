from random import Random

from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.store.tests.memory_store import MemoryStore, StoreClient
from ebonybend.store.watcher import MAX_BACKOFF_S, Backoff, Watcher


def _fail(*_arguments):
    raise ValueError("not applicable")


class WatcherTest(TestCase):
    """Guards against changes that a watch misses, and against too many calls."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.memory = MemoryStore(self.clock)
        self.client = StoreClient(self.memory)
        self.seen = []
        self.watcher = Watcher(
            self.client,
            "rules",
            self.clock,
            Random(1),
            lambda _kind, _version, objects: self.seen.append(sorted(objects)),
        )

    def run_for(self, seconds):
        self.clock.pump([0.01] * int(seconds / 0.01))

    def test_reports_changes_and_deletions(self):
        self.memory.write("rules", "a", b"1")
        self.watcher.start()
        self.run_for(0.1)
        self.memory.write("rules", "b", b"2")
        self.run_for(0.1)
        self.memory.write("rules", "a", b"null", deleted=True)
        self.run_for(0.1)
        self.assertEqual([["a"], ["a", "b"], ["b"]], self.seen)

    def test_resumes_from_its_version_after_an_outage(self):
        self.memory.write("rules", "a", b"1")
        self.watcher.start()
        self.run_for(0.1)
        self.client.down = True
        self.run_for(30)
        self.memory.write("rules", "b", b"2")
        calls = self.client.calls
        self.assertTrue(self.watcher.failing)
        self.client.down = False
        self.run_for(MAX_BACKOFF_S + 2.5)
        self.assertFalse(self.watcher.failing)
        self.assertEqual([["a"], ["a", "b"]], self.seen)
        self.assertLess(calls, 12)

    def test_resumes_after_a_stop(self):
        self.watcher.start()
        self.run_for(0.1)
        self.watcher.stop()
        self.memory.write("rules", "a", b"1")
        self.run_for(1)
        self.watcher.start()
        self.run_for(0.1)
        self.assertEqual(["a"], self.seen[-1])

    def test_reads_everything_when_versions_go_back(self):
        self.memory.write("rules", "a", b"1")
        self.memory.write("rules", "a", b"2")
        self.watcher.start()
        self.run_for(0.1)
        self.memory.objects.clear()
        self.memory.version = 0
        self.memory.write("rules", "b", b"3")
        self.run_for(15)
        self.assertEqual(["b"], self.seen[-1])

    def test_reads_everything_when_revisions_are_given_out_again(self):
        self.memory.era = 1
        self.memory.write("rules", "a", b"1")
        self.watcher.start()
        self.run_for(0.1)
        copy = self.memory.copy()
        self.memory.write("rules", "b", b"2")
        self.memory.write("rules", "c", b"2")
        self.run_for(0.1)
        self.memory.restore(copy)
        self.memory.write("rules", "a", b"null", deleted=True)
        self.memory.write("rules", "d", b"3")
        self.memory.write("rules", "e", b"3")
        self.run_for(15)
        self.assertEqual(["d", "e"], self.seen[-1])
        self.assertEqual((2, 4), (self.watcher.era, self.watcher.newest_version))

    def test_relays_all_objects_to_readers_of_another_era(self):
        self.memory.era = 2
        self.memory.write("rules", "a", b"1")
        self.watcher.start()
        self.run_for(0.1)
        for since, era in ((9, 1), (1, 1), (0, 3)):
            found = self.watcher.changes_since(since, era)
            self.assertEqual((True, 2, 1), (found.complete, found.era, found.version))
        for era in (2, 0):
            self.assertEqual((), self.watcher.changes_since(1, era).items)

    def test_continues_after_a_change_that_cannot_be_applied(self):
        self.memory.write("rules", "a", b"1")
        self.watcher.start()
        self.run_for(0.1)
        apply, self.watcher.on_change = self.watcher.on_change, _fail
        self.memory.write("rules", "b", b"2")
        self.run_for(0.1)
        self.watcher.on_change = apply
        self.memory.write("rules", "c", b"3")
        self.run_for(1)
        self.assertEqual(["a", "b", "c"], self.seen[-1])

    def test_idle_watch_costs_few_calls(self):
        self.watcher.start()
        self.run_for(60)
        self.assertLessEqual(self.client.calls, 8)


class BackoffTest(TestCase):
    """Guards against clients that all retry at the same time after an outage."""

    def test_grows_to_a_limit_with_jitter(self):
        first, second = Backoff(Random(1)), Backoff(Random(2))
        delays = [(first.next(), second.next()) for _ in range(10)]
        self.assertTrue(all(a != b for a, b in delays))
        self.assertLessEqual(max(max(pair) for pair in delays), MAX_BACKOFF_S)
        self.assertGreaterEqual(min(delays[-1]), MAX_BACKOFF_S / 2)
