"""Serve the administration API."""

from ebonybend.control.core import ControlCore
from ebonybend.control.metrics import CONTENT_TYPE, ControlMetrics
from ebonybend.control.rules_admin import RulesAdmin
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.http_router import Router

PLAIN_TEXT_HEADERS = {"Content-Type": "text/plain; charset=utf-8"}


class Admin:
    """Handle the requests of operators and monitoring systems."""

    def __init__(self, core: ControlCore):
        self.core = core
        self.metrics = ControlMetrics(core)
        rules = RulesAdmin(core.replica, core.rules_store, core.audit)
        self.router = Router()
        self.router.add("GET", "/v1/rules", rules.show)
        self.router.add("PUT", "/v1/rules", rules.change)
        self.router.add("POST", "/v1/rules/check", rules.check)
        self.router.add("GET", "/v1/history", rules.history)
        self.router.add("GET", "/v1/status", self.status)
        self.router.add("GET", "/v1/where", self.where)
        self.router.add("GET", "/livez", self.livez)
        self.router.add("GET", "/readyz", self.readyz)
        self.router.add("GET", "/metrics", self.metrics_text)

    async def status(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Return the state of the system and the revisions in force."""
        self._require_ready()
        return json_answer(self.core.status.status())

    async def where(self, request: IncomingRequest) -> OutgoingAnswer:
        """Return how a lookup is answered or a request is routed, and why."""
        self._require_ready()
        answer = self.core.explainer.explain(
            self.core.builder.current_table(),
            request.argument("client"),
            request.argument("service"),
            request.argument("method") or "GET",
        )
        return json_answer(answer)

    async def livez(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Return 200 while the process runs."""
        return OutgoingAnswer(200, b"ok\n", PLAIN_TEXT_HEADERS)

    async def readyz(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Return 200 if this control has synchronised and isn't stopping."""
        if self.core.stopping:
            raise SteeringError(ErrorKind.DRAINING, "stopping")
        self._require_ready()
        return OutgoingAnswer(200, b"ok\n", PLAIN_TEXT_HEADERS)

    async def metrics_text(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Return the metrics in Prometheus' text format."""
        return OutgoingAnswer(200, self.metrics.text(), {"Content-Type": CONTENT_TYPE})

    def _require_ready(self) -> None:
        if not self.core.synchronised:
            raise SteeringError(
                ErrorKind.NOT_READY, "not synchronised with the platform or a peer"
            )
