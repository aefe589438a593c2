"""Heartbeats: datagrams between nodes that report their state and versions.

Crash notices share their port (node/crash_notices.py).
"""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from ebonybend.addresses import split_address
from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.node.crash_notices import is_notice
from ebonybend.node.members import Member, Members, NodeHeartbeat

OPTIONAL_FIELDS = frozenset({"ejected", "era", "reports"})


def encode_heartbeat(heartbeat: NodeHeartbeat) -> bytes:
    """Return a heartbeat without the optional fields that have their defaults.

    Builds from before these fields read it, too; they require those up to suspects.
    """
    fields = {
        attribute.name: getattr(heartbeat, attribute.name)
        for attribute in NodeHeartbeat.__attrs_attrs__
        if attribute.name not in OPTIONAL_FIELDS
        or getattr(heartbeat, attribute.name) != attribute.default
    }
    return pack(fields)


class HeartbeatProtocol(DatagramProtocol):
    """Send heartbeats to other nodes and record theirs."""

    def __init__(
        self,
        members: Members,
        build_heartbeat: Callable[[bool], NodeHeartbeat],
        clock: Callable[[], float],
        on_heartbeat: Callable[[NodeHeartbeat], None],
        on_notice: Callable[[bytes], None],
    ):
        self.members = members
        # Returns the heartbeat for nodes of the own region (True) or of others.
        self.build_heartbeat = build_heartbeat
        self.clock = clock
        self.on_heartbeat = on_heartbeat
        self.on_notice = on_notice

    def send(self) -> None:
        """Send a heartbeat to the recipients of this period."""
        self._send(*self.members.recipients())

    def send_to_all(self) -> None:
        """Send a heartbeat to all other nodes."""
        self._send(*self.members.local_and_remote_peers())

    def send_notice(self, notice: bytes) -> None:
        """Send an encoded crash notice to all other nodes."""
        if self.transport is not None:
            for members in self.members.local_and_remote_peers():
                self._send_each(notice, members)

    def _send(self, local: Iterable[Member], remote: Iterable[Member]) -> None:
        if self.transport is None:
            return
        for is_local, members in ((True, local), (False, remote)):
            self._send_each(encode_heartbeat(self.build_heartbeat(is_local)), members)

    def _send_each(self, data: bytes, members: Iterable[Member]) -> None:
        for member in members:
            host, port = split_address(member.peer_address)
            try:
                self.transport.write(data, (host, port))
            except OSError as error:
                get_logger().info("beat_not_sent", peer=member.name, error=str(error))

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Decode and record a heartbeat, or pass on a crash notice."""
        if is_notice(datagram):
            self.on_notice(datagram)
            return
        try:
            heartbeat = unpack(datagram, NodeHeartbeat)
        except SteeringError as error:
            get_logger().warning("bad_beat", sender=str(addr), error=error.message)
            return
        if not heartbeat.is_valid():
            error = "an address or a number is out of range"
            get_logger().warning("bad_beat", sender=str(addr), error=error)
            return
        if self.members.record_heartbeat(heartbeat, self.clock()):
            self.on_heartbeat(heartbeat)
