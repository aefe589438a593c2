"""Beats for tests."""

from attrs import evolve

from ebonybend.node.members import Beat, Member


def beat(sender: Member, **changes) -> Beat:
    """Return a beat of a node that is ready and has nothing to tell."""
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
