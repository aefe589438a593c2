"""Pass requests to handlers by method and path."""

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import Handler, IncomingRequest, OutgoingAnswer


class Router:
    """Pass each request to the handler registered for its method and path."""

    def __init__(self) -> None:
        self.routes: list[tuple[str, str, Handler]] = []

    def add(self, method: str, prefix: str, handler: Handler) -> None:
        """Add a handler; "*" is any method, a prefix ending in "/" any path below."""
        self.routes.append((method, prefix, handler))

    async def __call__(self, request: IncomingRequest) -> OutgoingAnswer:
        """Answer a request with the first matching route's handler."""
        path_exists = False
        for method, prefix, handler in self.routes:
            is_below_prefix = prefix.endswith("/") and request.path.startswith(prefix)
            if not is_below_prefix and request.path != prefix:
                continue
            path_exists = True
            if method in ("*", request.method):
                return await handler(request)
        if path_exists:
            raise SteeringError(
                ErrorKind.METHOD_NOT_ALLOWED, f"{request.method} is not allowed here"
            )
        raise SteeringError(ErrorKind.UNKNOWN_PATH, f"no such path: {request.path}")
