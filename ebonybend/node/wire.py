"""Interfaces to the platform's formats: calls and stored objects."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from attrs import frozen
from twisted.web.http_headers import Headers

from ebonybend.node.members import Member
from ebonybend.steering.refusal_trials import TrialRecord
from ebonybend.steering.service_times import RouteTimes
from ebonybend.store.client import StoredObject
from ebonybend.world import BackendServer
from ebonybend.world.backend_server import MAX_TIME_MS
from ebonybend.world.route import RoutingConfig

# A longer mean service time isn't a measured one.
MAX_SERVICE_S = 3600.0
# Bounds the size of the object with the refused requests; the latest crashes are kept.
MAX_REFUSED_REQUESTS = 1000
# More trials of one request aren't counted.
MAX_TRIALS = 1000


@frozen
class ClientHeaders:
    """The headers of a client request that the node reads."""

    request_id: bytes
    # None if the client states no deadline.
    deadline_s: float | None
    object_key: bytes


@frozen
class ServerLoad:
    """The load that a server reports."""

    running: int
    waiting: int
    slots: int


@frozen
class RefusedRequests:
    """The requests that all nodes refuse because they crash servers."""

    # Unix time of the last crash in milliseconds, by fingerprint.
    crashed_ms: dict[str, int]

    def is_valid(self) -> bool:
        """Return whether the number of requests and all times are in their ranges."""
        return len(self.crashed_ms) <= MAX_REFUSED_REQUESTS and all(
            0 <= at <= MAX_TIME_MS for at in self.crashed_ms.values()
        )


@frozen
class RefusalTrials:
    """The trials of refused requests, by all nodes together."""

    trials: dict[str, TrialRecord]

    def is_valid(self) -> bool:
        """Return whether the number of requests and all numbers are in their ranges."""
        return len(self.trials) <= MAX_REFUSED_REQUESTS and all(
            0 < record.count <= MAX_TRIALS and 0 <= record.tried_ms <= MAX_TIME_MS
            for record in self.trials.values()
        )


@frozen
class LiftedRefusals:
    """The requests whose refusal an operator has lifted."""

    # Unix time of the decision in milliseconds, by fingerprint; later crashes count.
    lifted_ms: dict[str, int]

    def is_valid(self) -> bool:
        """Return whether the number of requests and all times are in their ranges."""
        return len(self.lifted_ms) <= MAX_REFUSED_REQUESTS and all(
            0 <= at <= MAX_TIME_MS for at in self.lifted_ms.values()
        )


@frozen
class RegionCheckpoint:
    """The state that the nodes of a region need after all of them restarted."""

    # Unix time of the write in milliseconds.
    written_ms: int
    # Traffic share of each region by service: the part of this region's objects that
    # is assigned to it.
    shares: dict[str, dict[str, float]]
    # Service times by route.
    times: dict[str, RouteTimes]

    def is_valid(self) -> bool:
        """Return whether all shares and times are in their ranges."""
        shares = [x for by_region in self.shares.values() for x in by_region.values()]
        times = [
            x
            for t in self.times.values()
            for x in (t.warm_s, t.cold_s, t.mean_s, t.longest_s)
        ]
        return (
            0 <= self.written_ms <= MAX_TIME_MS
            and all(0.0 <= share <= 1.0 for share in shares)
            and all(x is None or 0.0 < x <= MAX_SERVICE_S for x in times)
        )


class WireFormat(Protocol):
    """The formats of calls between clients, nodes and servers."""

    request_id_header: bytes
    lookup_path: str
    ready_path: str

    def read_client_headers(self, headers: Headers) -> ClientHeaders | None:
        """Return the decoded headers; None without an id or with a bad deadline."""
        ...

    def server_headers(
        self, server: str, remaining_s: float
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers that are added to a request to a server."""
        ...

    def states_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether an answer states that the server didn't run the request."""
        ...

    def read_load(self, headers: Headers) -> ServerLoad | None:
        """Return the load that an answer reports, or None."""
        ...

    def read_limit(self, headers: Headers) -> float | None:
        """Return the requests per second that a server takes from all nodes.

        Infinite if it names no limit, None if its limit can't be read.
        """
        ...

    def states_leaving(self, headers: Headers) -> bool:
        """Return whether an answer states that its server leaves."""
        ...

    def read_pause(self, status: int, headers: Headers) -> float:
        """Return the seconds for which the server wants no requests from this node.

        0 if it states none, or none that can be read.
        """
        ...

    def retry_after_header(self, seconds: float) -> tuple[str, str]:
        """Return the header that states the delay before a client's retry."""
        ...

    def read_lookup(self, query: Mapping[bytes, list[bytes]]) -> tuple[str, str]:
        """Return the failure domain and the region that a client states."""
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
    # Kind of the checkpoints: one object for each region; not watched.
    checkpoint_kind: str
    # Kind of the objects about refused requests; not watched.
    refused_kind: str

    def decode_config(self, stored: StoredObject) -> RoutingConfig | None:
        """Return the routing configuration, or None if it can't be decoded."""
        ...

    def decode_server(
        self, stored: StoredObject, regions: Mapping[str, str]
    ) -> BackendServer | None:
        """Return a server, or None if the entry describes no usable one."""
        ...

    def decode_member(self, stored: StoredObject) -> Member | None:
        """Return a node's own entry, or None if it can't be decoded."""
        ...

    def encode_member(self, member: Member) -> bytes:
        """Return the encoded entry of a node."""
        ...

    def decode_checkpoint(self, stored: StoredObject) -> RegionCheckpoint | None:
        """Return a region's checkpoint, or None if it can't be decoded."""
        ...

    def encode_checkpoint(self, checkpoint: RegionCheckpoint) -> bytes:
        """Return an encoded checkpoint."""
        ...

    def decode_refused(self, stored: StoredObject) -> RefusedRequests | None:
        """Return the refused requests, or None if they can't be decoded."""
        ...

    def encode_refused(self, refused: RefusedRequests) -> bytes:
        """Return the encoded refused requests."""
        ...

    def decode_trials(self, stored: StoredObject) -> RefusalTrials | None:
        """Return the trials of refused requests, or None if they can't be decoded."""
        ...

    def encode_trials(self, trials: RefusalTrials) -> bytes:
        """Return the encoded trials of refused requests."""
        ...

    def decode_lifted(self, stored: StoredObject) -> LiftedRefusals | None:
        """Return what an operator lifted, or None if it can't be decoded."""
        ...
