"""A region's checkpoint in the store, for a restart of all its nodes at once.

Without it, objects would be assigned to other regions than before, where they are cold.
"""

from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ebonybend.logs import get_logger
from ebonybend.node.demand import RegionSteering
from ebonybend.node.members import Members
from ebonybend.node.wire import Documents, RegionCheckpoint
from ebonybend.steering.service_times import ServiceTimes
from ebonybend.store.client import ObjectStore, StoreFailure, StoreFailureKind
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks

# Traffic shares change by less than a sixth in this time.
WRITE_PERIOD_S = 4.0
# Smallest change of a traffic share that is worth a call to the store.
MIN_WRITTEN_CHANGE = 0.03
# An older checkpoint is ignored, because the load has changed since.
MAX_AGE_S = 60.0
MS_PER_S = 1000


class CheckpointManager:
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
        self.written_shares: Mapping[str, Mapping[str, float]] = {}
        # Whether the store has answered the first read.
        self.is_loaded = False

    async def restore(self, tasks: Tasks) -> None:
        """Read the checkpoint and apply it; retry until the store answers."""
        kind, region = self.documents.checkpoint_kind, self.regions.region
        while not tasks.stopped:
            answer = await self.store.get(kind, region)
            if isinstance(answer, Success):
                self._apply(self.documents.decode_checkpoint(answer.unwrap()))
                self.version = answer.unwrap().version
                self.is_loaded = True
                return
            if answer.failure().kind is StoreFailureKind.NOT_FOUND:
                self.is_loaded = True
                return
            get_logger().info("kept_state_not_read", error=answer.failure().message)
            await tasks.sleep(self.backoff.next())

    def _apply(self, checkpoint: RegionCheckpoint | None) -> None:
        if checkpoint is None:
            get_logger().error("kept_state_not_readable")
            return
        age_s = self.wall_clock() - checkpoint.written_ms / MS_PER_S
        used = abs(age_s) <= MAX_AGE_S
        get_logger().info("kept_state_read", age_s=round(age_s, 1), used=used)
        if used:
            self.regions.restore(checkpoint.shares)
            self.times.restore(checkpoint.times)

    def begin_era(self) -> None:
        """Write the checkpoint again, which the store may have lost."""
        self.version = 0
        self.written_shares = {}

    async def write(self) -> None:
        """Write the checkpoint if it changed and this node is the region's writer."""
        shares = self.regions.current_shares()
        if not self.is_loaded or not self._is_writer() or not self._has_changed(shares):
            return
        written_ms = int(self.wall_clock() * MS_PER_S)
        checkpoint = RegionCheckpoint(written_ms, shares, dict(self.times.routes))
        kind, region = self.documents.checkpoint_kind, self.regions.region
        value = self.documents.encode_checkpoint(checkpoint)
        result = await self.store.put(kind, region, value, self.version)
        if self._update_version(result):
            # The version came from a write whose answer was lost, or from another node.
            result = await self.store.put(kind, region, value, self.version)
            self._update_version(result)
        if isinstance(result, Success):
            self.written_shares = shares
        else:
            # Retried in the next period.
            error = result.failure().message
            get_logger().info("kept_state_not_written", error=error)

    def _update_version(self, result: Result[int, StoreFailure]) -> bool:
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

    def _is_writer(self) -> bool:
        now = self.clock()
        names = [
            heartbeat.name
            for heartbeat in self.members.live_heartbeats(self.regions.region, now)
        ]
        return self.members.own.name <= min(names, default=self.members.own.name)

    def _has_changed(self, shares: Mapping[str, Mapping[str, float]]) -> bool:
        return any(
            abs(share - self.written_shares.get(service, {}).get(region, 0.0))
            >= MIN_WRITTEN_CHANGE
            for service, by_region in shares.items()
            for region, share in by_region.items()
        )
