"""The demand for each service here and at other nodes, and where objects go."""

from collections.abc import Callable, Collection, Mapping

from ebonybend.logs import get_logger
from ebonybend.node.members import Members
from ebonybend.steering.placement import capacity_by_region, slots_in
from ebonybend.steering.regions import (
    DemandMeter,
    RegionShares,
    SlotLossDetector,
    even_demand,
    target_shares,
)
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world.route import Route

# Change of a share that is worth a line.
LOGGED_CHANGE = 0.05


class RegionSteering:
    """Meter the demand and keep the shares of the regions for each service."""

    def __init__(
        self,
        region: str,
        all_regions: Callable[[], Collection[str]],
        max_shift: Callable[[], float],
        table: ServerTable,
        times: ServiceTimes,
        members: Members,
        clock: Callable[[], float],
    ):
        self.region = region
        self.all_regions = all_regions
        self.max_shift = max_shift
        self.table = table
        self.times = times
        self.members = members
        self.clock = clock
        self.meters: dict[str, DemandMeter] = {}
        self.shares: dict[str, RegionShares] = {}
        # Slots of the own region by service.
        self.slots: dict[str, SlotLossDetector] = {}
        # Shares of before the start, in use until requests come.
        self.restored: dict[str, dict[str, float]] = {}
        # Services that got requests since the last update.
        self.used: set[str] = set()
        self.logged: dict[str, dict[str, float]] = {}

    def arrived(self, route: Route, service: str) -> None:
        """Count a request of a caller."""
        self.used.add(service)
        seconds = self.times.warm_time(route.name)
        meter = self.meters.get(service)
        if meter is None:
            meter = self.meters[service] = DemandMeter()
        meter.add(seconds, self.clock())

    def own_demand(self) -> dict[str, float]:
        """Return the demand at this node in slots by service."""
        now = self.clock()
        return {name: meter.read(now) for name, meter in self.meters.items()}

    def region_of(self, service: str, object_key: bytes) -> str:
        """Return the region that takes an object."""
        shares = self.shares.get(service)
        return self.region if shares is None else shares.region_of(object_key)

    def restore(self, shares: Mapping[str, Mapping[str, float]]) -> None:
        """Begin with shares of before the start, where objects are warm."""
        for service, parts in shares.items():
            if service not in self.meters:
                self.restored[service] = dict(parts)
                self.shares[service] = RegionShares(self.region, dict(parts))

    def current_shares(self) -> dict[str, dict[str, float]]:
        """Return the shares in use by service."""
        return {service: dict(s.shares) for service, s in self.shares.items()}

    def update(self) -> None:
        """Let the shares follow the demands that are known now."""
        now = self.clock()
        demands = self._demands(now)
        used, self.used = self.used, set()
        for service in used:
            self.restored.pop(service, None)
        for service in self.table.by_service:
            # Shares that were restored are those by which objects are warm, so they
            # are kept like those of a service in use.
            in_use = service in used or service in self.restored
            self._follow(service, demands.get(service, {}), in_use, now)

    def _follow(
        self, service: str, demand: Mapping[str, float], in_use: bool, now: float
    ) -> None:
        """Let the shares of one service follow its demand."""
        capacity = capacity_by_region(self.table, service, now)
        target = self._target(service, demand, capacity)
        slots = slots_in(self.table, service, self.region, now)
        lost_fraction = self.slots.setdefault(service, SlotLossDetector()).update(
            slots, now
        )
        shares = self.shares.setdefault(service, RegionShares(self.region))
        shares.move_toward(
            target, capacity, self.max_shift(), now, in_use, lost_fraction
        )
        self._log(service, shares.shares, demand, capacity)

    def _target(
        self, service: str, demand: Mapping[str, float], capacity: Mapping[str, float]
    ) -> Mapping[str, float]:
        """Return the shares to go to."""
        restored = self.restored.get(service)
        if restored is not None:
            return restored
        if not any(demand.values()):
            demand = even_demand(self.all_regions(), capacity)
        return target_shares(self.region, demand, capacity)

    def _log(
        self,
        service: str,
        shares: Mapping[str, float],
        demand: Mapping[str, float],
        capacity: Mapping[str, float],
    ) -> None:
        """Log shares that differ clearly from those logged last."""
        known = self.logged.get(service, {self.region: 1.0})
        names = {*known, *shares}
        if all(abs(known.get(n, 0) - shares.get(n, 0)) < LOGGED_CHANGE for n in names):
            return
        self.logged[service] = dict(shares)
        get_logger().info(
            "region_shares",
            service=service,
            shares=_rounded(shares),
            demand=_rounded(demand),
            capacity=_rounded(capacity),
        )

    def region_demand(self) -> dict[str, float]:
        """Return the demand at the nodes of the own region by service."""
        found = self.own_demand()
        for beat in self.members.fresh_beats(self.region, self.clock()):
            for service, hundredths in beat.demand.items():
                found[service] = found.get(service, 0.0) + hundredths / 100
        return found

    def _demands(self, now: float) -> Mapping[str, dict[str, float]]:
        """Return the demand by service and region."""
        told = {self.region: self.region_demand()}
        for region in self.all_regions():
            beats = self.members.fresh_beats(region, now)
            if region != self.region and beats:
                newest = max(beats, key=lambda b: self.members.heard[b.name])
                told[region] = {n: v / 100 for n, v in newest.demand.items()}
        found: dict[str, dict[str, float]] = {}
        for region, demand in told.items():
            for service, slots in demand.items():
                found.setdefault(service, {})[region] = slots
        return found


def _rounded(values: Mapping[str, float]) -> dict[str, float]:
    return {name: round(value, 2) for name, value in values.items()}
