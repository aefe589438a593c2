"""Client requests that a node is handling."""

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
    # Time after which the client no longer waits for an answer.
    deadline: float
    # The most urgent route of the service, if it is more urgent than this one.
    urgent_route: Route | None
    # IP address from which the request came.
    caller: str = ""
    # Whether the client retries after a refusal.
    is_client_retry: bool = False
    # Version of the configuration by which the route was found.
    config_version: int = 0
    # Region to which the object is assigned.
    region: str = ""
    sends: int = 0
    # Server to which the request was sent last.
    server: str = ""
    # Estimated number of requests on that server, without this one.
    load: float = 0.0
    # Whether a server may have run the request.
    may_have_run: bool = False
    # Whether it is sent once although it is refused for crashing servers.
    is_trial: bool = False
