"""Tell all other nodes at once which requests ran on servers that crashed.

A notice goes to all known nodes, unlike a heartbeat. Without losses on the network it
arrives within one period; each piece of evidence is in three notices. A period is
MIN_PERIOD_S, and longer for more than 200 nodes, so that no node sends more than
MAX_NOTICES_PER_S times MAX_DATAGRAMS.
"""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from ebonybend.codec import pack, unpack
from ebonybend.errors import SteeringError
from ebonybend.logs import get_logger
from ebonybend.steering.crash_evidence import CrashEvidence, EvidenceQueue

# First byte of a notice, which no MessagePack value starts with; a heartbeat is one.
PREFIX = b"\xc1"
MIN_PERIOD_S = 0.2
# Notices to single nodes per second, of up to MAX_DATAGRAMS each.
MAX_NOTICES_PER_S = 1000
MAX_DATAGRAMS = 4


@frozen(kw_only=True)
class CrashNotice:
    """Crashes that one node counted."""

    sender: str
    evidence: tuple[CrashEvidence, ...]


def is_notice(datagram: bytes) -> bool:
    """Return whether a datagram is a notice, not a heartbeat."""
    return datagram.startswith(PREFIX)


class CrashNotices:
    """Send a node's evidence to all other nodes, and apply theirs."""

    def __init__(
        self,
        name: str,
        timers: Any,
        untold: EvidenceQueue,
        node_count: Callable[[], int],
        send_to_all: Callable[[bytes], None],
        on_evidence: Callable[[str, CrashEvidence], None],
    ):
        self.name = name
        self.timers = timers
        self.untold = untold
        self.node_count = node_count
        self.send_to_all = send_to_all
        # Called with the sender and each piece of its evidence.
        self.on_evidence = on_evidence
        self.next_at = timers.seconds()
        self.is_scheduled = False

    def schedule(self) -> None:
        """Send what isn't told yet, as soon as the last notice is one period old."""
        if self.is_scheduled or not self.untold:
            return
        self.is_scheduled = True
        delay_s = max(self.next_at - self.timers.seconds(), 0.0)
        self.timers.callLater(delay_s, self._send)

    def _send(self) -> None:
        self.is_scheduled = False
        now = self.timers.seconds()
        self.next_at = now + max(MIN_PERIOD_S, self.node_count() / MAX_NOTICES_PER_S)
        for evidence in self.untold.take(now, MAX_DATAGRAMS):
            notice = CrashNotice(sender=self.name, evidence=evidence)
            self.send_to_all(PREFIX + pack(notice))
        self.schedule()

    def receive(self, datagram: bytes) -> None:
        """Apply a notice of another node."""
        try:
            notice = unpack(datagram[len(PREFIX) :], CrashNotice)
        except SteeringError as error:
            get_logger().warning("bad_crash_notice", error=error.message)
            return
        for evidence in notice.evidence:
            self.on_evidence(notice.sender, evidence)
