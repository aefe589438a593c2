from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from ebonybend.control.notices import Notices

MAX_WAIT_S = 5.0


class NoticesTest(TestWithScenarios, TestCase):
    """Guards against crash notices that reach the entry only at its next report."""

    scenarios = [
        ("no notice", {"known": 0, "told_at": None, "ends_at": MAX_WAIT_S}),
        ("notice while waiting", {"known": 0, "told_at": 1.0, "ends_at": 1.0}),
        ("earlier notice", {"known": 1, "told_at": None, "ends_at": 0.0}),
    ]

    def test_wait(self):
        clock = Clock()
        notices = Notices(clock)
        ended = []
        waiting = Deferred.fromCoroutine(
            notices.wait_for_notice(self.known, MAX_WAIT_S)
        )
        waiting.addCallback(lambda count: ended.append((clock.seconds(), count)))
        if self.told_at is not None:
            clock.callLater(self.told_at, notices.post)
        for _ in range(24):
            clock.advance(0.25)
        count = 0 if self.told_at is None else 1
        self.assertEqual([(self.ends_at, count)], ended)
        self.assertEqual([], notices.waiters)

    def test_waits_until_notices_are_delivered(self):
        clock = Clock()
        notices = Notices(clock)
        ended = []

        def wait():
            waiting = Deferred.fromCoroutine(notices.wait_until_delivered(MAX_WAIT_S))
            waiting.addCallback(lambda _: ended.append(clock.seconds()))

        wait()
        self.assertEqual([0.0], ended)
        notices.post()
        wait()
        clock.advance(1.0)
        notices.mark_delivered()
        self.assertEqual([0.0, 1.0], ended)
