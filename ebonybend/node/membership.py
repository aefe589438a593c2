"""Register this node in the store."""

from random import Random

from returns.result import Success

from ebonybend.logs import get_logger
from ebonybend.node.members import Member
from ebonybend.node.wire import Documents
from ebonybend.store.client import ObjectStore, StoreFailureKind
from ebonybend.store.watcher import Backoff
from ebonybend.tasks import Tasks

MAX_REWRITE_DELAY_S = 1.0


class OwnEntryWriter:
    """Write the node's own entry to the store."""

    def __init__(
        self, store: ObjectStore, documents: Documents, own: Member, random: Random
    ):
        self.store = store
        self.documents = documents
        self.own = own
        self.random = random
        self.backoff = Backoff(random)
        # Version of the entry in the store; 0 if there is none or it is unknown.
        self.version = 0

    async def write_again(self, tasks: Tasks) -> None:
        """Write the entry that the store may have lost with its last seconds."""
        self.version = 0
        # All nodes find out at nearly the same time.
        await tasks.sleep(self.random.random() * MAX_REWRITE_DELAY_S)
        await self.write(tasks)

    async def write(self, tasks: Tasks) -> None:
        """Write the entry; retry until the store accepts it."""
        value = self.documents.encode_member(self.own)
        kind = self.documents.members_kind
        while not tasks.stopped:
            written = await self.store.put(kind, self.own.name, value, self.version)
            if isinstance(written, Success):
                get_logger().info("own_entry_written", version=written.unwrap())
                return
            failure = written.failure()
            if failure.kind is StoreFailureKind.CONFLICT and failure.current:
                # Written by an earlier process of this node, or by this write if its
                # answer was lost.
                self.version = failure.current.version
                if self.documents.decode_member(failure.current) == self.own:
                    return
                continue
            if failure.kind is StoreFailureKind.NOT_FOUND:
                self.version = 0
            get_logger().warning("own_entry_failed", error=failure.message)
            await tasks.sleep(self.backoff.next())
