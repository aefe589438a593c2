"""What a verb is given, and what it gives back."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.tool.admin_client import AdminClient
from ebonybend.tool.options import Options

DONE = 0
REFUSED = 1
UNREACHABLE_OR_USAGE = 2


@frozen
class Context:
    """The options of a run and everything with which a verb has an effect."""

    options: Options
    client: AdminClient
    clock: Clock
    sleep: Callable[[float], None]
    new_change_id: Callable[[], str]
    # Tell a person what was done so far, before the verb ends.
    progress: Callable[[str], None]
    read_file: Callable[[str], str]

    @property
    def operand(self) -> str:
        """Return the verb's only operand."""
        return self.options.operands[0]


@frozen
class VerbResult:
    """The exit status, the lines for people and the value for programs."""

    exit_status: int
    lines: tuple[str, ...]
    value: Any
