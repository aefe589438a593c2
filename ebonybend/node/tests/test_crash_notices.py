from math import inf, nan

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.clock import ManualClock
from ebonybend.codec import pack
from ebonybend.node.crash_notices import (
    MAX_DATAGRAMS,
    MAX_NOTICES_PER_S,
    PREFIX,
    CrashNotice,
    CrashNotices,
)
from ebonybend.steering.crash_evidence import CrashEvidence, EvidenceQueue
from ebonybend.steering.crashes import CrashDetector


class RateTest(TestWithScenarios, TestCase):
    """Guards against crashes that flood the network of a large fleet."""

    scenarios = [
        ("few nodes", {"nodes": 7, "most": 6 * MAX_DATAGRAMS * 6}),
        ("many nodes", {"nodes": 520, "most": 2 * MAX_NOTICES_PER_S * MAX_DATAGRAMS}),
    ]

    def test_datagrams_in_a_second(self):
        clock, queue, sent = Clock(), EvidenceQueue(), []
        notices = CrashNotices(
            "n1", clock, queue, lambda: self.nodes, sent.append, lambda *_: None
        )
        for number in range(1000):
            queue.add(CrashEvidence("s", number, requests=("a-1",) * 30), 0.0)
            notices.schedule()
        clock.pump([0.01] * 100)
        self.assertGreater(len(sent), 0)
        self.assertLessEqual(len(sent) * (self.nodes - 1), self.most)


class OddNoticeTest(TestWithScenarios, TestCase):
    """Guards against a notice that stops a node, or that says what can't be."""

    scenarios = [
        ("empty", {"data": PREFIX}),
        ("no notice", {"data": PREFIX + b"\x00"}),
        ("nested", {"data": PREFIX + b"\x91" * 1300}),
        ("endless age", {"age_ms": inf}),
        ("no number", {"age_ms": nan}),
        ("long ago", {"age_ms": 10.0**9}),
        ("in the future", {"age_ms": -(10.0**9), "suspects": {"a", "a-1"}}),
    ]
    data = None
    suspects = frozenset()

    def test_suspects(self):
        detector = CrashDetector(ManualClock())
        notices = CrashNotices(
            "n1",
            Clock(),
            EvidenceQueue(),
            lambda: 2,
            lambda _: None,
            lambda _, evidence: detector.merge_evidence(evidence),
        )
        data = self.data
        if data is None:
            evidence = CrashEvidence("s", 1, age_ms=self.age_ms, requests=("a-1",))
            data = PREFIX + pack(CrashNotice(sender="n2", evidence=(evidence,)))
        notices.receive(data)
        self.assertEqual(set(self.suspects), set(detector.suspects))
