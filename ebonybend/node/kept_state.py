"""A region's checkpoint in the store, for a restart of all its nodes at once.

Without it, objects would be assigned to other regions than before, where they are cold.
"""

from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ebonybend.logs import get_logger
from ebonybend.node.demand import RegionSteering
from ebonybend.node.members import Members
from ebonybend.node.wire import Documents, KeptState
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.store.client import ObjectStore, StoreFailure, StoreFailureKind
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks

# Traffic shares change by less than a sixth in this time.
WRITE_PERIOD_S = 4.0
# Smallest change of a traffic share that is written; each write is a call.
WRITTEN_CHANGE = 0.03
# An older checkpoint is ignored, because the load has changed since.
MOST_AGE_S = 60.0
MS_PER_S = 1000


class StateKeeper:
    """Restore the checkpoint at the start; a region's first live node writes it."""

    def __init__(
        self,
        store: ObjectStore,
        documents: Documents,
        regions: RegionSteering,
        times: ServiceTimes,
        members: Members,
        wall_clock: Callable[[], float],
        clock: Callable[[], float],
        backoff: Backoff,
    ):
        self.store = store
        self.documents = documents
        self.regions = regions
        self.times = times
        self.members = members
        self.wall_clock = wall_clock
        self.clock = clock
        self.backoff = backoff
        # Version of the object in the store; 0 if there is none.
        self.version = 0
        self.written: Mapping[str, Mapping[str, float]] = {}
        # Whether the store has answered the first read.
        self.is_read = False

    async def restore(self, tasks: Tasks) -> None:
        """Read the checkpoint and apply it; retry until the store answers."""
        kind, region = self.documents.kept_kind, self.regions.region
        while not tasks.stopped:
            found = await self.store.get(kind, region)
            if isinstance(found, Success):
                self._take(self.documents.decode_kept(found.unwrap()))
                self.version = found.unwrap().version
                self.is_read = True
                return
            if found.failure().kind is StoreFailureKind.NOT_FOUND:
                self.is_read = True
                return
            get_logger().info("kept_state_not_read", error=found.failure().message)
            await tasks.sleep(self.backoff.next())

    def _take(self, state: KeptState | None) -> None:
        if state is None:
            get_logger().error("kept_state_not_readable")
            return
        age_s = self.wall_clock() - state.written_ms / MS_PER_S
        used = abs(age_s) <= MOST_AGE_S
        get_logger().info("kept_state_read", age_s=round(age_s, 1), used=used)
        if used:
            self.regions.restore(state.shares)
            self.times.restore(state.times)

    async def write(self) -> None:
        """Write the checkpoint if it changed and this node is the region's writer."""
        shares = self.regions.current_shares()
        if not self.is_read or not self._is_first() or not self._changed(shares):
            return
        written_ms = int(self.wall_clock() * MS_PER_S)
        state = KeptState(written_ms, shares, dict(self.times.routes))
        kind, region = self.documents.kept_kind, self.regions.region
        value = self.documents.encode_kept(state)
        result = await self.store.put(kind, region, value, self.version)
        if self._learn_version(result):
            # The version came from a write whose answer was lost, or from another node.
            result = await self.store.put(kind, region, value, self.version)
            self._learn_version(result)
        if isinstance(result, Success):
            self.written = shares
        else:
            # Retried in the next period.
            error = result.failure().message
            get_logger().info("kept_state_not_written", error=error)

    def _learn_version(self, result: Result[int, StoreFailure]) -> bool:
        """Record the object's version; return whether a write conflicted with it."""
        if isinstance(result, Success):
            self.version = result.unwrap()
            return False
        failure = result.failure()
        if failure.kind is StoreFailureKind.NOT_FOUND:
            self.version = 0
            return True
        if failure.kind is StoreFailureKind.CONFLICT and failure.current:
            self.version = failure.current.version
            return True
        return False

    def _is_first(self) -> bool:
        now = self.clock()
        names = [b.name for b in self.members.fresh_beats(self.regions.region, now)]
        return self.members.own.name <= min(names, default=self.members.own.name)

    def _changed(self, shares: Mapping[str, Mapping[str, float]]) -> bool:
        return any(
            abs(share - self.written.get(service, {}).get(region, 0.0))
            >= WRITTEN_CHANGE
            for service, parts in shares.items()
            for region, share in parts.items()
        )
