"""The routing table in force on this entry, and the values derived from it."""

import time
from collections.abc import Callable

from ebonybend.clock import Clock
from ebonybend.entry.rules_state import RulesInForce
from ebonybend.steering.table import InstanceView, ServerView, Table, TableReply
from ebonybend.steering.weights import Weights
from ebonybend.world import LifeState, ServerState

MS = 1000.0
# A server that reported in an answer that it is draining is not used for this time.
# By its end, probes (every 500 ms) have updated the server's state in the table.
REPORTED_DRAINING_S = 5.0
# An entry that refused a connection or is silent is not used for this time, because
# the table lists an entry of another domain as ready for seconds after it has ended.
EJECTION_S = 2.0


class TableState:
    """Hold the newest table and the values derived from it, built once per table."""

    def __init__(
        self, own: str, clock: Clock, wall_clock: Callable[[], float] = time.time
    ):
        self.own = own
        self.clock = clock
        self.wall_clock = wall_clock
        self.table: Table | None = None
        self.rules = RulesInForce(())
        self._rules_text = ""
        self.servers: dict[str, tuple[ServerView, ...]] = {}
        self.instances: dict[str, InstanceView] = {}
        self.services: frozenset[str] = frozenset()
        self.region = ""
        self.listeners: list[Callable[[Table], None]] = []
        self._updated_at = clock.monotonic()
        self._table_received_at = self._updated_at
        self._draining_until: dict[str, float] = {}
        self._ejected_until: dict[str, float] = {}
        self.weights: dict[str, Weights] = {}
        self._usable: dict[str, tuple[InstanceView, ...]] = {}

    def apply_reply(self, reply: TableReply) -> None:
        """Apply a reply of the control; ignore an older table or rules revision."""
        table = reply.table
        if table is not None and self._is_older(table):
            return
        self._updated_at = self.clock.monotonic() - reply.age_ms / MS
        if table is None:
            return
        self.table = table
        self._table_received_at = self.clock.monotonic()
        self._derive_values(table)
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.listeners:
            listener(self.table)

    def _is_older(self, table: Table) -> bool:
        old = self.table
        if old is None:
            return False
        if table.rules_revision < old.rules_revision:
            return True
        same_control = table.control_incarnation == old.control_incarnation
        return same_control and table.serial < old.serial

    def _derive_values(self, table: Table) -> None:
        self._compile_rules(table.rules_text)
        by_service: dict[str, list[ServerView]] = {}
        for server in table.servers:
            by_service.setdefault(server.service, []).append(server)
        self.servers = {name: tuple(views) for name, views in by_service.items()}
        self.instances = {view.name: view for view in table.instances}
        self.services = frozenset(s.name for s in table.deployment.services)
        self.region = self.region_of(table.failure_domain)
        self.weights = {name: self._service_weights(name) for name in self.services}
        self._usable = self._find_usable()

    def _service_weights(self, service: str) -> Weights:
        rule = self.rules.weights.get(service)
        if rule is not None:
            return Weights(rule.latency, rule.headroom)
        contract = self.table.deployment.contract_of(service)
        return Weights(contract.latency_weight, contract.headroom_weight)

    def _compile_rules(self, text: str) -> None:
        """Compile the rules if their text has changed or one has expired."""
        now = self.wall_clock()
        if text != self._rules_text or self.rules.has_expired_rule(now):
            self._rules_text = text
            self.rules = RulesInForce.from_text(text, now)

    def refresh_rules(self) -> None:
        """Remove the rules whose validity has ended."""
        if self.table is not None and self.rules.has_expired_rule(self.wall_clock()):
            self._derive_values(self.table)
            self._notify_listeners()

    def region_of(self, domain_name: str) -> str:
        """Return the region of a failure domain, or an empty name."""
        domain = self.table.deployment.domain(domain_name) if self.table else None
        return domain.region if domain else ""

    def record_draining(self, server: str) -> None:
        """Record that a server reported that it is draining."""
        self._draining_until[server] = self.clock.monotonic() + REPORTED_DRAINING_S

    def server_state(self, view: ServerView) -> ServerState:
        """Return a server's state; its own report takes precedence over the table."""
        return ServerState.DRAINING if self.reported_draining(view.name) else view.state

    def reported_draining(self, server: str) -> bool:
        """Return whether a server lately reported in an answer that it is draining."""
        until = self._draining_until.get(server)
        return until is not None and self.clock.monotonic() < until

    @property
    def age_ms(self) -> float:
        """Return the age of the newest information from the control."""
        return (self.clock.monotonic() - self._updated_at) * MS

    @property
    def views_age_ms(self) -> float:
        """Return the time since the views in the table were received."""
        return (self.clock.monotonic() - self._table_received_at) * MS

    @property
    def revision(self) -> int:
        """Return the rules revision in force, or 0 without a table."""
        return self.table.rules_revision if self.table else 0

    def usable_instances(self, domain: str) -> tuple[InstanceView, ...]:
        """Return a domain's instances that are ready, not leaving and not ejected."""
        usable = self._usable.get(domain, ())
        if not self._ejected_until:
            return usable
        now = self.clock.monotonic()
        until = self._ejected_until
        return tuple(v for v in usable if until.get(v.name, now) <= now)

    def eject_instance(self, instance: str) -> None:
        """Eject an instance for a time after a refused connection or silence."""
        now = self.clock.monotonic()
        recent = {n: until for n, until in self._ejected_until.items() if until > now}
        self._ejected_until = {**recent, instance: now + EJECTION_S}

    def _find_usable(self) -> dict[str, tuple[InstanceView, ...]]:
        found: dict[str, tuple[InstanceView, ...]] = {}
        for view in self.instances.values():
            usable = view.ready and view.state is LifeState.LIVE
            if usable and view.name not in self.rules.drained_instances:
                domain = view.failure_domain
                found[domain] = (*found.get(domain, ()), view)
        return found
