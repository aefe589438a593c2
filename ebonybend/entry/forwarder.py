"""Thin forwarder: reads on backend servers of the own failure domain."""

from ebonybend.clock import Clock
from ebonybend.entry.interim import Admission, ServerChooser, ServerResult
from ebonybend.entry.requests import ServedAnswer, SteeredRequest
from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_client import AnswerLost, AnswerTimeout, HttpClient, NotSent


class Forwarder:
    """Forward reads."""

    def __init__(
        self,
        table_state: TableState,
        clock: Clock,
        http: HttpClient,
        admission: Admission,
        chooser: ServerChooser,
    ):
        self.table_state = table_state
        self.clock = clock
        self.http = http
        self.admission = admission
        self.chooser = chooser

    async def steer(self, request: SteeredRequest) -> ServedAnswer:
        """Return the answer of a backend server of the own failure domain."""
        if self.table_state.table is None:
            raise SteeringError(ErrorKind.NOT_READY, "no table from the control yet")
        if request.service not in self.table_state.services:
            raise SteeringError(ErrorKind.UNKNOWN_SERVICE, "no such service")
        if not request.idempotent:
            raise SteeringError(ErrorKind.NOT_READY, "writes are not built yet")
        candidates = self.table_state.servers.get(request.service, ())
        server = self.chooser.choose(candidates, ())
        if server is None or not self.admission.start(server.name):
            raise SteeringError(ErrorKind.OVERLOADED, "no free slot")
        remaining = request.deadline - self.clock.monotonic()
        try:
            answer = await self.http.request(
                request.method,
                server.address,
                request.path,
                {"Deadline-Ms": str(int(remaining * 1000))},
                timeout=remaining,
            )
        except NotSent as error:
            raise SteeringError(ErrorKind.BACKEND_UNREACHABLE, str(error)) from error
        except AnswerLost as error:
            raise SteeringError(ErrorKind.ANSWER_LOST, str(error)) from error
        except AnswerTimeout as error:
            raise SteeringError(ErrorKind.DEADLINE_EXCEEDED, str(error)) from error
        finally:
            self.admission.finish(server.name, ServerResult.SUCCESS, 0.0)
        return ServedAnswer(
            answer.status,
            answer.header("Content-Type"),
            answer.body,
            server.name,
            self.table_state.region,
        )
