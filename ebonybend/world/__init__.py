"""The data model: servers, instances, regions, links, routes and contracts."""

from ebonybend.world.backend_server import BackendServer, ServerState
from ebonybend.world.contract import Contract, Service
from ebonybend.world.deployment import Deployment
from ebonybend.world.failure_domain import FailureDomain
from ebonybend.world.instance import Instance, LifeState
from ebonybend.world.link import Link
from ebonybend.world.region import Region

__all__ = [
    "BackendServer",
    "Contract",
    "Deployment",
    "FailureDomain",
    "Instance",
    "LifeState",
    "Link",
    "Region",
    "ServerState",
    "Service",
]
