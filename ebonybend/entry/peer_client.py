"""Send messages to the peer ports of other entries."""

from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.http_client import AnswerLost, HttpClient, RequestFailed

T = TypeVar("T")


class PeerClient:
    """Send messages and decode the replies."""

    def __init__(self, http: HttpClient):
        self.http = http

    async def ask(
        self, address: str, path: str, message: Any, reply: type[T], timeout_s: float
    ) -> T:
        """Return the reply to a message; raise RequestFailed if there is none."""
        answer = await self.http.request(
            "POST", address, path, body=pack(message), timeout=timeout_s
        )
        if answer.status != 200:
            raise AnswerLost(f"{address} answered {answer.status}")
        try:
            return unpack(answer.body, reply)
        except SteeringError as error:
            raise AnswerLost(f"{address} gave no {reply.__name__}") from error


def run_in_background(work: Any) -> Deferred[Any]:
    """Start a coroutine and ignore its RequestFailed."""
    running = Deferred.fromCoroutine(work)
    running.addErrback(lambda failure: failure.trap(RequestFailed) and None)
    return running
