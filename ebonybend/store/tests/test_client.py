import json

from msgspec import Raw
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock
from twisted.web.http_headers import Headers

from ebonybend.codec import to_json
from ebonybend.http_client import HttpAnswer
from ebonybend.steps import no_pause
from ebonybend.store.client import PlatformClient
from ebonybend.store.tests.memory_store import result_of


class OneBody:
    """An HTTP client that answers all requests with the same body."""

    def __init__(self, body):
        self.body = body

    async def request(self, *_arguments, **_options):
        return HttpAnswer(200, Headers(), self.body)


class OddItemTest(TestWithScenarios, TestCase):
    """Guards against one entry that makes the others of its answer unreadable."""

    scenarios = [
        ("nested", {"odd": "[" * 5000 + "]" * 5000}),
        ("surrogate", {"odd": '"\\ud800"'}),
        ("number of many digits", {"odd": "1" * 5000}),
    ]

    def client(self, value):
        """Return a client whose answers contain the odd value in an object's value."""
        text = json.dumps(value).replace('"odd value"', self.odd)
        return PlatformClient(OneBody(to_json(Raw(text.encode()))), "a:1", no_pause)

    def test_list(self):
        items = [
            {"name": "a", "version": 1, "value": {}},
            {"name": "b", "version": 2, "value": {"extra": "odd value"}},
            {"name": "c", "version": 3, "value": None, "deleted": True},
        ]
        client = self.client({"version": 9, "items": items})
        for call in (client.list("server"), client.watch("server", 1, 0)):
            found = result_of(Clock(), call).unwrap()
            self.assertEqual(9, found.version)
            seen = [(item.name, item.version, item.deleted) for item in found.items]
            self.assertEqual([("a", 1, False), ("b", 2, False), ("c", 3, True)], seen)

    def test_item_without_a_name(self):
        items = [{"name": "odd value", "version": 1}, {"name": "c", "version": 3}]
        client = self.client({"version": 9, "items": items})
        found = result_of(Clock(), client.list("server")).unwrap()
        self.assertEqual(["c"], [item.name for item in found.items])

    def test_object(self):
        value = {"name": "b", "version": 2, "value": {"extra": "odd value"}}
        client = self.client(value)
        found = result_of(Clock(), client.get("server", "b")).unwrap()
        self.assertEqual(("b", 2), (found.name, found.version))
