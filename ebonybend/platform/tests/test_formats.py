from math import inf, nan
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import ClassVar

from attrs import evolve
from msgspec import Raw
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.web.http_headers import Headers

from ebonybend.codec import from_json, to_json
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.members import Member
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.node.wire import ClientHeaders, ServerLoad
from ebonybend.platform.calls import PlatformWireFormat
from ebonybend.platform.documents import PlatformDocuments
from ebonybend.platform.settings import decode_bounds, read_settings
from ebonybend.store.client import StoredObject
from ebonybend.world import LifeState

SERVER = {
    "Addr": "10.1.0.9:8080",
    "born": 1786893926004,
    "Info": {"Service": "history", "Zone": "kingston-a", "MaxConcurrency": 5},
    "Status": {"State": "ready", "Sequence": 4, "WarmupLeftMs": 1500},
}
REGIONS = {"kingston-a": "kingston"}
SETTINGS = """
NodeName = "front-kingston-a-1"
Ip = "10.1.0.18"
Zone = "kingston-a"
Region = "kingston"
InternalPorts = [7200, 7215]
Bounds = ["GraceS=6", "BudgetRatio=0.2", "ContactMs=4000"]
Unknown = "ignored"
[Listen]
Front = "10.1.0.18:8381"
Ready = "10.1.0.18:8388"
Directory = "10.1.0.18:8383"
[Platform]
Addr = "10.200.1.7:8384"
"""


def stored(spec, name="i-1"):
    value = {"Metadata": {"Name": name, "Rev": 7}, "Spec": spec, "Status": None}
    return StoredObject(name, 7, Raw(to_json(value)))


def without(name):
    return {key: value for key, value in SERVER.items() if key != name}


class ServerEntryTest(TestWithScenarios, TestCase):
    """Guards against a malformed entry that stops the node or is used."""

    scenarios = [
        ("whole", {"spec": SERVER, "state": LifeState.LIVE}),
        (
            "draining",
            {"spec": {**SERVER, "Status": {"State": "draining"}}, "state": "leaving"},
        ),
        ("unknown state", {"spec": {**SERVER, "Status": {"State": "odd"}}}),
        ("no address", {"spec": without("Addr")}),
        ("address without port", {"spec": {**SERVER, "Addr": "10.1.0.9"}}),
        ("address of another type", {"spec": {**SERVER, "Addr": 5}}),
        ("no status", {"spec": without("Status")}),
        ("no slots", {"spec": {**SERVER, "Info": {"Service": "s", "Zone": "z"}}}),
        ("a text", {"spec": "text"}),
        ("nothing", {"spec": None}),
        ("name with a line break", {"name": "i-1\r\nX: 1"}),
        ("long name", {"name": "i" * 300}),
        ("many slots", {"info": {"MaxConcurrency": 10**18}}),
        ("slots of many digits", {"info": {"MaxConcurrency": 10**400}}),
        ("negative slots", {"info": {"MaxConcurrency": -1}}),
        ("start of many digits", {"spec": {**SERVER, "born": 10**400}}),
        ("negative start", {"spec": {**SERVER, "born": -1}}),
        ("cold for ever", {"status": {"WarmupLeftMs": 1e300}}),
        (
            "cold for less than nothing",
            {"status": {"WarmupLeftMs": -5}, "state": "live"},
        ),
    ] + [
        (f"address {address[:20]!r}", {"spec": {**SERVER, "Addr": address}})
        for address in (
            "10.1.0.9:0",
            "10.1.0.9:99999",
            "10.1.0.9:" + "1" * 5000,
            "10.1.0.9:\u00b2",
            "10.1.0.9: 80",
            "10.1.0.9:8_0",
            "10.1.0.9:",
            "10.1.0.999:80",
            "h.example:80",
            "[::1]:80",
            "10.1.0.9\x00:80",
        )
    ]
    spec = SERVER
    name = "i-1"
    info: ClassVar[dict] = {}
    status: ClassVar[dict] = {}
    state = None

    def test_decode(self):
        spec = self.spec
        if self.info or self.status:
            info = {**spec["Info"], **self.info}
            spec = {**spec, "Info": info, "Status": {**spec["Status"], **self.status}}
        entry = stored(spec, self.name)
        server = PlatformDocuments().decode_server(entry, REGIONS)
        if self.state is None:
            self.assertIsNone(server)
            return
        self.assertEqual(LifeState(self.state), server.state)
        self.assertEqual("kingston", server.region)
        self.assertEqual(5, server.slots)


class ConfigTest(TestCase):
    """Guards against a configuration that is decoded wrongly."""

    def test_decode(self):
        path = {
            "Name": "r1",
            "PathPrefix": "/a/",
            "Kind": "unsafe",
            "TimeoutMs": 800,
            "GoalMs": 300,
            "Priority": 1,
            "MaxAttempts": 2,
            "Sticky": True,
            "Backends": [
                {"Service": "x", "Weight": 90},
                {"Service": "y", "Weight": 10},
            ],
            "HomeRegions": ["kingston"],
        }
        hosts = [{"Host": "H.example", "Paths": [path]}]
        config = PlatformDocuments().decode_config(
            stored({"Version": 3, "VirtualHosts": hosts})
        )
        route = config.routes[0]
        self.assertEqual((3, "h.example"), (config.version, route.host))
        self.assertFalse(route.idempotent)
        self.assertEqual((0.8, 0.3), (route.timeout_s, route.objective_s))
        self.assertEqual([90, 10], [part.weight for part in route.parts])
        self.assertEqual(("kingston",), route.home_regions)

    def test_unreadable(self):
        self.assertIsNone(PlatformDocuments().decode_config(stored({"Version": "x"})))

    def test_member_round_trip(self):
        documents = PlatformDocuments()
        member = Member("n", "kingston-a", "kingston", "10.1.0.1:1", "10.1.0.1:2", 5)
        spec = from_json(documents.encode_member(member), dict)
        self.assertEqual(member, documents.decode_member(stored(spec)))


class OddConfigTest(TestWithScenarios, TestCase):
    """Guards against numbers in a configuration that stop or distort the routing."""

    scenarios = [
        ("whole", {"valid": True}),
        ("version of many digits", {"config": {"Version": 10**400}}),
        ("time without end", {"path": {"TimeoutMs": 1e300}}),
        ("negative objective", {"path": {"GoalMs": -1.0}}),
        ("attempts of many digits", {"path": {"MaxAttempts": 10**400}}),
        ("priority of many digits", {"path": {"Priority": -(10**400)}}),
        ("negative weight", {"backend": {"Weight": -1.0}}),
        ("weight without end", {"backend": {"Weight": 1e300}}),
        ("negative rate of cold servers", {"service": {"WarmupPerS": -1.0}}),
        ("warm-up without end", {"service": {"WarmupS": 1e300}}),
        ("connections of many digits", {"service": {"MaxConns": 10**400}}),
        ("body of many digits", {"limits": {"MaxBodyBytes": 10**400}}),
        ("negative time for headers", {"limits": {"HeaderTimeoutMs": -1.0}}),
    ]
    valid = False
    config: ClassVar = {}
    path: ClassVar = {}
    backend: ClassVar = {}
    service: ClassVar = {}
    limits: ClassVar = {}

    def test_is_used(self):
        backend = {"Service": "x", "Weight": 90, **self.backend}
        route = {"Name": "r", "PathPrefix": "/a/", "Kind": "safe", **self.path}
        spec = {
            "Version": 3,
            "Services": [{"Name": "x", "WarmupS": 1, **self.service}],
            "Limits": {"MaxHeaderBytes": 16384, **self.limits},
            "VirtualHosts": [
                {"Host": "h", "Paths": [{**route, "Backends": [backend]}]}
            ],
            **self.config,
        }
        found = PlatformDocuments().decode_config(stored(spec))
        self.assertEqual(self.valid, found is not None)


class OddMemberTest(TestWithScenarios, TestCase):
    """Guards against an entry or a heartbeat of a node that stops the heartbeats."""

    scenarios = [
        ("whole", {"changes": {}, "valid": True}),
        ("port out of range", {"changes": {"peer_address": "10.1.0.1:70000"}}),
        ("no port for pulses", {"changes": {"peer_address": "10.1.0.1:65535"}}),
        ("no address", {"changes": {"peer_address": "x"}}),
        ("no address for clients", {"changes": {"callers_address": "h:1"}}),
        ("negative incarnation", {"changes": {"incarnation": -1}}),
        ("large incarnation", {"changes": {"incarnation": 10**300}}),
        ("negative link", {"changes": {"link_mbps": -1.0}}),
        ("link without end", {"changes": {"link_mbps": inf}}),
    ]
    valid = False

    def test_is_used(self):
        member = Member("n", "kingston-a", "kingston", "10.1.0.1:1", "10.1.0.1:2", 5)
        member = evolve(member, **self.changes)
        self.assertEqual(self.valid, heartbeat(member).is_valid())
        found = PlatformDocuments().decode_member(stored(member))
        self.assertEqual(self.valid, found is not None)


class OddCheckpointTest(TestWithScenarios, TestCase):
    """Guards against a checkpoint of another writer that distorts traffic shares."""

    scenarios = [
        ("whole", {"changes": {}, "valid": True}),
        ("no means yet", {"changes": {"times": {"r": {}}}, "valid": True}),
        ("negative share", {"changes": {"shares": {"s": {"k": -0.1}}}}),
        ("large share", {"changes": {"shares": {"s": {"k": 1e300}}}}),
        ("negative time", {"changes": {"times": {"r": {"warm_s": -1.0}}}}),
        ("large time", {"changes": {"times": {"r": {"mean_s": 1e300}}}}),
        ("time of many digits", {"changes": {"written_ms": 10**400}}),
    ]
    valid = False

    def test_is_used(self):
        whole = {
            "written_ms": 1_786_893_926_004,
            "shares": {"s": {"k": 0.4, "m": 0.6}},
            "times": {"r": {"warm_s": 0.1, "cold_s": 0.3, "mean_s": 0.2}},
        }
        entry = stored({**whole, **self.changes})
        found = PlatformDocuments().decode_checkpoint(entry)
        self.assertEqual(self.valid, found is not None)


class OddRefusedRequestsTest(TestCase):
    """Guards against refused requests of another writer with times out of range."""

    def test_refused_requests(self):
        documents = PlatformDocuments()
        for crashed_ms, valid in ((1, True), (-1, False), (10**400, False)):
            entry = stored({"crashed_ms": {"bad": crashed_ms}})
            self.assertEqual(valid, documents.decode_refused(entry) is not None)
            entry = stored({"lifted_ms": {"bad": crashed_ms}})
            self.assertEqual(valid, documents.decode_lifted(entry) is not None)
            trial = {"count": 1, "tried_ms": crashed_ms}
            entry = stored({"trials": {"bad": trial}})
            self.assertEqual(valid, documents.decode_trials(entry) is not None)


class OddHeartbeatTest(TestWithScenarios, TestCase):
    """Guards against numbers in a heartbeat that distort traffic shares."""

    scenarios = [
        ("whole", {"changes": {"demand": {"s": 5}}, "valid": True}),
        ("negative demand", {"changes": {"demand": {"s": -5}}}),
        ("large demand", {"changes": {"demand": {"s": 2**63}}}),
        ("time without end", {"changes": {"followed_s": inf}}),
        ("no time", {"changes": {"followed_s": nan}}),
    ]
    valid = False

    def test_is_used(self):
        member = Member("n", "kingston-a", "kingston", "10.1.0.1:1", "10.1.0.1:2", 5)
        self.assertEqual(self.valid, heartbeat(member, **self.changes).is_valid())


class HeadersTest(TestWithScenarios, TestCase):
    """Guards against forwarding a request without an id or with a bad deadline."""

    scenarios = [
        (
            "whole",
            {
                "raw": {"Attempt-Id": "a", "Deadline-Ms": "1200", "Affinity-Key": "17"},
                "expected": ClientHeaders(b"a", 1.2, b"17"),
            },
        ),
        ("no deadline", {"raw": {"Attempt-Id": "a"}, "expected": (b"a", None, b"")}),
        ("no id", {"raw": {"Deadline-Ms": "5"}, "expected": None}),
        ("bad deadline", {"raw": {"Attempt-Id": "a", "Deadline-Ms": "x"}}),
        (
            "deadline of many digits",
            {"raw": {"Attempt-Id": "a", "Deadline-Ms": "1" * 5000}},
        ),
    ]
    expected = None

    def test_read(self):
        headers = Headers({name: [value] for name, value in self.raw.items()})
        decoded = PlatformWireFormat().read_client_headers(headers)
        expected = self.expected
        if isinstance(expected, tuple):
            expected = ClientHeaders(*expected)
        self.assertEqual(expected, decoded)


class LoadTest(TestWithScenarios, TestCase):
    """Guards against using a malformed load report."""

    scenarios = [
        ("whole", {"text": "3,0,8", "load": ServerLoad(3, 0, 8)}),
        ("too short", {"text": "3,0", "load": None}),
        ("no number", {"text": "3,x,8", "load": None}),
        ("number of many digits", {"text": f"3,{'1' * 5000},8", "load": None}),
    ]

    def test_read(self):
        headers = Headers({"Server-Load": [self.text]})
        self.assertEqual(self.load, PlatformWireFormat().read_load(headers))


class LimitTest(TestWithScenarios, TestCase):
    """Guards against a malformed limit that ends or replaces the last one."""

    scenarios = [
        ("none", {"raw": {}, "limit": inf}),
        ("whole number", {"raw": {"Server-Limit": ["12"]}, "limit": 12.0}),
        ("decimal number", {"raw": {"Server-Limit": [" 11.9 "]}, "limit": 11.9}),
        ("zero", {"raw": {"Server-Limit": ["0"]}, "limit": 0.0}),
    ] + [
        (text or "empty", {"raw": {"Server-Limit": [text]}, "limit": None})
        for text in ("", "x", "-1", "nan", "inf", "1e9", "12 a second", "1" * 30)
    ]

    def test_read(self):
        headers = Headers(self.raw)
        self.assertEqual(self.limit, PlatformWireFormat().read_limit(headers))


class LeavingTest(TestWithScenarios, TestCase):
    """Guards against taking a server out of use that didn't state that it leaves."""

    scenarios = [
        (text or "empty", {"raw": {"Server-Leaving": [text]}, "leaves": text == "1"})
        for text in ("1", "0", "", "true", "1.5", "11")
    ] + [("none", {"raw": {}, "leaves": False})]

    def test_states_leaving(self):
        found = PlatformWireFormat().states_leaving(Headers(self.raw))
        self.assertEqual(self.leaves, found)


class PauseTest(TestWithScenarios, TestCase):
    """Guards against a pause that no server asked for, or that is not kept."""

    scenarios = [
        ("whole number", {"text": "2", "pause_s": 2.0}),
        ("fraction", {"text": "0.25", "pause_s": 0.25}),
        ("zero", {"text": "0", "pause_s": 0.0}),
        ("too many requests", {"status": 429, "text": "2", "pause_s": 2.0}),
        ("success", {"status": 200, "text": "2", "pause_s": 0.0}),
        ("another server", {"status": 421, "text": "2", "pause_s": 0.0}),
    ] + [
        (text or "empty", {"text": text, "pause_s": 0.0})
        for text in ("", "x", "-1", "nan", "inf", "1e9", "Wed, 2 Dec", "1" * 400)
    ]
    status = 503

    def test_read(self):
        headers = Headers({"Retry-After": [self.text]})
        found = PlatformWireFormat().read_pause(self.status, headers)
        self.assertEqual(self.pause_s, found)


class NotRunTest(TestWithScenarios, TestCase):
    """Guards against "not run" being concluded from any other answer."""

    scenarios = [
        ("full", {"status": 503, "raw": {"Not-Executed": ["1"]}, "not_run": True}),
        ("another server", {"status": 421, "raw": {}, "not_run": True}),
        ("own failure", {"status": 503, "raw": {}, "not_run": False}),
        ("time-out", {"status": 504, "raw": {}, "not_run": False}),
    ]

    def test_states_not_run(self):
        found = PlatformWireFormat().states_not_run(self.status, Headers(self.raw))
        self.assertEqual(self.not_run, found)


class SettingsTest(TestWithScenarios, TestCase):
    """Guards against wrong settings that don't cause a clear error."""

    scenarios = [
        ("whole", {"text": SETTINGS, "error": None}),
        ("no file", {"text": None, "error": "No such file"}),
        ("no TOML", {"text": "= 5", "error": "Invalid"}),
        ("nested", {"text": "x = " + "[" * 5000, "error": "recursion"}),
        (
            "no store",
            {"text": SETTINGS.partition("[Platform]")[0], "error": "'Platform'"},
        ),
        (
            "bad bound",
            {"text": SETTINGS.replace("GraceS=6", "GraceS=x"), "error": "GraceS: 'x'"},
        ),
        *(
            (repr(new), {"text": SETTINGS.replace(old, new), "error": error})
            for old, new, error in (
                ("GraceS=6", "GraceS=", "Bounds: GraceS: '' is no number"),
                ("GraceS=6", "GraceS", "Bounds: GraceS: '' is no number"),
                ("GraceS=6", "GraceS=nan", "GraceS"),
                ("GraceS=6", "GraceS=-1", "GraceS"),
                ('"GraceS=6"', '"GraceS=6", "Odd"', None),
                ('"GraceS=6"', '"GraceS=6", "Odd=a=b"', None),
                ('"GraceS=6"', '"GraceS=6", 7', None),
                ('["GraceS=6"', '"GraceS=6, ContactMs=4000"\nUnused = [""', None),
                ("Bounds = [", "Bounds = 5\nUnused = [", "Bounds"),
                ("[7200, 7215]", "[7200]", "InternalPorts"),
                ("[7200, 7215]", "[7200, 7200]", "InternalPorts"),
                ("[7200, 7215]", '["7200", 7215]', "InternalPorts"),
                ("10.1.0.18:8383", "10.1.0.18", "Directory"),
                ("10.1.0.18:8383", "10.1.0.18:99999", "Directory"),
                ('"kingston-a"', "7", "Zone"),
                ("[Listen]", "HeartbeatMs = 0\n[Listen]", "HeartbeatMs"),
                ("[Listen]", 'HeartbeatMs = "1"\n[Listen]', "HeartbeatMs"),
                ("[Platform]", "[Platform]\nHistoryS = 0", "HistoryS"),
                ("[Platform]", "[Platform]\nHistoryS = inf", "HistoryS"),
                ("[Platform]", "[Limits]\nMemoryMb = 0\n[Platform]", "MemoryMb"),
                ("[Platform]", "[Zones]\na = 1\n[Platform]", "a: 1 is no text"),
                ("[Platform]", "[[Platform]]", "Platform"),
            )
        ),
    ]

    def test_read(self):
        path = self.make_path()
        if self.text is not None:
            path.write_text(self.text)
        if self.error is None:
            settings = read_settings(path)
            self.assertEqual(7200, settings.peer_port)
            self.assertEqual(4.0, settings.bounds.settle_s)
            return
        raised = self.assertRaises(SteeringError, read_settings, path)
        self.assertEqual(ErrorKind.BAD_SETTING, raised.kind)
        self.assertIn(self.error, raised.message)
        self.assertIn(str(path), raised.message)

    def make_path(self):
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        return Path(directory.name) / "local.toml"

    def test_bounds(self):
        bounds = decode_bounds(["ShiftMax=0.1", "New=1"])
        self.assertEqual(0.1, bounds.max_shift)
