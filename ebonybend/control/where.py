"""Explain how a lookup is answered and how a request is routed."""

from ipaddress import AddressValueError, IPv4Address
from random import Random

from ebonybend.clock import Clock
from ebonybend.control.admin_messages import DomainChoice, ServerChoice, WhereAnswer
from ebonybend.control.client_map import ClientMapShards
from ebonybend.control.rules_view import RulesView
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules.diff import describe
from ebonybend.rules.model import (
    CapRule,
    DrainRule,
    RefuseRule,
    Rule,
    ShiftRule,
    WeightsRule,
)
from ebonybend.steering.choice import DomainChooser, DomainOption, DomainQuery
from ebonybend.steering.lookup import ClientMap, LookupRanker
from ebonybend.steering.table import DomainView, ServerView, ServiceLoad, Table


class Explainer:
    """Explain what a newly started entry of this instance would choose."""

    def __init__(self, clock: Clock, rules: RulesView, shards: ClientMapShards):
        self.clock = clock
        self.rules = rules
        self.shards = shards
        self._client_map = ClientMap.from_shards([])
        self._client_map_version = 0

    def explain(
        self, table: Table, client: str | None, service: str | None, method: str
    ) -> WhereAnswer:
        """Return the choice for a client, a service or both."""
        if client is None and service is None:
            raise SteeringError(ErrorKind.BAD_REQUEST, "name a client or a service")
        site, instances = self._rank_instances(table, client) if client else (None, ())
        rules = self._applicable_rules(service, method)
        domains = self._domain_choices(table, service) if service else ()
        servers = _server_choices(table, service) if service else ()
        return WhereAnswer(
            client,
            site,
            instances,
            service,
            tuple(describe(rule) for rule in rules),
            domains,
            servers,
            tuple(
                _explanation_lines(
                    table, client, site, instances, service, domains, servers
                )
            ),
        )

    def _rank_instances(
        self, table: Table, client: str
    ) -> tuple[str | None, tuple[str, ...]]:
        try:
            address = int(IPv4Address(client))
        except AddressValueError as error:
            raise SteeringError(ErrorKind.BAD_REQUEST, f"client: {error}") from error
        client_map = self._current_map()
        ranker = LookupRanker(table, client_map, self.rules.drained("instance"))
        site_number = client_map.site_of(address)
        site = None if site_number is None else client_map.sites[site_number]
        return site, tuple(view.name for view in ranker.rank(address))

    def _current_map(self) -> ClientMap:
        """Return the client map, decoded once per version."""
        version = self.shards.version
        if version != self._client_map_version:
            bodies = [self.shards.body(name) for name in self.shards.names]
            self._client_map = ClientMap.from_shards([x for x in bodies if x])
            self._client_map_version = version
        return self._client_map

    def _applicable_rules(self, service: str | None, method: str) -> tuple[Rule, ...]:
        return tuple(
            rule for rule in self.rules.in_force() if _applies_to(rule, service, method)
        )

    def _domain_choices(self, table: Table, service: str) -> tuple[DomainChoice, ...]:
        if service not in {known.name for known in table.deployment.services}:
            raise SteeringError(ErrorKind.UNKNOWN_SERVICE, f"no service {service!r}")
        latency, headroom = self._weights(table, service)
        options = tuple(
            option
            for option in (
                _domain_option(table, view, service) for view in table.domains
            )
            if option is not None
        )
        query = DomainQuery(service, table.failure_domain, options, latency, headroom)
        chooser = DomainChooser(self.clock, Random(0))
        return tuple(
            DomainChoice(
                score.domain,
                round(score.score, 4),
                f"latency {score.latency_part:.3f}, headroom {score.headroom_part:.3f},"
                f" age {score.age_ms:.0f} ms{_unusable_suffix(score.reason)}",
            )
            for score in chooser.explain(query)
        )

    def _weights(self, table: Table, service: str) -> tuple[float, float]:
        for rule in self.rules.in_force():
            if isinstance(rule.body, WeightsRule) and rule.body.service == service:
                return rule.body.latency, rule.body.headroom
        contract = table.deployment.contract_of(service)
        return contract.latency_weight, contract.headroom_weight


def _applies_to(rule: Rule, service: str | None, method: str) -> bool:
    body = rule.body
    if isinstance(body, RefuseRule) and body.method not in (None, method):
        return False
    if isinstance(body, WeightsRule | ShiftRule | RefuseRule):
        return body.service == service
    if isinstance(body, CapRule):
        return body.service in (None, service)
    return isinstance(body, DrainRule)


def _domain_option(table: Table, view: DomainView, service: str) -> DomainOption | None:
    load = _load_of(view, service)
    if load is None:
        return None
    latency = table.deployment.one_way_latency_ms(table.failure_domain, view.name)
    return DomainOption(
        view.name,
        latency,
        load.latency_ms,
        load.slots,
        load.in_flight,
        age_ms=view.age_ms,
    )


def _load_of(view: DomainView, service: str) -> ServiceLoad | None:
    return next((load for load in view.services if load.service == service), None)


def _server_choices(table: Table, service: str) -> tuple[ServerChoice, ...]:
    """Return the local domain's servers, ready and least loaded first."""
    views = [view for view in table.servers if view.service == service]
    return tuple(_server_choice(view) for view in sorted(views, key=_server_sort_key))


def _server_sort_key(view: ServerView) -> tuple[bool, float]:
    return view.state.value != "ready", view.reported_in_flight / max(view.slots, 1)


def _server_choice(view: ServerView) -> ServerChoice:
    load = view.reported_in_flight / max(view.slots, 1)
    why = (
        f"{view.state.value}, {view.reported_in_flight} of {view.slots} slots in use,"
        f" measured {view.reported_age_ms:.0f} ms ago"
    )
    return ServerChoice(view.name, round(load, 4), why)


def _unusable_suffix(reason: str) -> str:
    return f", not usable: {reason}" if reason else ""


def _explanation_lines(
    table: Table,
    client: str | None,
    site: str | None,
    instances: tuple[str, ...],
    service: str | None,
    domains: tuple[DomainChoice, ...],
    servers: tuple[ServerChoice, ...],
) -> list[str]:
    lines = []
    if client:
        site_text = site or f"unknown, taken as {table.failure_domain}"
        lines.append(f"client {client}: site {site_text}")
        lines.append(f"a look-up lists {', '.join(instances) or 'no instance'}")
    if service and domains:
        names = ", ".join(domain.name for domain in domains)
        lines.append(f"{service} seen from {table.failure_domain}: {names}")
    if service and servers:
        names = ", ".join(server.name for server in servers)
        lines.append(f"backend servers of {table.failure_domain}: {names}")
    return lines
