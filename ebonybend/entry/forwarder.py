"""Decide where a request runs, and try other places when that is safe."""

from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure

from ebonybend.clock import Clock
from ebonybend.entry.attempts import (
    ELSEWHERE,
    MAX_SENDS,
    Attempt,
    AttemptFailure,
    Search,
    refused,
)
from ebonybend.entry.dispatch import SHED_RETRY_AFTER_MS, LocalDispatcher
from ebonybend.entry.domains import SIBLINGS, DomainOptions
from ebonybend.entry.hops import HopClient
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.requests import SteeredRequest
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.choice import DomainChooser
from ebonybend.steering.retries import RetryBudget
from ebonybend.steering.suspects import SuspectRegistry, Verdict, fingerprint

# The domain did not answer; another of its instances may.
UNANSWERED = frozenset(
    {
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.ANSWER_LOST,
    }
)


class Budgets(Protocol):
    """What bounds the traffic to other regions."""

    def shift_target(self, service: str) -> str | None:
        """Return the region that a shift moves this request to, or None."""
        ...

    def admit(self, service: str, region: str, size: int) -> SteeringError | None:
        """Charge a request to a region's caps and link; return why it can't go."""
        ...

    def observe(
        self, service: str, region: str, latency_s: float, answered: bool
    ) -> None:
        """Take in how a region answered a request."""
        ...


class Forwarder:
    """Find a place for a request and return its answer."""

    def __init__(
        self,
        clock: Clock,
        table_state: TableState,
        local: LocalDispatcher,
        hops: HopClient,
        domains: DomainChooser,
        options: DomainOptions,
        budgets: Budgets,
        suspects: SuspectRegistry,
        retries: RetryBudget,
        metrics: EntryMetrics,
    ):
        self.clock = clock
        self.table_state = table_state
        self.local = local
        self.hops = hops
        self.domains = domains
        self.options = options
        self.budgets = budgets
        self.suspects = suspects
        self.retries = retries
        self.metrics = metrics

    def check(self, request: SteeredRequest) -> None:
        """Refuse a request that must not run; raise its kind."""
        state = self.table_state
        if state.table is None:
            raise SteeringError(ErrorKind.NOT_READY, "no table from the control yet")
        if request.service not in state.services:
            raise SteeringError(
                ErrorKind.UNKNOWN_SERVICE, f"no service {request.service!r}"
            )
        path = request.path.partition("?")[0]
        rule = state.rules.refuses(request.service, request.method, path)
        if rule is not None:
            raise SteeringError(
                ErrorKind.REFUSED_BY_RULE, f"a rule refuses {rule.path!r}"
            )
        self.check_suspect(request)

    def check_suspect(self, request: SteeredRequest) -> None:
        """Refuse a request that crashes servers, or mark it to run alone."""
        request.fingerprint = fingerprint(
            request.service, request.method, request.path, request.body
        )
        verdict = self.suspects.verdict(request.fingerprint)
        if verdict is Verdict.REFUSE or (
            verdict is Verdict.ISOLATED and not request.idempotent
        ):
            raise SteeringError(
                ErrorKind.SUSPECT_REFUSED, f"suspect {request.fingerprint}"
            )
        if verdict is Verdict.ISOLATED:
            request.verdict = verdict

    async def forward(self, request: SteeredRequest) -> Attempt:
        """Return the answer, or the failure that says what is known."""
        self.retries.record_first_attempt()
        search = Search(shifted_to=self.budgets.shift_target(request.service))
        while True:
            attempt = await self._attempt(request, search)
            if is_successful(attempt):
                return attempt
            search.note(attempt.failure())
            if not self._goes_on(request, search):
                return Failure(search.conclusion())

    async def run_local(self, request: SteeredRequest) -> Attempt:
        """Return the answer of a server of the own failure domain."""
        search = Search()
        while True:
            server = self.local.pick(request, search.servers)
            attempt = await self.local.run(request, server, search.servers)
            if is_successful(attempt):
                return attempt
            search.note(attempt.failure())
            search.exhausted = not search.last.sent
            if not self._goes_on(request, search):
                return Failure(search.conclusion())

    def _goes_on(self, request: SteeredRequest, search: Search) -> bool:
        """Tell whether another attempt is safe and worth its cost."""
        failure = search.last
        if search.exhausted or request.caller_gone:
            return False
        if self.clock.monotonic() >= request.deadline:
            return False
        if failure.may_have_run:
            if not request.idempotent:
                return False
            if not self._may_run_again(request, failure.error.kind):
                return False
        elif failure.error.kind not in ELSEWHERE:
            return False
        if not failure.sent:
            return True
        if search.sends >= MAX_SENDS or not self.retries.try_acquire():
            return False
        self.metrics.retries.inc()
        return True

    def _may_run_again(self, request: SteeredRequest, kind: ErrorKind) -> bool:
        """Mark a read that was lost to run alone, unless it is refused by now."""
        verdict = self.suspects.verdict(request.fingerprint)
        if verdict is Verdict.REFUSE:
            return False
        if kind is ErrorKind.DEADLINE_EXCEEDED:
            # A server that crashes ends its connection, so this is no suspicion.
            return True
        # The crash may be known only in the domain that ran the request.
        request.verdict = Verdict.ISOLATED
        return True

    async def _attempt(self, request: SteeredRequest, search: Search) -> Attempt:
        """Try the best place that is left."""
        own = self.table_state.table.failure_domain
        server = self.local.pick(request, search.servers)
        if server is None:
            search.domains.add(own)
        query = self.options.query(request.service, search)
        score = self.domains.choose(query)
        if score is None:
            return self._no_place(search)
        if score.domain == own:
            return await self.local.run(request, server, search.servers)
        return await self._hop(request, search, score.domain)

    def _no_place(self, search: Search) -> Attempt:
        if search.shifted_to is not None:
            # The receiving region has no room, so the request stays where it came in.
            search.shifted_to = None
            return refused(ErrorKind.OVERLOADED, "the shift's target has no room")
        search.exhausted = True
        if search.last is not None:
            # The reason why the last place could not take it says more.
            return AttemptFailure(search.last.error, False).as_failure()
        return refused(
            ErrorKind.OVERLOADED, "no domain has a free slot", SHED_RETRY_AFTER_MS
        )

    async def _hop(
        self, request: SteeredRequest, search: Search, domain: str
    ) -> Attempt:
        """Send a request to an entry of another failure domain."""
        place = domain.removesuffix(SIBLINGS)
        instance = self.hops.pick(place, search.instances)
        if instance is None:
            search.domains.add(domain)
            return refused(ErrorKind.NOT_READY, f"no entry of {domain} is ready")
        if not self.hops.in_time(request, instance):
            search.domains.add(domain)
            return refused(
                ErrorKind.OVERLOADED, f"{domain} is too far for the deadline"
            )
        region = self.table_state.region_of(place)
        error = self._admit(request, region)
        if error is not None:
            search.domains.update(self.options.domains_of(region))
            return AttemptFailure(error, False).as_failure()
        started = self.clock.monotonic()
        self.domains.record_request_start(domain, request.service)
        try:
            attempt = await self.hops.run(request, instance)
        finally:
            self.domains.record_request_end(domain, request.service)
        self._learn(request, search, domain, attempt)
        latency_s = self.clock.monotonic() - started
        self.budgets.observe(request.service, region, latency_s, is_successful(attempt))
        if not is_successful(attempt):
            search.instances.add(instance.name)
        return attempt

    def _admit(self, request: SteeredRequest, region: str) -> SteeringError | None:
        if region == self.table_state.region:
            return None
        size = len(request.body) + len(request.path)
        return self.budgets.admit(request.service, region, size)

    def _learn(
        self, request: SteeredRequest, search: Search, domain: str, attempt: Attempt
    ) -> None:
        """Adapt the window of a domain to its answer."""
        if is_successful(attempt):
            self.domains.record_admission(domain, request.service)
            return
        kind = attempt.failure().error.kind
        if kind in UNANSWERED:
            # So that a domain that returns from a cut gets its traffic step by step.
            self.domains.record_refusal(domain, request.service)
        elif kind in ELSEWHERE:
            self.domains.record_refusal(domain, request.service)
            search.domains.add(domain)
