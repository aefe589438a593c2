from itertools import pairwise

from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.relays import (
    FAILURE_TIMEOUT_S,
    PULSE_PERIOD_S,
    PULSE_TIMEOUT_S,
    RELAYS_NEEDED,
    Pulse,
    Relays,
    rank,
)

NAMES = sorted((f"n{number}" for number in range(8)), key=rank)


def pulse(name, version=5, count=1, incarnation=1, era=0):
    return Pulse(
        name=name,
        incarnation=incarnation,
        count=count,
        address=f"{name}:1",
        versions={"servers": version},
        era=era,
    )


class CandidateTest(TestWithScenarios, TestCase):
    """Guards against all nodes of a region that ask a store that is down."""

    scenarios = [
        ("ranks first", {"own": 0, "names": NAMES, "candidate": True}),
        ("ranks second", {"own": 1, "names": NAMES, "candidate": True}),
        ("ranks third", {"own": 2, "names": NAMES, "candidate": False}),
        ("the first ones are dead", {"own": 2, "names": NAMES[1:], "candidate": True}),
        ("few nodes", {"own": 3, "names": NAMES[:4], "candidate": True}),
        ("no others", {"own": 7, "names": [], "candidate": True}),
    ]

    def test_is_candidate(self):
        relays = Relays(NAMES[self.own])
        others = [name for name in self.names if name != NAMES[self.own]]
        self.assertEqual(self.candidate, relays.is_candidate(others))


class FollowTest(TestWithScenarios, TestCase):
    """Guards against relying on relays that are too few, silent or failing."""

    scenarios = [
        ("no pulses", {"senders": (), "follows": False}),
        ("one relay", {"senders": (0,), "follows": False}),
        ("two relays", {"senders": (0, 1), "follows": True}),
        ("a relay that ranks after", {"senders": (0, 6), "follows": False}),
        ("one silent", {"senders": (0, 1), "after_s": 1.7, "follows": False}),
        ("one of three failed", {"senders": (0, 1, 2), "failed": 1, "follows": True}),
        ("one of two failed", {"senders": (0, 1), "failed": 1, "follows": False}),
    ]
    after_s = 0.0
    failed = None

    def test_follows(self):
        relays = Relays(NAMES[4])
        for number, sender in enumerate(self.senders):
            # The last pulse arrives later than the others.
            at = self.after_s if number == len(self.senders) - 1 else 0.0
            relays.record_pulse(pulse(NAMES[sender]), at)
        if self.failed is not None:
            relays.record_failure(NAMES[self.failed], 0.0)
        until = relays.follow_until(self.after_s)
        self.assertEqual(self.follows, until > self.after_s)
        if self.follows:
            self.assertEqual(PULSE_TIMEOUT_S, until)

    def test_failed_relay_is_relied_upon_again(self):
        relays = Relays(NAMES[4])
        relays.record_failure(NAMES[0], 0.0)
        for name in NAMES[:RELAYS_NEEDED]:
            relays.record_pulse(pulse(name), 0.0)
        relays.record_failure(NAMES[0], 0.0)
        now = FAILURE_TIMEOUT_S
        for name in NAMES[:RELAYS_NEEDED]:
            relays.record_pulse(pulse(name, count=2), now)
        self.assertGreater(relays.follow_until(now), now)


class OrderTest(TestWithScenarios, TestCase):
    """Guards against datagrams of the past that make a relay look older or alive."""

    scenarios = [
        ("older datagram", {"second": pulse("n1", 4, 1), "accepted": False}),
        ("the same datagram", {"second": pulse("n1", 5, 2), "accepted": False}),
        ("newer datagram", {"second": pulse("n1", 6, 3), "accepted": True}),
        ("earlier process", {"second": pulse("n1", 6, 9, 0), "accepted": False}),
        ("later process", {"second": pulse("n1", 6, 1, 2), "accepted": True}),
        (
            "restart with a clock set back",
            {"second": pulse("n1", 6, 1, 0), "at": PULSE_TIMEOUT_S, "accepted": True},
        ),
    ]
    at = 0.5

    def test_second_pulse(self):
        relays = Relays("n0")
        relays.record_pulse(pulse("n1", 5, 2), 0.0)
        self.assertEqual(self.accepted, relays.record_pulse(self.second, self.at))


class SourceTest(TestCase):
    """Guards against reading old changes, and all nodes reading from one relay."""

    def test_newest_relay_is_read_and_only_for_news(self):
        relays = Relays(NAMES[4])
        relays.record_pulse(pulse(NAMES[0], 5), 0.0)
        relays.record_pulse(pulse(NAMES[1], 7), 0.0)
        self.assertEqual(NAMES[1], relays.source("servers", 4, 0.1).name)
        self.assertEqual(NAMES[1], relays.source("servers", 6, 0.1).name)
        self.assertIsNone(relays.source("servers", 7, 0.1))
        self.assertIsNone(relays.source("config", 0, 0.1))
        self.assertIsNone(relays.source("servers", 4, PULSE_TIMEOUT_S))

    def test_versions_count_within_their_era(self):
        relays = Relays(NAMES[4])
        relays.record_pulse(pulse(NAMES[0], 9, era=1), 0.0)
        relays.record_pulse(pulse(NAMES[1], 3, era=2), 0.0)
        self.assertEqual(NAMES[1], relays.source("servers", 9, 0.1, 1).name)
        self.assertEqual(NAMES[1], relays.source("servers", 2, 0.1, 2).name)
        self.assertIsNone(relays.source("servers", 3, 0.1, 2))
        self.assertIsNone(relays.source("config", 0, 0.1, 1))

    def test_relay_of_an_earlier_build_is_read_by_its_versions(self):
        relays = Relays(NAMES[4])
        relays.record_pulse(pulse(NAMES[0], 9), 0.0)
        self.assertEqual(NAMES[0], relays.source("servers", 8, 0.1, 3).name)
        self.assertIsNone(relays.source("servers", 9, 0.1, 3))

    def test_readers_are_spread_over_equally_new_relays(self):
        sources = set()
        for number in range(20):
            relays = Relays(f"reader-{number}")
            for name in NAMES[:RELAYS_NEEDED]:
                relays.record_pulse(pulse(name), 0.0)
            sources.add(relays.source("servers", 0, 0.1).name)
        self.assertEqual(set(NAMES[:RELAYS_NEEDED]), sources)


class RegionTest(TestWithScenarios, TestCase):
    """Guards against a region without relays, or with one for each node."""

    scenarios = [
        ("all well", {"lost": ()}),
        ("both relays lost", {"lost": (0, 1)}),
        ("a relay and the next lost", {"lost": (1, 2)}),
        ("all but one lost", {"lost": tuple(range(7))}),
    ]

    def relays_of(self, views, now):
        return [n for n, view in views.items() if view.follow_until(now) <= now]

    def pulse_round(self, views, count, now):
        for sender in self.relays_of(views, now):
            for name, view in views.items():
                if name != sender:
                    view.record_pulse(pulse(sender, count=count), now)

    def test_lost_relays_are_replaced(self):
        views = {name: Relays(name) for name in NAMES}
        rounds = [number * PULSE_PERIOD_S for number in range(5)]
        for count, now in enumerate(rounds):
            self.pulse_round(views, count, now)
        self.assertEqual(NAMES[:RELAYS_NEEDED], self.relays_of(views, rounds[-1]))
        for number in self.lost:
            del views[NAMES[number]]
        lost_at = rounds[-1]
        later = [lost_at + 0.1 * step for step in range(1, 40)]
        for count, (before, now) in enumerate(pairwise(later)):
            if int(before / PULSE_PERIOD_S) != int(now / PULSE_PERIOD_S):
                self.pulse_round(views, 100 + count, now)
            if now > lost_at + PULSE_TIMEOUT_S:
                relays = self.relays_of(views, now)
                self.assertGreaterEqual(len(relays), min(len(views), RELAYS_NEEDED))
        expected = [name for name in NAMES if name in views][:RELAYS_NEEDED]
        self.assertEqual(expected, self.relays_of(views, later[-1]))
