"""Handlers of the directory port, the readiness port and the metrics port."""

from collections.abc import Callable
from random import Random

from ebonybend.http_answers import IncomingRequest, OutgoingAnswer
from ebonybend.http_router import Router
from ebonybend.http_server import HttpLimits
from ebonybend.node.members import Members, members_in_region
from ebonybend.node.metrics import NodeMetrics
from ebonybend.node.wire import WireFormat
from ebonybend.steering.listing import nodes_to_list
from ebonybend.world.route import ClientLimits

# Time for which clients cache a directory answer. Some cache it three times as long,
# and all must drop a stopping node within its grace time.
LOOKUP_LIFETIME_S = 2.0
# Clients read at most 64 addresses of an answer.
MAX_ADDRESSES = 64
JSON = {"Content-Type": "application/json"}
# Descriptors reserved for the store, other nodes, files and backend servers.
RESERVED_DESCRIPTORS = 600
# Client connections that a node accepts however few descriptors it has.
MIN_CONNECTIONS = 100


def client_port_limits(limits: ClientLimits, max_descriptors: int) -> HttpLimits:
    """Return the limits of the port for clients."""
    return HttpLimits(
        max_body_bytes=limits.max_body_bytes,
        max_header_bytes=limits.max_header_bytes,
        max_connections=max(max_descriptors - RESERVED_DESCRIPTORS, MIN_CONNECTIONS),
        receive_timeout_s=limits.header_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        timeout_covers_headers_only=True,
    )


class Directory:
    """Return to clients the addresses of the nodes to use."""

    def __init__(
        self,
        members: Members,
        wire: WireFormat,
        own_ready: Callable[[], bool],
        clock: Callable[[], float],
        max_lifetime_s: Callable[[], float],
        random: Random,
    ):
        self.members = members
        self.wire = wire
        self.own_ready = own_ready
        self.clock = clock
        self.random = random
        # Returns the longest time for which clients may cache an answer.
        self.max_lifetime_s = max_lifetime_s
        self.router = Router()
        self.router.add("GET", wire.lookup_path, self.lookup)

    def lifetime_s(self) -> float:
        """Return the time for which clients may cache an answer."""
        return min(LOOKUP_LIFETIME_S, self.max_lifetime_s())

    async def lookup(self, incoming: IncomingRequest) -> OutgoingAnswer:
        """Return the addresses of the ready nodes in the client's region."""
        domain, region = self.wire.read_lookup(incoming.query)
        candidates = self.members.ready_members(self.clock(), self.own_ready())
        members = members_in_region(candidates, domain, region)
        if not members:
            return OutgoingAnswer(503, b"no node is ready\n")
        links_mbps = {member.callers_address: member.link_mbps for member in members}
        addresses = nodes_to_list(links_mbps, self.random)[:MAX_ADDRESSES]
        body = self.wire.encode_lookup(addresses, self.lifetime_s())
        return OutgoingAnswer(200, body, JSON)


def readiness_router(wire: WireFormat, own_ready: Callable[[], bool]) -> Router:
    """Return the handler that reports whether this node accepts clients."""

    async def ready(_incoming: IncomingRequest) -> OutgoingAnswer:
        return OutgoingAnswer(200 if own_ready() else 503)

    router = Router()
    router.add("GET", wire.ready_path, ready)
    return router


def metrics_router(metrics: NodeMetrics, refresh: Callable[[], None]) -> Router:
    """Return the handler that serves the metrics."""

    async def serve(_incoming: IncomingRequest) -> OutgoingAnswer:
        refresh()
        body, content_type = metrics.render()
        return OutgoingAnswer(200, body, {"Content-Type": content_type})

    router = Router()
    router.add("GET", "/metrics", serve)
    return router
