"""Contracts with customers."""

from attrs import frozen


@frozen
class Contract:
    """A customer's weights of latency and headroom in the choice of a server."""

    customer: str
    latency_weight: float
    headroom_weight: float


@frozen
class Service:
    """A service that backend servers offer under a customer's contract."""

    name: str
    customer: str
