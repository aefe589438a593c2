"""Wait until a revision is in force on every listed instance."""

from attrs import evolve, frozen

from ebonybend.control.admin_messages import StatusAnswer
from ebonybend.errors import SteeringError
from ebonybend.tool.admin_client import AdminClient
from ebonybend.tool.context import Context

POLL_INTERVAL_S = 0.25
# Long enough for a control in another region to answer.
SHORTEST_TIMEOUT_S = 0.5


@frozen
class Confirmation:
    """Which instances have a revision in force."""

    revision: int
    in_force_everywhere: bool = False
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    # Why nothing is known about the state, or empty.
    problem: str = ""


def classify(status: StatusAnswer, revision: int) -> Confirmation:
    """Return which listed instances confirm a revision.

    A later revision also counts: revisions never go back, so the change was in force.
    """
    reported = {i.name: i.rules_revision for i in status.instances}
    waiting = _waiting(status, revision)
    missing = {name for name in waiting if reported.get(name, 0) < revision}
    reachable = {i.name for i in status.instances if i.reachable}
    everywhere = status.in_force_everywhere or bool(waiting)
    return Confirmation(
        revision,
        everywhere and not missing and status.revision >= revision,
        tuple(sorted(x for x in reported if reported[x] >= revision)),
        tuple(sorted(missing & reachable)),
        tuple(sorted(missing - reachable)),
        "" if everywhere else "the control knows no list of instances",
    )


def _waiting(status: StatusAnswer, revision: int) -> tuple[str, ...]:
    """Return the instances that may not have a revision in force."""
    if status.revision >= revision:
        # Instances that are planned but not listed are not waited for.
        return status.waiting_for
    # The control hasn't seen the revision, so it doesn't know who lacks it.
    return tuple(instance.name for instance in status.instances)


def wait_in_force(context: Context, revision: int) -> Confirmation:
    """Ask until every instance confirms the revision or the waiting time is over."""
    deadline = context.clock.monotonic() + context.options.wait
    while True:
        left = deadline - context.clock.monotonic()
        try:
            found = classify(_client(context, left).status(), revision)
        except SteeringError as error:
            found = Confirmation(revision, problem=error.message)
        if found.in_force_everywhere or context.clock.monotonic() >= deadline:
            return found
        context.sleep(POLL_INTERVAL_S)


def _client(context: Context, left_s: float) -> AdminClient:
    """Return a client whose calls don't take much longer than the time left."""
    client = context.client
    timeout_s = min(client.timeout_s, max(left_s, SHORTEST_TIMEOUT_S))
    return evolve(client, timeout_s=timeout_s)


def confirmation_lines(found: Confirmation) -> tuple[str, ...]:
    """Return the state of a revision for people."""
    total = len(found.in_force) + len(found.behind) + len(found.unreachable)
    if found.in_force_everywhere:
        return (
            f"revision {found.revision} is in force everywhere ({total} of "
            f"{total} instances)",
        )
    if found.problem:
        return (f"revision {found.revision} is not confirmed: {found.problem}",)
    lines = [
        f"revision {found.revision} is NOT in force everywhere "
        f"({len(found.in_force)} of {total} instances)"
    ]
    if found.in_force:
        lines.append(f"  in force:    {', '.join(found.in_force)}")
    if found.behind:
        lines.append(f"  behind:      {', '.join(found.behind)}")
    if found.unreachable:
        lines.append(f"  unreachable: {', '.join(found.unreachable)}")
    return tuple(lines)
