"""Query the health of a backend server."""

from attrs import frozen

from ebonybend.codec import from_json
from ebonybend.errors import SteeringError
from ebonybend.http_client import HttpClient, NotSent, RequestFailed

HEALTH_PATH = "/health"


@frozen
class Health:
    """A backend server's answer to /health."""

    state: str
    in_flight: int = 0
    slots: int = 0


class ProbeFailed(Exception):
    """Raised if a probe got no usable answer."""

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        # True if the port refused the connection, so no process listens on it.
        self.refused = refused


class HealthClient:
    """Query the health of one server over a persistent connection."""

    def __init__(self, http: HttpClient, address: str):
        self.http = http
        self.address = address

    async def get_health(self, timeout_s: float) -> Health:
        """Return the server's health; raise ProbeFailed."""
        try:
            answer = await self.http.request(
                "GET", self.address, HEALTH_PATH, timeout=timeout_s
            )
        except NotSent as error:
            raise ProbeFailed(str(error), error.refused) from error
        except RequestFailed as error:
            raise ProbeFailed(str(error)) from error
        if answer.status != 200:
            raise ProbeFailed(f"answer {answer.status}")
        try:
            return from_json(answer.body, Health)
        except SteeringError as error:
            raise ProbeFailed(error.message) from error
