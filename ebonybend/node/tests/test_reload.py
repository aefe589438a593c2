from contextlib import suppress
from socket import socket

from attrs import evolve
from structlog.testing import capture_logs
from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.node.ports import RESERVED_DESCRIPTORS
from ebonybend.node.service import NodeService
from ebonybend.node.settings import NodeSettings, SharedBounds
from ebonybend.platform.calls import PlatformWireFormat
from ebonybend.platform.documents import PlatformDocuments
from ebonybend.store.tests.memory_store import MemoryStore, StoreClient

SETTINGS = NodeSettings(
    name="n1",
    failure_domain="k-a",
    region="k",
    ip="10.1.0.1",
    callers_address="10.1.0.1:80",
    ready_address="10.1.0.1:81",
    directory_address="10.1.0.1:82",
    peer_port=7200,
    store_address="10.2.0.1:80",
    max_descriptors=2000,
    bounds=SharedBounds(retry_ratio=0.0, retry_slack=50.0),
)


class UnusedLog:
    """A log file that nothing is written to."""

    dropped = 0


class ReloadedNode:
    """A node that isn't started, whose settings change."""

    def __init__(self):
        self.clock = Clock()
        self.after = SETTINGS
        # One second passes before the clock's first reading counts as a time.
        self.clock.advance(1.0)
        self.service = NodeService(
            self.clock,
            SETTINGS,
            StoreClient(MemoryStore(self.clock)),
            PlatformWireFormat(),
            PlatformDocuments(),
            9464,
            self.read,
            UnusedLog(),
        )

    def read(self):
        """Return the settings as they are now; an error stands for a bad file."""
        if isinstance(self.after, Exception):
            raise self.after
        return self.after

    def reload(self, bounds=None, **changes):
        self.after = evolve(self.after, **changes)
        if bounds is not None:
            self.after = evolve(self.after, bounds=evolve(self.after.bounds, **bounds))
        self.service.on_reload()


def retries(node, count=1000):
    """Return how many retries are allowed now."""
    window = node.service.forwarder._retry_window("s")
    return sum(window.try_acquire(node.clock.seconds(), 1) for _ in range(count))


class ReloadedSettingTest(TestWithScenarios, TestCase):
    """Guards against a setting that was copied at the start."""

    scenarios = [
        (
            "longest lookup lifetime",
            {
                "changes": {"bounds": {"max_lookup_s": 0.5}},
                "read": lambda s: s.directory.lifetime_s(),
                "expected": 0.5,
            },
        ),
        (
            "descriptors",
            {
                "changes": {"max_descriptors": 5000},
                "read": lambda s: s.client_site.limits.max_connections,
                "expected": 5000 - RESERVED_DESCRIPTORS,
            },
        ),
        (
            "memory",
            {
                "changes": {"memory_mb": 1000},
                "read": lambda s: s.pool.memory.max_bytes,
                "expected": 0.1 * (1000 << 20),
            },
        ),
        (
            "history of the store",
            {
                "changes": {"store_history_s": 4.0},
                "read": lambda s: {
                    w.watch_timeout_ms for w in s.watched_state.watchers
                },
                "expected": {3200},
            },
        ),
        (
            "grace time",
            {
                "changes": {"bounds": {"grace_s": 9.0}},
                "read": lambda s: s.stop.read_grace_s(),
                "expected": 9.0,
            },
        ),
        (
            "largest shift",
            {
                "changes": {"bounds": {"max_shift": 0.5}},
                "read": lambda s: s.regions.max_shift(),
                "expected": 0.5,
            },
        ),
        (
            "regions",
            {
                "changes": {"regions": {"k-a": "k", "m-a": "m"}},
                "read": lambda s: s.regions.all_regions(),
                "expected": {"k", "m"},
            },
        ),
    ]

    def test_is_current(self):
        node = ReloadedNode()
        self.assertNotEqual(self.expected, self.read(node.service))
        node.reload(**self.changes)
        self.assertEqual(self.expected, self.read(node.service))

    def test_file_that_cannot_be_read_changes_nothing(self):
        node = ReloadedNode()
        before = self.read(node.service)
        node.after = SteeringError(ErrorKind.BAD_SETTING, "cut in half")
        node.service.on_reload()
        self.assertEqual(before, self.read(node.service))


class ChangedRetryBudgetTest(TestWithScenarios, TestCase):
    """Guards against a change of the settings that gives the retry slack again."""

    scenarios = [
        ("another setting", {"bounds": {"grace_s": 4.0}, "more": 0}),
        ("more slack", {"bounds": {"retry_slack": 100.0}, "more": 40}),
        ("less slack", {"bounds": {"retry_slack": 10.0}, "more": 0}),
        ("a longer window", {"bounds": {"retry_window_s": 20.0}, "more": 0}),
        ("a shorter window", {"bounds": {"retry_window_s": 1.0}, "more": 0}),
    ]

    def test_retries_that_were_sent_count(self):
        node = ReloadedNode()
        node.clock.advance(30.0)
        self.assertEqual(40, retries(node))
        allowed = 0
        for _ in range(3):
            node.clock.advance(0.2)
            node.reload(bounds=self.bounds)
            allowed += retries(node)
        self.assertEqual(self.more, allowed)

    def test_a_longer_window_covers_what_the_shorter_one_forgot(self):
        node = ReloadedNode()
        node.clock.advance(30.0)
        retries(node)
        node.clock.advance(11.0)
        node.reload(bounds={"retry_window_s": 20.0})
        self.assertEqual(0, retries(node))
        node.clock.advance(11.0)
        self.assertEqual(40, retries(node))


class NeedsRestartTest(TestWithScenarios, TestCase):
    """Guards against a change without effect that nothing tells of."""

    scenarios = [
        (name, {"changes": {name: value}})
        for name, value in (
            ("callers_address", "10.1.0.1:90"),
            ("directory_address", "10.1.0.1:90"),
            ("peer_port", 7300),
            ("store_address", "10.2.0.2:80"),
            ("link_mbps", 7.0),
        )
    ]

    def test_is_logged(self):
        node = ReloadedNode()
        with capture_logs() as lines:
            node.reload(**self.changes)
        reloaded = [line for line in lines if line["event"] == "settings_reloaded"]
        self.assertEqual([list(self.changes)], [x["need_restart"] for x in reloaded])


class StopWithBadSettingsTest(TestWithScenarios, TestCase):
    """Guards against a stop that never begins since the settings can't be applied."""

    scenarios = [
        ("refused", {"error": SteeringError(ErrorKind.BAD_SETTING, "cut in half")}),
        ("not foreseen", {"error": RuntimeError("a fault of the reader")}),
    ]

    def test_begins(self):
        node = ReloadedNode()
        node.after = self.error
        with suppress(RuntimeError):
            node.service.on_terminate()
        self.assertTrue(node.service.stop.stopping)


class OpenPort:
    """A listening port that records its end."""

    def __init__(self, address, closed):
        self.address = address
        self.closed = closed
        self.socket = socket()

    def doRead(self):
        """Accept nothing."""

    def stopListening(self):
        """Record the end."""
        self.closed.append(self.address)
        self.socket.close()


class CloseChangedPortTest(TestWithScenarios, TestCase):
    """Guards against a stop that fails since the settings name other ports by then."""

    scenarios = [
        ("directory", {"changes": {"directory_address": "10.1.0.1:90"}}),
        ("callers", {"changes": {"callers_address": "10.1.0.1:90"}}),
    ]

    def test_ports_of_the_start_are_closed(self):
        node = ReloadedNode()
        service = node.service
        closed = []
        service.ports.tcp_ports = {
            address: OpenPort(address, closed) for address in service.sites
        }
        node.reload(**self.changes)
        closing = Deferred.fromCoroutine(service.close_ports())
        node.clock.pump([0.1] * 10)
        self.assertTrue(closing.called)
        self.assertEqual(["10.1.0.1:82", "10.1.0.1:80"], closed)
