"""Heartbeats for tests."""

from attrs import evolve

from ebonybend.node.members import Beat, Member


def beat(sender: Member, **changes) -> Beat:
    """Return a heartbeat of a ready node with nothing to report."""
    plain = Beat(
        name=sender.name,
        incarnation=1,
        count=1,
        ready=True,
        newest={},
        followed_s=1.0,
        demand={},
        suspects=(),
        member=sender,
    )
    return evolve(plain, **changes)
