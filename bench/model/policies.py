"""Choices of a server: that of the nodes, and simple ones to compare it with."""

from collections.abc import Callable
from random import Random
from typing import Protocol

from ebonybend.steering.placement import (
    Placement,
    PlacementQuery,
    rendezvous_weight,
)
from ebonybend.steering.server_state import ServerTable, TrackedServer
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world.route import ServiceLimits

RETRY_AFTER_S = 0.1


class Policy(Protocol):
    """What the forwarder of a node asks."""

    table: ServerTable
    times: ServiceTimes

    def choose(self, query: PlacementQuery, now: float) -> TrackedServer | None:
        """Return the server to send a request to, or None to refuse it."""
        ...

    def record_send(
        self, state: TrackedServer, service: ServiceLimits, now: float
    ) -> None:
        """Count a request to a server whose rate is bounded."""
        ...

    def retry_after_s(self, query: PlacementQuery, now: float) -> float:
        """Return after how many seconds a refused caller may come back."""
        ...

    def describe(self, query: PlacementQuery, now: float) -> str:
        """Describe why a request was refused."""
        ...


Pick = Callable[[list[TrackedServer], PlacementQuery, float, Random], TrackedServer]


class Baseline:
    """A choice among all usable servers of the own region, without a limit."""

    def __init__(
        self, pick: Pick, table: ServerTable, times: ServiceTimes, random: Random
    ):
        self.pick = pick
        self.table = table
        self.times = times
        self.random = random

    def choose(self, query: PlacementQuery, now: float) -> TrackedServer | None:
        """Return the picked server of the region, or of any if it has none."""
        usable = [
            state
            for state in self.table.usable(query.service.name)
            if state.server.name not in query.excluded
        ]
        local = [s for s in usable if s.server.region == query.region]
        candidates = local or usable
        return self.pick(candidates, query, now, self.random) if candidates else None

    def record_send(
        self, state: TrackedServer, service: ServiceLimits, now: float
    ) -> None:
        """Count nothing; a baseline keeps no bound."""

    def retry_after_s(self, query: PlacementQuery, now: float) -> float:
        """Return a fixed delay."""
        return RETRY_AFTER_S

    def describe(self, query: PlacementQuery, now: float) -> str:
        """Return the name of the cause."""
        return "no usable server"


def _random(states, _query, _now, random):
    return random.choice(states)


def _least_loaded(states, _query, now, _random):
    return min(states, key=lambda s: s.load(now) / s.server.slots)


def _two_choices(states, query, now, random):
    return _least_loaded(random.sample(states, min(2, len(states))), query, now, random)


def _rendezvous(states, query, _now, _random):
    key = query.object_key
    return max(states, key=lambda s: rendezvous_weight(key, s.server.name))


PICKS: dict[str, Pick] = {
    "random": _random,
    "least-loaded": _least_loaded,
    "two-choices": _two_choices,
    "rendezvous": _rendezvous,
}
POLICIES = ("node", *PICKS)


def build_policy(
    name: str,
    table: ServerTable,
    times: ServiceTimes,
    node_count: Callable[[], int],
    random: Random,
) -> Policy:
    """Return the policy with a name; raise KeyError for an unknown one."""
    if name == "node":
        return Placement(table, times, node_count)
    return Baseline(PICKS[name], table, times, random)
