"""Forward requests to other entries: to a failure domain or to a key's owner."""

from random import Random

from returns.result import Success

from ebonybend.clock import Clock
from ebonybend.entry.answers import parse_entry_answer
from ebonybend.entry.attempts import (
    Attempt,
    AttemptFailure,
    failed_attempt,
    refused_attempt,
)
from ebonybend.entry.dispatch import MAX_ANSWER_BYTES, request_headers, time_limits
from ebonybend.entry.requests import SteeredRequest
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_client import (
    AnswerTimeout,
    HttpClient,
    NotSent,
    RequestFailed,
    Reuse,
    SendTooLate,
)
from ebonybend.steering.table import InstanceView

MS = 1000.0
HOP_PREFIX = "/peer/hop/"
OWNER_PREFIX = "/peer/owner/"
# The receiver must run the request on a server without other requests.
ISOLATED_HEADER = "Ebonybend-Alone"
# The sender's region; the answer is charged to the link to that region.
REGION_HEADER = "Ebonybend-Region"
# An instance that answers no request for this long and a round trip is paused or
# unreachable; a single slow request is not enough. The table marks a silent instance
# only after seconds, and until then each request forwarded to it would time out.
SILENCE_TIMEOUT_S = 0.25
# A read may run twice, so it waits for an instance only for this fraction of the
# remaining time, or for this multiple of the service's average latency if longer.
READ_ATTEMPT_FRACTION = 0.5
READ_LATENCY_FACTOR = 4.0
LATENCY_GAIN = 0.2


class HopClient:
    """Forward requests to other entries."""

    def __init__(
        self, clock: Clock, http: HttpClient, table_state: TableState, random: Random
    ):
        self.clock = clock
        self.http = http
        self.table_state = table_state
        self.random = random
        # Time of each instance's last answer.
        self.last_answer_at: dict[str, float] = {}
        # Moving average of the latency of forwarded reads in seconds, by service.
        self.latencies: dict[str, float] = {}

    def pick_instance(self, domain: str, tried: set[str]) -> InstanceView | None:
        """Return a random usable and untried instance of a domain, or None."""
        own = self.table_state.own
        usable = [
            view
            for view in self.table_state.usable_instances(domain)
            if view.name not in tried and view.name != own
        ]
        return self.random.choice(usable) if usable else None

    def can_answer_in_time(
        self, request: SteeredRequest, instance: InstanceView
    ) -> bool:
        """Return whether an instance's answer can arrive within the deadline."""
        remaining_ms = (request.deadline - self.clock.monotonic()) * MS
        return remaining_ms > 2 * self._one_way_ms(instance) + 1

    async def forward_to_domain(
        self, request: SteeredRequest, instance: InstanceView
    ) -> Attempt:
        """Forward a request to an instance that runs it in its failure domain."""
        return await self._send(request, instance, HOP_PREFIX)

    async def forward_to_owner(
        self, request: SteeredRequest, instance: InstanceView
    ) -> Attempt:
        """Forward a request to the owner of its key."""
        return await self._send(request, instance, OWNER_PREFIX)

    async def _send(
        self, request: SteeredRequest, instance: InstanceView, prefix: str
    ) -> Attempt:
        one_way_ms = self._one_way_ms(instance)
        now = self.clock.monotonic()
        limits = time_limits(request, now, 2 * one_way_ms)
        if limits is None:
            return refused_attempt(
                ErrorKind.DEADLINE_NOT_RUN, "too late for another domain"
            )
        # An owner answers by the deadline and itself awaits a late answer to a write.
        to_owner = prefix == OWNER_PREFIX
        remaining_s = request.deadline - now if to_owner else limits.timeout_s
        timeout_s = self._timeout_s(request, remaining_s, prefix)
        headers = request_headers(request, limits.deadline_ms)
        headers[REGION_HEADER] = self.table_state.region
        if request.isolated:
            headers[ISOLATED_HEADER] = "true"
        try:
            answer = await self.http.request(
                request.method,
                instance.peer_address,
                f"{prefix}{request.service}{request.path}",
                headers,
                request.body,
                timeout_s,
                MAX_ANSWER_BYTES,
                Reuse.ANY if request.idempotent else Reuse.RECENT,
                lambda: self.clock.monotonic() < request.deadline,
            )
            self.last_answer_at[instance.name] = self.clock.monotonic()
            self._record_latency(request, self.clock.monotonic() - now)
            return Success(parse_entry_answer(answer))
        except SendTooLate as error:
            return refused_attempt(ErrorKind.DEADLINE_NOT_RUN, str(error))
        except NotSent as error:
            if error.refused:
                self.table_state.eject_instance(instance.name)
            return failed_attempt(
                ErrorKind.BACKEND_UNREACHABLE, f"{instance.name}: {error}"
            )
        except AnswerTimeout as error:
            # Not recorded as a latency: later reads would spend all of their time
            # waiting for a silent instance.
            if self._is_silent_since(instance, now):
                self.table_state.eject_instance(instance.name)
            return failed_attempt(
                ErrorKind.DEADLINE_EXCEEDED, f"{instance.name}: {error}"
            )
        except RequestFailed as error:
            return failed_attempt(ErrorKind.ANSWER_LOST, f"{instance.name}: {error}")
        except SteeringError as error:
            return AttemptFailure(error, True, reported_by_entry=True).as_attempt()

    def _timeout_s(
        self, request: SteeredRequest, remaining_s: float, prefix: str
    ) -> float:
        """Return the timeout of a request in seconds."""
        if not request.idempotent or prefix != HOP_PREFIX:
            return remaining_s
        usual_s = READ_LATENCY_FACTOR * self.latencies.get(request.service, 0.0)
        return min(remaining_s, max(READ_ATTEMPT_FRACTION * remaining_s, usual_s))

    def _record_latency(self, request: SteeredRequest, latency_s: float) -> None:
        """Update the average latency of forwarded reads."""
        if not request.idempotent:
            return
        average = self.latencies.setdefault(request.service, latency_s)
        self.latencies[request.service] = average + LATENCY_GAIN * (latency_s - average)

    def _is_silent_since(self, instance: InstanceView, sent_at: float) -> bool:
        """Return whether an instance has answered no request since one was sent."""
        waited_s = self.clock.monotonic() - sent_at
        if waited_s < SILENCE_TIMEOUT_S + 2 * self._one_way_ms(instance) / MS:
            return False
        return self.last_answer_at.get(instance.name, 0.0) < sent_at

    def _one_way_ms(self, instance: InstanceView) -> float:
        table = self.table_state.table
        return table.deployment.one_way_latency_ms(
            table.failure_domain, instance.failure_domain
        )
