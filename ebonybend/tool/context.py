"""The input and the result of a verb."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from ebonybend.clock import Clock
from ebonybend.tool.admin_client import AdminClient
from ebonybend.tool.options import Options

# Exit statuses of the tool.
EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_UNREACHABLE_OR_USAGE = 2


@frozen
class Context:
    """The options of a run and the functions through which a verb does I/O."""

    options: Options
    client: AdminClient
    clock: Clock
    sleep: Callable[[float], None]
    new_change_id: Callable[[], str]
    # Prints a line about progress while the verb runs.
    report_progress: Callable[[str], None]
    read_file: Callable[[str], str]

    @property
    def operand(self) -> str:
        """Return the verb's only operand."""
        return self.options.operands[0]


@frozen
class VerbResult:
    """The exit status, the text output (lines) and the JSON output (value)."""

    exit_status: int
    lines: tuple[str, ...]
    value: Any
