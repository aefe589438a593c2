"""Divide each region's objects between regions by demand and room.

Objects stay in the region of their callers while it has room. What exceeds it moves to
regions with room, object by object, so that each object stays warm in one place. All
nodes compute the same shares from the demands that they tell one another.
"""

from collections.abc import Collection, Mapping

from attrs import define, field
from xxhash import xxh3_64_intdigest

# Part of a region's slots that its demand may fill before objects move.
FILL = 0.7
# Half of the allowed change, because traffic and views vary beside the shares.
STEP_PART = 0.5
# Window of the bound on requests that change region.
SHIFT_WINDOW_S = 2.0
# Shares below this are not worth a cold object.
LEAST_SHARE = 0.02
# Servers that are back for this time count as regained; a server that is tried after a
# failure is left out for 1 s to 8 s again if it fails.
REGAINED_AFTER_S = 4.0
HASH_SPAN = float(1 << 64)


def target_shares(
    region: str, demand: Mapping[str, float], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the share of a region's objects that each region is to take.

    Demand and capacity are in slots by region.
    """
    own_demand = demand.get(region, 0.0)
    total_capacity = sum(capacity.values())
    if own_demand <= 0 or total_capacity <= 0:
        return {region: 1.0} if capacity.get(region, 0.0) > 0 else _by_room(capacity)
    fill = max(FILL, sum(demand.values()) / total_capacity)
    excess = own_demand - fill * capacity.get(region, 0.0)
    if excess <= LEAST_SHARE * own_demand:
        return {region: 1.0}
    room = {
        name: max(fill * slots - demand.get(name, 0.0), 0.0)
        for name, slots in capacity.items()
        if name != region
    }
    total_room = sum(room.values())
    if total_room <= 0:
        return {region: 1.0}
    moved = min(excess, total_room) / own_demand
    shares = {name: moved * value / total_room for name, value in room.items()}
    shares[region] = 1.0 - moved
    return shares


def even_demand(
    regions: Collection[str], capacity: Mapping[str, float]
) -> dict[str, float]:
    """Return the demand to expect before any is known: as much in each region."""
    total = FILL * sum(capacity.values())
    return {region: total / len(regions) for region in regions}


def _by_room(capacity: Mapping[str, float]) -> dict[str, float]:
    total = sum(capacity.values())
    return {name: slots / total for name, slots in capacity.items()} if total else {}


@define
class RegionShares:
    """The shares in use for one service; they follow their target slowly."""

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
        """Move toward a target, at most as fast as requests may change region.

        Shares that no request has used since the last call move at once. So does the
        part of the own region whose servers were lost since then: its objects change
        places anyway.
        """
        if not self.shares:
            self.shares = {self.region: 1.0}
        elapsed = 0.0 if self.updated_at is None else now - self.updated_at
        self.updated_at = now
        if not in_use or all(capacity.get(name, 0.0) <= 0 for name in self.shares):
            # No request changes its region, or none could stay in it.
            self.shares = dict(target)
            return
        step = max_shift * STEP_PART / SHIFT_WINDOW_S * elapsed
        step += self.shares.get(self.region, 0.0) * lost_fraction
        names = sorted({*self.shares, *target})
        change = {n: target.get(n, 0.0) - self.shares.get(n, 0.0) for n in names}
        size = sum(abs(value) for value in change.values()) / 2
        part = 1.0 if size <= step else step / size
        shares = {n: self.shares.get(n, 0.0) + change[n] * part for n in names}
        self.shares = {n: share for n, share in shares.items() if share > 1e-6}

    def region_of(self, object_key: bytes) -> str:
        """Return the region that takes an object.

        The own region takes the lower part of the hash range, and the others follow in
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
    """Tell when a region loses servers; one that comes and goes is lost once."""

    # Slots that the region is counted to have.
    slots: int = 0
    # Time since which it has more; None if it hasn't.
    more_since: float | None = None

    def update(self, slots: int, now: float) -> float:
        """Take in the slots that can be used now; return the part that was lost."""
        if slots <= self.slots:
            before, self.slots = self.slots, slots
            self.more_since = None
            return 1.0 - slots / before if before else 0.0
        if self.more_since is None:
            self.more_since = now
        if self.slots == 0 or now - self.more_since >= REGAINED_AFTER_S:
            self.slots = slots
            self.more_since = None
        return 0.0


@define
class DemandMeter:
    """The demand for one service at one node, in slots."""

    # Time constant of the average.
    window_s: float = 1.5
    slots: float = 0.0
    updated_at: float | None = None

    def add(self, seconds: float, now: float) -> None:
        """Count a request that occupies a slot for a time."""
        self._decay(now)
        self.slots += seconds / self.window_s

    def read(self, now: float) -> float:
        """Return the demand."""
        self._decay(now)
        return self.slots

    def _decay(self, now: float) -> None:
        if self.updated_at is not None:
            elapsed = now - self.updated_at
            self.slots *= max(0.0, 1.0 - elapsed / self.window_s)
        self.updated_at = now
