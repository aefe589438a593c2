"""What the ports ask of the data plane."""

from ebonybend.entry.attempts import Attempt
from ebonybend.entry.forwarder import Forwarder
from ebonybend.entry.hops import ALONE_HEADER
from ebonybend.entry.owner import KeyOwner
from ebonybend.entry.requests import SteeredRequest
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_server import IncomingRequest
from ebonybend.steering.suspects import Verdict


class Steering:
    """Answer the requests of callers and of other entries."""

    def __init__(self, forwarder: Forwarder, owner: KeyOwner):
        self.forwarder = forwarder
        self.owner = owner

    async def from_client(
        self, request: SteeredRequest, _incoming: IncomingRequest
    ) -> Attempt:
        """Answer a caller's request."""
        if request.key is not None:
            return await self.owner.steer(request)
        self.forwarder.check(request)
        return await self.forwarder.forward(request)

    async def from_hop(
        self, request: SteeredRequest, incoming: IncomingRequest
    ) -> Attempt:
        """Run another entry's request on a server of the own failure domain."""
        state = self.forwarder.table_state
        if request.service not in state.services:
            raise SteeringError(ErrorKind.NOT_READY, f"no service {request.service!r}")
        self.forwarder.check_suspect(request)
        if incoming.header(ALONE_HEADER) == "true":
            request.verdict = Verdict.ISOLATED
        return await self.forwarder.run_local(request)

    async def from_owner_hop(
        self, request: SteeredRequest, _incoming: IncomingRequest
    ) -> Attempt:
        """Answer another entry's request whose key names this entry."""
        if request.key is None:
            raise SteeringError(ErrorKind.KEY_REQUIRED, "only keyed requests have one")
        return await self.owner.answer_peer(request)
