"""Find the handler of a request by method and path."""

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_server import Handler, IncomingRequest, OutgoingAnswer


class Router:
    """Find a handler by method and path prefix."""

    def __init__(self) -> None:
        self.routes: list[tuple[str, str, Handler]] = []

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """Add a handler; a prefix that ends in "/" matches everything below it."""
        self.routes.append((method, prefix, handler))

    async def __call__(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer a request by the first route that matches."""
        known_path = False
        for method, prefix, handler in self.routes:
            below = prefix.endswith("/") and request.path.startswith(prefix)
            if not below and request.path != prefix:
                continue
            known_path = True
            if method in ("*", request.method):
                return await handler(request)
        if known_path:
            raise SteeringError(
                ErrorKind.METHOD_NOT_ALLOWED, f"{request.method} is not allowed here"
            )
        raise SteeringError(ErrorKind.UNKNOWN_PATH, f"no such path: {request.path}")
