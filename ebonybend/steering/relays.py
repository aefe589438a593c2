"""Choose the nodes of a region that watch the store for the others.

A node that watches the store is a relay. It sends pulses, which state up to which
version it has read each kind of object; the other nodes read the changes from it. Each
node decides by the pulses that it receives: it watches the store itself unless enough
nodes that rank before it are relays. No agreement is needed, since a node that sees too
few of them is only a relay too many.
"""

from collections.abc import Iterable

from attrs import define, frozen
from xxhash import xxh3_64_intdigest

# Relays that a node wants before it relies on them, so that it need not wait for the
# failure of one to be detected.
RELAYS_NEEDED = 2
PULSE_PERIOD_S = 0.4
# Time without a pulse after which a relay is not relied upon. Two pulses in a row may
# be lost. A pulse shows that the store answered the relay, so a relay that is cut off
# delays a change by at most this time.
PULSE_TIMEOUT_S = 1.3
# Nodes of a region from which on relays cost fewer calls than they save.
MIN_REGION_NODES = 5
# Time for which a relay that did not answer is not relied upon.
FAILURE_TIMEOUT_S = 3.0


@frozen(kw_only=True)
class Pulse:
    """The state that a relay sends to the nodes of its region."""

    name: str
    incarnation: int
    # Sequence number within an incarnation; an older datagram is ignored.
    count: int
    # Address at which the relay serves changes.
    address: str
    # Version up to which the relay has read each kind of object.
    versions: dict[str, int]
    # Era of the store in which these versions were given out; 0 if it isn't known.
    era: int = 0


@define
class _Relay:
    """A relay as this node knows it."""

    pulse: Pulse
    expires_at: float
    failed_until: float = float("-inf")


def rank(name: str) -> tuple[int, str]:
    """Return a node's rank, the same for all nodes; the lowest become relays."""
    return xxh3_64_intdigest(name.encode()), name


class Relays:
    """The relays of the own region."""

    def __init__(self, own_name: str):
        self.own_name = own_name
        self.own_rank = rank(own_name)
        self.known: dict[str, _Relay] = {}

    def is_candidate(self, names: Iterable[str]) -> bool:
        """Return whether this node is to be a relay among the nodes of its region."""
        ranked = sorted({*names, self.own_name}, key=rank)
        return len(ranked) < MIN_REGION_NODES or self.own_name in ranked[:RELAYS_NEEDED]

    def record_pulse(self, pulse: Pulse, now: float) -> bool:
        """Record a pulse; return False if it is older than the last one."""
        known = self.known.get(pulse.name)
        if known is not None and now < known.expires_at:
            last = known.pulse
            if (pulse.incarnation, pulse.count) <= (last.incarnation, last.count):
                return False
        failed_until = known.failed_until if known else float("-inf")
        self.known[pulse.name] = _Relay(pulse, now + PULSE_TIMEOUT_S, failed_until)
        return True

    def record_failure(self, name: str, now: float) -> None:
        """Record that a relay did not deliver the changes that it has."""
        known = self.known.get(name)
        if known is not None:
            known.failed_until = now + FAILURE_TIMEOUT_S

    def follow_until(self, now: float, is_cut_off: bool = False) -> float:
        """Return the time until which this node may rely on relays.

        It is not after now if the node has to watch the store itself. A node that is
        cut off from the store relies on any single relay.
        """
        expiries = sorted(
            relay.expires_at
            for name, relay in self.known.items()
            if relay.failed_until <= now and (is_cut_off or rank(name) < self.own_rank)
        )
        needed = 1 if is_cut_off else RELAYS_NEEDED
        return expiries[-needed] if len(expiries) >= needed else float("-inf")

    def source(self, kind: str, since: int, now: float, era: int = 0) -> Pulse | None:
        """Return the relay to read the changes of a kind from; None without changes.

        The version is of an era; a relay of a later one has changes in any case.
        """
        ahead = [
            relay.pulse
            for relay in self.known.values()
            if now < relay.expires_at
            and relay.failed_until <= now
            and _is_ahead(relay.pulse, kind, since, era)
        ]
        return max(ahead, key=lambda pulse: self._preference(pulse, kind), default=None)

    def _preference(self, pulse: Pulse, kind: str) -> tuple[int, int, int]:
        # Equally new relays share the nodes that read from them.
        spread = xxh3_64_intdigest(f"{pulse.name} {self.own_name}".encode())
        return pulse.era, pulse.versions[kind], spread


def _is_ahead(pulse: Pulse, kind: str, since: int, era: int) -> bool:
    """Return whether a relay has changes of a kind since a version of an era."""
    if 0 in (pulse.era, era) or pulse.era == era:
        return pulse.versions.get(kind, 0) > since
    return pulse.era > era and kind in pulse.versions
