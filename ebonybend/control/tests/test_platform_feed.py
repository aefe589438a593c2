from random import Random
from typing import ClassVar

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.clock import ManualClock
from ebonybend.codec import to_json
from ebonybend.control.platform_feed import PlatformFeed
from ebonybend.peers.merge import Replica
from ebonybend.peers.records import RecordKind
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient

SERVER = {
    "name": "odd",
    "service": "rides",
    "failure_domain": "k1",
    "address": "10.1.0.9:8080",
    "slots": 4,
}
INSTANCE = {
    "name": "odd",
    "failure_domain": "k1",
    "control_address": "10.1.0.8:7300",
}


class OddEntryTest(TestWithScenarios, TestCase):
    """Guards against an odd entry that is used, or stops the following of a list."""

    scenarios = [
        ("whole", {"valid": True}),
        ("port out of range", {"changes": {"address": "10.1.0.9:99999"}}),
        ("no address", {"changes": {"address": "x"}}),
        ("name with a line break", {"changes": {"name": "odd\r\nX: 1"}}),
        ("no slots", {"changes": {"slots": 0}}),
        ("slots of many digits", {"changes": {"slots": 10**400}}),
        ("negative connections", {"changes": {"connections": -1}}),
        ("connections of many digits", {"changes": {"connections": 10**400}}),
        ("start of many digits", {"changes": {"started_ms": 10**400}}),
        ("cold for ever", {"changes": {"cold_for_s": 1e300}}),
        ("instance", {"value": INSTANCE, "valid": True}),
        (
            "instance with a port out of range",
            {"value": INSTANCE, "changes": {"control_address": "10.1.0.8:99999"}},
        ),
        (
            "instance with a line break in its name",
            {"value": INSTANCE, "changes": {"name": "odd\r\nX: 1"}},
        ),
    ]
    value = SERVER
    changes: ClassVar = {}
    valid = False

    def test_others_are_followed(self):
        clock = Clock()
        store = MemoryStore(clock)
        replica = Replica(ManualClock())
        feed = PlatformFeed(StoreClient(store), replica, clock, Random(1))
        feed.start()
        is_server = self.value is SERVER
        kind = "server" if is_server else "instance"
        store.write(kind, "odd", to_json({**self.value, **self.changes}))
        store.write(kind, "sound", to_json({**self.value, "name": "sound"}))
        for _ in range(30):
            clock.advance(0.1)
        listing = RecordKind.SERVERS if is_server else RecordKind.INSTANCES
        body = replica.get(listing, "k1")
        names = {"odd", "sound"} if self.valid else {"sound"}
        self.assertEqual(names, {item.name for item in body.items})
        feed.stop()
