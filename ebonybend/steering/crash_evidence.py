"""The crashes of requests that a node lost, as it tells them to all other nodes.

Each piece of evidence is sent TRANSMISSIONS times, so that it arrives although
datagrams are lost; what was sent least often comes first.
"""

from math import ceil

from attrs import define, evolve, frozen

# A datagram in ten may be lost on a bad link; of evidence that is sent this often, one
# in a thousand is.
TRANSMISSIONS = 3
# Requests and bytes in a datagram, which has to stay below 1400 bytes.
MAX_REQUESTS = 30
MAX_BYTES = 1100
# Upper bounds of the size of an encoded piece of evidence without requests, and of a
# request in it.
EVIDENCE_BYTES = 120
REQUEST_BYTES = 28
# Bounds the memory when more is found than can be sent.
MAX_UNTOLD = 1000
MS_PER_S = 1000.0


@frozen
class CrashEvidence:
    """A process of a server that ended, and requests that a node lost on it."""

    server: str
    started_ms: int = 0
    # Number of processes that the list named alike and that ended before.
    earlier_ends: int = 0
    # Time since the node found the end, in milliseconds.
    age_ms: float = 0.0
    requests: tuple[str, ...] = ()

    @property
    def crash(self) -> str:
        """Return the same name for one end on all nodes that know of it."""
        return f"{self.server}/{self.started_ms}/{self.earlier_ends}"

    def size(self) -> int:
        """Return an upper bound of the encoded size in bytes."""
        return EVIDENCE_BYTES + REQUEST_BYTES * len(self.requests)


@define
class _Untold:
    evidence: CrashEvidence
    found_at: float
    sent: int = 0


class EvidenceQueue:
    """Evidence that has to be told to other nodes."""

    def __init__(self) -> None:
        self.untold: list[_Untold] = []

    def __bool__(self) -> bool:
        """Return whether there is anything to tell."""
        return bool(self.untold)

    def add(self, evidence: CrashEvidence, now: float) -> None:
        """Add evidence, in parts that fit into a datagram."""
        requests = evidence.requests
        for part in range(max(ceil(len(requests) / MAX_REQUESTS), 1)):
            chosen = requests[part * MAX_REQUESTS : (part + 1) * MAX_REQUESTS]
            self.untold.append(_Untold(evolve(evidence, requests=chosen), now))
        del self.untold[:-MAX_UNTOLD]

    def take(self, now: float, max_datagrams: int) -> list[tuple[CrashEvidence, ...]]:
        """Return the evidence to send now, by datagram."""
        datagrams: list[list[CrashEvidence]] = []
        left = 0
        for item in sorted(self.untold, key=lambda item: item.sent):
            size = item.evidence.size()
            if size > left:
                if len(datagrams) == max_datagrams:
                    break
                datagrams.append([])
                left = MAX_BYTES
            age_ms = (now - item.found_at) * MS_PER_S
            datagrams[-1].append(evolve(item.evidence, age_ms=age_ms))
            left -= size
            item.sent += 1
        self.untold = [item for item in self.untold if item.sent < TRANSMISSIONS]
        return [tuple(datagram) for datagram in datagrams]
