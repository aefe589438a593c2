"""Wait until a revision is in force on every listed instance."""

from attrs import evolve, frozen

from ebonybend.control.admin_messages import StatusAnswer
from ebonybend.errors import SteeringError
from ebonybend.tool.admin_client import AdminClient
from ebonybend.tool.context import Context

POLL_INTERVAL_S = 0.25
# Long enough for a control in another region to answer.
MIN_TIMEOUT_S = 0.5


@frozen
class Confirmation:
    """The instances that have a revision in force, and those that do not."""

    revision: int
    in_force_everywhere: bool = False
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
    unreachable: tuple[str, ...] = ()
    # Why the state is unknown, or empty.
    problem: str = ""


def classify_instances(status: StatusAnswer, revision: int) -> Confirmation:
    """Sort the instances into in force, behind and unreachable for a revision.

    A later revision also confirms it: revisions never decrease, so it was in force.
    """
    reported = {i.name: i.rules_revision for i in status.instances}
    candidates = _possibly_behind(status, revision)
    unconfirmed = {name for name in candidates if reported.get(name, 0) < revision}
    reachable = {i.name for i in status.instances if i.reachable}
    instances_known = status.in_force_everywhere or bool(candidates)
    return Confirmation(
        revision,
        instances_known and not unconfirmed and status.revision >= revision,
        tuple(
            sorted(instance for instance in reported if reported[instance] >= revision)
        ),
        tuple(sorted(unconfirmed & reachable)),
        tuple(sorted(unconfirmed - reachable)),
        "" if instances_known else "the control knows no list of instances",
    )


def _possibly_behind(status: StatusAnswer, revision: int) -> tuple[str, ...]:
    """Return the names of the instances that may not have a revision in force."""
    if status.revision >= revision:
        # Excludes instances that are planned but not listed by the platform.
        return status.waiting_for
    # The control lacks the revision, so its waiting_for refers to an older one.
    return tuple(instance.name for instance in status.instances)


def wait_until_in_force(context: Context, revision: int) -> Confirmation:
    """Poll until every instance confirms the revision or --wait has passed."""
    deadline = context.clock.monotonic() + context.options.wait
    while True:
        remaining_s = deadline - context.clock.monotonic()
        try:
            confirmation = classify_instances(
                _client_with_timeout(context, remaining_s).get_status(), revision
            )
        except SteeringError as error:
            confirmation = Confirmation(revision, problem=error.message)
        if confirmation.in_force_everywhere or context.clock.monotonic() >= deadline:
            return confirmation
        context.sleep(POLL_INTERVAL_S)


def _client_with_timeout(context: Context, remaining_s: float) -> AdminClient:
    """Return a client whose timeout is at most the remaining time or MIN_TIMEOUT_S."""
    client = context.client
    timeout_s = min(client.timeout_s, max(remaining_s, MIN_TIMEOUT_S))
    return evolve(client, timeout_s=timeout_s)


def confirmation_lines(confirmation: Confirmation) -> tuple[str, ...]:
    """Return a confirmation as lines of output."""
    total = (
        len(confirmation.in_force)
        + len(confirmation.behind)
        + len(confirmation.unreachable)
    )
    if confirmation.in_force_everywhere:
        return (
            f"revision {confirmation.revision} is in force everywhere ({total} of "
            f"{total} instances)",
        )
    if confirmation.problem:
        return (
            f"revision {confirmation.revision} is not confirmed: "
            f"{confirmation.problem}",
        )
    lines = [
        f"revision {confirmation.revision} is NOT in force everywhere "
        f"({len(confirmation.in_force)} of {total} instances)"
    ]
    if confirmation.in_force:
        lines.append(f"  in force:    {', '.join(confirmation.in_force)}")
    if confirmation.behind:
        lines.append(f"  behind:      {', '.join(confirmation.behind)}")
    if confirmation.unreachable:
        lines.append(f"  unreachable: {', '.join(confirmation.unreachable)}")
    return tuple(lines)
