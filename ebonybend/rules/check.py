"""Check rules against the deployment that they would steer."""

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
    """Return what is wrong with rules for a deployment, in the order of lines.

    Names of backend servers are not checked when no servers are given. The time is in
    seconds since the epoch; without one the machine's time is taken.
    """
    rules = tuple(rules)
    moment = time() if now is None else now
    errors = [
        RuleError(rule.line, 1, message)
        for rule in rules
        for message in _check_rule(rule, deployment, servers, moment)
    ]
    errors += _check_shares(rules)
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
    return _unknown("service", rule.body.service, [s.name for s in deployment.services])


def _check_regions(rule: Rule, deployment: Deployment) -> list[str]:
    if not isinstance(rule.body, ShiftRule | CapRule):
        return []
    regions = [region.name for region in deployment.regions]
    return [
        *_unknown("region", rule.body.source, regions),
        *_unknown("region", rule.body.target, regions),
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
        return _unknown("instance", body.name, names)
    if not servers:
        return []
    return _unknown("backend server", body.name, [server.name for server in servers])


def _check_rate(rule: Rule) -> list[str]:
    if not isinstance(rule.body, ShiftRule | CapRule):
        return []
    if rule.body.cap_per_second >= MIN_RATE_PER_SECOND:
        return []
    return [f"its cap must be at least {MIN_RATE_PER_SECOND}/s"]


def _unknown(what: str, name: str | None, known: list[str]) -> list[str]:
    if name is None or name in known:
        return []
    return [f"unknown {what} {name!r}{_known_names(known)}"]


def _known_names(known: list[str]) -> str:
    # A long list hides the message, and one of these names is rarely meant.
    return f"; known: {', '.join(sorted(known))}" if 0 < len(known) <= 20 else ""


def _check_shares(rules: tuple[Rule, ...]) -> list[RuleError]:
    """Return an error for each shift that raises a sum of shares above 100%."""
    totals: defaultdict[tuple[str, str], int] = defaultdict(int)
    errors = []
    for rule in rules:
        if not isinstance(rule.body, ShiftRule):
            continue
        place = rule.body.service, rule.body.source
        totals[place] += round(rule.body.share * SHARE_STEPS)
        if totals[place] > SHARE_STEPS:
            message = f"shares of {place[0]} from {place[1]} sum to more than 100%"
            errors.append(RuleError(rule.line, 1, message))
    return errors
