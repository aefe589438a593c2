"""Datagrams between nodes: who is here and which versions are known."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from ebonybend.addresses import split_address
from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.node.members import Beat, Members

# Two lost datagrams in a row don't make a node silent.
BEAT_PERIOD_S = 0.7


class BeatPort(DatagramProtocol):
    """Send a beat to every other node once per period, and take in theirs."""

    def __init__(
        self,
        members: Members,
        own_beat: Callable[[], Beat],
        clock: Callable[[], float],
        on_beat: Callable[[Beat], None],
    ):
        self.members = members
        self.own_beat = own_beat
        self.clock = clock
        self.on_beat = on_beat

    def send(self) -> None:
        """Send this node's beat to all others."""
        if self.transport is None:
            return
        data = pack(self.own_beat())
        for member in self.members.others():
            host, port = split_address(member.peer_address)
            try:
                self.transport.write(data, (host, port))
            except OSError as error:
                get_logger().info("beat_not_sent", peer=member.name, error=str(error))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take in a beat."""
        try:
            beat = unpack(datagram, Beat)
        except SteeringError as error:
            get_logger().warning("bad_beat", sender=str(addr), error=error.message)
            return
        if self.members.take_beat(beat, self.clock()):
            self.on_beat(beat)
