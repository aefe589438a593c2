from attrs import evolve
from testtools import TestCase
from twisted.internet.task import Clock

from ebonybend.node.demand import RegionSteering
from ebonybend.node.members import Member, Members
from ebonybend.steering.server_state import ServerTable, TrackedServer
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world import BackendServer
from ebonybend.world.route import Route, RoutePart

OWN = Member("n1", "k-a", "k", "10.1.0.1:80", "10.1.0.1:81", 1)
ROUTE = Route("r", "h", "/", True, (RoutePart("s", 1.0),), 1, 4.0, 0.5, 1)
WARM_S = 0.3
COLD_S = 1.2
RATE_PER_S = 20.0
SLOTS = 6


class SteeredRegion:
    """The traffic of a region with one server, beside one with nine.

    All objects are cold at first, and one request in three meets a warm one.
    """

    def __init__(self):
        self.clock = Clock()
        servers = {
            f"{region}{number}": BackendServer(
                f"{region}{number}", "s", f"{region}-a", "1:1", SLOTS, region=region
            )
            for region, count in (("k", 1), ("m", 9))
            for number in range(count)
        }
        table = ServerTable()
        table.update(servers, 0.0)
        self.times = ServiceTimes()
        self.steering = RegionSteering(
            "k",
            lambda: ("k", "m"),
            lambda: 0.15,
            table,
            self.times,
            Members(OWN),
            self.clock.seconds,
        )
        self.state = TrackedServer(evolve(servers["m0"]))

    def run(self, seconds, answered=True):
        for number in range(int(seconds * RATE_PER_S)):
            self.steering.record_request(ROUTE, "s")
            if answered:
                is_warm = number % 3 == 0
                key = b"warm" if is_warm else b"object %d" % number
                spent_s = WARM_S if is_warm else COLD_S
                self.times.record_answer_time("r", self.state, key, spent_s, False)
            self.clock.advance(1 / RATE_PER_S)
            if number % 14 == 0:
                self.steering.update()

    def own_share(self):
        return self.steering.current_shares()["s"].get("k", 0.0)


class ColdObjectsTest(TestCase):
    """Guards against a region whose few servers get all its cold objects.

    Load pattern: the first seconds of a day, in a region with a third of the clients
    and a tenth of the slots.
    """

    def test_demand_counts_cold_objects(self):
        region = SteeredRegion()
        region.run(10.0)
        demand = region.steering.own_demand()["s"]
        mean_s = (WARM_S + 2 * COLD_S) / 3
        self.assertGreater(demand, 0.8 * RATE_PER_S * mean_s)

    def test_demand_before_the_first_answer(self):
        region = SteeredRegion()
        region.run(3.0, answered=False)
        demand = region.steering.own_demand()["s"]
        self.assertGreater(demand, 0.8 * RATE_PER_S * ROUTE.objective_s)

    def test_excess_moves_away(self):
        region = SteeredRegion()
        region.run(20.0)
        # The slots of the region carry 0.7 x 6 of a demand of 18.
        self.assertLess(region.own_share(), 0.35)
