"""Choose which nodes a directory answer lists, by the capacity of their links.

Clients pick one of the listed nodes at random, so a node that is listed in a fraction
of the answers gets about this fraction of the connections of one that is always listed.
"""

from collections.abc import Mapping
from random import Random

# Links above this rate are not what limits a node, so more of it attracts no clients.
SUFFICIENT_LINK_MBPS = 50.0
# Smallest fraction of the answers that list a ready node.
MIN_LISTED_FRACTION = 0.15
# Nodes in an answer, so that a client has others to try, and the failure of one is not
# felt by all clients.
MIN_LISTED = 3


def listed_fraction(link_mbps: float, largest_mbps: float) -> float:
    """Return the fraction of the answers that list a node with a link of some rate.

    A rate of 0 is unknown and counts as sufficient.
    """
    return max(_useful_mbps(link_mbps) / largest_mbps, MIN_LISTED_FRACTION)


def nodes_to_list(links_mbps: Mapping[str, float], random: Random) -> list[str]:
    """Return the names for one answer, in the order of the links."""
    largest_mbps = max(map(_useful_mbps, links_mbps.values()), default=0.0)
    chosen, others = [], []
    for name, link_mbps in links_mbps.items():
        fraction = listed_fraction(link_mbps, largest_mbps)
        (chosen if random.random() < fraction else others).append(name)
    if len(chosen) < MIN_LISTED:
        others.sort(key=lambda name: _useful_mbps(links_mbps[name]), reverse=True)
        chosen += others[: MIN_LISTED - len(chosen)]
    return chosen


def _useful_mbps(link_mbps: float) -> float:
    return min(link_mbps or SUFFICIENT_LINK_MBPS, SUFFICIENT_LINK_MBPS)
