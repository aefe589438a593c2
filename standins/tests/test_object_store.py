from testtools import TestCase
from twisted.internet.task import Clock

from standins.object_store import ObjectStore, VersionConflict


class ObjectStoreTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = ObjectStore(self.clock)

    def names(self, kind):
        return [item.name for item in self.store.list(kind).items]

    def test_conditional_write_guards_against_lost_updates(self):
        first = self.store.put("rules", "main", b"1", 0)
        self.store.put("rules", "main", b"2", first.version)
        conflict = self.assertRaises(
            VersionConflict, self.store.put, "rules", "main", b"3", first.version
        )
        self.assertEqual(b"2", bytes(conflict.current.value))

    def test_create_after_delete_expects_version_0(self):
        version = self.store.put("rules", "main", b"1", 0).version
        self.store.delete("rules", "main", version)
        self.assertEqual(0, self.store.get("rules", "main").version)
        self.store.put("rules", "main", b"2", 0)

    def test_version_of_lagging_list_leaves_no_gap(self):
        self.store.set_lag(5.0)
        self.store.put("server", "a", b"1", None)
        self.store.put("rules", "main", b"1", None)
        before = self.store.list("server")
        self.assertEqual((), before.items)
        self.clock.advance(5.0)
        changed = self.store.changes("server", before.version)
        self.assertEqual(["a"], [item.name for item in changed.items])

    def test_lagging_changes_stay_in_order_when_the_lag_ends(self):
        self.store.set_lag(5.0)
        self.store.put("server", "a", b"1", None)
        self.clock.advance(1.0)
        self.store.set_lag(0.0)
        self.store.delete("server", "a", None)
        self.clock.advance(10.0)
        self.assertEqual([], self.names("server"))

    def test_kinds_other_than_lists_do_not_lag(self):
        self.store.set_lag(5.0)
        self.store.put("rules", "main", b"1", None)
        self.assertEqual(["main"], self.names("rules"))

    def test_watch_wakes_once_a_change_is_visible(self):
        self.store.set_lag(5.0)
        woken = []
        self.store.changed("server").addCallback(woken.append)
        self.store.put("server", "a", b"1", None)
        self.assertEqual([], woken)
        self.clock.advance(5.0)
        self.assertEqual([None], woken)
