"""Caps, shifts and link budgets for the traffic to other regions."""

from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.task import deferLater

from ebonybend.clock import Clock
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules import CapRule, Rule, ShiftRule, rule_key
from ebonybend.steering.links import LinkBudget
from ebonybend.steering.shares import CapShare, Ramp
from ebonybend.steering.table import ShiftUsage, Table

# The headers of a request or answer between entries take 250 to 400 bytes.
HEADER_BYTES = 400
# Fewer answers in a period say too little about the target region to adjust a ramp.
MIN_ANSWERS_FOR_RAMP = 5
CAP_RETRY_AFTER_MS = 1000
LINK_RETRY_AFTER_MS = 200
MS = 1000.0


@define
class RampAnswers:
    """Answers from the target region of a shift in one period."""

    answered: int = 0
    refused: int = 0
    latency_s: float = 0.0


@define(eq=False)
class Bound:
    """The rate bound of one shift or cap rule, with this entry's share of it."""

    rule: Rule
    share: CapShare
    ramp: Ramp | None = None
    answers: RampAnswers = field(factory=RampAnswers)

    def applies_to(self, service: str, region: str) -> bool:
        """Return whether the bound applies to a service's requests to a region."""
        body = self.rule.body
        return body.target == region and body.service in (None, service)


class RegionBudgets:
    """All limits on the requests and bytes that this entry sends to other regions."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        table_state: TableState,
        random: Random,
        hold_s: float,
    ):
        self.reactor = reactor
        self.clock = clock
        self.table_state = table_state
        self.random = random
        self.hold_s = hold_s
        self.bounds: dict[str, Bound] = {}
        self.links: dict[str, LinkBudget] = {}
        self._link_config: Any = None
        self._shifts_by_service: dict[str, tuple[Bound, ...]] = {}
        table_state.listeners.append(self._apply_table)

    def _apply_table(self, table: Table) -> None:
        self._set_links(table)
        names = table.deployment.region_instances(self.table_state.region)
        rules: dict[str, Rule] = {}
        for rule in (*self.table_state.rules.shifts, *self.table_state.rules.caps):
            if rule.body.source != self.table_state.region:
                continue
            # A rule keeps its key, and so its send window, when its cap or end changes.
            name = rule_key(rule.body)
            existing = rules.get(name)
            if existing is None or _cap_per_second(rule) < _cap_per_second(existing):
                rules[name] = rule
        self.bounds = {
            name: self._update_bound(name, rule, names) for name, rule in rules.items()
        }
        self._shifts_by_service = {}
        for bound in self.bounds.values():
            if bound.ramp is not None:
                service = bound.rule.body.service
                self._shifts_by_service[service] = (
                    *self._shifts_by_service.get(service, ()),
                    bound,
                )

    def _update_bound(self, name: str, rule: Rule, names: tuple[str, ...]) -> Bound:
        """Return a new bound, or the existing one updated from the rule."""
        existing = self.bounds.get(name)
        cap = _cap_per_second(rule)
        if existing is None:
            own = self.table_state.own
            share = CapShare(cap, own, names, self.clock, self.hold_s)
            ramp = Ramp(cap, self.clock) if isinstance(rule.body, ShiftRule) else None
            existing = Bound(rule, share, ramp)
        else:
            existing.share.configure(cap, names)
            if existing.ramp is not None:
                existing.ramp.cap = cap
            existing.rule = rule
        self._throttle(existing, names)
        return existing

    def _throttle(self, bound: Bound, names: tuple[str, ...]) -> None:
        if bound.ramp is not None:
            bound.share.throttle(bound.ramp.current(), names)

    def _set_links(self, table: Table) -> None:
        region = self.table_state.region
        senders = len(table.deployment.region_instances(region))
        links = tuple(x for x in table.deployment.links if x.source == region)
        if (links, senders) == self._link_config:
            return
        self._link_config = (links, senders)
        self.links = {
            link.target: LinkBudget(link.bytes_per_second, senders, self.clock)
            for link in links
        }

    def advance_ramps(self) -> None:
        """Advance the ramps; called by the heartbeat loop."""
        table = self.table_state.table
        if table is None:
            return
        names = table.deployment.region_instances(self.table_state.region)
        for bound in self.bounds.values():
            self._update_ramp(bound)
            self._throttle(bound, names)

    def _update_ramp(self, bound: Bound) -> None:
        answers = bound.answers
        total = answers.answered + answers.refused
        if bound.ramp is None or total < MIN_ANSWERS_FOR_RAMP:
            return
        latency_ms = MS * answers.latency_s / max(1, answers.answered)
        bound.ramp.adjust(latency_ms, answers.refused / total)
        bound.answers = RampAnswers()

    def shift_target(self, service: str) -> str | None:
        """Return the region to which a shift moves this request, or None."""
        shifts = self._shifts_by_service.get(service)
        if not shifts:
            return None
        draw = self.random.random()
        for bound in shifts:
            draw -= bound.rule.body.share
            if draw < 0:
                return bound.rule.body.target
        return None

    def admit(self, service: str, region: str, size: int) -> SteeringError | None:
        """Charge a request to a region's caps and link, or return why it is refused."""
        bounds = [b for b in self.bounds.values() if b.applies_to(service, region)]
        size += HEADER_BYTES
        link = self.links.get(region)
        if link is not None and link.delay_for(size) > 0:
            return SteeringError(
                ErrorKind.LINK_FULL, f"link to {region} is full", LINK_RETRY_AFTER_MS
            )
        exhausted = [b for b in bounds if b.share.usage().sent >= b.share.units()]
        for bound in exhausted:
            # The share counts the refusal, from which the lease loop sees the demand.
            bound.share.try_acquire()
        if exhausted:
            return SteeringError(
                ErrorKind.CAP_REACHED, f"cap to {region} reached", CAP_RETRY_AFTER_MS
            )
        for bound in bounds:
            bound.share.try_acquire()
        if link is not None:
            link.charge(size)
        return None

    def record_result(
        self, service: str, region: str, latency_s: float, answered: bool
    ) -> None:
        """Record the result and latency of a request to a region under a shift."""
        for bound in self._shifts_by_service.get(service, ()):
            if bound.rule.body.target == region:
                bound.answers.answered += answered
                bound.answers.refused += not answered
                bound.answers.latency_s += latency_s if answered else 0.0

    def link_utilisation(self, region: str) -> float:
        """Return the used fraction of the link budget to a region, 0 to 1."""
        link = self.links.get(region)
        return link.utilisation() if link is not None else 0.0

    def pacer(self, region: str | None) -> "LinkPacer | None":
        """Return a pacer for answers to a region, or None if no link leads to it."""
        link = self.links.get(region or "")
        return LinkPacer(self.reactor, link) if link is not None else None

    def usage(self) -> tuple[ShiftUsage, ...]:
        """Return the requests sent under each rule in the last window."""
        usages = ((b.rule.text, b.share.usage()) for b in self.bounds.values())
        return tuple(ShiftUsage(text, use.sent, use.units) for text, use in usages)


class LinkPacer:
    """Pace an answer by charging its chunks to a link's byte budget."""

    def __init__(self, reactor: Any, link: LinkBudget):
        self.reactor = reactor
        self.link = link
        self.chunk_bytes = link.chunk_bytes()
        self._overhead = HEADER_BYTES

    async def admit(self, size: int) -> None:
        """Wait until a chunk may be sent."""
        size = min(size + self._overhead, self.link.budget)
        self._overhead = 0
        while not self.link.charge(size):
            # Another answer may have used up the budget by the end of the delay.
            wait_s = max(self.link.delay_for(size), 0.01)
            await deferLater(self.reactor, wait_s)


def _cap_per_second(rule: Rule) -> int:
    body: CapRule | ShiftRule = rule.body
    return body.cap_per_second
