"""Assign loopback addresses to a fleet and proxy rules for its latencies."""

import errno
from socket import AF_INET, SOCK_STREAM, socket

from attrs import frozen

from bench.deployments import DeploymentPlan
from ebonybend.world import FailureDomain
from standins.proxy_rules import Listener, ProxyConfig, ProxyLink, ProxyRule

# Ports are below 32768, the start of the usual ephemeral range. A process listens
# on its port plus the offset; the proxy listens on the port itself.
LISTEN_OFFSET = 10_000
PUBLIC_PORT = 8080
PEER_PORT = 7200
EXCHANGE_PORT = 7300
CONTROL_PORT = 17100
ADMIN_PORT = 17400
SERVER_PORT = 9000
FAULTS_PORT = 19001
PLATFORM_PORT = 7000
LOCK_PORT = 6999
FIRST_FLEET = 1
LAST_FLEET = 250
FIRST_SERVER_HOST = 10
PLATFORM_HOST = 200
PROXY_HOST = 201
CLIENT_NETWORK = 100


@frozen
class Endpoint:
    """The listen address of a process and the proxied address that others use."""

    listen: str
    advertise: str


@frozen
class AddressPlan:
    """The addresses of one fleet."""

    fleet: int
    plan: DeploymentPlan

    def domain_network(self, domain: str) -> str:
        """Return the address prefix of a failure domain, with a trailing dot."""
        names = [x.name for x in self.plan.deployment.failure_domains]
        return f"127.{self.fleet}.{names.index(domain) + 1}."

    def client_network(self, region: str) -> str:
        """Return the address prefix of a region's clients, with a trailing dot."""
        names = [x.name for x in self.plan.deployment.regions]
        return f"127.{self.fleet}.{CLIENT_NETWORK + names.index(region)}."

    def instance_host(self, instance: str) -> str:
        """Return the IP address of an entry instance."""
        domain = self.plan.deployment.domain_of_instance(instance)
        if domain is None:
            raise ValueError(f"no such instance: {instance}")
        number = domain.instances.index(instance) + 1
        return f"{self.domain_network(domain.name)}{number}"

    def server_host(self, server: str) -> str:
        """Return the IP address of a backend server."""
        planned_server = next(x for x in self.plan.servers if x.name == server)
        domain_servers = [
            x.name
            for x in self.plan.servers
            if x.failure_domain == planned_server.failure_domain
        ]
        number = FIRST_SERVER_HOST + domain_servers.index(server)
        return f"{self.domain_network(planned_server.failure_domain)}{number}"

    def client_ip(self, region: str, client_number: int) -> str:
        """Return the client address that a client sends in its lookups.

        Each client is in its own /24 block, because lookups rank by block.
        """
        names = [x.name for x in self.plan.deployment.regions]
        return f"10.{names.index(region) + 1}.{client_number}.7"

    def client_blocks(self, client_count: int) -> dict[str, str]:
        """Return the nearest failure domain for each client's block."""
        blocks = {}
        for region in self.plan.deployment.regions:
            domains = [
                x.name
                for x in self.plan.deployment.failure_domains
                if x.region == region.name
            ]
            for client_number in range(1, client_count + 1):
                block = self.client_ip(region.name, client_number)
                blocks[block] = domains[client_number % len(domains)]
        return blocks

    @property
    def store_domain(self) -> str:
        """Return the failure domain of the platform's object store."""
        domains = self.plan.deployment.failure_domains
        return next(x.name for x in domains if x.region == self.plan.store_region)

    @property
    def platform_host(self) -> str:
        """Return the IP address of the platform."""
        return f"{self.domain_network(self.store_domain)}{PLATFORM_HOST}"

    @property
    def platform(self) -> Endpoint:
        """Return the address of the platform's object API."""
        return endpoint(self.platform_host, PLATFORM_PORT)

    @property
    def platform_faults(self) -> str:
        """Return the platform's admin address."""
        return f"{self.platform_host}:{FAULTS_PORT}"

    @property
    def proxy_faults(self) -> str:
        """Return the proxy's admin address."""
        return f"127.{self.fleet}.0.{PROXY_HOST}:{FAULTS_PORT}"

    def public(self, instance: str) -> Endpoint:
        """Return the address of an instance for clients."""
        return endpoint(self.instance_host(instance), PUBLIC_PORT)

    def peer(self, instance: str) -> Endpoint:
        """Return the address of an instance for other entries."""
        return endpoint(self.instance_host(instance), PEER_PORT)

    def exchange(self, instance: str) -> Endpoint:
        """Return the address of an instance for other controls."""
        return endpoint(self.instance_host(instance), EXCHANGE_PORT)

    def control(self, instance: str) -> str:
        """Return the address on which the control serves its entry."""
        return f"{self.instance_host(instance)}:{CONTROL_PORT}"

    def admin(self, instance: str) -> str:
        """Return the address of an instance's administration API."""
        return f"{self.instance_host(instance)}:{ADMIN_PORT}"

    def server(self, server: str) -> Endpoint:
        """Return the address of a backend server."""
        return endpoint(self.server_host(server), SERVER_PORT)

    def server_faults(self, server: str) -> str:
        """Return a backend server's admin address."""
        return f"{self.server_host(server)}:{FAULTS_PORT}"

    def listeners(self) -> tuple[Listener, ...]:
        """Return all addresses that the proxy forwards."""
        endpoints = [self.platform]
        for name in self.plan.instances:
            endpoints += [self.public(name), self.peer(name), self.exchange(name)]
        endpoints += [self.server(x.name) for x in self.plan.servers]
        return tuple(Listener(x.advertise, x.listen) for x in endpoints)

    def proxy_config(self) -> ProxyConfig:
        """Return the proxy's configuration, with latencies but no faults."""
        rules = (*self._domain_latency_rules(), *self._client_latency_rules())
        links = tuple(
            ProxyLink(link_name(x.source, x.target), x.bytes_per_second)
            for x in self.plan.deployment.links
        )
        return ProxyConfig(self.listeners(), links, rules)

    def _domain_latency_rules(self) -> tuple[ProxyRule, ...]:
        domains = self.plan.deployment.failure_domains
        pairs = ((a, b) for a in domains for b in domains if a != b)
        return tuple(
            self._domain_latency_rule(source, target) for source, target in pairs
        )

    def _domain_latency_rule(
        self, source: FailureDomain, target: FailureDomain
    ) -> ProxyRule:
        crosses_regions = source.region != target.region
        latency_ms = self.plan.deployment.one_way_latency_ms(source.name, target.name)
        return ProxyRule(
            name=f"latency {source.name} {target.name}",
            source=self.domain_network(source.name),
            target=self.domain_network(target.name),
            delay_ms=latency_ms,
            forward_link=link_name(source.region, target.region)
            if crosses_regions
            else None,
            back_link=link_name(target.region, source.region)
            if crosses_regions
            else None,
        )

    def _client_latency_rules(self) -> tuple[ProxyRule, ...]:
        rules = []
        for region in self.plan.deployment.regions:
            for domain in self.plan.deployment.failure_domains:
                link = self.plan.deployment.link(region.name, domain.region)
                link_latency_ms = link.one_way_latency_ms if link else 0.0
                rules.append(
                    ProxyRule(
                        name=f"latency callers {region.name} {domain.name}",
                        source=self.client_network(region.name),
                        target=self.domain_network(domain.name),
                        delay_ms=self.plan.client_latency_ms + link_latency_ms,
                    )
                )
        return tuple(rules)


def endpoint(host: str, port: int) -> Endpoint:
    """Return the listen and advertised addresses of a port."""
    return Endpoint(f"{host}:{port + LISTEN_OFFSET}", f"{host}:{port}")


def link_name(source: str, target: str) -> str:
    """Return the proxy's name for the link from one region to another."""
    return f"{source}>{target}"


def reserve_fleet() -> tuple[int, socket]:
    """Return a free fleet number and the open socket that reserves it."""
    for number in range(FIRST_FLEET, LAST_FLEET + 1):
        lock = socket(AF_INET, SOCK_STREAM)
        try:
            lock.bind((f"127.{number}.0.{PROXY_HOST}", LOCK_PORT))
            lock.listen(1)
        except OSError as error:
            lock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return number, lock
    raise RuntimeError(f"all fleet numbers up to {LAST_FLEET} are in use")
