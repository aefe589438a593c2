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

    def test_conditional_write_rejects_an_outdated_version(self):
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

    def test_watch_from_version_of_lagging_list_misses_no_change(self):
        self.store.set_lag(5.0)
        self.store.put("server", "a", b"1", None)
        self.store.put("rules", "main", b"1", None)
        listed = self.store.list("server")
        self.assertEqual((), listed.items)
        self.clock.advance(5.0)
        changes = self.store.changes("server", listed.version)
        self.assertEqual(["a"], [item.name for item in changes.items])

    def test_pending_changes_stay_in_order_when_the_lag_ends(self):
        self.store.set_lag(5.0)
        self.store.put("server", "a", b"1", None)
        self.clock.advance(1.0)
        self.store.set_lag(0.0)
        self.store.delete("server", "a", None)
        self.clock.advance(10.0)
        self.assertEqual([], self.names("server"))

    def test_kinds_other_than_instance_and_server_do_not_lag(self):
        self.store.set_lag(5.0)
        self.store.put("rules", "main", b"1", None)
        self.assertEqual(["main"], self.names("rules"))

    def test_watch_returns_when_a_change_becomes_visible(self):
        self.store.set_lag(5.0)
        visible_changes = []
        self.store.next_change("server").addCallback(visible_changes.append)
        self.store.put("server", "a", b"1", None)
        self.assertEqual([], visible_changes)
        self.clock.advance(5.0)
        self.assertEqual([None], visible_changes)
