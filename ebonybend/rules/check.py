"""Check rules against the deployment that they apply to."""

from collections import defaultdict
from collections.abc import Iterable
from time import time

from ebonybend.rules.compile import is_expired
from ebonybend.rules.model import (
    CapRule,
    DrainRule,
    RefuseRule,
    Rule,
    RuleError,
    ShiftRule,
    WeightsRule,
)
from ebonybend.rules.syntax import SHARE_STEPS, write_time
from ebonybend.world import BackendServer, Deployment

MIN_RATE_PER_SECOND = 1


def check_rules(
    rules: Iterable[Rule],
    deployment: Deployment,
    servers: tuple[BackendServer, ...],
    now: float | None = None,
) -> tuple[RuleError, ...]:
    """Return the errors of rules for a deployment, in the order of lines.

    Names of backend servers are not checked when no servers are given. `now` is in
    seconds since the epoch; it defaults to the system's time.
    """
    rules = tuple(rules)
    effective_now = time() if now is None else now
    errors = [
        RuleError(rule.line, 1, message)
        for rule in rules
        for message in _check_rule(rule, deployment, servers, effective_now)
    ]
    errors += _check_traffic_shares(rules)
    return tuple(sorted(errors, key=lambda error: error.line))


def _check_rule(
    rule: Rule,
    deployment: Deployment,
    servers: tuple[BackendServer, ...],
    now: float,
) -> list[str]:
    messages = [
        *_check_service(rule, deployment),
        *_check_regions(rule, deployment),
        *_check_drain(rule, deployment, servers),
        *_check_rate(rule),
    ]
    if is_expired(rule, now):
        messages.append(f"its end {write_time(rule.until)} has already passed")
    return messages


def _check_service(rule: Rule, deployment: Deployment) -> list[str]:
    if not isinstance(rule.body, WeightsRule | ShiftRule | CapRule | RefuseRule):
        return []
    return _check_known(
        "service", rule.body.service, [s.name for s in deployment.services]
    )


def _check_regions(rule: Rule, deployment: Deployment) -> list[str]:
    if not isinstance(rule.body, ShiftRule | CapRule):
        return []
    regions = [region.name for region in deployment.regions]
    return [
        *_check_known("region", rule.body.source, regions),
        *_check_known("region", rule.body.target, regions),
    ]


def _check_drain(
    rule: Rule, deployment: Deployment, servers: tuple[BackendServer, ...]
) -> list[str]:
    body = rule.body
    if not isinstance(body, DrainRule):
        return []
    if body.target_kind == "instance":
        domains = deployment.failure_domains
        names = [name for domain in domains for name in domain.instances]
        return _check_known("instance", body.name, names)
    if not servers:
        return []
    return _check_known(
        "backend server", body.name, [server.name for server in servers]
    )


def _check_rate(rule: Rule) -> list[str]:
    if not isinstance(rule.body, ShiftRule | CapRule):
        return []
    if rule.body.cap_per_second >= MIN_RATE_PER_SECOND:
        return []
    return [f"its cap must be at least {MIN_RATE_PER_SECOND}/s"]


def _check_known(what: str, name: str | None, known: list[str]) -> list[str]:
    if name is None or name in known:
        return []
    return [f"unknown {what} {name!r}{_known_names_hint(known)}"]


def _known_names_hint(known: list[str]) -> str:
    # A long list hides the message and rarely contains the intended name.
    return f"; known: {', '.join(sorted(known))}" if 0 < len(known) <= 20 else ""


def _check_traffic_shares(rules: tuple[Rule, ...]) -> list[RuleError]:
    """Return an error for each shift that raises the sum of shares above 100%."""
    totals: defaultdict[tuple[str, str], int] = defaultdict(int)
    errors = []
    for rule in rules:
        if not isinstance(rule.body, ShiftRule):
            continue
        origin = rule.body.service, rule.body.source
        totals[origin] += round(rule.body.share * SHARE_STEPS)
        if totals[origin] > SHARE_STEPS:
            message = f"shares of {origin[0]} from {origin[1]} sum to more than 100%"
            errors.append(RuleError(rule.line, 1, message))
    return errors
