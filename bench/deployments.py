"""The two deployments that the system is built for."""

from attrs import evolve, field, frozen

from ebonybend.world import (
    Contract,
    Deployment,
    FailureDomain,
    Link,
    Region,
    Service,
)

# One machine can't carry the real links' rates through the fault proxy, so the
# links and their budgets are both scaled by this factor.
LINK_RATE_FACTOR = 0.01
BITS_PER_BYTE = 8
DOMAINS_PER_REGION = 2
SERVERS_PER_SERVICE_AND_DOMAIN = 2


@frozen
class PlannedServer:
    """A backend server of a deployment."""

    name: str
    service: str
    failure_domain: str
    slots: int


@frozen
class DeploymentPlan:
    """A deployment with the machines in it and its latencies."""

    name: str
    deployment: Deployment
    client_latency_ms: float
    # Region of the platform's store.
    store_region: str
    # The service whose requests are writes.
    write_service: str
    servers: tuple[PlannedServer, ...]
    cast: tuple[str, ...] = field(default=())

    @property
    def instances(self) -> tuple[str, ...]:
        """Return the names of all entry instances."""
        domains = self.deployment.failure_domains
        return tuple(name for domain in domains for name in domain.instances)


def _domains(regions: tuple[str, ...]) -> tuple[FailureDomain, ...]:
    """Return the failure domains; the first has two entry instances."""
    domains = []
    for region in regions:
        for number in range(1, DOMAINS_PER_REGION + 1):
            name = f"{region.lower()}-{number}"
            letters = "ab" if not domains else "a"
            instances = tuple(f"{name}-{letter}" for letter in letters)
            domains.append(FailureDomain(name, region, instances))
    return tuple(domains)


def _links(
    regions: tuple[str, ...], bits_per_second: float, latency_ms: float
) -> tuple[Link, ...]:
    rate = bits_per_second / BITS_PER_BYTE * LINK_RATE_FACTOR
    return tuple(
        Link(source, target, rate, latency_ms)
        for source in regions
        for target in regions
        if source != target
    )


def _servers(
    services: tuple[str, ...], domains: tuple[FailureDomain, ...], slots: range
) -> tuple[PlannedServer, ...]:
    servers = []
    for service in services:
        number = 0
        for domain in domains:
            for _ in range(SERVERS_PER_SERVICE_AND_DOMAIN):
                number += 1
                count = slots[number % len(slots)]
                name = f"{service}-{number:02d}"
                servers.append(PlannedServer(name, service, domain.name, count))
    return tuple(servers)


def blue_mahoe() -> DeploymentPlan:
    """Return the deployment of Blue Mahoe: latency first."""
    regions = ("Kingston", "Montego", "Mandeville")
    services = ("ride-history", "sign-off-filing", "certificate-registry")
    domains = _domains(regions)
    deployment = Deployment(
        tuple(Region(name) for name in regions),
        domains,
        _links(regions, 4e9, 55.0),
        tuple(Service(name, "blue-mahoe") for name in services),
        (Contract("blue-mahoe", 0.8, 0.2),),
        1.0,
    )
    servers = _servers(services, domains, range(3, 6))
    return DeploymentPlan(
        "blue-mahoe",
        deployment,
        8.0,
        "Kingston",
        "sign-off-filing",
        servers,
        ("inspector", "officer", "member"),
    )


def kadar() -> DeploymentPlan:
    """Return the deployment of Kádár: headroom first."""
    # Names are ASCII so that they can be part of keys and header values.
    regions = ("Tokaj", "Eger", "Villany")
    services = ("inventory", "repair-orders", "cask-records")
    domains = _domains(regions)
    deployment = Deployment(
        tuple(Region(name) for name in regions),
        domains,
        _links(regions, 3e8, 20.0),
        tuple(Service(name, "kadar") for name in services),
        (Contract("kadar", 0.2, 0.8),),
        1.5,
    )
    servers = _servers(services, domains, range(3, 5))
    return DeploymentPlan(
        "kadar",
        deployment,
        3.0,
        "Tokaj",
        "repair-orders",
        servers,
        ("cellar master", "cooper", "member"),
    )


def reduced(
    plan: DeploymentPlan, domains: tuple[str, ...], services: tuple[str, ...] = ()
) -> DeploymentPlan:
    """Return a deployment with some of its failure domains and services only.

    All services are kept if none are given.
    """
    services = services or tuple(x.name for x in plan.deployment.services)
    kept = tuple(x for x in plan.deployment.failure_domains if x.name in domains)
    names = {domain.region for domain in kept}
    deployment = evolve(
        plan.deployment,
        regions=tuple(x for x in plan.deployment.regions if x.name in names),
        failure_domains=kept,
        services=tuple(x for x in plan.deployment.services if x.name in services),
        links=tuple(x for x in plan.deployment.links if {x.source, x.target} <= names),
    )
    servers = tuple(
        x for x in plan.servers if x.failure_domain in domains and x.service in services
    )
    return evolve(plan, deployment=deployment, servers=servers)


DEPLOYMENTS = {"blue-mahoe": blue_mahoe, "kadar": kadar}
