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


class HopClient:
    """Send requests to other entries."""

    def __init__(
        self, clock: Clock, http: HttpClient, table_state: TableState, random: Random
    ):
        self.clock = clock
        self.http = http
        self.table_state = table_state
        self.random = random

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
        within = bounds(request, now, one_way_ms)
        if within is None:
            return refused(ErrorKind.DEADLINE_NOT_RUN, "too late for another domain")
        # An owner answers by the deadline and goes on listening itself.
        owned = prefix == OWNER_PREFIX
        timeout_s = request.deadline - now if owned else within.timeout_s
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
            return Success(from_entry(answer))
        except SendTooLate as error:
            return refused(ErrorKind.DEADLINE_NOT_RUN, str(error))
        except NotSent as error:
            if error.refused:
                self.table_state.note_refusal(instance.name)
            return failed(ErrorKind.BACKEND_UNREACHABLE, f"{instance.name}: {error}")
        except AnswerTimeout as error:
            return failed(ErrorKind.DEADLINE_EXCEEDED, f"{instance.name}: {error}")
        except RequestFailed as error:
            return failed(ErrorKind.ANSWER_LOST, f"{instance.name}: {error}")
        except SteeringError as error:
            return AttemptFailure(error, True, stated=True).as_failure()

    def _one_way_ms(self, instance: InstanceView) -> float:
        table = self.table_state.table
        return table.deployment.one_way_latency_ms(
            table.failure_domain, instance.failure_domain
        )
