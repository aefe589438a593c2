"""The administration API."""

from ebonybend.control.admin_messages import RulesAnswer
from ebonybend.control.core import ControlCore
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.http_server import (
    IncomingRequest,
    OutgoingAnswer,
    Router,
    json_answer,
)


class Admin:
    """Answer operators."""

    def __init__(self, core: ControlCore):
        self.core = core
        self.router = Router()
        self.router.add("GET", "/v1/rules", self.get_rules)
        self.router.add("GET", "/v1/status", self.get_status)
        self.router.add("GET", "/livez", self.livez)
        self.router.add("GET", "/readyz", self.readyz)

    async def get_rules(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Answer the newest rules known here; the ETag is the revision."""
        record = self.core.rules.record
        answer = RulesAnswer(0, "", "", "", "", 0.0)
        if record is not None:
            answer = RulesAnswer(
                record.revision,
                record.text,
                record.author,
                record.reason,
                record.change_id,
                record.at,
            )
        return json_answer(answer, headers={"ETag": f'"{answer.revision}"'})

    async def get_status(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Answer what is in force where."""
        return json_answer(self.core.status.status())

    async def livez(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Answer that the process runs."""
        return OutgoingAnswer(200, b"ok\n")

    async def readyz(self, _request: IncomingRequest) -> OutgoingAnswer:
        """Answer whether this control has synchronised and isn't stopping."""
        if self.core.tasks.stopped:
            raise SteeringError(ErrorKind.DRAINING, "stopping")
        if not self.core.synchronised:
            raise SteeringError(
                ErrorKind.NOT_READY, "not synchronised with the platform or a peer"
            )
        return OutgoingAnswer(200, b"ok\n")
