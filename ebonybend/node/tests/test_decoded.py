from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.decoded import DecodedObjects
from ebonybend.store.client import StoredObject


class DecodedObjectsTest(TestWithScenarios, TestCase):
    """Guards against an odd entry that is read again with each change of others."""

    scenarios = [
        ("the same version", {"version": 1, "reads": ["a", "odd"]}),
        ("a later version", {"version": 2, "reads": ["a", "odd", "odd"]}),
        (
            "the same version of another era",
            {"era": 2, "reads": ["a", "odd", "a", "odd"]},
        ),
        ("cleared", {"clears": True, "reads": ["a", "odd", "a", "odd"]}),
    ]
    version = 1
    era = 1
    clears = False

    def test_reads(self):
        reads = []

        def decode(stored):
            reads.append(stored.name)
            return None if stored.name == "odd" else stored.version

        decoded = DecodedObjects(decode)
        objects = {name: StoredObject(name, 1) for name in ("a", "odd")}
        self.assertEqual({"a": 1}, decoded.update(1, objects))
        if self.clears:
            decoded.clear()
        objects["odd"] = StoredObject("odd", self.version)
        self.assertEqual({"a": 1}, decoded.update(self.era, objects))
        self.assertEqual(self.reads, reads)
