"""Validated client requests, and the answers of backend servers."""

from typing import Any

from attrs import define, field, frozen

from ebonybend.logs import get_logger
from ebonybend.steering.suspects import Verdict

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD"})


@define(eq=False)
class SteeredRequest:
    """A validated request that is to run on a backend server."""

    service: str
    method: str
    # Path and query below the service, starting with "/".
    path: str
    body: bytes
    content_type: str | None
    # The client's deadline on the process's monotonic clock, in seconds.
    deadline: float
    request_id: str
    key: str | None = None
    # Whether the client has closed its connection.
    client_disconnected: bool = False
    fingerprint: str = ""
    verdict: Verdict = Verdict.ALLOW
    _log: Any = field(default=None, init=False)

    @property
    def idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def isolated(self) -> bool:
        """Return whether the request must run on a server without other requests."""
        return self.verdict is not Verdict.ALLOW

    @property
    def log(self) -> Any:
        """Return the logger that adds request id, service and method to every line."""
        if self._log is None:
            self._log = get_logger().bind(
                request_id=self.request_id, service=self.service, method=self.method
            )
        return self._log


@frozen
class ServedAnswer:
    """A complete answer of a backend server."""

    status: int
    content_type: str | None
    body: bytes
    # Name of the backend server.
    served_by: str
    # Region of the backend server.
    region: str = ""
