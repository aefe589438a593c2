"""Force requests to hop to the entries of another failure domain."""

from time import monotonic

from bench.fleet import Fleet
from bench.http_calls import call
from standins.backend_server import ServerFaults
from standins.echo import read_answer

# Longer than the maximum age of a domain's load summary in a routing table.
STABLE_S = 2.0


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


def force_hops(fleet: Fleet, service: str, domain: str, instance: str, to: str) -> None:
    """Drain a service in a domain; return when an instance only uses another domain."""
    set_domain_faults(fleet, service, domain, ServerFaults(draining=True))
    names = service_servers(fleet, service, to)

    unstable_at = [monotonic()]

    def uses_target_domain() -> bool:
        # A retry after a refusal in the drained domain needs a token of the retry
        # budget, so neither this entry nor its siblings may still try that domain.
        size_before = _history_size(fleet, service, domain)
        server = serving_server(fleet, service, instance)
        if server not in names or size_before != _history_size(fleet, service, domain):
            unstable_at[0] = monotonic()
        return monotonic() - unstable_at[0] > STABLE_S

    fleet.wait_until(uses_target_domain, "hops")


def end_hops(fleet: Fleet, service: str, domain: str, instance: str) -> None:
    """End the drain; return when the domain serves its own requests again."""
    set_domain_faults(fleet, service, domain, ServerFaults())
    names = service_servers(fleet, service, domain)
    fleet.wait_until(
        lambda: serving_server(fleet, service, instance) in names, "no hops"
    )


def _history_size(fleet: Fleet, service: str, domain: str) -> int:
    """Return the total size of the histories of a domain's servers, in bytes."""
    servers = service_servers(fleet, service, domain)
    files = [fleet.server_history(x) for x in servers]
    return sum(x.stat().st_size for x in files if x.exists())


def serving_server(fleet: Fleet, service: str, instance: str) -> str:
    """Send a read; return the backend server that answers it, or ""."""
    address = fleet.addresses.public(instance).listen
    answer = call("GET", address, f"/s/{service}/ready?service_ms=1")
    echo = read_answer(answer.body) if answer.status == 200 else None
    return echo.server if echo else ""
