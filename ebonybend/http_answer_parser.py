"""Parse answers strictly by the grammar of HTTP/1.1, for every reader of answers.

The rules are those of RFC 9112 and RFC 9110. Where they let a recipient choose between
a repair and a refusal, the answer is refused, unless all recipients read it alike.
"""

import re
from collections.abc import Callable
from typing import Self

from attrs import define
from twisted.web._newclient import STATUS, HTTPClientParser, _contentLength
from twisted.web.http import (
    NO_CONTENT,
    SWITCHING,
    _ChunkedTransferDecoder,
    _MalformedChunkedDataError,
)

# Limit on the head of an answer, together with interim answers before it.
MAX_HEAD_BYTES = 64 << 10
# The reason may be missing, with or without the blank before it.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*)?")
# A folded line begins with a blank, so it doesn't match.
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*")
MIN_FINAL_STATUS = 200


class MalformedAnswer(Exception):
    """Received bytes are not an answer by the grammar."""


class HeadTooLarge(Exception):
    """The head of an answer is over a limit."""


def _check_field_line(line: bytes) -> None:
    if not FIELD_LINE.fullmatch(line):
        raise MalformedAnswer(f"field line {line[:100]!r}")


@define
class _SentRequest:
    """The attributes of a request that the library's parser reads."""

    method: bytes
    absoluteURI: None = None  # noqa: N815
    headers: None = None


class _NoFlowControl:
    """A transport for a parser whose owner reads and closes the connection."""

    disconnecting = False

    def pauseProducing(self) -> None:
        """Do nothing; bodies are read as they arrive."""

    def resumeProducing(self) -> None:
        """Do nothing; bodies are read as they arrive."""

    def loseConnection(self) -> None:
        """Do nothing; the owner closes the connection."""


class _ChunkedDecoder(_ChunkedTransferDecoder):
    """Decode a chunked body, and check its trailers."""

    def _dataReceived_TRAILER(self) -> bool:  # noqa: N802
        known = len(self._trailerHeaders)
        has_more = super()._dataReceived_TRAILER()
        for line in self._trailerHeaders[known:]:
            _check_field_line(bytes(line))
        return has_more


class AnswerParser(HTTPClientParser):
    """Parse one final answer, and skip the interim ones before it.

    Raises MalformedAnswer or HeadTooLarge; the parser can't be used after that.
    """

    _transferDecoders = {b"chunked": _ChunkedDecoder}  # noqa: N815

    @classmethod
    def without_transport(
        cls, method: bytes, on_parsed: Callable[[bytes], None]
    ) -> Self:
        """Return a parser of the answer to a request with a method.

        on_parsed is called with the bytes behind the answer once that is complete.
        """
        parser = cls(_SentRequest(method), on_parsed)
        parser.makeConnection(_NoFlowControl())
        return parser

    def lineReceived(self, line: bytes) -> None:
        """Check and parse a line of a head."""
        content = line.removesuffix(b"\r")
        if self.state == STATUS:
            if not STATUS_LINE.fullmatch(content):
                raise MalformedAnswer(f"status line {content[:100]!r}")
        elif content:
            _check_field_line(content)
        super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Refuse a line that the parser would drop, and read on behind it."""
        raise HeadTooLarge(f"line over {self.MAX_LENGTH} bytes")

    def allHeadersReceived(self) -> None:
        """Check how the body is framed, and prepare to read it."""
        self._check_framing()
        super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Decode bytes of the body."""
        try:
            super().rawDataReceived(data)
        except _MalformedChunkedDataError as error:
            raise MalformedAnswer(str(error)) from error

    def _check_framing(self) -> None:
        """Refuse an answer whose length recipients may understand in several ways."""
        status = self.response.code
        has_no_body = status < MIN_FINAL_STATUS or status == NO_CONTENT
        length = self._content_length()
        if status == SWITCHING:
            raise MalformedAnswer("another protocol, which no request asked for")
        if has_no_body and length:
            raise MalformedAnswer(f"status {status} with a body of {length} bytes")
        codings = self.connHeaders.getRawHeaders(b"Transfer-Encoding")
        if codings is None:
            return
        if len(codings) != 1 or codings[0].lower() not in self._transferDecoders:
            raise MalformedAnswer(f"transfer codings {codings!r}")
        if length is not None:
            raise MalformedAnswer("both a length and a transfer coding")
        if has_no_body:
            raise MalformedAnswer(f"status {status} with a transfer coding")
        if self.response.version == (b"HTTP", 1, 0):
            raise MalformedAnswer("a transfer coding in HTTP/1.0")

    def _content_length(self) -> int | None:
        # In an answer to HEAD, the length isn't among the connection's fields.
        is_head = self.request.method == b"HEAD"
        try:
            return _contentLength(self.headers if is_head else self.connHeaders)
        except ValueError as error:
            raise MalformedAnswer(str(error)) from error
