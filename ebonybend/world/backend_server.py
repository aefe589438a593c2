"""Backend servers."""

from enum import Enum

from attrs import frozen

from ebonybend.world.instance import LifeState


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

    @property
    def process(self) -> ServerProcess:
        """Return the process that the list describes."""
        return ServerProcess(self.name, self.started_ms)
