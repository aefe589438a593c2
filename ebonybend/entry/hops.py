"""Forward requests to other entries: to a failure domain or to a key's owner."""

from random import Random

from returns.result import Success

from ebonybend.clock import Clock
from ebonybend.entry.answers import from_entry
from ebonybend.entry.attempts import Attempt, AttemptFailure, failed, refused
from ebonybend.entry.dispatch import MAX_ANSWER_BYTES, bounds, request_headers
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
ALONE_HEADER = "Ebonybend-Alone"
# The sender's region; the answer is charged to the link to it.
REGION_HEADER = "Ebonybend-Region"
# An instance that answers no request for this long and a round trip is paused or
# unreachable; a single slow request is not enough. The table marks a silent instance
# only after seconds, and until then each request forwarded to it would time out.
SILENCE_S = 0.25
# A read may run twice, so it waits for an instance only for this fraction of the
# remaining time, or for this multiple of the service's average latency if longer.
READ_ATTEMPT_PART = 0.5
READ_LATENCIES = 4.0
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
        self.answered_at: dict[str, float] = {}
        # Moving average of the latency of forwarded reads in seconds, by service.
        self.latencies: dict[str, float] = {}

    def pick(self, domain: str, tried: set[str]) -> InstanceView | None:
        """Return a random usable instance of a domain that was not tried, or None."""
        own = self.table_state.own
        usable = [
            view
            for view in self.table_state.usable_in(domain)
            if view.name not in tried and view.name != own
        ]
        return self.random.choice(usable) if usable else None

    def in_time(self, request: SteeredRequest, instance: InstanceView) -> bool:
        """Return whether an instance's answer can arrive within the deadline."""
        left_ms = (request.deadline - self.clock.monotonic()) * MS
        return left_ms > 2 * self._one_way_ms(instance) + 1

    async def run(self, request: SteeredRequest, instance: InstanceView) -> Attempt:
        """Forward a request to an instance that runs it in its failure domain."""
        return await self._send(request, instance, HOP_PREFIX)

    async def ask_owner(
        self, request: SteeredRequest, instance: InstanceView
    ) -> Attempt:
        """Forward a request to the owner of its key."""
        return await self._send(request, instance, OWNER_PREFIX)

    async def _send(
        self, request: SteeredRequest, instance: InstanceView, prefix: str
    ) -> Attempt:
        one_way_ms = self._one_way_ms(instance)
        now = self.clock.monotonic()
        within = bounds(request, now, 2 * one_way_ms)
        if within is None:
            return refused(ErrorKind.DEADLINE_NOT_RUN, "too late for another domain")
        # An owner answers by the deadline and itself awaits a late answer to a write.
        owned = prefix == OWNER_PREFIX
        left_s = request.deadline - now if owned else within.timeout_s
        timeout_s = self._timeout_s(request, left_s, prefix)
        headers = request_headers(request, within.deadline_ms)
        headers[REGION_HEADER] = self.table_state.region
        if request.alone:
            headers[ALONE_HEADER] = "true"
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
            self.answered_at[instance.name] = self.clock.monotonic()
            self._observe(request, self.clock.monotonic() - now)
            return Success(from_entry(answer))
        except SendTooLate as error:
            return refused(ErrorKind.DEADLINE_NOT_RUN, str(error))
        except NotSent as error:
            if error.refused:
                self.table_state.pass_over(instance.name)
            return failed(ErrorKind.BACKEND_UNREACHABLE, f"{instance.name}: {error}")
        except AnswerTimeout as error:
            # Not recorded as a latency: later reads would spend all of their time
            # waiting for a silent instance.
            if self._silent_since(instance, now):
                self.table_state.pass_over(instance.name)
            return failed(ErrorKind.DEADLINE_EXCEEDED, f"{instance.name}: {error}")
        except RequestFailed as error:
            return failed(ErrorKind.ANSWER_LOST, f"{instance.name}: {error}")
        except SteeringError as error:
            return AttemptFailure(error, True, stated=True).as_failure()

    def _timeout_s(self, request: SteeredRequest, left_s: float, prefix: str) -> float:
        """Return the timeout of a request in seconds."""
        if not request.idempotent or prefix != HOP_PREFIX:
            return left_s
        usual_s = READ_LATENCIES * self.latencies.get(request.service, 0.0)
        return min(left_s, max(READ_ATTEMPT_PART * left_s, usual_s))

    def _observe(self, request: SteeredRequest, latency_s: float) -> None:
        """Update the average latency of forwarded reads."""
        if not request.idempotent:
            return
        known = self.latencies.setdefault(request.service, latency_s)
        self.latencies[request.service] = known + LATENCY_GAIN * (latency_s - known)

    def _silent_since(self, instance: InstanceView, sent_at: float) -> bool:
        """Return whether an instance has answered no request since one was sent."""
        waited_s = self.clock.monotonic() - sent_at
        if waited_s < SILENCE_S + 2 * self._one_way_ms(instance) / MS:
            return False
        return self.answered_at.get(instance.name, 0.0) < sent_at

    def _one_way_ms(self, instance: InstanceView) -> float:
        table = self.table_state.table
        return table.deployment.one_way_latency_ms(
            table.failure_domain, instance.failure_domain
        )
