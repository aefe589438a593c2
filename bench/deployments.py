"""The two deployments that the system is designed for."""

from attrs import evolve, field, frozen

from ebonybend.world import (
    Contract,
    Deployment,
    FailureDomain,
    Link,
    Region,
    Service,
)

# One machine can't forward the real link rates through the fault proxy, so the
# rates and budgets of links are both scaled by this factor.
LINK_RATE_FACTOR = 0.01
BITS_PER_BYTE = 8
DOMAINS_PER_REGION = 2
SERVERS_PER_SERVICE_AND_DOMAIN = 2


@frozen
class PlannedServer:
    """A backend server in a deployment plan."""

    name: str
    service: str
    failure_domain: str
    slots: int


@frozen
class DeploymentPlan:
    """A deployment with its backend servers, client latency and client roles."""

    name: str
    deployment: Deployment
    client_latency_ms: float
    # Region of the platform's object store.
    store_region: str
    # The service whose requests are writes.
    write_service: str
    servers: tuple[PlannedServer, ...]
    # Words used in the names of clients, in rotation.
    client_roles: tuple[str, ...] = field(default=())

    @property
    def instances(self) -> tuple[str, ...]:
        """Return the names of all entry instances."""
        domains = self.deployment.failure_domains
        return tuple(name for domain in domains for name in domain.instances)


def _domains(regions: tuple[str, ...]) -> tuple[FailureDomain, ...]:
    """Return the failure domains; the first has two instances, the others one."""
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
    """Return the deployment of Blue Mahoe, which weights latency over headroom."""
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
    """Return the deployment of Kádár, which weights headroom over latency."""
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
    """Return a deployment reduced to some failure domains and services.

    If services is empty, all services remain.
    """
    services = services or tuple(x.name for x in plan.deployment.services)
    selected = tuple(x for x in plan.deployment.failure_domains if x.name in domains)
    names = {domain.region for domain in selected}
    deployment = evolve(
        plan.deployment,
        regions=tuple(x for x in plan.deployment.regions if x.name in names),
        failure_domains=selected,
        services=tuple(x for x in plan.deployment.services if x.name in services),
        links=tuple(x for x in plan.deployment.links if {x.source, x.target} <= names),
    )
    servers = tuple(
        x for x in plan.servers if x.failure_domain in domains and x.service in services
    )
    return evolve(plan, deployment=deployment, servers=servers)


DEPLOYMENTS = {"blue-mahoe": blue_mahoe, "kadar": kadar}
