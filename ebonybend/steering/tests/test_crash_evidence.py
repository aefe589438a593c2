from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.codec import pack
from ebonybend.node.crash_notices import PREFIX, CrashNotice
from ebonybend.steering.crash_evidence import (
    MAX_UNTOLD,
    TRANSMISSIONS,
    CrashEvidence,
    EvidenceQueue,
)
from ebonybend.steering.culprits import identify

MAX_DATAGRAM_BYTES = 1400


def requests(number):
    return tuple(
        identify(b"GET", "h", b"/%d" % n, b"", "10.9.0.1") for n in range(number)
    )


class QueueTest(TestWithScenarios, TestCase):
    """Guards against evidence that is never sent, or doesn't fit into a datagram."""

    scenarios = [
        ("an end alone", {"ends": 1, "lost": 0}),
        ("one request", {"ends": 1, "lost": 1}),
        ("many requests", {"ends": 1, "lost": 200}),
        ("many ends", {"ends": 40, "lost": 30}),
    ]

    def test_each_is_sent_a_few_times(self):
        queue = EvidenceQueue()
        for number in range(self.ends):
            server = f"i-{number:010x}"
            evidence = CrashEvidence(server, 10**13, 3, requests=requests(self.lost))
            queue.add(evidence, 0.0)
        sent = []
        while queue:
            for evidence in queue.take(9_999.0, 4):
                notice = PREFIX + pack(CrashNotice(sender="n" * 40, evidence=evidence))
                self.assertLessEqual(len(notice), MAX_DATAGRAM_BYTES)
                sent += [(x.crash, name) for x in evidence for name in x.requests]
        self.assertEqual(TRANSMISSIONS * self.ends * self.lost, len(sent))
        self.assertEqual(self.ends * self.lost, len(set(sent)))

    def test_memory_is_bounded(self):
        queue = EvidenceQueue()
        for number in range(MAX_UNTOLD + 10):
            queue.add(CrashEvidence(f"s{number}"), 0.0)
        self.assertEqual(MAX_UNTOLD, len(queue.untold))
