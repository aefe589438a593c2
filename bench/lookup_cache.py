"""A caller's look-up answer, kept for its lifetime."""

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient, RequestFailed

# Several round trips between regions; a read's whole deadline is 2 s.
LOOKUP_TIMEOUT_S = 0.5
# An instance that gave no answer in time is used last for this time.
SILENT_PAUSE_S = 5.0


@frozen
class ListedInstance:
    """An instance that a caller may use."""

    name: str
    address: str
    key_prefix: str


@frozen
class LookupAnswer:
    """The body of a look-up answer."""

    instances: tuple[ListedInstance, ...]
    lifetime_ms: int


class LookupCache:
    """Ask the system which instances to use, and keep the answer."""

    def __init__(
        self, clock: Clock, http: HttpClient, seeds: tuple[str, ...], client: str
    ):
        self.clock = clock
        self.http = http
        self.seeds = seeds
        self.client = client
        self.instances: tuple[ListedInstance, ...] = ()
        self.expires_at = float("-inf")
        # Until when an instance that gave no answer is used last.
        self.silent_until: dict[str, float] = {}

    async def get(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances; an old list if nobody answers."""
        if self.clock.monotonic() >= self.expires_at:
            await self._refresh()
        return self._ordered()

    def note_silent(self, name: str) -> None:
        """Use an instance last for a while; it gave no answer in time."""
        self.silent_until[name] = self.clock.monotonic() + SILENT_PAUSE_S

    def _note_silent_address(self, address: str) -> None:
        for instance in self.instances:
            if instance.address == address:
                self.note_silent(instance.name)

    def _ordered(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances; those that are silent come last."""
        now = self.clock.monotonic()
        silent = {name for name, until in self.silent_until.items() if until > now}
        return tuple(sorted(self.instances, key=lambda x: x.name in silent))

    def expire(self) -> None:
        """Ask again at the next use; a listed instance refused a connection."""
        self.expires_at = float("-inf")

    async def _refresh(self) -> None:
        known = [x.address for x in self._ordered()]
        others = [x for x in self.seeds if x not in known]
        for address in (*known, *others):
            answer = await self._ask(address)
            if answer is None:
                self._note_silent_address(address)
            if answer is not None and answer.instances:
                self.instances = answer.instances
                lifetime_s = answer.lifetime_ms / 1000
                self.expires_at = self.clock.monotonic() + lifetime_s
                return

    async def _ask(self, address: str) -> LookupAnswer | None:
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
