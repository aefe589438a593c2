"""Fetch the client map from the control process, shard by shard."""

from collections.abc import Awaitable, Callable

from twisted.internet.defer import Deferred

from ebonybend.entry.table_state import TableState
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.steering.lookup import ClientMap, LookupRanker
from ebonybend.steering.table import ClientMapShard, Table

FetchShard = Callable[[int, int], Awaitable[ClientMapShard | None]]


class ClientMaps:
    """Keep the newest client map and the ranker for the newest table."""

    def __init__(self, table_state: TableState, fetch_shard: FetchShard):
        self.table_state = table_state
        self.fetch_shard = fetch_shard
        self.version = 0
        self.client_map = ClientMap.from_shards([])
        self.ranker: LookupRanker | None = None
        self._fetching = False
        table_state.listeners.append(self._apply_table)

    def _apply_table(self, table: Table) -> None:
        self._update_ranker(table)
        if table.client_map_version != self.version and not self._fetching:
            self._fetching = True
            Deferred.fromCoroutine(self._fetch_map(table.client_map_version))

    def _update_ranker(self, table: Table) -> None:
        drained = self.table_state.rules.drained_instances
        self.ranker = LookupRanker(table, self.client_map, drained, self.ranker)

    async def _fetch_map(self, version: int) -> None:
        """Replace the client map; after a failure, the next table triggers a retry."""
        try:
            shards = await self._fetch_shards(version)
            if shards is None:
                return
            self.client_map = ClientMap.from_shards(shards)
        except SteeringError as error:
            get_logger().warning("client_map_refused", error=error.message)
            return
        finally:
            self._fetching = False
        self.version = version
        get_logger().info(
            "client_map_loaded", version=version, bytes=self.client_map.size_bytes()
        )
        self._update_ranker(self.table_state.table)

    async def _fetch_shards(self, version: int) -> list[bytes] | None:
        bodies: list[bytes] = []
        total = 1
        while len(bodies) < total:
            shard = await self.fetch_shard(version, len(bodies))
            if shard is None or shard.version != version:
                return None
            total = shard.shards
            if total:
                bodies.append(shard.body)
        return bodies
