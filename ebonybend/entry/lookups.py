"""Answer which entry instances a client should use."""

from collections.abc import Callable
from ipaddress import IPv4Address

from attrs import frozen

from ebonybend.entry.table_state import TableState
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.table import InstanceView

# Callers try the next instance when one refuses the connection; more than three are
# never needed within one look-up lifetime.
MAX_LISTED = 3


@frozen
class ListedInstance:
    """An instance in a look-up answer."""

    name: str
    address: str
    # Start of every idempotency key for this instance.
    key_prefix: str


@frozen
class LookupAnswer:
    """The body of a look-up answer."""

    instances: tuple[ListedInstance, ...]
    lifetime_ms: int


class InstanceLookups:
    """Rank the usable instances for a client."""

    def __init__(
        self, table_state: TableState, lifetime_ms: int, own_prefix: Callable[[], str]
    ):
        self.table_state = table_state
        self.lifetime_ms = lifetime_ms
        self.own_prefix = own_prefix
        # Set while this instance leaves: it lists only others.
        self.leaving = False

    def answer(self, client: IPv4Address) -> LookupAnswer:
        """Return the best instances for a client."""
        if self.table_state.table is None:
            raise SteeringError(ErrorKind.NOT_READY, "no table from the control yet")
        listed = [self._listed(view) for view in self._ranked(client)]
        if not listed:
            raise SteeringError(ErrorKind.NOT_READY, "no instance is ready")
        return LookupAnswer(tuple(listed[:MAX_LISTED]), self.lifetime_ms)

    def _ranked(self, client: IPv4Address) -> list[InstanceView]:
        state = self.table_state
        usable = state.usable_instances()
        if self.leaving:
            usable = tuple(view for view in usable if view.name != state.own)
        own_domain = state.table.failure_domain
        return sorted(usable, key=lambda v: (v.failure_domain != own_domain, v.name))

    def _listed(self, view: InstanceView) -> ListedInstance:
        if view.name == self.table_state.own:
            prefix = self.own_prefix()
        else:
            prefix = f"{view.name}~{view.incarnation}~{view.key_epoch}"
        return ListedInstance(view.name, view.public_address, prefix)
