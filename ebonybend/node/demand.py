"""The demand for each service by region, and the traffic shares that follow from it."""

from collections.abc import Callable, Collection, Mapping

from ebonybend.logs import get_logger
from ebonybend.node.members import Members
from ebonybend.steering.placement import capacity_by_region, usable_slots
from ebonybend.steering.regions import (
    DemandMeter,
    RegionShares,
    SlotLossDetector,
    even_demand,
    next_target,
    target_shares,
)
from ebonybend.steering.server_state import ServerTable
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.world.route import Route

# Smallest change of a traffic share that is logged.
MIN_LOGGED_CHANGE = 0.05


class RegionSteering:
    """Meter the demand and compute the traffic share of each region by service."""

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
        self.demand_meters: dict[str, DemandMeter] = {}
        self.shares: dict[str, RegionShares] = {}
        # Detects lost slots in the own region, by service.
        self.slot_loss_detectors: dict[str, SlotLossDetector] = {}
        # Traffic shares from before the restart, in use until requests arrive.
        self.restored_shares: dict[str, dict[str, float]] = {}
        # Services that received requests since the last update.
        self.active_services: set[str] = set()
        self.logged_shares: dict[str, dict[str, float]] = {}

    def record_request(self, route: Route, service: str) -> None:
        """Add a client request to the demand."""
        self.active_services.add(service)
        # Until the first answer, a request is assumed to be on time.
        seconds = self.times.mean_time_s(route.name) or route.objective_s
        meter = self.demand_meters.get(service)
        if meter is None:
            meter = self.demand_meters[service] = DemandMeter()
        meter.add(seconds, self.clock())

    def own_demand(self) -> dict[str, float]:
        """Return the demand at this node in slots by service."""
        now = self.clock()
        return {name: meter.read(now) for name, meter in self.demand_meters.items()}

    def region_of(self, service: str, object_key: bytes) -> str:
        """Return the region to which an object is assigned."""
        shares = self.shares.get(service)
        return self.region if shares is None else shares.region_of(object_key)

    def restore(self, shares: Mapping[str, Mapping[str, float]]) -> None:
        """Start with the traffic shares from before the restart.

        Objects are still warm in the regions that these shares assign.
        """
        for service, by_region in shares.items():
            if service not in self.demand_meters:
                self.restored_shares[service] = dict(by_region)
                self.shares[service] = RegionShares(self.region, dict(by_region))

    def current_shares(self) -> dict[str, dict[str, float]]:
        """Return the traffic shares in use by service."""
        return {service: dict(s.shares) for service, s in self.shares.items()}

    def update(self) -> None:
        """Move the traffic shares toward those that the known demands require."""
        now = self.clock()
        demands = self._demands(now)
        active_services, self.active_services = self.active_services, set()
        for service in active_services:
            self.restored_shares.pop(service, None)
        for service in self.table.by_service:
            # Objects are warm where the restored shares assign them, so these shares
            # change as slowly as those of a service in use.
            in_use = service in active_services or service in self.restored_shares
            self._update_service(service, demands.get(service, {}), in_use, now)

    def _update_service(
        self, service: str, demand: Mapping[str, float], in_use: bool, now: float
    ) -> None:
        """Move the traffic shares of one service toward its target."""
        capacity = capacity_by_region(self.table, service, now)
        shares = self.shares.setdefault(service, RegionShares(self.region))
        target = self._target(service, shares.shares, demand, capacity, in_use)
        slots = usable_slots(self.table, service, self.region, now)
        lost_fraction = self.slot_loss_detectors.setdefault(
            service, SlotLossDetector()
        ).update(slots, now)
        shares.move_toward(
            target, capacity, self.max_shift(), now, in_use, lost_fraction
        )
        self._log(service, shares.shares, demand, capacity)

    def _target(
        self,
        service: str,
        current: Mapping[str, float],
        demand: Mapping[str, float],
        capacity: Mapping[str, float],
        in_use: bool,
    ) -> Mapping[str, float]:
        """Return the target shares of a service."""
        restored_shares = self.restored_shares.get(service)
        if restored_shares is not None:
            return restored_shares
        if not any(demand.values()):
            demand = even_demand(self.all_regions(), capacity)
        if not in_use:
            # No object is warm, so none has to stay where it is.
            return target_shares(self.region, demand, capacity)
        return next_target(self.region, current, demand, capacity)

    def _log(
        self,
        service: str,
        shares: Mapping[str, float],
        demand: Mapping[str, float],
        capacity: Mapping[str, float],
    ) -> None:
        """Log traffic shares that differ clearly from those logged last."""
        previous = self.logged_shares.get(service, {self.region: 1.0})
        names = {*previous, *shares}
        if all(
            abs(previous.get(n, 0) - shares.get(n, 0)) < MIN_LOGGED_CHANGE
            for n in names
        ):
            return
        self.logged_shares[service] = dict(shares)
        get_logger().info(
            "region_shares",
            service=service,
            shares=_rounded(shares),
            demand=_rounded(demand),
            capacity=_rounded(capacity),
        )

    def region_demand(self) -> dict[str, float]:
        """Return the demand at all live nodes of the own region by service."""
        found = self.own_demand()
        for heartbeat in self.members.live_heartbeats(self.region, self.clock()):
            for service, hundredths in heartbeat.demand.items():
                found[service] = found.get(service, 0.0) + hundredths / 100
        return found

    def _demands(self, now: float) -> Mapping[str, dict[str, float]]:
        """Return the demand by service and region.

        For another region this is the total in its most recent heartbeat.
        """
        reported = {self.region: self.region_demand()}
        for region in self.all_regions():
            heartbeats = self.members.live_heartbeats(region, now)
            if region != self.region and heartbeats:
                latest = max(heartbeats, key=lambda b: self.members.last_seen[b.name])
                reported[region] = {n: v / 100 for n, v in latest.demand.items()}
        found: dict[str, dict[str, float]] = {}
        for region, demand in reported.items():
            for service, slots in demand.items():
                found.setdefault(service, {})[region] = slots
        return found


def _rounded(values: Mapping[str, float]) -> dict[str, float]:
    return {name: round(value, 2) for name, value in values.items()}
