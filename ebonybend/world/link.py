"""Links between regions."""

from attrs import frozen


@frozen
class Link:
    """The one-way capacity from one region to another."""

    source: str
    target: str
    bytes_per_second: float
    one_way_latency_ms: float
