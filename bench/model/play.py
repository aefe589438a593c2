"""Play a pattern of load and trouble against a policy, and count what callers get."""

from collections import defaultdict
from itertools import accumulate
from random import Random

from attrs import define, field, frozen
from twisted.internet.defer import Deferred

from bench.model.clock import SimulatedClock
from bench.model.nodes import ModelNode, exchange_heartbeats
from bench.model.servers import ModelServer
from bench.model.world import Deployment, Pattern, Traffic, Trouble
from ebonybend.world import BackendServer

# Server speeds differ by this fraction.
SPEED_SPREAD = 0.2
# Time until the nodes learn that a server is up or down.
LIST_LAG_S = 1.0
# A caller honours Retry-After up to this fraction of its remaining time.
MAX_WAIT_FRACTION = 1 / 3
MAX_ATTEMPTS = 2
DRAIN_S = 4.0


@frozen
class Outcome:
    """What one caller's request came to."""

    route: str
    region: str
    started_at: float
    # "on_time", "late", "refused" or "failed".
    result: str
    seconds: float
    attempts: int
    worth: float


@define
class Figures:
    """The outcomes of a play, and how warm the servers ran."""

    outcomes: list[Outcome] = field(factory=list)
    warm_fraction: float = 0.0

    def fraction(self, result: str, **where: str) -> float:
        """Return the fraction of a result among the outcomes with given attributes."""
        chosen = [
            outcome
            for outcome in self.outcomes
            if all(getattr(outcome, name) == value for name, value in where.items())
        ]
        return sum(o.result == result for o in chosen) / max(len(chosen), 1)

    def by_second(self, result: str) -> list[float]:
        """Return the fraction of a result by the second of the first attempt."""
        counts: dict[int, list[bool]] = defaultdict(list)
        for outcome in self.outcomes:
            counts[int(outcome.started_at)].append(outcome.result == result)
        return [
            sum(counts[second]) / max(len(counts[second]), 1)
            for second in range(max(counts, default=0) + 1)
        ]


class Play:
    """One play of a pattern."""

    def __init__(
        self, deployment: Deployment, pattern: Pattern, policy: str, seed: int
    ):
        self.deployment = deployment
        self.pattern = pattern
        self.random = Random(f"{seed} {pattern.name}")
        self.clock = SimulatedClock()
        self.figures = Figures()
        self.servers = self._build_servers()
        self.nodes = self._build_nodes(policy, seed)
        self.load_factor = 1.0
        self.callers = list(deployment.callers)
        self.request_count = 0
        numbers = range(1, deployment.objects_per_region + 1)
        # Popularity of objects by Zipf's law.
        self.popularity = list(accumulate(1 / number for number in numbers))

    def _build_servers(self) -> dict[str, ModelServer]:
        found = {}
        for service, counts in self.deployment.servers.items():
            for region, count in zip(self.deployment.regions, counts, strict=True):
                for number in range(count):
                    name = f"{service}-{region}-{number}"
                    speed = self.random.uniform(1 - SPEED_SPREAD, 1 + SPEED_SPREAD)
                    found[name] = ModelServer(
                        name,
                        service,
                        region,
                        f"{region}-{'ab'[number % 2]}",
                        self.deployment.slots[service],
                        self.clock,
                        Random(f"{name} {speed}"),
                        speed,
                    )
        return found

    def _build_nodes(self, policy: str, seed: int) -> dict[str, list[ModelNode]]:
        return {
            region: [
                ModelNode(
                    f"{region}-{number}",
                    region,
                    self.deployment,
                    self.clock,
                    self.servers,
                    policy,
                    Random(f"{seed} {region} {number}"),
                )
                for number in range(self.deployment.nodes_per_region)
            ]
            for region in self.deployment.regions
        }

    def run(self, seconds: float) -> Figures:
        """Play for some simulated seconds and return the figures."""
        self._list_servers()
        nodes = [node for group in self.nodes.values() for node in group]
        exchange_heartbeats(nodes, self.clock)
        self.clock.run_until(2.0)
        start = self.clock.seconds()
        for trouble in self.pattern.troubles:
            self.clock.callLater(trouble.at, self._begin, trouble)
        for traffic in self.deployment.traffic:
            self._schedule(traffic, start, start + seconds)
        self.clock.run_until(start + seconds + DRAIN_S)
        runs = sum(server.runs for server in self.servers.values())
        warm = sum(server.warm_runs for server in self.servers.values())
        self.figures.warm_fraction = warm / max(runs, 1)
        return self.figures

    # Troubles

    def _begin(self, trouble: Trouble) -> None:
        affected = self._affected(trouble.strength)
        match trouble.kind:
            case "burst":
                self.load_factor = trouble.strength
            case "shift":
                others = [x * (1 - trouble.strength) for x in self.callers[1:]]
                self.callers = [1 - sum(others), *others]
            case "crash":
                for server in affected:
                    server.crash()
                self.clock.callLater(LIST_LAG_S, self._list_servers)
            case "slow":
                for server in affected:
                    server.slow_factor = 4.0
            case "failing":
                for server in affected:
                    server.failing_fraction = 0.5
        self.clock.callLater(trouble.seconds, self._end, trouble, affected)

    def _end(self, trouble: Trouble, affected: list[ModelServer]) -> None:
        match trouble.kind:
            case "burst":
                self.load_factor = 1.0
            case "shift":
                self.callers = list(self.deployment.callers)
            case _:
                for server in affected:
                    server.is_up = True
                    server.slow_factor, server.failing_fraction = 1.0, 0.0
                self.clock.callLater(LIST_LAG_S, self._list_servers)

    def _affected(self, fraction: float) -> list[ModelServer]:
        ordered = sorted(self.servers.values(), key=lambda server: server.name)
        self.random.shuffle(ordered)
        return ordered[: round(min(fraction, 1.0) * len(ordered))]

    def _list_servers(self) -> None:
        listed = {
            server.name: BackendServer(
                server.name,
                server.service,
                server.zone,
                f"{server.name}:1",
                server.slots,
                region=server.region,
            )
            for server in self.servers.values()
            if server.is_up
        }
        for group in self.nodes.values():
            for node in group:
                node.apply_servers(listed)

    # Callers

    def _schedule(self, traffic: Traffic, start: float, end: float) -> None:
        rate = traffic.per_second * self.load_factor
        at = self.clock.seconds() + self.random.expovariate(rate)
        if at >= end:
            return
        self.clock.callLater(
            at - self.clock.seconds(), self._arrive, traffic, start, end
        )

    def _arrive(self, traffic: Traffic, start: float, end: float) -> None:
        self._schedule(traffic, start, end)
        region = self.random.choices(self.deployment.regions, self.callers)[0]
        (number,) = self.random.choices(
            range(len(self.popularity)), cum_weights=self.popularity
        )
        key = f"{region} {traffic.route.parts[0].service} {number}".encode()
        Deferred.fromCoroutine(self._call(traffic, region, key, start))

    async def _call(
        self, traffic: Traffic, region: str, key: bytes, start: float
    ) -> None:
        """Send a request, again if it is refused, and record what came of it."""
        began = self.clock.seconds()
        ends = began + traffic.patience_s
        result, attempts = "failed", 0
        while attempts < MAX_ATTEMPTS:
            attempts += 1
            status, delay_s = await self._attempt(traffic, region, key, ends)
            seconds = self.clock.seconds() - began
            if 200 <= status < 300:
                on_time = seconds <= traffic.route.objective_s
                result = "on_time" if on_time else "late"
                break
            result = "refused" if status == 503 else "failed"
            if status != 503 and not traffic.route.idempotent:
                break
            left_s = ends - self.clock.seconds()
            await self._sleep(min(delay_s or 0.0, left_s * MAX_WAIT_FRACTION))
        self.figures.outcomes.append(
            Outcome(
                traffic.route.name,
                region,
                began - start,
                result,
                self.clock.seconds() - began,
                attempts,
                traffic.worth,
            )
        )

    async def _attempt(
        self, traffic: Traffic, region: str, key: bytes, ends: float
    ) -> tuple[int, float | None]:
        self.request_count += 1
        request_id = b"%d" % self.request_count
        node = self.random.choice(self.nodes[region])
        deadline_s = round(ends - self.clock.seconds(), 6)
        await self._sleep(self.deployment.to_callers_s)
        status, delay_s = await node.handle(
            request_id,
            traffic.route,
            self._urgent_route(traffic),
            key,
            traffic.work_s,
            deadline_s,
        )
        await self._sleep(self.deployment.to_callers_s)
        return status, delay_s

    def _urgent_route(self, traffic: Traffic):
        service = traffic.route.parts[0].service
        routes = [
            other.route
            for other in self.deployment.traffic
            if other.route.parts[0].service == service
        ]
        urgent = min(routes, key=lambda r: (r.priority, r.objective_s))
        return urgent if urgent.priority < traffic.route.priority else None

    def _sleep(self, seconds: float) -> Deferred[None]:
        slept: Deferred[None] = Deferred()
        self.clock.callLater(seconds, slept.callback, None)
        return slept


def play(
    deployment: Deployment, pattern: Pattern, policy: str, seed: int, seconds: float
) -> Figures:
    """Play a pattern and return its figures."""
    return Play(deployment, pattern, policy, seed).run(seconds)
