from attrs import frozen
from testtools import TestCase

from ebonybend.codec import pack, unpack
from ebonybend.node.beats import encode_heartbeat
from ebonybend.node.members import Member, NodeHeartbeat, ServerReports
from ebonybend.node.tests.beat_double import heartbeat
from ebonybend.steering.crash_suspects import EndReport

MEMBER = Member("n1", "k-a", "k", "10.1.0.1:80", "10.1.0.1:81", 7)


@frozen(kw_only=True)
class EarlierHeartbeat:
    """The required fields of a heartbeat before eras and reports."""

    name: str
    incarnation: int
    count: int
    ready: bool
    newest: dict[str, int]
    followed_s: float
    demand: dict[str, int]
    suspects: tuple
    member: Member


class EarlierBuildTest(TestCase):
    """Guards against nodes that take each other for dead while a build is replaced."""

    def test_earlier_build_reads_heartbeats(self):
        reports = ServerReports(ended=(EndReport("s1"),))
        for sent in (heartbeat(MEMBER), heartbeat(MEMBER, era=3, reports=reports)):
            found = unpack(encode_heartbeat(sent), EarlierHeartbeat)
            self.assertEqual(("n1", MEMBER), (found.name, found.member))
            self.assertEqual(sent, unpack(encode_heartbeat(sent), NodeHeartbeat))

    def test_heartbeats_of_an_earlier_build_are_read(self):
        earlier = EarlierHeartbeat(
            name="n1",
            incarnation=7,
            count=1,
            ready=True,
            newest={"config": 3},
            followed_s=1.0,
            demand={},
            suspects=({"fingerprint": "f", "crashes": 1, "refused": False},),
            member=MEMBER,
        )
        found = unpack(pack(earlier), NodeHeartbeat)
        self.assertEqual(("n1", 0, None), (found.name, found.era, found.reports))
