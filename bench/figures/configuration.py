"""The time from the acceptance of a rules change until it is in force everywhere."""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from time import monotonic, sleep

from bench.deployments import blue_mahoe
from bench.figures.figure import Figure
from bench.figures.metrics_text import read_metric
from bench.fleet import Fleet, FleetOptions
from bench.http_calls import call
from bench.tables import percentile
from standins.proxy_rules import ProxyRule

CHANGES = 20
CHANGES_CUT = 8
TARGET_S = 1.0
TARGET_CUT_S = 5.0
TIMEOUT_S = 20.0
POLL_S = 0.01
REVISION = "ebonybend_rules_revision"
HIGH_PERCENTILE = 0.99


def rules_text(number: int) -> str:
    """Return a rules text that differs for each number."""
    latency = 0.5 + number % 40 / 100
    return (
        "# Bench (measurement): change number "
        f"{number}\nweights service=ride-history latency={latency:.2f} headroom=0.2\n"
    )


def submit_rules(fleet: Fleet, number: int) -> int:
    """Change the rules through the administration API; return the new revision."""
    admin = fleet.addresses.admin(fleet.plan.instances[0])
    base = call("GET", admin, "/v1/rules").body
    revision = int(base.split(b'"revision":', 1)[1].split(b",", 1)[0].strip(b" }"))
    headers = {
        "If-Match": str(revision),
        "Author": "Bench",
        "Reason": "measurement",
        "Change-Id": f"change-{number}-{monotonic()}",
    }
    text = rules_text(number).encode()
    answer = call("PUT", admin, "/v1/rules", text, headers, TIMEOUT_S)
    if answer.status != 200:
        raise RuntimeError(f"PUT /v1/rules: {answer.status} {answer.body!r}")
    return revision + 1


def wait_until_in_force(fleet: Fleet, revision: int) -> float:
    """Wait until a revision is in force at every entry; return the seconds."""
    started = monotonic()

    def wait(instance: str) -> float:
        address = fleet.addresses.public(instance).listen
        while read_metric(address, REVISION) < revision:
            if monotonic() - started > TIMEOUT_S:
                raise TimeoutError(f"{instance} has no revision {revision}")
            sleep(POLL_S)
        return monotonic() - started

    with ThreadPoolExecutor(len(fleet.instances)) as pool:
        return max(pool.map(wait, fleet.instances))


def configuration(seed: int) -> Iterator[Figure]:
    """Measure without faults, then with only the store's domain connected to it."""
    with Fleet(blue_mahoe(), FleetOptions()) as fleet:
        undisturbed = [
            wait_until_in_force(fleet, submit_rules(fleet, x)) for x in range(CHANGES)
        ]
        fleet.add_proxy_rules(*platform_cuts(fleet))
        sleep(1.0)
        cut = [
            wait_until_in_force(fleet, submit_rules(fleet, CHANGES + x))
            for x in range(CHANGES_CUT)
        ]
    yield _figure("config_in_force", undisturbed, TARGET_S, seed)
    yield _figure("config_in_force_cut", cut, TARGET_CUT_S, seed)


def platform_cuts(fleet: Fleet) -> list[ProxyRule]:
    """Return rules that cut the store from every failure domain except its own."""
    return [
        ProxyRule(
            name=f"cut {domain.name} from the platform",
            source=fleet.addresses.domain_network(domain.name),
            target=fleet.addresses.platform.advertise,
            action="cut",
        )
        for domain in fleet.plan.deployment.failure_domains
        if domain.name != fleet.addresses.store_domain
    ]


def _figure(name: str, values: list[float], target_s: float, seed: int) -> Figure:
    high = percentile(values, HIGH_PERCENTILE)
    return Figure(name, high, "s p99", target_s, high / target_s, seed)
