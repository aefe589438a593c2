"""A client-side cache of the lookup answer."""

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient, RequestFailed

# Covers several round trips between regions; a read's deadline is 2 s.
LOOKUP_TIMEOUT_S = 0.5
# An instance that timed out is deprioritized for this time.
UNRESPONSIVE_S = 5.0


@frozen
class ListedInstance:
    """An instance that a client may use."""

    name: str
    address: str
    key_prefix: str


@frozen
class LookupAnswer:
    """The body of a lookup answer."""

    instances: tuple[ListedInstance, ...]
    lifetime_ms: int


class LookupCache:
    """Look up which instances to use and cache the answer for its lifetime."""

    def __init__(
        self, clock: Clock, http: HttpClient, seeds: tuple[str, ...], client: str
    ):
        self.clock = clock
        self.http = http
        self.seeds = seeds
        self.client = client
        self.instances: tuple[ListedInstance, ...] = ()
        self.expires_at = float("-inf")
        # Time until which an unresponsive instance is deprioritized, by name.
        self.unresponsive_until: dict[str, float] = {}

    async def get(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances; an expired list if no lookup is answered."""
        if self.clock.monotonic() >= self.expires_at:
            await self._refresh()
        return self._ordered_instances()

    def mark_unresponsive(self, name: str) -> None:
        """Deprioritize an instance that gave no answer in time."""
        self.unresponsive_until[name] = self.clock.monotonic() + UNRESPONSIVE_S

    def _mark_address_unresponsive(self, address: str) -> None:
        for instance in self.instances:
            if instance.address == address:
                self.mark_unresponsive(instance.name)

    def _ordered_instances(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances, unresponsive ones last."""
        now = self.clock.monotonic()
        unresponsive = {
            name for name, until in self.unresponsive_until.items() if until > now
        }
        return tuple(sorted(self.instances, key=lambda x: x.name in unresponsive))

    def expire(self) -> None:
        """Force a lookup at the next use, after a refused connection."""
        self.expires_at = float("-inf")

    async def _refresh(self) -> None:
        known = [x.address for x in self._ordered_instances()]
        others = [x for x in self.seeds if x not in known]
        for address in (*known, *others):
            answer = await self._query(address)
            if answer is None:
                self._mark_address_unresponsive(address)
            if answer is not None and answer.instances:
                self.instances = answer.instances
                lifetime_s = answer.lifetime_ms / 1000
                self.expires_at = self.clock.monotonic() + lifetime_s
                return

    async def _query(self, address: str) -> LookupAnswer | None:
        path = f"/v1/lookup?client={self.client}"
        try:
            answer = await self.http.request(
                "GET", address, path, timeout=LOOKUP_TIMEOUT_S
            )
            if answer.status != 200:
                return None
            return from_json(answer.body, LookupAnswer)
        except (RequestFailed, SteeringError):
            return None
