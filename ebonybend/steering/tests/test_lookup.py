from collections import Counter
from ipaddress import IPv4Address

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.codec import pack
from ebonybend.errors import SteeringError
from ebonybend.steering import ClientMap, ClientShard, LookupRanker, encode_shard
from ebonybend.steering.table import InstanceView, Table
from ebonybend.world import Deployment, FailureDomain, LifeState, Link, Region

SITES = ("k1", "k2", "m1")
CLIENT = int(IPv4Address("10.1.2.77"))
BLOCK = int(IPv4Address("10.1.2.0"))


def make_table(instances_per_domain=3):
    domains = tuple(
        FailureDomain(
            name, region, tuple(f"{name}-{i}" for i in range(instances_per_domain))
        )
        for name, region in [("k1", "K"), ("k2", "K"), ("m1", "M")]
    )
    links = (Link("K", "M", 1e6, 55.0), Link("M", "K", 1e6, 55.0))
    deployment = Deployment((Region("K"), Region("M")), domains, links, (), ())
    instances = tuple(
        InstanceView(name, 1, domain.name, "", "", "", LifeState.LIVE, True, 0, 0)
        for domain in domains
        for name in domain.instances
    )
    return Table(1, 1, 1, "", deployment, "k1", instances=instances)


class BadShardTest(TestWithScenarios, TestCase):
    """Guards against a damaged client map that sends clients to wrong sites."""

    scenarios = [
        ("overlap", {"shards": [encode_shard(SITES, [(BLOCK, 0)])] * 2}),
        (
            "order",
            {"shards": [pack(ClientShard(SITES, b"\1\0\0\0" * 2, b"\0" * 4))]},
        ),
        ("truncated", {"shards": [pack(ClientShard(SITES, b"\0" * 4, b"\0"))]}),
        ("site", {"shards": [encode_shard(SITES, [(BLOCK, 3)])]}),
        (
            "sites",
            {
                "shards": [
                    encode_shard(SITES, [(BLOCK, 0)]),
                    encode_shard(("x",), [(BLOCK + 256, 0)]),
                ]
            },
        ),
        ("not a shard", {"shards": [b"x"]}),
    ]

    def test_refused(self):
        self.assertRaises(SteeringError, ClientMap.from_shards, self.shards)


class LookupTest(TestCase):
    def setUp(self):
        super().setUp()
        shards = [
            encode_shard(SITES, [(BLOCK + 256 * i, 2) for i in range(500)]),
            encode_shard(SITES, [(256, 1), (0, 0)]),
        ]
        self.client_map = ClientMap.from_shards(shards)
        self.table = make_table()
        self.ranker = LookupRanker(self.table, self.client_map)

    def first_choices(self, ranker, count=500):
        return {i: ranker.rank(CLIENT + 256 * i)[0].name for i in range(count)}

    def test_site_of_block(self):
        """Guards against clients that get a neighbouring block's site."""
        found = [self.client_map.site_of(ip) for ip in (0, 511, 512, CLIENT, 2**32 - 1)]
        self.assertEqual([0, 1, None, 2, None], found)
        self.assertEqual(502 * 6, self.client_map.size_bytes())

    def test_nearest_domain_first(self):
        """Guards against clients that are sent to a remote domain."""
        domains = [view.failure_domain for view in self.ranker.rank(CLIENT)]
        self.assertEqual(["m1", "m1", "k1", "k1", "k2", "k2"], domains)
        unknown = [view.failure_domain for view in self.ranker.rank(2**32 - 1)]
        self.assertEqual(["k1", "k1", "k2", "k2", "m1", "m1"], unknown)

    def test_blocks_are_spread_over_instances(self):
        """Guards against one instance that gets all clients of a site."""
        counts = Counter(self.first_choices(self.ranker).values())
        self.assertEqual(3, len(counts))
        self.assertLess(max(counts.values()), 500 / 3 * 1.3)

    def test_only_blocks_of_a_lost_instance_move(self):
        """Guards against clients that move between healthy instances."""
        for change in [{"ready": False}, {"state": LifeState.LEAVING}]:
            instances = tuple(
                evolve(view, **change) if view.name == "m1-0" else view
                for view in self.table.instances
            )
            table = evolve(self.table, instances=instances)
            ranker = LookupRanker(table, self.client_map, previous=self.ranker)
            after = self.first_choices(ranker)
            for index, name in self.first_choices(self.ranker).items():
                if name != "m1-0":
                    self.assertEqual(name, after[index])
            self.assertNotIn("m1-0", after.values())

    def test_drained_instance_is_not_listed(self):
        """Guards against new clients on an instance that a rule drains."""
        ranker = LookupRanker(self.table, self.client_map, drained={"m1-1"})
        self.assertNotIn("m1-1", self.first_choices(ranker).values())
