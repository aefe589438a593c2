"""Heartbeats for tests."""

from attrs import evolve

from ebonybend.node.members import Member, NodeHeartbeat


def heartbeat(sender: Member, **changes) -> NodeHeartbeat:
    """Return a heartbeat of a ready node with nothing to report."""
    plain = NodeHeartbeat(
        name=sender.name,
        incarnation=1,
        count=1,
        ready=True,
        newest={},
        followed_s=1.0,
        demand={},
        member=sender,
    )
    return evolve(plain, **changes)
