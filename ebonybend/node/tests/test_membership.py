from random import Random

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.codec import to_json
from ebonybend.node.members import Member
from ebonybend.node.membership import OwnEntryWriter
from ebonybend.platform.documents import MEMBERS_KIND, PlatformDocuments
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient, result_of
from ebonybend.tasks import Tasks

OWN = Member("n1", "k-a", "k", "10.1.0.1:80", "10.1.0.1:81", 7)


class ObjectDocuments(PlatformDocuments):
    """Encode values in the form in which the platform's store returns them."""

    def encode_member(self, member):
        """Return a complete object."""
        return to_json({"Metadata": {"Name": member.name}, "Spec": member})


class WriteAgainTest(TestWithScenarios, TestCase):
    """Guards against a node that a restored store doesn't list any more."""

    scenarios = [
        ("lost", {"entry": None, "writes": 2}),
        ("an earlier one", {"entry": b'{"Spec":{"name":"n1"}}', "writes": 3}),
        ("kept", {"entry": b"", "writes": 1}),
    ]

    def test_entry(self):
        store = MemoryStore(Clock())
        documents = ObjectDocuments()
        writer = OwnEntryWriter(StoreClient(store), documents, OWN, Random(1))
        tasks = Tasks(store.clock)
        result_of(store.clock, writer.write(tasks))
        if self.entry != b"":
            store.objects.clear()
        if self.entry:
            store.write(MEMBERS_KIND, OWN.name, self.entry)
        result_of(store.clock, writer.write_again(tasks))
        self.assertEqual(self.writes, len(store.writes))
        stored = store.objects[MEMBERS_KIND, OWN.name]
        self.assertEqual(OWN, documents.decode_member(stored))
