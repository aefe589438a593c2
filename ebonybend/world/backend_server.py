"""Backend servers."""

from enum import Enum

from attrs import frozen

from ebonybend.addresses import is_address
from ebonybend.world.instance import LifeState, is_name

# Limits on the numbers in a server's entry; one above them isn't a server's.
MAX_SLOTS = 100_000
MAX_CONNECTIONS = 1_000_000
# Unix time in milliseconds, far in the future.
MAX_TIME_MS = 10**15
MAX_COLD_S = 86_400.0


class ServerState(Enum):
    """A backend server's readiness as probes and answers report it."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    DOWN = "down"


@frozen
class ServerProcess:
    """One process of a backend server; a later one has another start time."""

    name: str
    # Unix time of the start in milliseconds; 0 if the list doesn't state it.
    started_ms: int = 0


@frozen
class BackendServer:
    """A backend server as the platform lists it."""

    name: str
    service: str
    failure_domain: str
    address: str
    # Greatest number of concurrent requests.
    slots: int
    # Greatest number of open connections.
    connections: int = 300
    state: LifeState = LifeState.LIVE
    region: str = ""
    # Start of the process in Unix milliseconds; 0 if the list doesn't state it.
    started_ms: int = 0
    # Time for which the server is still cold, from when this entry was written. A cold
    # server accepts only a limited rate.
    cold_for_s: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the name, the address and the numbers can be used."""
        return (
            is_name(self.name)
            and is_address(self.address)
            and 1 <= self.slots <= MAX_SLOTS
            and 0 <= self.connections <= MAX_CONNECTIONS
            and 0 <= self.started_ms <= MAX_TIME_MS
            and 0.0 <= self.cold_for_s <= MAX_COLD_S
        )

    @property
    def process(self) -> ServerProcess:
        """Return the process that the list describes."""
        return ServerProcess(self.name, self.started_ms)
