"""Handle the requests that the ports receive."""

from ebonybend.entry.attempts import Attempt
from ebonybend.entry.forwarder import Forwarder
from ebonybend.entry.hops import ISOLATED_HEADER
from ebonybend.entry.owner import KeyOwner
from ebonybend.entry.requests import SteeredRequest
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest
from ebonybend.steering.suspects import Verdict


class Steering:
    """Handle the requests of clients and of other entries."""

    def __init__(self, forwarder: Forwarder, owner: KeyOwner):
        self.forwarder = forwarder
        self.owner = owner

    async def from_client(
        self, request: SteeredRequest, _incoming: IncomingRequest
    ) -> Attempt:
        """Handle a client's request."""
        if request.key is not None:
            return await self.owner.handle_client_request(request)
        self.forwarder.check(request)
        return await self.forwarder.forward(request)

    async def from_hop(
        self, request: SteeredRequest, incoming: IncomingRequest
    ) -> Attempt:
        """Run another entry's request on a server in the own failure domain."""
        state = self.forwarder.table_state
        if request.service not in state.services:
            raise SteeringError(ErrorKind.NOT_READY, f"no service {request.service!r}")
        self.forwarder.check_suspect(request)
        if incoming.header(ISOLATED_HEADER) == "true":
            request.verdict = Verdict.ISOLATED
        return await self.forwarder.run_local(request)

    async def from_owner_hop(
        self, request: SteeredRequest, _incoming: IncomingRequest
    ) -> Attempt:
        """Handle a keyed request that another entry forwarded to the key's owner."""
        if request.key is None:
            raise SteeringError(ErrorKind.KEY_REQUIRED, "only keyed requests have one")
        return await self.owner.handle_peer_request(request)
