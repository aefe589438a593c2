"""Send requests to other entries: to another failure domain or to a key's owner."""

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
# The receiver runs the request on a server that runs nothing else.
ALONE_HEADER = "Ebonybend-Alone"
# The sender's region, for the budget of the link back.
REGION_HEADER = "Ebonybend-Region"
# An instance that answers nothing for this long and a round trip is paused or cut off.
# A single slow request says nothing about it. The table shows a silent instance only
# after seconds, and until then each hop there would wait in vain.
SILENCE_S = 0.25
# A read may run twice, so it waits for an instance for this part of the time that is
# left, or for a multiple of the service's usual latency if that is longer.
READ_ATTEMPT_PART = 0.5
READ_LATENCIES = 4.0
LATENCY_GAIN = 0.2


class HopClient:
    """Send requests to other entries."""

    def __init__(
        self, clock: Clock, http: HttpClient, table_state: TableState, random: Random
    ):
        self.clock = clock
        self.http = http
        self.table_state = table_state
        self.random = random
        # When an instance last answered anything.
        self.answered_at: dict[str, float] = {}
        # Moving average of the time that reads of a service take elsewhere, in seconds.
        self.latencies: dict[str, float] = {}

    def pick(self, domain: str, tried: set[str]) -> InstanceView | None:
        """Return a usable instance of a domain, or None."""
        own = self.table_state.own
        usable = [
            view
            for view in self.table_state.usable_in(domain)
            if view.name not in tried and view.name != own
        ]
        return self.random.choice(usable) if usable else None

    def in_time(self, request: SteeredRequest, instance: InstanceView) -> bool:
        """Tell whether an answer of an instance can arrive within the deadline."""
        left_ms = (request.deadline - self.clock.monotonic()) * MS
        return left_ms > 2 * self._one_way_ms(instance) + 1

    async def run(self, request: SteeredRequest, instance: InstanceView) -> Attempt:
        """Have a request run in an instance's failure domain."""
        return await self._send(request, instance, HOP_PREFIX)

    async def ask_owner(
        self, request: SteeredRequest, instance: InstanceView
    ) -> Attempt:
        """Have the owner of a request's key handle it."""
        return await self._send(request, instance, OWNER_PREFIX)

    async def _send(
        self, request: SteeredRequest, instance: InstanceView, prefix: str
    ) -> Attempt:
        one_way_ms = self._one_way_ms(instance)
        now = self.clock.monotonic()
        within = bounds(request, now, 2 * one_way_ms)
        if within is None:
            return refused(ErrorKind.DEADLINE_NOT_RUN, "too late for another domain")
        # An owner answers by the deadline and goes on listening itself.
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
            # Not taken for a latency: it would make later reads wait for a silent
            # instance for all of their time.
            if self._silent_since(instance, now):
                self.table_state.pass_over(instance.name)
            return failed(ErrorKind.DEADLINE_EXCEEDED, f"{instance.name}: {error}")
        except RequestFailed as error:
            return failed(ErrorKind.ANSWER_LOST, f"{instance.name}: {error}")
        except SteeringError as error:
            return AttemptFailure(error, True, stated=True).as_failure()

    def _timeout_s(self, request: SteeredRequest, left_s: float, prefix: str) -> float:
        """Return how long to wait for an answer."""
        if not request.idempotent or prefix != HOP_PREFIX:
            return left_s
        usual_s = READ_LATENCIES * self.latencies.get(request.service, 0.0)
        return min(left_s, max(READ_ATTEMPT_PART * left_s, usual_s))

    def _observe(self, request: SteeredRequest, latency_s: float) -> None:
        """Take in how long a read took."""
        if not request.idempotent:
            return
        known = self.latencies.setdefault(request.service, latency_s)
        self.latencies[request.service] = known + LATENCY_GAIN * (latency_s - known)

    def _silent_since(self, instance: InstanceView, sent_at: float) -> bool:
        """Return whether an instance answered nothing since a request was sent."""
        waited_s = self.clock.monotonic() - sent_at
        if waited_s < SILENCE_S + 2 * self._one_way_ms(instance) / MS:
            return False
        return self.answered_at.get(instance.name, 0.0) < sent_at

    def _one_way_ms(self, instance: InstanceView) -> float:
        table = self.table_state.table
        return table.deployment.one_way_latency_ms(
            table.failure_domain, instance.failure_domain
        )
