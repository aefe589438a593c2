from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.store.availability import Outage, StoreAvailability

SHORTEST_S = 2.25
ANSWER, LOSS = "answer", "loss"


class OutageTest(TestWithScenarios, TestCase):
    """Guards against a cut-off call that counts as an outage, and the reverse."""

    scenarios = [
        ("one lost call", {"events": ((1.0, LOSS), (1.2, ANSWER)), "since": 0.5}),
        ("an outage", {"events": ((1.0, LOSS), (4.0, ANSWER)), "outages": 1}),
        (
            "lost calls between answers",
            {
                "events": tuple(
                    (1.0 + x / 2, LOSS if x % 2 else ANSWER) for x in range(16)
                ),
                "since": 0.5,
            },
        ),
        (
            "two outages",
            {
                "events": ((1.0, LOSS), (4.0, ANSWER), (5.0, LOSS), (8.0, ANSWER)),
                "outages": 2,
            },
        ),
        (
            "lost calls of several kinds",
            {"events": ((1.0, LOSS), (1.5, LOSS), (3.0, LOSS), (4.0, ANSWER))}
            | {"outages": 1, "lost_at": 3.0},
        ),
        ("no answer for long", {"events": ((9.0, ANSWER),), "since": 0.5}),
        (
            "an outage that goes on",
            {"events": ((1.0, LOSS), (4.0, LOSS)), "since": None},
        ),
    ]
    outages = 0
    lost_at = None
    # Start of the time for which the store is available; the last event if unset.
    since = 0.0

    def test_outages(self):
        clock = Clock()
        found = []
        availability = StoreAvailability(clock.seconds, lambda: SHORTEST_S)
        availability.on_return = found.append
        clock.advance(0.5)
        availability.record_answer()
        for at, event in self.events:
            clock.advance(at - clock.seconds())
            if event is ANSWER:
                availability.record_answer()
            else:
                availability.record_loss(at)
        self.assertEqual(self.outages, len(found))
        end = self.events[-1][0]
        if self.lost_at is not None:
            self.assertEqual([Outage(0.5, self.lost_at, end)], found)
        since = end if self.since in (0.0, None) else self.since
        self.assertEqual(end - since, availability.available_s())
