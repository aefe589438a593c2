"""Estimate the service times of routes, warm and cold, and the speed of servers.

An object is warm on a server that handled it recently.
"""

from collections import OrderedDict
from collections.abc import Mapping

from attrs import define, field

from ebonybend.steering.server_state import TrackedServer
from ebonybend.world.route import Route

# Weight of a new sample in a moving average, which spans about the last twenty answers.
GAIN = 0.1
# Objects remembered as warm on a server. Servers cache some dozens. A remembered object
# that is no longer cached shows as a slower answer, which the averages include.
MAX_WARM_OBJECTS = 128
# Bounds of a server's estimated slowness factor.
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 20.0
# Slowness from which a server counts as slow; servers of one service differ by less.
SLOW_FACTOR = 2.0
# Age from which an estimate that a server is slow is replaced by the next answer's.
SLOWNESS_LIFETIME_S = 0.5
# Multiple of the mean time within which most answers arrive.
TAIL_FACTOR = 4.0
# Factor by which the longest time falls with each answer.
LONGEST_DECAY = 0.999


@define
class RouteTimes:
    """Mean service times of a route on a server of average speed, in seconds."""

    warm_s: float | None = None
    cold_s: float | None = None
    # Mean over warm and cold objects in the proportion of the requests.
    mean_s: float | None = None
    # Longest lately, with the time that the request waited at the server.
    longest_s: float | None = None

    def expected(self, warm: bool) -> float | None:
        """Return the expected service time; None before the first answer."""
        if warm:
            return self.warm_s if self.warm_s is not None else self.cold_s
        return self.cold_s if self.cold_s is not None else self.warm_s

    def record_longest(self, seconds: float) -> None:
        """Update the longest time with the time that an answer took."""
        self.longest_s = max(seconds, (self.longest_s or 0.0) * LONGEST_DECAY)

    def add_sample(self, warm: bool, seconds: float) -> None:
        """Update the means with a service time that includes no queueing."""
        self.mean_s = _moving_average(self.mean_s, seconds)
        if warm:
            self.warm_s = _moving_average(self.warm_s, seconds)
        else:
            self.cold_s = _moving_average(self.cold_s, seconds)


def _moving_average(mean: float | None, value: float) -> float:
    return value if mean is None else mean + GAIN * (value - mean)


def _update_slowness(state: TrackedServer, ratio: float, now: float) -> None:
    """Update a server's slowness by the ratio of an answer's time to the usual one."""
    is_old = now - state.slowness_at >= SLOWNESS_LIFETIME_S
    gain = 1.0 if is_old and state.slowness >= SLOW_FACTOR else GAIN
    slowness = state.slowness + gain * (ratio - state.slowness)
    state.slowness = min(max(slowness, MIN_SLOWNESS), MAX_SLOWNESS)
    state.slowness_at = now


@define
class WarmObjects:
    """The objects that a server handled most recently."""

    objects: OrderedDict[bytes, None] = field(factory=OrderedDict)

    def add(self, key: bytes) -> None:
        """Add an object; drop the least recently handled one if there are too many."""
        self.objects[key] = None
        self.objects.move_to_end(key)
        if len(self.objects) > MAX_WARM_OBJECTS:
            self.objects.popitem(last=False)


class ServiceTimes:
    """Expected service times by route and server."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteTimes] = {}
        self.warm: dict[str, WarmObjects] = {}

    def restore(self, routes: Mapping[str, RouteTimes]) -> None:
        """Use saved times for routes that have none yet."""
        for route, times in routes.items():
            self.routes.setdefault(route, times)

    def is_warm(self, server: str, key: bytes) -> bool:
        """Return whether the server recently handled the object for this node."""
        known = self.warm.get(server)
        return known is not None and key in known.objects

    def expected(self, route: str, state: TrackedServer, key: bytes) -> float:
        """Return the expected service time of a request in seconds; 0 if unknown."""
        times = self.routes.get(route)
        if times is None:
            return 0.0
        base = times.expected(self.is_warm(state.server.name, key)) or 0.0
        return base * state.slowness

    def warm_time_s(self, route: str) -> float:
        """Return a route's mean service time for warm objects; 0 if unknown."""
        times = self.routes.get(route)
        return (times.warm_s if times else None) or 0.0

    def mean_time_s(self, route: str) -> float | None:
        """Return a route's mean service time; None before the first answer."""
        times = self.routes.get(route)
        return times.mean_s if times else None

    def likely_time_s(self, route: Route) -> float:
        """Return a time within which nearly all answers of a route arrive.

        The mean alone doesn't show how long others of a route take whose requests
        differ. Before the first answer, it is the route's objective.
        """
        times = self.routes.get(route.name)
        if times is None or times.mean_s is None:
            return route.objective_s
        return max(times.mean_s * TAIL_FACTOR, times.longest_s or 0.0)

    def record_answer_time(
        self,
        route: str,
        state: TrackedServer,
        key: bytes,
        seconds: float | None,
        queued: bool,
        now: float = float("-inf"),
    ) -> None:
        """Record a complete answer and the time that it took, if that is known.

        Seconds exclude the network round trip.
        """
        name = state.server.name
        if seconds is not None:
            warm = self.is_warm(name, key)
            self._record_time(route, state, warm, seconds, queued, now)
        self.warm.setdefault(name, WarmObjects()).add(key)

    def _record_time(
        self,
        route: str,
        state: TrackedServer,
        warm: bool,
        seconds: float,
        queued: bool,
        now: float,
    ) -> None:
        times = self.routes.setdefault(route, RouteTimes())
        times.record_longest(seconds)
        expected = times.expected(warm)
        if not queued:
            if expected:
                _update_slowness(state, seconds / expected, now)
            # Answers of a slow server would distort the times of the route.
            if expected is None or state.slowness < SLOW_FACTOR:
                times.add_sample(warm, seconds)

    def forget_server(self, server: str) -> None:
        """Drop the objects that were warm on a server, whose process has ended."""
        self.warm.pop(server, None)

    def retain(self, servers: set[str], routes: set[str]) -> None:
        """Drop servers and routes that no longer exist."""
        self.warm = {n: w for n, w in self.warm.items() if n in servers}
        self.routes = {n: r for n, r in self.routes.items() if n in routes}
