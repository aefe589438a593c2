"""Change a fleet's rules as an operator does."""

import sys
from subprocess import run
from time import monotonic, sleep
from urllib.parse import quote
from uuid import uuid4

from attrs import frozen

from bench.http_calls import call
from bench.processes import ROOT
from ebonybend.codec import from_json

POLL_S = 0.05
TOOL_TIMEOUT_S = 30.0


@frozen
class RulesState:
    """The part of GET /v1/rules that a change is based on."""

    revision: int
    text: str


@frozen
class RulesStatus:
    """The part of GET /v1/status that says whether a revision is in force."""

    revision: int
    in_force_everywhere: bool


def current_rules(admin: str) -> RulesState:
    """Return the rules that were accepted last."""
    answer = call("GET", admin, "/v1/rules")
    if answer.status != 200:
        raise RuntimeError(f"GET /v1/rules: {answer.status} {answer.body!r}")
    return from_json(answer.body, RulesState)


def apply_over_api(admin: str, text: str, author: str, reason: str) -> None:
    """Apply a rules text through the administration API."""
    base = current_rules(admin).revision
    headers = {
        "If-Match": f'"{base}"',
        "Author": quote(author),
        "Reason": quote(reason),
        "Change-Id": uuid4().hex,
    }
    answer = call("PUT", admin, "/v1/rules", text.encode(), headers, TOOL_TIMEOUT_S)
    if answer.status != 200:
        raise RuntimeError(f"PUT /v1/rules: {answer.status} {answer.body!r}")


def run_tool(*arguments: str) -> str:
    """Run the command-line tool and return its output; raise if it fails."""
    command = (sys.executable, "-m", "ebonybend.cli", *arguments)
    done = run(command, cwd=ROOT, capture_output=True, timeout=TOOL_TIMEOUT_S)
    output = (done.stdout + done.stderr).decode("utf-8", "replace")
    if done.returncode != 0:
        raise RuntimeError(f"{' '.join(arguments)}: {done.returncode} {output}")
    return output


def wait_in_force(admin: str, revision: int, timeout_s: float = 15.0) -> float:
    """Return the seconds until a revision is in force everywhere."""
    started = monotonic()
    while monotonic() - started < timeout_s:
        answer = call("GET", admin, "/v1/status")
        if answer.status == 200:
            status = from_json(answer.body, RulesStatus)
            if status.revision >= revision and status.in_force_everywhere:
                return monotonic() - started
        sleep(POLL_S)
    raise TimeoutError(f"revision {revision} is not in force after {timeout_s} s")
