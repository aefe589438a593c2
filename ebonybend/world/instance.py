"""Entry instances."""

import re
from enum import Enum

from attrs import frozen

from ebonybend.addresses import is_address

# Names are sent in headers.
NAME = re.compile(r"[!-~]{1,200}")


def is_name(text: str) -> bool:
    """Return whether a text can be the name of an instance or a backend server."""
    return NAME.fullmatch(text) is not None


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

    def is_valid(self) -> bool:
        """Return whether the name and the address can be used."""
        return is_name(self.name) and is_address(self.control_address)
