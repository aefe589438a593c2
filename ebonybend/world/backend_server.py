"""Backend servers."""

from enum import Enum

from attrs import frozen

from ebonybend.world.instance import LifeState


class ServerState(Enum):
    """A backend server's readiness as probes and answers show it."""

    READY = "ready"
    COLD = "cold"
    DRAINING = "draining"
    DOWN = "down"


@frozen
class BackendServer:
    """A backend server as the platform lists it."""

    name: str
    service: str
    failure_domain: str
    address: str
    # Requests that it can run at the same time.
    slots: int
    # Connections that it accepts.
    connections: int = 300
    state: LifeState = LifeState.LIVE
    region: str = ""
    # Start of the process in Unix milliseconds; 0 if the list doesn't tell it.
    started_ms: int = 0
    # Time after this report for which the server bears only a bounded rate.
    cold_for_s: float = 0.0
