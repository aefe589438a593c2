"""Failure domains."""

from attrs import frozen


@frozen
class FailureDomain:
    """A set of machines that fail or are cut off together."""

    name: str
    region: str
    # Names of the entry instances planned for this domain. A replacement keeps the
    # name of the instance that it replaces.
    instances: tuple[str, ...]
