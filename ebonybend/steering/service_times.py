"""Learn from answers how long requests take, warm and cold, and how fast servers are.

Warm means that the server handled the same object lately.
"""

from collections import OrderedDict
from collections.abc import Mapping

from attrs import define, field

from ebonybend.steering.server_state import TrackedServer

# Weight of a new answer in a moving average; about the last twenty answers count.
GAIN = 0.1
# Objects that are remembered as warm on a server. Servers keep some dozens; what they
# have dropped shows as slower answers and is averaged in.
MOST_OBJECTS = 128
# The estimate of a server's slowness stays within these factors.
LEAST_SLOWNESS = 0.25
MOST_SLOWNESS = 20.0
# Factor from which a server counts as slow; servers of one service differ by less.
SLOW = 2.0


@define
class RouteTimes:
    """Mean times of a route's requests on a server of common speed, in seconds."""

    warm_s: float | None = None
    cold_s: float | None = None

    def expected(self, warm: bool) -> float | None:
        """Return the expected time; None before the first answer."""
        if warm:
            return self.warm_s if self.warm_s is not None else self.cold_s
        return self.cold_s if self.cold_s is not None else self.warm_s

    def learn(self, warm: bool, seconds: float) -> None:
        """Take in a time that contains no waiting."""
        if warm:
            self.warm_s = _moved(self.warm_s, seconds)
        else:
            self.cold_s = _moved(self.cold_s, seconds)


def _moved(mean: float | None, value: float) -> float:
    return value if mean is None else mean + GAIN * (value - mean)


@define
class WarmObjects:
    """The objects that a server handled last."""

    objects: OrderedDict[bytes, None] = field(factory=OrderedDict)

    def handled(self, key: bytes) -> None:
        """Take in that the server has handled an object."""
        self.objects[key] = None
        self.objects.move_to_end(key)
        if len(self.objects) > MOST_OBJECTS:
            self.objects.popitem(last=False)


class ServiceTimes:
    """Expected times by route and server."""

    def __init__(self) -> None:
        self.routes: dict[str, RouteTimes] = {}
        self.warm: dict[str, WarmObjects] = {}

    def restore(self, routes: Mapping[str, RouteTimes]) -> None:
        """Begin with times that were learned before the start."""
        for route, times in routes.items():
            self.routes.setdefault(route, times)

    def is_warm(self, server: str, key: bytes) -> bool:
        """Tell whether this node saw the server handle the object."""
        known = self.warm.get(server)
        return known is not None and key in known.objects

    def expected(self, route: str, state: TrackedServer, key: bytes) -> float:
        """Return the time that a request takes once it runs; 0 if unknown."""
        times = self.routes.get(route)
        if times is None:
            return 0.0
        base = times.expected(self.is_warm(state.server.name, key)) or 0.0
        return base * state.slowness

    def warm_time(self, route: str) -> float:
        """Return the time on a server that has the object warm; 0 if unknown."""
        times = self.routes.get(route)
        return (times.warm_s if times else None) or 0.0

    def record_answer_time(
        self, route: str, state: TrackedServer, key: bytes, seconds: float, waited: bool
    ) -> None:
        """Take in a whole answer; seconds is without the way to the server."""
        name = state.server.name
        warm = self.is_warm(name, key)
        times = self.routes.setdefault(route, RouteTimes())
        expected = times.expected(warm)
        if not waited:
            if expected:
                ratio = seconds / expected
                slowness = state.slowness + GAIN * (ratio - state.slowness)
                state.slowness = min(max(slowness, LEAST_SLOWNESS), MOST_SLOWNESS)
            # A slow server says nothing of the route.
            if expected is None or state.slowness < SLOW:
                times.learn(warm, seconds)
        self.warm.setdefault(name, WarmObjects()).handled(key)

    def retain(self, servers: set[str], routes: set[str]) -> None:
        """Forget servers and routes that no longer exist."""
        self.warm = {n: w for n, w in self.warm.items() if n in servers}
        self.routes = {n: r for n, r in self.routes.items() if n in routes}
