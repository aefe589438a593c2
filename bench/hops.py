"""Make the requests of a failure domain go through the entries of another one."""

from time import monotonic

from bench.fleet import Fleet
from bench.http_calls import call
from standins.backend_server import ServerFaults
from standins.echo import read_answer

# Longer than the age that the sum of a domain's loads reaches in a table.
SETTLED_S = 2.0


def service_servers(fleet: Fleet, service: str, domain: str) -> set[str]:
    """Return the names of a service's backend servers in a failure domain."""
    return {
        x.name
        for x in fleet.plan.servers
        if (x.service, x.failure_domain) == (service, domain)
    }


def set_domain_faults(
    fleet: Fleet, service: str, domain: str, faults: ServerFaults
) -> None:
    """Replace the faults of a service's backend servers in a failure domain."""
    for server in service_servers(fleet, service, domain):
        fleet.set_server_faults(server, faults)


def hop_everything(
    fleet: Fleet, service: str, domain: str, instance: str, to: str
) -> None:
    """Drain a service in a domain; return when an instance uses another domain."""
    set_domain_faults(fleet, service, domain, ServerFaults(draining=True))
    names = service_servers(fleet, service, to)

    last_use = [monotonic()]

    def hops() -> bool:
        # A retry after a refusal of the own domain needs a token of the budget, so
        # neither this entry nor its siblings may try that domain any more.
        before = _received(fleet, service, domain)
        server = served_by(fleet, service, instance)
        if server not in names or before != _received(fleet, service, domain):
            last_use[0] = monotonic()
        return monotonic() - last_use[0] > SETTLED_S

    fleet.wait_until(hops, "hops")


def hop_nothing(fleet: Fleet, service: str, domain: str, instance: str) -> None:
    """Undo hop_everything; return when the domain serves its requests again."""
    set_domain_faults(fleet, service, domain, ServerFaults())
    names = service_servers(fleet, service, domain)
    fleet.wait_until(lambda: served_by(fleet, service, instance) in names, "no hops")


def _received(fleet: Fleet, service: str, domain: str) -> int:
    """Return the size of the histories of a domain's servers, which only grow."""
    servers = service_servers(fleet, service, domain)
    files = [fleet.server_history(x) for x in servers]
    return sum(x.stat().st_size for x in files if x.exists())


def served_by(fleet: Fleet, service: str, instance: str) -> str:
    """Return the backend server that answers a read, or an empty name."""
    address = fleet.addresses.public(instance).listen
    answer = call("GET", address, f"/s/{service}/ready?service_ms=1")
    echo = read_answer(answer.body) if answer.status == 200 else None
    return echo.server if echo else ""
