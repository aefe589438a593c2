import json

from msgspec import Raw
from returns.result import Success
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.web.http_headers import Headers

from ebonybend.codec import to_json
from ebonybend.http_client import HttpAnswer
from ebonybend.json_scan import CHUNK_BYTES
from ebonybend.platform.store import PlatformStore
from ebonybend.steps import no_pause

NONE = object()


def item(name, revision=1):
    return {"Metadata": {"Name": name, "Rev": revision}, "Spec": {}}


def page(*names, more=False, revision=5):
    return {
        "items": [item(name) for name in names],
        "HasMore": more,
        "StoreRevision": revision,
    }


class ScriptedHttp:
    """An HTTP client whose answers follow a script of eras, statuses and bodies."""

    def __init__(self, script):
        self.script = list(script)
        self.paths = []

    async def request(self, method, address, path, *_arguments):
        """Return the next answer of the script."""
        self.paths.append(path)
        era, status, value = self.script.pop(0)
        headers = {} if era is NONE else {"Store-Era": [era]}
        return HttpAnswer(status, Headers(headers), to_json(value))


def result(coroutine):
    found = []
    Deferred.fromCoroutine(coroutine).addCallback(found.append)
    return found[0]


class EraHeaderTest(TestWithScenarios, TestCase):
    """Guards against an era that is missed, or one that no store stated."""

    scenarios = [
        ("stated", {"era": "7", "known": 7}),
        ("with an answer that refuses", {"era": "7", "status": 503, "known": 7}),
        ("with a dropped history", {"era": "7", "status": 410, "known": 7}),
        ("not stated", {"era": NONE, "known": 0}),
    ] + [
        (text or "empty", {"era": text, "known": 0})
        for text in ("", "x", "-1", "1.5", "1e3", "\u00b2", "9" * 400)
    ]
    status = 200

    def test_known_era(self):
        store = PlatformStore(
            ScriptedHttp([(self.era, self.status, page("a"))]), "a:1", float, no_pause
        )
        result(store.list("servers"))
        self.assertEqual(self.known, store.eras.current)


class PageTest(TestWithScenarios, TestCase):
    """Guards against a list whose pages belong to two copies of the store."""

    scenarios = [
        ("one era", {"eras": ("3", "3"), "names": ["a", "b"]}),
        ("restored between two pages", {"eras": ("3", "4"), "names": None}),
    ]

    def test_list(self):
        first, second = self.eras
        http = ScriptedHttp(
            [(first, 200, page("a", more=True)), (second, 200, page("b"))]
        )
        found = result(PlatformStore(http, "a:1", float, no_pause).list("servers"))
        names = None
        if isinstance(found, Success):
            names = [stored.name for stored in found.unwrap().items]
            self.assertEqual(3, found.unwrap().era)
        self.assertEqual(self.names, names)


class OddItemTest(TestWithScenarios, TestCase):
    """Guards against one entry that makes the others of its answer unreadable."""

    scenarios = [
        ("nested", {"odd": "[" * 5000 + "]" * 5000}),
        ("surrogate", {"odd": '"\\ud800"'}),
        ("number of many digits", {"odd": "1" * 5000}),
    ]

    def body(self, text):
        """Return an answer with the odd value in an unknown field of one entry."""
        return text.replace('"odd value"', self.odd).encode()

    def found(self, method, value):
        value["StoreRevision"] = 9
        http = ScriptedHttp([("3", 200, Raw(self.body(json.dumps(value))))])
        store = PlatformStore(http, "a:1", float, no_pause)
        return result(method(store)).unwrap()

    def test_page(self):
        odd = {**item("b"), "Spec": {"Extra": "odd value"}}
        value = {"items": [item("a"), odd, item("c")], "HasMore": False}
        found = self.found(lambda store: store.list("servers"), value)
        self.assertEqual((9, 3), (found.version, found.era))
        self.assertEqual(["a", "b", "c"], [stored.name for stored in found.items])

    def test_changes(self):
        odd = {**item("b"), "Spec": {"Extra": "odd value"}}
        events = [
            {"Object": value, "Deleted": deleted}
            for value, deleted in ((item("a"), True), (odd, False), (item("c"), False))
        ]
        found = self.found(lambda s: s.watch("servers", 1, 0), {"events": events})
        changes = [(stored.name, stored.deleted) for stored in found.items]
        self.assertEqual([("a", True), ("b", False), ("c", False)], changes)

    def test_object(self):
        odd = {**item("b"), "Spec": {"Extra": "odd value"}}
        found = self.found(lambda store: store.get("servers", "b"), odd)
        self.assertEqual(("b", 1), (found.name, found.version))


class LateAnswerTest(TestCase):
    """Guards against an answer that an earlier copy of the store gave."""

    def test_is_no_answer(self):
        http = ScriptedHttp([("3", 200, page("a")), ("4", 200, page("b"))])
        store = PlatformStore(http, "a:1", lambda: 1.0, no_pause)
        for _ in range(2):
            self.assertIsInstance(result(store.list("servers")), Success)
        http.script = [("3", 200, page("a")), ("4", 200, page("b"))]
        self.assertNotIsInstance(result(store.list("servers")), Success)
        self.assertEqual(4, result(store.watch("servers", 5, 0)).unwrap().era)


class LongAnswerTest(TestWithScenarios, TestCase):
    """Guards against one odd entry that stops the event loop while it is read."""

    DEPTH = 100_000
    CONTENTS = (
        ("lists within lists", "[" * DEPTH + "]" * DEPTH),
        ("invalid escape", '["\\ud800"' + ',""' * DEPTH + "]"),
    )
    scenarios = [
        (f"{text}, {call}", {"odd": odd, "call": call})
        for text, odd in CONTENTS
        for call in ("list", "watch", "get")
    ]

    def test_pauses(self):
        pauses = []

        async def pause():
            pauses.append(1)

        value = {
            "list": page("a", "odd", "c"),
            "watch": {
                "events": [{"Object": item(x), "Deleted": False} for x in "abc"],
                "StoreRevision": 5,
            },
            "get": item("odd"),
        }[self.call]
        target = value
        if self.call == "list":
            target = value["items"][1]
        elif self.call == "watch":
            target = value["events"][1]["Object"]
        target["Spec"] = "odd value"
        text = json.dumps(value).replace('"odd value"', self.odd)
        http = ScriptedHttp([("1", 200, Raw(text.encode()))])
        store = PlatformStore(http, "a:1", float, pause)
        call = {
            "list": lambda: store.list("servers"),
            "watch": lambda: store.watch("servers", 4, 0),
            "get": lambda: store.get("servers", "odd"),
        }[self.call]
        found = result(call()).unwrap()
        if self.call != "get":
            self.assertEqual(3, len(found.items))
        self.assertLessEqual(len(text) // CHUNK_BYTES, len(pauses))
