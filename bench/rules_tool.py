"""Change a fleet's rules with the command-line tool."""

import sys
from pathlib import Path
from subprocess import run

from attrs import frozen

from bench.http_calls import call
from bench.processes import ROOT
from ebonybend.codec import from_json

# A killed instance never confirms, so the wait is only as long as the target time.
IN_FORCE_WAIT_S = 10.0
TOOL_TIMEOUT_S = 30.0


@frozen
class RulesState:
    """The fields of GET /v1/rules that a change is based on."""

    revision: int
    text: str


def current_rules(admin: str) -> RulesState:
    """Return the most recently accepted rules."""
    answer = call("GET", admin, "/v1/rules")
    if answer.status != 200:
        raise RuntimeError(f"GET /v1/rules: {answer.status} {answer.body!r}")
    return from_json(answer.body, RulesState)


def apply_rules(admin: str, path: Path, author: str, why: str) -> str:
    """Apply a rules file and wait until it is in force; return the tool's output."""
    base = current_rules(admin).revision
    return run_tool(
        "apply",
        str(path),
        f"--admin={admin}",
        f"--author={author}",
        f"--why={why}",
        f"--base={base}",
        f"--wait={IN_FORCE_WAIT_S}",
    )


def run_tool(*arguments: str) -> str:
    """Run the command-line tool; return its output or raise RuntimeError."""
    command = (sys.executable, "-m", "ebonybend.cli", *arguments)
    completed = run(command, cwd=ROOT, capture_output=True, timeout=TOOL_TIMEOUT_S)
    output = (completed.stdout + completed.stderr).decode("utf-8", "replace")
    if completed.returncode != 0:
        raise RuntimeError(f"{' '.join(arguments)}: {completed.returncode} {output}")
    return output
