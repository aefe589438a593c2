"""Decode and encode the objects in the platform's store."""

from typing import Any

from attrs import field, frozen

from ebonybend.addresses import is_ipv4_address
from ebonybend.codec import from_json, to_json
from ebonybend.errors import SteeringError
from ebonybend.node.members import Member
from ebonybend.node.wire import (
    LiftedRefusals,
    RefusalTrials,
    RefusedRequests,
    RegionCheckpoint,
)
from ebonybend.store.client import StoredObject
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.route import (
    ClientLimits,
    Route,
    RoutePart,
    RoutingConfig,
    ServiceLimits,
)

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
# A kind that this project defines: one object for each node.
MEMBERS_KIND = "ebonybend-nodes"
# A kind that this project defines: one checkpoint for each region.
CHECKPOINT_KIND = "ebonybend-kept"
# A kind that this project defines: refused requests, their trials, and what is lifted.
REFUSED_KIND = "ebonybend-refused"

MS_PER_S = 1000.0
# Limits on the numbers of a configuration.
MAX_VERSION = 2**63 - 1
MAX_CONFIG_TIME_MS = 86_400_000.0
MAX_CONFIG_COUNT = 1_000_000
MAX_CONFIG_BYTES = 1 << 40
MAX_WEIGHT = 1e9
# Downloads have large answers; repeating one is as harmless as for other reads.
IDEMPOTENT_KINDS = frozenset({"safe", "download"})
LIFE_STATES = {"ready": LifeState.LIVE, "draining": LifeState.LEAVING}


@frozen
class _Backend:
    Service: str
    Weight: float

    def is_valid(self) -> bool:
        """Return whether the weight can be used."""
        return 0.0 <= self.Weight <= MAX_WEIGHT


@frozen
class _Path:
    Name: str
    PathPrefix: str
    Kind: str
    TimeoutMs: float = 0.0
    GoalMs: float = 0.0
    MaxAttempts: int = 1
    Priority: int = 0
    Sticky: bool = False
    Service: str = ""
    # Weighted services, in place of Service.
    Backends: list[_Backend] = field(factory=list)
    HomeRegions: list[str] = field(factory=list)

    def is_valid(self) -> bool:
        """Return whether the numbers can be used."""
        return (
            0.0 <= self.TimeoutMs <= MAX_CONFIG_TIME_MS
            and 0.0 <= self.GoalMs <= MAX_CONFIG_TIME_MS
            and 0 <= self.MaxAttempts <= MAX_CONFIG_COUNT
            and abs(self.Priority) <= MAX_CONFIG_COUNT
            and all(backend.is_valid() for backend in self.Backends)
        )


@frozen
class _VirtualHost:
    Host: str
    Paths: list[_Path] = field(factory=list)


@frozen
class _Service:
    Name: str
    MaxConns: int = 0
    WarmupS: float = 0.0
    WarmupPerS: float = 0.0

    def is_valid(self) -> bool:
        """Return whether the numbers can be used."""
        return (
            0 <= self.MaxConns <= MAX_CONFIG_COUNT
            and 0.0 <= self.WarmupS * MS_PER_S <= MAX_CONFIG_TIME_MS
            and 0.0 <= self.WarmupPerS <= MAX_CONFIG_COUNT
        )


@frozen
class _Limits:
    MaxHeaderBytes: int = 16384
    MaxBodyBytes: int = 64 << 20
    HeaderTimeoutMs: float = 3000.0
    IdleTimeoutMs: float = 15000.0

    def is_valid(self) -> bool:
        """Return whether the numbers can be used."""
        return (
            0 <= self.MaxHeaderBytes <= MAX_CONFIG_BYTES
            and 0 <= self.MaxBodyBytes <= MAX_CONFIG_BYTES
            and 0.0 <= self.HeaderTimeoutMs <= MAX_CONFIG_TIME_MS
            and 0.0 <= self.IdleTimeoutMs <= MAX_CONFIG_TIME_MS
        )


@frozen
class _Config:
    Version: int
    Services: list[_Service] = field(factory=list)
    Limits: _Limits = _Limits()
    VirtualHosts: list[_VirtualHost] = field(factory=list)

    def is_valid(self) -> bool:
        """Return whether the numbers can be used."""
        paths = (path for host in self.VirtualHosts for path in host.Paths)
        parts = (self.Limits, *self.Services, *paths)
        is_version = 0 <= self.Version <= MAX_VERSION
        return is_version and all(part.is_valid() for part in parts)


@frozen
class _ConfigObject:
    Spec: _Config


@frozen
class _ServerInfo:
    Service: str
    Zone: str
    # Number of requests that the server runs concurrently.
    MaxConcurrency: int


@frozen
class _ServerStatus:
    State: str
    # Remaining time for which the server is cold, at the time of the report.
    WarmupLeftMs: float = 0.0


@frozen
class _ServerSpec:
    Addr: str
    Info: _ServerInfo
    # Reported by the server; the object's own Status stays empty.
    Status: _ServerStatus
    # Unix time of the process start in milliseconds.
    born: int = 0


@frozen
class _ServerObject:
    Spec: _ServerSpec


@frozen
class _MemberObject:
    Spec: Member


@frozen
class _CheckpointObject:
    Spec: RegionCheckpoint


@frozen
class _RefusedObject:
    Spec: RefusedRequests


@frozen
class _TrialsObject:
    Spec: RefusalTrials


@frozen
class _LiftedObject:
    Spec: LiftedRefusals


def _decode_route(host: str, path: _Path) -> Route:
    parts = tuple(RoutePart(part.Service, part.Weight) for part in path.Backends)
    return Route(
        name=path.Name,
        host=host.lower(),
        prefix=path.PathPrefix,
        idempotent=path.Kind in IDEMPOTENT_KINDS,
        parts=parts or (RoutePart(path.Service, 1.0),),
        max_sends=max(path.MaxAttempts, 1),
        timeout_s=path.TimeoutMs / MS_PER_S,
        objective_s=path.GoalMs / MS_PER_S,
        priority=path.Priority,
        sticky=path.Sticky,
        home_regions=tuple(path.HomeRegions),
    )


class PlatformDocuments:
    """The platform's kinds of stored objects, and their formats."""

    config_kind = CONFIG_KIND
    config_name = CONFIG_NAME
    servers_kind = SERVERS_KIND
    evacuations_kind = EVACUATIONS_KIND
    members_kind = MEMBERS_KIND
    checkpoint_kind = CHECKPOINT_KIND
    refused_kind = REFUSED_KIND

    def decode_config(self, stored: StoredObject) -> RoutingConfig | None:
        """Return the routing configuration, or None if it can't be used."""
        try:
            config = from_json(bytes(stored.value), _ConfigObject).Spec
        except SteeringError:
            return None
        if not config.is_valid():
            return None
        return RoutingConfig(
            config.Version,
            tuple(
                _decode_route(host.Host, path)
                for host in config.VirtualHosts
                for path in host.Paths
            ),
            tuple(
                ServiceLimits(item.Name, item.MaxConns, item.WarmupS, item.WarmupPerS)
                for item in config.Services
            ),
            ClientLimits(
                config.Limits.MaxHeaderBytes,
                config.Limits.MaxBodyBytes,
                config.Limits.HeaderTimeoutMs / MS_PER_S,
                config.Limits.IdleTimeoutMs / MS_PER_S,
            ),
        )

    def decode_server(
        self, stored: StoredObject, regions: dict[str, str]
    ) -> BackendServer | None:
        """Return a server, or None if the entry describes no usable one."""
        try:
            spec = from_json(bytes(stored.value), _ServerObject).Spec
        except SteeringError:
            return None
        info, status = spec.Info, spec.Status
        state = LIFE_STATES.get(status.State)
        if state is None or not is_ipv4_address(spec.Addr):
            return None
        server = BackendServer(
            name=stored.name,
            service=info.Service,
            failure_domain=info.Zone,
            address=spec.Addr,
            slots=info.MaxConcurrency,
            state=state,
            region=regions.get(info.Zone, ""),
            started_ms=spec.born,
            cold_for_s=max(status.WarmupLeftMs, 0.0) / MS_PER_S,
        )
        return server if server.is_valid() else None

    def decode_member(self, stored: StoredObject) -> Member | None:
        """Return a node's own entry, or None if it can't be decoded."""
        try:
            member = from_json(bytes(stored.value), _MemberObject).Spec
        except SteeringError:
            return None
        return member if member.is_valid() else None

    def encode_member(self, member: Member) -> bytes:
        """Return the encoded entry of a node."""
        return to_json(member)

    def decode_checkpoint(self, stored: StoredObject) -> RegionCheckpoint | None:
        """Return a region's checkpoint, or None if it can't be decoded."""
        try:
            checkpoint = from_json(bytes(stored.value), _CheckpointObject).Spec
        except SteeringError:
            return None
        return checkpoint if checkpoint.is_valid() else None

    def encode_checkpoint(self, checkpoint: RegionCheckpoint) -> bytes:
        """Return an encoded checkpoint."""
        return to_json(checkpoint)

    def decode_refused(self, stored: StoredObject) -> RefusedRequests | None:
        """Return the refused requests, or None if they can't be decoded."""
        return _decode_spec(stored, _RefusedObject)

    def encode_refused(self, refused: RefusedRequests) -> bytes:
        """Return the encoded refused requests."""
        return to_json(refused)

    def decode_trials(self, stored: StoredObject) -> RefusalTrials | None:
        """Return the trials of refused requests, or None if they can't be decoded."""
        return _decode_spec(stored, _TrialsObject)

    def encode_trials(self, trials: RefusalTrials) -> bytes:
        """Return the encoded trials of refused requests."""
        return to_json(trials)

    def decode_lifted(self, stored: StoredObject) -> LiftedRefusals | None:
        """Return what an operator lifted, or None if it can't be decoded."""
        return _decode_spec(stored, _LiftedObject)


def _decode_spec(stored: StoredObject, object_type: type[Any]) -> Any:
    """Return the checked content of an object, or None if it can't be decoded."""
    try:
        content = from_json(bytes(stored.value), object_type).Spec
    except SteeringError:
        return None
    return content if content.is_valid() else None
