"""Contracts with customers."""

from attrs import frozen


@frozen
class Contract:
    """What a customer weighs when a request can be answered in several places."""

    customer: str
    latency_weight: float
    headroom_weight: float


@frozen
class Service:
    """A service that backend servers offer under a customer's contract."""

    name: str
    customer: str
