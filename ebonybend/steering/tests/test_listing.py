from collections import Counter
from random import Random

from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.listing import MIN_LISTED, nodes_to_list

ANSWERS = 4000


class ListingTest(TestWithScenarios, TestCase):
    """Guards against small links that carry as much as large ones.

    Load pattern: clients that fetch large answers, through nodes of which two in three
    have a link with a fraction of the others' rate.
    """

    scenarios = [
        (
            "two in three have small links",
            # In proportion to the rates, of which at most 50 Mbit/s count.
            {"links": (100, 100, 100, 6, 6, 6, 6, 6, 6), "small_part": 36 / 186},
        ),
        (
            "all links are sufficient",
            {"links": (100, 200, 400, 100, 200, 400), "small_part": 0.5},
        ),
        ("all links are small", {"links": (6, 6, 6, 6, 6, 6), "small_part": 0.5}),
        ("half the rate", {"links": (20, 20, 20, 10, 10, 10), "small_part": 1 / 3}),
        ("unknown rates", {"links": (0, 0, 0, 0, 0, 0), "small_part": 0.5}),
    ]

    def test_part_of_the_connections(self):
        random = Random(1)
        links = {f"n{number}": rate for number, rate in enumerate(self.links)}
        connections = Counter()
        for _ in range(ANSWERS):
            listed = nodes_to_list(links, random)
            self.assertGreaterEqual(len(set(listed)), MIN_LISTED)
            connections[random.choice(listed)] += 1
        small = sum(connections[f"n{number}"] for number in range(3, len(links)))
        self.assertAlmostEqual(self.small_part, small / ANSWERS, delta=0.05)
        # Each ready node takes some clients.
        self.assertGreater(min(connections[name] for name in links), ANSWERS / 100)


class FewNodesTest(TestWithScenarios, TestCase):
    """Guards against an answer without nodes, or with the same few in each."""

    scenarios = [
        ("none", {"links": {}, "listed": 0}),
        ("one", {"links": {"a": 6.0}, "listed": 1}),
        ("a large and a small one", {"links": {"a": 100.0, "b": 6.0}, "listed": 2}),
    ]

    def test_all_are_listed(self):
        self.assertEqual(self.listed, len(nodes_to_list(self.links, Random(1))))
