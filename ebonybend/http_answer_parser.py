"""Parse answers strictly by the grammar of HTTP/1.1, for every reader of answers.

The rules are those of RFC 9112 and RFC 9110. Where they let a recipient choose between
a repair and a refusal, the answer is refused, unless all recipients read it alike.
"""

import re

from twisted.web._newclient import STATUS, HTTPClientParser

# Limit on the head of an answer, together with interim answers before it.
MAX_HEAD_BYTES = 64 << 10
# The reason may be missing, with or without the blank before it.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*)?")
# A folded line begins with a blank, so it doesn't match.
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")


class MalformedAnswer(Exception):
    """Received bytes are not an answer by the grammar."""


class HeadTooLarge(Exception):
    """The head of an answer is over a limit."""


def _check_field_line(line: bytes) -> None:
    if not FIELD_LINE.fullmatch(line):
        raise MalformedAnswer(f"field line {line[:100]!r}")


class AnswerParser(HTTPClientParser):
    """Parse one final answer, and skip the interim ones before it.

    Raises MalformedAnswer; the parser can't be used after that.
    """

    def lineReceived(self, line: bytes) -> None:
        """Check and parse a line of a head."""
        content = line.removesuffix(b"\r")
        if self.state == STATUS:
            if not STATUS_LINE.fullmatch(content):
                raise MalformedAnswer(f"status line {content[:100]!r}")
        elif content:
            _check_field_line(content)
        super().lineReceived(line)
