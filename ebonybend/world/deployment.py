"""The planned deployment: regions, failure domains, links, services, contracts."""

from attrs import frozen

from ebonybend.world.contract import Contract, Service
from ebonybend.world.failure_domain import FailureDomain
from ebonybend.world.link import Link
from ebonybend.world.region import Region


@frozen
class Deployment:
    """The parts of an installation that change only by planning."""

    regions: tuple[Region, ...]
    failure_domains: tuple[FailureDomain, ...]
    links: tuple[Link, ...]
    services: tuple[Service, ...]
    contracts: tuple[Contract, ...]
    # One-way latency between failure domains of one region.
    domain_latency_ms: float = 1.0

    def domain(self, name: str) -> FailureDomain | None:
        """Return the failure domain with a name, or None."""
        return next((d for d in self.failure_domains if d.name == name), None)

    def domain_of_instance(self, instance: str) -> FailureDomain | None:
        """Return the failure domain for which an instance is planned, or None."""
        return next((d for d in self.failure_domains if instance in d.instances), None)

    def region_instances(self, region: str) -> tuple[str, ...]:
        """Return the names of all instances planned in a region, sorted."""
        names = (
            name
            for domain in self.failure_domains
            if domain.region == region
            for name in domain.instances
        )
        return tuple(sorted(names))

    def link(self, source: str, target: str) -> Link | None:
        """Return the link from one region to another, or None."""
        matches = (x for x in self.links if (x.source, x.target) == (source, target))
        return next(matches, None)

    def one_way_latency_ms(self, source_domain: str, target_domain: str) -> float:
        """Return the planned one-way latency between two failure domains."""
        if source_domain == target_domain:
            return 0.0
        source, target = self.domain(source_domain), self.domain(target_domain)
        if source is None or target is None or source.region == target.region:
            return self.domain_latency_ms
        link = self.link(source.region, target.region)
        return link.one_way_latency_ms if link else self.domain_latency_ms

    def contract_of(self, service: str) -> Contract:
        """Return the contract of a service's customer, or one with equal weights."""
        customer = next((s.customer for s in self.services if s.name == service), "")
        matches = (c for c in self.contracts if c.customer == customer)
        return next(matches, Contract(customer, 0.5, 0.5))
