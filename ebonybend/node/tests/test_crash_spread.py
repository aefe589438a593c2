from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.node.tests.crash_fleet import CrashFleet

# The shortest time within which the users' deployments ask nodes in touch to know.
CONTACT_S = 3.0
# Time after which a request that only ran beside the culprit has to be served.
CLEARED_S = 5.0
CULPRIT = "culprit-1"


class CrowdedCrashTest(TestWithScenarios, TestCase):
    """Guards against a culprit that isn't refused since many requests ran beside it.

    Load pattern: servers crash in series or at once, each with a full queue.
    """

    scenarios = [
        ("alone", {"crowd": 0}),
        ("beside a few", {"crowd": 10}),
        ("beside many", {"crowd": 30}),
        ("three ends", {"crowd": 30, "ends": 3}),
        ("in one moment", {"crowd": 30, "gap_s": 0.0}),
        ("lost datagrams", {"crowd": 30, "gap_s": 0.0, "loss": 0.1}),
        ("two regions cut off", {"crowd": 30, "cut": frozenset({"r0", "r1"})}),
        (
            "two regions cut off, in one moment",
            {"crowd": 30, "cut": frozenset({"r0", "r1"}), "gap_s": 0.0},
        ),
        ("many servers", {"crowd": 30, "ends": 40, "gap_s": 0.0, "seeds": 3}),
        ("many nodes", {"crowd": 24, "gap_s": 0.0, "nodes": 78, "seeds": 1}),
    ]
    nodes = 7
    ends = 12
    gap_s = 0.08
    loss = 0.0
    cut = frozenset()
    seeds = 10

    def test_all_nodes_refuse_it_in_time(self):
        refusing = []
        for seed in range(self.seeds):
            fleet = CrashFleet(self.nodes, self.loss, seed, self.cut)
            for number in range(self.ends):
                fleet.clock.callLater(
                    self.gap_s * number, fleet.crash, number, [CULPRIT], self.crowd
                )
            fleet.advance(2 * self.gap_s + CONTACT_S)
            refusing.append(fleet.refusing(CULPRIT))
        self.assertEqual([self.nodes] * self.seeds, refusing)


class BesideCulpritTest(TestWithScenarios, TestCase):
    """Guards against a request that stays refused for its neighbour's crashes."""

    scenarios = [
        ("on some of its servers", {"beside": [0, 1, 2, 3]}),
        ("on another's too", {"beside": [2, 3, 4, 20]}),
    ]

    def test_is_served_again(self):
        fleet = CrashFleet(7)
        culprits = {number: [CULPRIT] for number in range(6)}
        culprits |= {number: ["another-2"] for number in range(20, 25)}
        for number, names in culprits.items():
            beside = ["innocent-3"] if number in self.beside else []
            fleet.crash(number, names + beside, 5)
            fleet.advance(0.1)
        fleet.advance(CLEARED_S)
        refusing = [fleet.refusing(x) for x in (CULPRIT, "another-2", "innocent-3")]
        self.assertEqual([7, 7, 0], refusing)
