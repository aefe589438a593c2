"""Requests of callers on their way through a node."""

from attrs import define
from twisted.web.http_headers import Headers

from ebonybend.world.route import Route


@define
class ClientRequest:
    """One attempt of a client."""

    request_id: bytes
    method: bytes
    # Path and query as the client sent them.
    uri: bytes
    headers: Headers
    body: bytes
    route: Route
    service: str
    object_key: bytes
    arrived_at: float
    # Time after which the caller gets no use of an answer.
    deadline: float
    # The most urgent route of the service, if it goes before this one.
    urgent_route: Route | None
    # Whether the caller comes back after a refusal.
    returned: bool = False
    # Configuration by which the route was found.
    config_version: int = 0
    # Region that takes the object.
    region: str = ""
    sends: int = 0
    # Server to which it was sent last.
    server: str = ""
    # Estimated requests on that server, before this one.
    load: float = 0.0
    # Whether a server may have run the request.
    may_have_run: bool = False
