"""Assign the objects of each region's clients to regions by demand and capacity.

Objects stay in the region of their clients while it has capacity. The excess moves to
regions with spare capacity, object by object, so that each object stays warm in one
region. All nodes compute the same shares from the demands in their heartbeats.
"""

from collections.abc import Collection, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

# Utilisation of a region's slots up to which its objects stay there.
TARGET_UTILISATION = 0.7
# Utilisation up to which objects return to the own region. They are cold there at
# first, so they return only where there is clearly capacity.
RETURN_UTILISATION = 0.4
# Fraction of the allowed change that the shares use. The rest is left for requests that
# change region because traffic or the nodes' views vary.
STEP_FRACTION = 0.5
# Window over which the fraction of requests that change region is limited.
SHIFT_WINDOW_S = 2.0
# A smaller share isn't moved, as its objects would be cold at first.
MIN_SHARE = 0.02
# Time after which recovered slots count again. An ejected server that is tried and
# fails again is ejected for another 1 s to 8 s.
RECOVERED_AFTER_S = 4.0
HASH_SPAN = float(1 << 64)


def target_shares(
    region: str,
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
    max_utilisation: float = TARGET_UTILISATION,
) -> dict[str, float]:
    """Return the fraction of a region's objects to assign to each region.

    Demand and capacity are in slots by region.
    """
    own_demand = demand.get(region, 0.0)
    total_capacity = sum(capacity.values())
    if own_demand <= 0 or total_capacity <= 0:
        return (
            {region: 1.0} if capacity.get(region, 0.0) > 0 else _by_capacity(capacity)
        )
    utilisation = max(max_utilisation, sum(demand.values()) / total_capacity)
    excess = own_demand - utilisation * capacity.get(region, 0.0)
    if excess <= MIN_SHARE * own_demand:
        return {region: 1.0}
    spare = {
        name: max(utilisation * slots - demand.get(name, 0.0), 0.0)
        for name, slots in capacity.items()
        if name != region
    }
    total_spare = sum(spare.values())
    if total_spare <= 0:
        return {region: 1.0}
    moved_fraction = min(excess, total_spare) / own_demand
    shares = {
        name: moved_fraction * value / total_spare for name, value in spare.items()
    }
    shares[region] = 1.0 - moved_fraction
    return shares


def next_target(
    region: str,
    current: Mapping[str, float],
    demand: Mapping[str, float],
    capacity: Mapping[str, float],
) -> dict[str, float]:
    """Return the target shares; objects that have moved return reluctantly."""
    target = target_shares(region, demand, capacity)
    own = current.get(region, 0.0)
    if own >= target.get(region, 0.0):
        return target
    returned = target_shares(region, demand, capacity, RETURN_UTILISATION)
    if own < returned.get(region, 0.0):
        return returned
    has_capacity = all(capacity.get(name, 0.0) > 0 for name in current)
    return dict(current) if has_capacity else target


def even_demand(
    regions: Collection[str], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return an equal demand per region, to assume while the demand is unknown."""
    total = TARGET_UTILISATION * sum(capacity.values())
    return {region: total / len(regions) for region in regions}


def _by_capacity(capacity: Mapping[str, float]) -> dict[str, float]:
    total = sum(capacity.values())
    return {name: slots / total for name, slots in capacity.items()} if total else {}


@define
class RegionShares:
    """The traffic shares of one service, which change at a bounded rate."""

    region: str
    shares: dict[str, float] = field(factory=dict)
    updated_at: float | None = None

    def move_toward(
        self,
        target: Mapping[str, float],
        capacity: Mapping[str, float],
        max_shift: float,
        now: float,
        in_use: bool = True,
        lost_fraction: float = 0.0,
    ) -> None:
        """Move the shares toward a target.

        At most max_shift of the requests may change region in SHIFT_WINDOW_S. Shares
        that no request used since the last call change at once. So does the part of the
        own region whose servers were lost, as its objects change servers anyway.
        """
        if not self.shares:
            self.shares = {self.region: 1.0}
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if not in_use or all(capacity.get(name, 0.0) <= 0 for name in self.shares):
            # No request changes region, or no region in use has capacity.
            self.shares = dict(target)
            return
        step = max_shift * STEP_FRACTION / SHIFT_WINDOW_S * elapsed
        step += self.shares.get(self.region, 0.0) * lost_fraction
        names = sorted({*self.shares, *target})
        change = {n: target.get(n, 0.0) - self.shares.get(n, 0.0) for n in names}
        distance = sum(abs(value) for value in change.values()) / 2
        fraction = 1.0 if distance <= step else step / distance
        shares = {n: self.shares.get(n, 0.0) + change[n] * fraction for n in names}
        self.shares = {n: share for n, share in shares.items() if share > 1e-6}

    def region_of(self, object_key: bytes) -> str:
        """Return the region to which an object is assigned.

        The own region has the lower part of the hash range and the others follow in
        the order of their names, so a change of shares moves few objects.
        """
        point = xxh3_64_intdigest(object_key) / HASH_SPAN
        others = sorted(name for name in self.shares if name != self.region)
        for name in (self.region, *others):
            point -= self.shares.get(name, 0.0)
            if point < 0:
                return name
        return self.region


@define
class SlotLossDetector:
    """Detect the loss of a region's slots; a flapping server is counted once."""

    # Confirmed number of usable slots.
    slots: int = 0
    # Time since which more slots are usable; None if there aren't more.
    increased_since: float | None = None

    def update(self, slots: int, now: float) -> float:
        """Record the usable slots; return the fraction newly lost."""
        if slots <= self.slots:
            before, self.slots = self.slots, slots
            self.increased_since = None
            return 1.0 - slots / before if before else 0.0
        if self.increased_since is None:
            self.increased_since = now
        if self.slots == 0 or now - self.increased_since >= RECOVERED_AFTER_S:
            self.slots = slots
            self.increased_since = None
        return 0.0


@define
class DemandMeter:
    """A moving average of the demand for one service at one node, in slots."""

    # Time constant of the average.
    window_s: float = 1.5
    slots: float = 0.0
    updated_at: float | None = None

    def add(self, seconds: float, now: float) -> None:
        """Record a request that occupies a slot for some seconds."""
        self._decay(now)
        self.slots += seconds / self.window_s

    def read(self, now: float) -> float:
        """Return the current demand in slots."""
        self._decay(now)
        return self.slots

    def _decay(self, now: float) -> None:
        if self.updated_at is not None:
            elapsed = now - self.updated_at
            self.slots *= max(0.0, 1.0 - elapsed / self.window_s)
        self.updated_at = now
