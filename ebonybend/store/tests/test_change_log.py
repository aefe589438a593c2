from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from ebonybend.store.change_log import MAX_DELETIONS, ChangeLog
from ebonybend.store.client import StoredObject
from ebonybend.tests.profile import REPEATABLE

# A write or a deletion of one of a few objects, and whether a reader reads after it.
STEPS = st.lists(st.tuples(st.sampled_from("abc"), st.booleans(), st.booleans()))


class ChangeLogTest(TestCase):
    """Guards against readers that miss a change or keep a deleted object."""

    @REPEATABLE
    @given(STEPS, st.integers(0, 10))
    def test_reader_has_the_same_objects(self, steps, first_read):
        log, objects, version = ChangeLog(), {}, 0
        log.restart(version)
        copy, read_version = {}, 0
        for number, (name, is_deletion, reads) in enumerate(steps):
            version += 1
            if is_deletion:
                if objects.pop(name, None):
                    log.record_deletion(name, version)
            else:
                objects[name] = StoredObject(name, version)
            if not reads or number < first_read:
                continue
            changes = log.changes_since(read_version, version, objects)
            for item in changes.items:
                if item.deleted:
                    copy.pop(item.name, None)
                else:
                    copy[item.name] = item
            read_version = changes.version
            self.assertEqual(objects, copy)

    def test_unknown_history_is_not_served(self):
        log = ChangeLog()
        self.assertIsNone(log.changes_since(1, 5, {}))
        log.restart(3)
        self.assertIsNone(log.changes_since(2, 5, {}))
        self.assertIsNotNone(log.changes_since(3, 5, {}))

    def test_dropped_deletions_are_not_served(self):
        log = ChangeLog()
        log.restart(0)
        for version in range(1, MAX_DELETIONS + 3):
            log.record_deletion(f"s{version}", version)
        self.assertIsNone(log.changes_since(1, MAX_DELETIONS + 2, {}))
        changes = log.changes_since(2, MAX_DELETIONS + 2, {})
        self.assertEqual(MAX_DELETIONS, len(changes.items))
