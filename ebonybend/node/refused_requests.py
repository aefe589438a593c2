"""The requests that crash servers, in the store, for a restart of all nodes at once.

Nodes tell one another in heartbeats which requests they refuse, so a node that restarts
alone learns it from the others. One object holds these requests for all nodes. The node
that refuses a request first writes it, and so does the first live node of each region
if it is still missing; entries that are too old to matter, and requests that this node
has cleared, are dropped. An operator lifts a refusal by another object, which these
first nodes read while they refuse anything.
"""

from collections.abc import Callable, Mapping

from returns.result import Result, Success

from ebonybend.logs import get_logger
from ebonybend.node.crash_watch import describe_crashes, log_cleared
from ebonybend.node.members import Members
from ebonybend.node.wire import (
    MAX_REFUSED_REQUESTS,
    Documents,
    RefusedRequests,
)
from ebonybend.steering.crash_suspects import REFUSED_LIFETIME_S
from ebonybend.steering.crashes import CrashDetector
from ebonybend.store.client import (
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFailureKind,
)
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks

# Name of the object with the refused requests.
OBJECT_NAME = "all"
# Name of the object in which operators lift refusals, and the time between two reads.
LIFTED_NAME = "lifted"
LIFTED_PERIOD_S = 10.0
# Conflicts with other nodes after which a write waits for the next period.
MAX_CONFLICTS = 3
MS_PER_S = 1000


class RefusedRequestStore:
    """Keep the refused requests of all nodes in the store."""

    def __init__(
        self,
        store: ObjectStore,
        documents: Documents,
        crash_detector: CrashDetector,
        members: Members,
        wall_clock: Callable[[], float],
        clock: Callable[[], float],
        backoff: Backoff,
    ):
        self.store = store
        self.documents = documents
        self.crash_detector = crash_detector
        self.members = members
        self.wall_clock = wall_clock
        self.clock = clock
        self.backoff = backoff
        # Version of the object in the store; 0 if there is none.
        self.version = 0
        self.stored: Mapping[str, int] = {}
        self.lifted_read_at = clock()
        # Whether the store has answered the first read.
        self.is_loaded = False

    async def restore(self, tasks: Tasks) -> None:
        """Read the refused requests; retry until the store answers."""
        while not tasks.stopped:
            answer = await self.store.get(self.documents.refused_kind, OBJECT_NAME)
            missing = not isinstance(answer, Success) and (
                answer.failure().kind is StoreFailureKind.NOT_FOUND
            )
            if isinstance(answer, Success):
                self._apply(answer.unwrap())
            if isinstance(answer, Success) or missing:
                self.is_loaded = True
                return
            error = answer.failure().message
            get_logger().info("refused_requests_not_read", error=error)
            await tasks.sleep(self.backoff.next())

    def begin_era(self) -> None:
        """Write the refused requests again, which the store may have lost."""
        self.version = 0
        self.stored = {}

    async def exchange_if_first(self) -> None:
        """Write what is missing if this is the first live node of its region.

        It also reads what operators have lifted.
        """
        own = self.members.own
        live = self.members.live_heartbeats(own.region, self.clock())
        if own.name <= min((h.name for h in live), default=own.name):
            await self.read_lifted()
            await self.write()

    async def read_lifted(self) -> None:
        """Lift the refusals that an operator names, if any request is refused."""
        now = self.clock()
        is_early = now - self.lifted_read_at < LIFTED_PERIOD_S
        if is_early or not self.crash_detector.refused_ages_s():
            return
        self.lifted_read_at = now
        answer = await self.store.get(self.documents.refused_kind, LIFTED_NAME)
        if not isinstance(answer, Success):
            return
        lifted = self.documents.decode_lifted(answer.unwrap())
        if lifted is None:
            get_logger().error("lifted_refusals_not_readable")
            return
        for name, lifted_ms in lifted.lifted_ms.items():
            age_s = max(self.wall_clock() - lifted_ms / MS_PER_S, 0.0)
            crashes = describe_crashes(self.crash_detector.crashes_of(name))
            if self.crash_detector.clear(name, age_s):
                log_cleared(name, crashes, "an operator lifted it")

    async def write(self) -> None:
        """Write the refused requests if the store lacks one, or has a cleared one."""
        for _ in range(MAX_CONFLICTS):
            refused = self._refused()
            kept = {
                name: crashed_ms
                for name, crashed_ms in self.stored.items()
                if not self.crash_detector.is_cleared(name)
            }
            is_current = refused.keys() <= kept.keys() == self.stored.keys()
            if not self.is_loaded or is_current:
                return
            merged = self._latest({**refused, **kept})
            value = self.documents.encode_refused(RefusedRequests(merged))
            result = await self.store.put(
                self.documents.refused_kind, OBJECT_NAME, value, self.version
            )
            if isinstance(result, Success):
                self.version = result.unwrap()
                self.stored = merged
                return
            if not self._resolve_conflict(result):
                error = result.failure().message
                get_logger().info("refused_requests_not_written", error=error)
                return

    def _resolve_conflict(self, result: Result[int, StoreFailure]) -> bool:
        """Take over what another node wrote; return whether to write again."""
        failure = result.failure()
        if failure.kind is StoreFailureKind.NOT_FOUND:
            self.version, self.stored = 0, {}
            return True
        if failure.kind is StoreFailureKind.CONFLICT and failure.current:
            self._apply(failure.current)
            return True
        return False

    def _apply(self, stored: StoredObject) -> None:
        self.version = stored.version
        found = self.documents.decode_refused(stored)
        if found is None:
            get_logger().error("refused_requests_not_readable")
            self.stored = {}
            return
        self.stored = found.crashed_ms
        now_s = self.wall_clock()
        for fingerprint, crashed_ms in found.crashed_ms.items():
            age_s = max(now_s - crashed_ms / MS_PER_S, 0.0)
            self.crash_detector.restore_refused(fingerprint, age_s)

    def _refused(self) -> dict[str, int]:
        now_s = self.wall_clock()
        return {
            fingerprint: int((now_s - age_s) * MS_PER_S)
            for fingerprint, age_s in self.crash_detector.refused_ages_s().items()
        }

    def _latest(self, crashed_ms: Mapping[str, int]) -> dict[str, int]:
        oldest_ms = (self.wall_clock() - REFUSED_LIFETIME_S) * MS_PER_S
        latest = sorted(crashed_ms, key=lambda name: -crashed_ms[name])[
            :MAX_REFUSED_REQUESTS
        ]
        return {
            name: crashed_ms[name] for name in latest if crashed_ms[name] >= oldest_ms
        }
