"""Heartbeats: datagrams between nodes that report their state and versions."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from ebonybend.addresses import split_address
from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.node.members import Beat, Member, Members


class BeatPort(DatagramProtocol):
    """Send heartbeats to other nodes and record theirs."""

    def __init__(
        self,
        members: Members,
        own_beat: Callable[[bool], Beat],
        clock: Callable[[], float],
        on_beat: Callable[[Beat], None],
    ):
        self.members = members
        # Returns the heartbeat for nodes of the own region (True) or of others.
        self.own_beat = own_beat
        self.clock = clock
        self.on_beat = on_beat

    def send(self) -> None:
        """Send a heartbeat to the recipients of this period."""
        self._send(*self.members.recipients())

    def send_to_all(self) -> None:
        """Send a heartbeat to all other nodes."""
        self._send(*self.members.by_distance())

    def _send(self, near: Iterable[Member], far: Iterable[Member]) -> None:
        if self.transport is None:
            return
        for is_near, members in ((True, near), (False, far)):
            self._send_one(pack(self.own_beat(is_near)), members)

    def _send_one(self, data: bytes, members: Iterable[Member]) -> None:
        for member in members:
            host, port = split_address(member.peer_address)
            try:
                self.transport.write(data, (host, port))
            except OSError as error:
                get_logger().info("beat_not_sent", peer=member.name, error=str(error))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode and record a heartbeat."""
        try:
            beat = unpack(datagram, Beat)
        except SteeringError as error:
            get_logger().warning("bad_beat", sender=str(addr), error=error.message)
            return
        if self.members.take_beat(beat, self.clock()):
            self.on_beat(beat)
