"""Pulses: datagrams by which a relay tells its region what it has read."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from ebonybend.addresses import is_ipv4_address, split_address
from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.node.members import Members
from ebonybend.steering.relays import MIN_REGION_NODES, Pulse, Relays

# Time within which the store has to answer a relay's ping.
PING_TIMEOUT_S = 0.5


class PulseProtocol(DatagramProtocol):
    """Send pulses to the nodes of the region while this node is a relay."""

    def __init__(
        self,
        members: Members,
        relays: Relays,
        address: str,
        versions: Callable[[], dict[str, int] | None],
        era: Callable[[], int],
        ping: Callable[[], Awaitable[bool]],
        clock: Callable[[], float],
        on_pulse: Callable[[], None],
    ):
        self.members = members
        self.relays = relays
        self.address = address
        # Returns the versions that this node has read from the store itself; None if
        # it is no relay.
        self.versions = versions
        # Returns the era of these versions.
        self.era = era
        # Returns whether the store answers.
        self.ping = ping
        self.clock = clock
        self.on_pulse = on_pulse
        self.count = 0

    def has_readers(self) -> bool:
        """Return whether the region has enough nodes to read from relays."""
        local, _ = self.members.local_and_remote_peers()
        return len(local) + 1 >= MIN_REGION_NODES

    async def send_if_in_contact(self) -> None:
        """Send a pulse if the store answers and this node is a relay."""
        if await self.ping():
            self.send()

    def send(self) -> None:
        """Send a pulse if this node is a relay; the store has just answered."""
        versions = self.versions()
        if self.transport is None or versions is None or not self.has_readers():
            return
        own = self.members.own
        self.count += 1
        pulse = Pulse(
            name=own.name,
            incarnation=own.incarnation,
            count=self.count,
            address=self.address,
            versions=versions,
            era=self.era(),
        )
        data = pack(pulse)
        for member in self.members.local_and_remote_peers()[0]:
            host, port = split_address(relay_address(member.peer_address))
            try:
                self.transport.write(data, (host, port))
            except OSError as error:
                get_logger().info("pulse_not_sent", peer=member.name, error=str(error))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode and record a pulse."""
        try:
            pulse = unpack(datagram, Pulse)
        except SteeringError as error:
            get_logger().warning("bad_pulse", sender=str(addr), error=error.message)
            return
        if not is_ipv4_address(pulse.address):
            get_logger().warning("bad_pulse", sender=str(addr), error="no address")
            return
        if self.relays.record_pulse(pulse, self.clock()):
            self.on_pulse()


def relay_address(peer_address: str) -> str:
    """Return the address of a node's pulses and changes, next to its heartbeats."""
    host, port = split_address(peer_address)
    return f"{host}:{port + 1}"
