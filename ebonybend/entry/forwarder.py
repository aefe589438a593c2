"""Choose where a request runs, and retry it elsewhere when that is safe."""

from typing import Protocol

from returns.pipeline import is_successful
from returns.result import Failure

from ebonybend.clock import Clock
from ebonybend.entry.attempts import (
    MAX_SENDS,
    RETRY_ELSEWHERE,
    Attempt,
    AttemptFailure,
    AttemptHistory,
    refused_attempt,
)
from ebonybend.entry.dispatch import SHED_RETRY_AFTER_MS, LocalDispatcher
from ebonybend.entry.domains import SIBLINGS_SUFFIX, DomainOptions
from ebonybend.entry.hops import HopClient
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.requests import SteeredRequest
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.choice import DomainChooser
from ebonybend.steering.retries import RetryBudget
from ebonybend.steering.suspects import SuspectRegistry, Verdict, fingerprint

# Failures without an answer from the domain; another of its instances may answer.
UNANSWERED = frozenset(
    {
        ErrorKind.BACKEND_UNREACHABLE,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.ANSWER_LOST,
    }
)


class Budgets(Protocol):
    """Limits on the traffic to other regions."""

    def shift_target(self, service: str) -> str | None:
        """Return the region to which a shift moves this request, or None."""
        ...

    def admit(self, service: str, region: str, size: int) -> SteeringError | None:
        """Charge a request to a region's caps and link, or return why it is refused."""
        ...

    def record_result(
        self, service: str, region: str, latency_s: float, answered: bool
    ) -> None:
        """Record the result and latency of a request to a region under a shift."""
        ...


class Forwarder:
    """Forward a request to a backend server or another entry and return its answer."""

    def __init__(
        self,
        clock: Clock,
        table_state: TableState,
        local: LocalDispatcher,
        hops: HopClient,
        domains: DomainChooser,
        domain_options: DomainOptions,
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
        self.domain_options = domain_options
        self.budgets = budgets
        self.suspects = suspects
        self.retries = retries
        self.metrics = metrics

    def check(self, request: SteeredRequest) -> None:
        """Raise SteeringError for a request that must not run."""
        state = self.table_state
        if state.table is None:
            raise SteeringError(ErrorKind.NOT_READY, "no table from the control yet")
        if request.service not in state.services:
            raise SteeringError(
                ErrorKind.UNKNOWN_SERVICE, f"no service {request.service!r}"
            )
        path = request.path.partition("?")[0]
        rule = state.rules.find_refusal(request.service, request.method, path)
        if rule is not None:
            raise SteeringError(
                ErrorKind.REFUSED_BY_RULE, f"a rule refuses {rule.path!r}"
            )
        self.check_suspect(request)

    def check_suspect(self, request: SteeredRequest) -> None:
        """Refuse a request that crashes servers, or mark it to run isolated."""
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
        """Return the answer, or the failure to report after all attempts."""
        self.retries.record_first_attempt()
        history = AttemptHistory(shifted_to=self.budgets.shift_target(request.service))
        while True:
            attempt = await self._try_best_domain(request, history)
            if is_successful(attempt):
                return attempt
            history.record_failure(attempt.failure())
            if not self._should_retry(request, history):
                return Failure(history.final_failure())

    async def run_local(self, request: SteeredRequest) -> Attempt:
        """Return the answer of a server in the own failure domain."""
        history = AttemptHistory()
        while True:
            server = self.local.pick_server(request, history.tried_servers)
            attempt = await self.local.run(request, server, history.tried_servers)
            if is_successful(attempt):
                return attempt
            history.record_failure(attempt.failure())
            history.exhausted = not history.last.sent
            if not self._should_retry(request, history):
                return Failure(history.final_failure())

    def _should_retry(self, request: SteeredRequest, history: AttemptHistory) -> bool:
        """Return whether another attempt is safe and allowed by the retry budget."""
        failure = history.last
        if history.exhausted or request.client_disconnected:
            return False
        if self.clock.monotonic() >= request.deadline:
            return False
        if failure.may_have_run:
            if not request.idempotent:
                return False
            if not self._prepare_rerun(request, failure.error.kind):
                return False
        elif failure.error.kind not in RETRY_ELSEWHERE:
            return False
        if not failure.sent:
            return True
        if history.sends >= MAX_SENDS or not self.retries.try_acquire():
            return False
        self.metrics.retries.inc()
        return True

    def _prepare_rerun(self, request: SteeredRequest, kind: ErrorKind) -> bool:
        """Mark a lost read to run isolated, unless its fingerprint is now refused."""
        verdict = self.suspects.verdict(request.fingerprint)
        if verdict is Verdict.REFUSE:
            return False
        if kind is ErrorKind.DEADLINE_EXCEEDED:
            # A crashing server closes its connection, so a timeout is no crash.
            return True
        # Other domains may not know of the crash yet.
        request.verdict = Verdict.ISOLATED
        return True

    async def _try_best_domain(
        self, request: SteeredRequest, history: AttemptHistory
    ) -> Attempt:
        """Run the request in the best remaining failure domain."""
        own = self.table_state.table.failure_domain
        server = self.local.pick_server(request, history.tried_servers)
        if server is None:
            history.domains.add(own)
        query = self.domain_options.query(request.service, history)
        score = self.domains.choose(query, request.idempotent)
        if score is None:
            return self._handle_no_domain(history)
        if score.domain == own:
            return await self.local.run(request, server, history.tried_servers)
        return await self._forward_to_domain(request, history, score.domain)

    def _handle_no_domain(self, history: AttemptHistory) -> Attempt:
        if history.shifted_to is not None:
            # The target region is full, so the request stays in its own region.
            history.shifted_to = None
            return refused_attempt(
                ErrorKind.OVERLOADED, "the shift's target has no room"
            )
        history.exhausted = True
        if history.last is not None:
            # The last failure is more specific than "no domain has a free slot".
            return AttemptFailure(history.last.error, False).as_attempt()
        return refused_attempt(
            ErrorKind.OVERLOADED, "no domain has a free slot", SHED_RETRY_AFTER_MS
        )

    async def _forward_to_domain(
        self, request: SteeredRequest, history: AttemptHistory, domain: str
    ) -> Attempt:
        """Forward a request to another entry, in the own or another failure domain."""
        domain_name = domain.removesuffix(SIBLINGS_SUFFIX)
        instance = self.hops.pick_instance(domain_name, history.tried_instances)
        if instance is None:
            history.domains.add(domain)
            return refused_attempt(
                ErrorKind.NOT_READY, f"no entry of {domain} is ready"
            )
        if not self.hops.can_answer_in_time(request, instance):
            history.domains.add(domain)
            return refused_attempt(
                ErrorKind.OVERLOADED, f"{domain} is too far for the deadline"
            )
        region = self.table_state.region_of(domain_name)
        error = self._charge_budgets(request, region)
        if error is not None:
            history.domains.update(self.domain_options.domains_in(region))
            return AttemptFailure(error, False).as_attempt()
        started = self.clock.monotonic()
        self.domains.record_request_start(domain, request.service)
        try:
            attempt = await self.hops.forward_to_domain(request, instance)
        finally:
            self.domains.record_request_end(domain, request.service)
        self._update_window(request, history, domain, attempt)
        latency_s = self.clock.monotonic() - started
        self.budgets.record_result(
            request.service, region, latency_s, is_successful(attempt)
        )
        if not is_successful(attempt):
            history.tried_instances.add(instance.name)
        return attempt

    def _charge_budgets(
        self, request: SteeredRequest, region: str
    ) -> SteeringError | None:
        if region == self.table_state.region:
            return None
        size = len(request.body) + len(request.path)
        return self.budgets.admit(request.service, region, size)

    def _update_window(
        self,
        request: SteeredRequest,
        history: AttemptHistory,
        domain: str,
        attempt: Attempt,
    ) -> None:
        """Adjust the view of a domain and its window to the result of an attempt."""
        if is_successful(attempt):
            self.domains.record_answer(domain)
            self.domains.record_admission(domain, request.service)
            return
        failure = attempt.failure()
        if failure.reported_by_entry:
            self.domains.record_answer(domain)
        elif failure.error.kind in UNANSWERED:
            self.domains.record_unanswered(domain)
        kind = failure.error.kind
        if kind in UNANSWERED:
            # With a smaller window, traffic grows gradually once the domain recovers.
            self.domains.record_refusal(domain, request.service)
        elif kind in RETRY_ELSEWHERE:
            self.domains.record_refusal(domain, request.service)
            history.domains.add(domain)
