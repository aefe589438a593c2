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

HOP_PREFIX = "/peer/hop/"
OWNER_PREFIX = "/peer/owner/"
# The receiver runs the request on a server that runs nothing else.
ALONE_HEADER = "Ebonybend-Alone"
# The sender's region, for the budget of the link back.
REGION_HEADER = "Ebonybend-Region"
# Nobody listens on a port that refused a connection. The table shows that only after
# some seconds, and until then each hop there would cost a retry token.
REFUSED_PAUSE_S = 1.0


class HopClient:
    """Send requests to other entries."""

    def __init__(
        self, clock: Clock, http: HttpClient, table_state: TableState, random: Random
    ):
        self.clock = clock
        self.http = http
        self.table_state = table_state
        self.random = random
        # Until when an instance whose port refused a connection is not picked.
        self.refused_until: dict[str, float] = {}

    def pick(self, domain: str, tried: set[str]) -> InstanceView | None:
        """Return a usable instance of a domain, or None."""
        own = self.table_state.own
        now = self.clock.monotonic()
        usable = [
            view
            for view in self.table_state.usable_in(domain)
            if view.name not in tried
            and view.name != own
            and self.refused_until.get(view.name, now) <= now
        ]
        return self.random.choice(usable) if usable else None

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
        # The answer needs the way back, too.
        if within is None or within.deadline_ms <= one_way_ms:
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
                until = self.clock.monotonic() + REFUSED_PAUSE_S
                self.refused_until[instance.name] = until
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
