"""What a node needs from an adapter: formats of calls and of stored objects."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from attrs import frozen
from twisted.web.http_headers import Headers

from ebonybend.node.members import Member
from ebonybend.steering.service_times import RouteTimes
from ebonybend.store.client import StoredObject
from ebonybend.world import BackendServer
from ebonybend.world.route import RoutingConfig


@frozen
class ClientHeaders:
    """What a client's headers tell about its request."""

    request_id: bytes
    # None if the client states no deadline.
    deadline_s: float | None
    object_key: bytes


@frozen
class ServerLoad:
    """A server's own count of its requests."""

    running: int
    waiting: int
    slots: int


@frozen
class KeptState:
    """What the nodes of one region know together."""

    # Wall time of the write in milliseconds.
    written_ms: int
    # Share of the region's objects that each region takes, by service.
    shares: dict[str, dict[str, float]]
    # How long requests take, by route.
    times: dict[str, RouteTimes]


class Wire(Protocol):
    """The formats between clients, nodes and servers."""

    request_id_header: bytes
    lookup_path: str
    ready_path: str

    def read_client_headers(self, headers: Headers) -> ClientHeaders | None:
        """Return what the headers tell; None without an id or with a bad deadline."""
        ...

    def server_headers(
        self, server: str, left_s: float
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that a request to a server gets besides the client's."""
        ...

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Tell whether a server's answer states that it did not run the request."""
        ...

    def read_load(self, headers: Headers) -> ServerLoad | None:
        """Return the load that an answer reports, or None."""
        ...

    def retry_after_header(self, seconds: float) -> tuple[str, str]:
        """Return the header that tells a client when to come back."""
        ...

    def read_lookup(self, query: Mapping[bytes, list[bytes]]) -> tuple[str, str]:
        """Return the failure domain and the region of the client that asks."""
        ...

    def encode_lookup(self, addresses: Sequence[str], lifetime_s: float) -> bytes:
        """Return the body of a directory answer."""
        ...


class Documents(Protocol):
    """The kinds of objects in the store, and their formats."""

    config_kind: str
    config_name: str
    servers_kind: str
    evacuations_kind: str
    members_kind: str
    # One object for each region, which nobody watches.
    kept_kind: str

    def decode_config(self, stored: StoredObject) -> RoutingConfig | None:
        """Return the routing that an object holds, or None if it can't be read."""
        ...

    def decode_server(
        self, stored: StoredObject, regions: Mapping[str, str]
    ) -> BackendServer | None:
        """Return a server, or None if the entry names none that can be used."""
        ...

    def decode_member(self, stored: StoredObject) -> Member | None:
        """Return a node's own entry, or None if it can't be read."""
        ...

    def encode_member(self, member: Member) -> bytes:
        """Return the value of a node's own entry."""
        ...

    def decode_kept(self, stored: StoredObject) -> KeptState | None:
        """Return what a region's nodes keep, or None if it can't be read."""
        ...

    def encode_kept(self, state: KeptState) -> bytes:
        """Return the value of what a region's nodes keep."""
        ...
