"""Bytes and documents from outside that match no format."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec import Raw
from testtools import TestCase
from twisted.internet.testing import StringTransport

from ebonybend.codec import from_json, pack, to_json
from ebonybend.errors import SteeringError
from ebonybend.node.answer_memory import AnswerMemory
from ebonybend.node.backend_connection import MAX_HEAD_BYTES, BackendConnection
from ebonybend.node.beats import HeartbeatProtocol
from ebonybend.node.members import Member, Members
from ebonybend.node.pulses import PulseProtocol
from ebonybend.platform.documents import PlatformDocuments
from ebonybend.platform.settings import decode_settings
from ebonybend.platform.store import _decode_body, _decode_changes
from ebonybend.steering.relays import Relays
from ebonybend.steps import complete
from ebonybend.store.client import StoredObject
from ebonybend.tests.profile import REPEATABLE

OWN = Member("n1", "a-1", "a", "10.1.0.1:80", "10.1.0.1:81", 1)
ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nTransfer-Encoding: chunked\r\n"
    b"Keep-Alive: timeout=5\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
)
MEMORY_BYTES = 10_000
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False)
    | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    "Spec",
                    "Metadata",
                    "Name",
                    "Rev",
                    "Info",
                    "Status",
                    "Addr",
                    "State",
                    "born",
                    "Version",
                    "VirtualHosts",
                    "Paths",
                    "items",
                    "events",
                    "Object",
                    "StoreRevision",
                ]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


@st.composite
def damaged_answers(draw):
    """Return an answer of which a piece is replaced, or any bytes."""
    if draw(st.booleans()):
        return draw(st.binary(max_size=300))
    start = draw(st.integers(0, len(ANSWER)))
    end = draw(st.integers(start, len(ANSWER)))
    return ANSWER[:start] + draw(st.binary(max_size=20)) + ANSWER[end:]


class ServerAnswerTest(TestCase):
    """Guards against answers that raise, or that are delivered though not whole."""

    @REPEATABLE
    @given(damaged_answers(), st.integers(1, 60))
    def test_any_answer(self, data, step):
        memory = AnswerMemory(MEMORY_BYTES)
        connection = BackendConnection(b"Request-Id", lambda _: None, float, memory)
        transport = StringTransport()
        transport.abortConnection = transport.loseConnection
        connection.makeConnection(transport)
        results = []
        connection.send(b"GET", b"a1", b"request").addBoth(results.append)
        for start in range(0, len(data), step):
            connection.dataReceived(data[start : start + step])
        self.assertLessEqual(len(results), 1)
        self.assertLessEqual(memory.reserved, MEMORY_BYTES)
        self.assertLessEqual(connection.head_bytes, MAX_HEAD_BYTES + step)
        if results and hasattr(results[0], "body"):
            ids = results[0].headers.getRawHeaders(b"Request-Id")
            self.assertIn(ids, (None, [b"a1"]))
            self.assertIn(results[0].body, data.replace(b"\r\n", b"") + data)


class DatagramTest(TestCase):
    """Guards against a datagram that ends a node's heartbeats or pulses."""

    @REPEATABLE
    @given(st.binary(max_size=200) | JSON_VALUES.map(pack))
    def test_any_datagram(self, data):
        members, relays = Members(OWN), Relays(OWN.name)
        heartbeats = HeartbeatProtocol(
            members, None, float, lambda _: None, lambda _: None
        )
        pulses = PulseProtocol(
            members, relays, "10.1.0.1:82", lambda: None, int, None, float, lambda: None
        )
        for protocol in (heartbeats, pulses):
            protocol.datagramReceived(data, ("10.1.0.9", 81))
        self.assertEqual({}, members.heartbeats)
        self.assertEqual({}, relays.known)


class DocumentTest(TestCase):
    """Guards against an entry of another writer that stops the reading of a kind."""

    @REPEATABLE
    @given(JSON_VALUES)
    def test_any_object(self, value):
        documents = PlatformDocuments()
        stored = StoredObject("x", 1, Raw(to_json(value)))
        server = documents.decode_server(stored, {})
        self.assertTrue(server is None or server.slots >= 1)
        for decode in (
            documents.decode_config,
            documents.decode_member,
            documents.decode_checkpoint,
        ):
            decode(stored)
        complete(_decode_body(to_json(value)))
        complete(_decode_changes(to_json(value)))

    @REPEATABLE
    @given(st.binary(max_size=100))
    def test_any_bytes(self, data):
        stored = StoredObject("x", 1, Raw(data))
        self.assertIsNone(PlatformDocuments().decode_server(stored, {}))
        try:
            from_json(data, Member)
        except SteeringError:
            return
        self.fail("decoded")


class SettingsTest(TestCase):
    """Guards against settings that raise an error which names no field."""

    @REPEATABLE
    @given(JSON_VALUES)
    def test_any_value_of_a_field(self, value):
        fields = {
            "NodeName": "n1",
            "Zone": "a-1",
            "Region": "a",
            "Ip": "10.1.0.1",
            "InternalPorts": [7200, 7215],
            "Listen": {
                "Front": "10.1.0.1:1",
                "Ready": "10.1.0.1:2",
                "Directory": "10.1.0.1:3",
            },
            "Platform": {"Addr": "1:4"},
        }
        for name in fields:
            try:
                decode_settings({**fields, name: value})
            except (KeyError, ValueError) as error:
                # read_settings reports these with the file's name.
                self.assertIn(name, str(error))
