"""Tell callers that come back after a refusal from those that ask the first time."""

# A deadline below this part of the route's longest says that the caller has waited.
RETURNED_PART = 0.95


class ReturnDetector:
    """Compare a request's deadline with the longest of its route.

    A client states the time that it still waits, so one that comes back states less.
    """

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}

    def has_returned(self, route: str, deadline_s: float) -> bool:
        """Take in a request's deadline; tell whether its caller comes back."""
        longest = self.longest.get(route, 0.0)
        if deadline_s > longest:
            self.longest[route] = longest = deadline_s
        return deadline_s < longest * RETURNED_PART

    def retain(self, routes: set[str]) -> None:
        """Forget routes that no longer exist."""
        self.longest = {n: s for n, s in self.longest.items() if n in routes}
