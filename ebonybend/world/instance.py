"""Entry instances."""

from enum import Enum

from attrs import frozen


class LifeState(Enum):
    """Whether the platform runs a machine or is about to remove it."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Instance:
    """An entry instance as the platform lists it."""

    name: str
    failure_domain: str
    # Address of the control process's peer port, "ip:port".
    control_address: str
    state: LifeState = LifeState.LIVE
