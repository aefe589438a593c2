"""Read rules files and other files given by operators."""

import sys
from pathlib import Path

from attrs import frozen

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules.parse import REVISION_HEADER
from ebonybend.tool.options import usage_error


@frozen
class RulesFile:
    """A rules text without the header line that `show` writes."""

    text: str
    # Revision in the header line, or None without one.
    revision: int | None
    # Number of lines removed before the text.
    header_lines: int


def read_text(name: str) -> str:
    """Return a file's text, or that of stdin for "-"; raise SteeringError on error."""
    try:
        data = sys.stdin.buffer.read() if name == "-" else Path(name).read_bytes()
    except OSError as error:
        raise usage_error(f"can't read {name}: {error.strerror}") from error
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        message = f"{name} is not UTF-8: byte {error.start}"
        raise SteeringError(ErrorKind.INVALID_RULES, message) from error


def split_header(text: str) -> RulesFile:
    """Split a rules text from the header line that states its revision."""
    first_line, _, rest = text.removeprefix("\ufeff").partition("\n")
    match = REVISION_HEADER.fullmatch(first_line.strip())
    if match is None:
        return RulesFile(text, None, 0)
    return RulesFile(rest, int(match[1]), 1)


def add_header(text: str, revision: int) -> str:
    """Return the text below a header line that states its revision."""
    return f"# revision: {revision}\n{text}"
