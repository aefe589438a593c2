"""Describe the failure domains that can serve a service."""

from collections.abc import Callable

from ebonybend.clock import Clock
from ebonybend.entry.attempts import AttemptHistory
from ebonybend.entry.table_state import TableState
from ebonybend.steering.admission import Admission
from ebonybend.steering.choice import DomainOption, DomainQuery, ServerChooser
from ebonybend.steering.table import DomainView, ServiceLoad, Table
from ebonybend.steering.weights import EQUAL_WEIGHTS

# Time for which a service's options are cached. Meanwhile only this entry's own load
# changes, which the domain chooser counts itself.
OPTIONS_LIFETIME_S = 0.02
# Suffix of the option for the slots that other entries of the own domain own.
SIBLINGS_SUFFIX = "/siblings"


class DomainOptions:
    """Build the queries from which a failure domain is chosen."""

    def __init__(
        self,
        clock: Clock,
        table_state: TableState,
        admission: Admission,
        chooser: ServerChooser,
        link_utilisation: Callable[[str], float],
    ):
        self.clock = clock
        self.table_state = table_state
        self.admission = admission
        self.chooser = chooser
        self.link_utilisation = link_utilisation
        self._cached_queries: dict[str, tuple[float, DomainQuery]] = {}
        self._domains_by_region: dict[str, frozenset[str]] = {}
        table_state.listeners.append(self._apply_table)

    def _apply_table(self, table: Table) -> None:
        self._cached_queries.clear()
        regions = {d.region for d in table.deployment.failure_domains}
        self._domains_by_region = {
            region: frozenset(
                d.name for d in table.deployment.failure_domains if d.region == region
            )
            for region in regions
        }

    def domains_in(self, region: str) -> frozenset[str]:
        """Return the names of a region's failure domains."""
        return self._domains_by_region.get(region, frozenset())

    def query(self, service: str, history: AttemptHistory) -> DomainQuery:
        """Return the query for a service, without a request's excluded domains."""
        full_query = self._cached_query(service)
        exclude = history.domains
        if history.shifted_to is not None:
            target_domains = self.domains_in(history.shifted_to)
            exclude = exclude | {o.domain for o in full_query.options} - target_domains
        if not exclude:
            return full_query
        return DomainQuery(
            service,
            full_query.own_domain,
            full_query.options,
            full_query.latency_weight,
            full_query.headroom_weight,
            full_query.table_age_ms,
            frozenset(exclude),
        )

    def _cached_query(self, service: str) -> DomainQuery:
        now = self.clock.monotonic()
        cached = self._cached_queries.get(service)
        if cached is not None and now - cached[0] < OPTIONS_LIFETIME_S:
            return cached[1]
        query = self._build_query(service)
        self._cached_queries[service] = (now, query)
        return query

    def _build_query(self, service: str) -> DomainQuery:
        state = self.table_state
        table = state.table
        weights = state.weights.get(service, EQUAL_WEIGHTS)
        own = self._own_option(service, table)
        options = [own]
        for view in table.domains:
            if view.name == table.failure_domain:
                continue
            load = _service_load(view, service)
            if load is not None:
                options.append(self._domain_option(view, load, state.views_age_ms))
        siblings = self._sibling_option(service, table, own)
        if siblings is not None:
            options.append(siblings)
        return DomainQuery(
            service,
            table.failure_domain,
            tuple(options),
            weights.latency,
            weights.headroom,
            state.age_ms,
        )

    def _domain_option(
        self, view: DomainView, load: ServiceLoad, views_age_ms: float
    ) -> DomainOption:
        table = self.table_state.table
        region = view.region
        same_region = region == self.table_state.region
        return DomainOption(
            domain=view.name,
            one_way_latency_ms=table.deployment.one_way_latency_ms(
                table.failure_domain, view.name
            ),
            service_latency_ms=load.latency_ms,
            slots=load.slots,
            in_flight=load.in_flight,
            link_utilisation=0.0 if same_region else self.link_utilisation(region),
            age_ms=view.age_ms + views_age_ms,
        )

    def _own_option(self, service: str, table: Table) -> DomainOption:
        """Describe this entry's own slots, whose load is known exactly."""
        views = self.table_state.servers.get(service, ())
        ledger = self.admission.ledger
        limit = sum(self.admission.limit(view.name) for view in views)
        busy = sum(ledger.in_flight(view.name) for view in views)
        return DomainOption(
            domain=table.failure_domain,
            one_way_latency_ms=0.0,
            service_latency_ms=self._own_latency_ms(service, table),
            slots=limit,
            in_flight=busy,
        )

    def _own_latency_ms(self, service: str, table: Table) -> float:
        """Return the mean latency of this entry's answers, or that of its domain."""
        views = self.table_state.servers.get(service, ())
        latencies = [self.chooser.recent_latency_ms(view.name) for view in views]
        measured = [latency for latency in latencies if latency]
        if measured:
            return sum(measured) / len(measured)
        own = next((d for d in table.domains if d.name == table.failure_domain), None)
        load = _service_load(own, service) if own else None
        return load.latency_ms if load is not None else 0.0

    def _sibling_option(
        self, service: str, table: Table, own: DomainOption
    ) -> DomainOption | None:
        """Describe the slots that other entries of the own domain own."""
        name, own_name = table.failure_domain, self.table_state.own
        view = next((d for d in table.domains if d.name == name), None)
        load = _service_load(view, service) if view else None
        others = [
            v for v in self.table_state.usable_instances(name) if v.name != own_name
        ]
        if load is None or not others:
            return None
        return DomainOption(
            domain=name + SIBLINGS_SUFFIX,
            one_way_latency_ms=table.deployment.domain_latency_ms,
            service_latency_ms=load.latency_ms,
            slots=max(0, load.slots - own.slots),
            in_flight=max(0, load.in_flight - own.in_flight),
            age_ms=view.age_ms + self.table_state.views_age_ms,
        )


def _service_load(view: DomainView, service: str) -> ServiceLoad | None:
    return next((load for load in view.services if load.service == service), None)
