"""Answer lookups: which entry instances a client should use."""

from collections.abc import Callable
from ipaddress import IPv4Address

from attrs import frozen

from ebonybend.entry.client_maps import ClientMaps
from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.steering.table import InstanceView


@frozen
class ListedInstance:
    """An instance in a lookup answer."""

    name: str
    address: str
    # Prefix of every idempotency key for this instance.
    key_prefix: str


@frozen
class LookupAnswer:
    """The body of a lookup answer."""

    instances: tuple[ListedInstance, ...]
    lifetime_ms: int


class InstanceLookups:
    """Rank the usable instances for a client."""

    def __init__(
        self,
        own: str,
        client_maps: ClientMaps,
        lifetime_ms: int,
        own_key_prefix: Callable[[], str],
    ):
        self.own = own
        self.client_maps = client_maps
        self.lifetime_ms = lifetime_ms
        self.own_key_prefix = own_key_prefix
        # Whether this instance is stopping; lookups then list only other instances.
        self.leaving = False

    def answer(self, client: IPv4Address) -> LookupAnswer:
        """Return the best instances for a client."""
        ranker = self.client_maps.ranker
        if ranker is None:
            raise SteeringError(ErrorKind.NOT_READY, "no table from the control yet")
        ranked = ranker.rank(int(client))
        listed = tuple(
            self._list_instance(view)
            for view in ranked
            if not (self.leaving and view.name == self.own)
        )
        if not listed:
            raise SteeringError(ErrorKind.NOT_READY, "no instance is ready")
        return LookupAnswer(listed, self.lifetime_ms)

    def _list_instance(self, view: InstanceView) -> ListedInstance:
        if view.name == self.own:
            prefix = self.own_key_prefix()
        else:
            prefix = f"{view.name}~{view.incarnation}~{view.key_epoch}"
        return ListedInstance(view.name, view.public_address, prefix)
