"""Record state changes of the local failure domain in the audit log."""

from ebonybend.control.audit import AuditQueue
from ebonybend.control.members import Members
from ebonybend.control.table_builder import TableBuilder
from ebonybend.world import LifeState, ServerState

# A server that becomes ready after a cold start is not audited.
AUDITED_STATES = frozenset({ServerState.DRAINING, ServerState.DOWN})


class ChangeRecorder:
    """Compare the states each second; only the leader records the differences."""

    def __init__(self, members: Members, builder: TableBuilder, audit: AuditQueue):
        self.members = members
        self.builder = builder
        self.audit = audit
        self.servers: dict[str, ServerState] = {}
        self.instances: dict[str, LifeState] = {}
        self.refused: set[str] = set()

    def record_changes(self) -> None:
        """Record the states that changed since the last call."""
        is_leader = self.members.is_leader()
        for event, name in (*self._server_changes(), *self._instance_changes()):
            if is_leader:
                self.audit.add_automatic(event, name)

    def record_refusals(self, fingerprints: set[str]) -> None:
        """Record requests that the local entry process newly reports as refused."""
        for fingerprint in sorted(fingerprints - self.refused):
            self.audit.add_automatic("suspect_refused", fingerprint)
        self.refused = fingerprints

    def _server_changes(self) -> list[tuple[str, str]]:
        states = {view.name: view.state for view in self.builder.servers()}
        before, self.servers = self.servers, states
        return [
            (f"server_{state.value}", name)
            for name, state in states.items()
            if state in AUDITED_STATES and before.get(name, state) is not state
        ]

    def _instance_changes(self) -> list[tuple[str, str]]:
        states = {
            view.name: view.state
            for view in self.builder.instances()
            if view.failure_domain == self.members.failure_domain
        }
        before, self.instances = self.instances, states
        return [
            ("instance_draining", name)
            for name, state in states.items()
            if state is LifeState.LEAVING and before.get(name, state) is not state
        ]
