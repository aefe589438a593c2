"""HTTP answers, how they fail to arrive, and the parser that receives them."""

from collections.abc import Mapping

from attrs import frozen

MAX_HEAD_BYTES = 64 << 10
HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
# Longest line of a chunk's size with its extensions.
MAX_CHUNK_LINE_BYTES = 1024
NO_BODY_STATUSES = frozenset({204, 304})


@frozen
class HttpAnswer:
    """A whole answer."""

    status: int
    # Names are in lower case; of a repeated header the last value counts.
    headers: Mapping[str, str]
    body: bytes

    def header(self, name: str) -> str | None:
        """Return the last value of a header, or None."""
        return self.headers.get(name.lower())


class RequestFailed(Exception):
    """A request that got no whole answer."""


class NotSent(RequestFailed):
    """No byte of the request left this process."""

    def __init__(self, message: str, refused: bool = False):
        super().__init__(message)
        # The port refused the connection, so no process listens on it.
        self.refused = refused


class SendTooLate(NotSent):
    """The connection was ready only after the request was to be sent."""


class AnswerLost(RequestFailed):
    """The connection ended, or broke HTTP, after the request may have been received."""


class AnswerTimeout(RequestFailed):
    """No whole answer came in time; the request may run."""


class AnswerTooLarge(RequestFailed):
    """The answer's body is over the limit."""


class AnswerParser:
    """Receive the bytes of one answer.

    A body that ends with the connection is refused: without a length or chunks a
    truncated body can't be told from a whole one.
    """

    def __init__(self, has_body: bool, max_body: int):
        self.has_body = has_body
        self.max_body = max_body
        self.received = 0
        self.status = 0
        self.headers: dict[str, str] = {}
        self.keeps_connection = False
        self._buffer = bytearray()
        self._expected: int | None = None
        self._chunked = False
        self._in_trailer = False
        self._body = bytearray()

    def feed(self, data: bytes) -> HttpAnswer | None:
        """Take bytes; return the answer once it is whole.

        Raise AnswerLost for what is no HTTP and AnswerTooLarge over the limit.
        """
        self.received += len(data)
        self._buffer += data
        if not self.status and not self._parse_head():
            return None
        if self._chunked:
            return self._whole() if self._parse_chunks() else None
        if len(self._buffer) < self._expected:
            return None
        self._body = self._buffer[: self._expected]
        del self._buffer[: self._expected]
        return self._whole()

    def _whole(self) -> HttpAnswer:
        if self._buffer:
            # Bytes after the answer belong to no request.
            self.keeps_connection = False
        return HttpAnswer(self.status, self.headers, bytes(self._body))

    def _parse_head(self) -> bool:
        """Parse the status line and the headers; return whether they are complete."""
        while True:
            end = self._buffer.find(HEAD_END)
            if end > MAX_HEAD_BYTES or (end < 0 and len(self._buffer) > MAX_HEAD_BYTES):
                raise AnswerLost(f"headers over {MAX_HEAD_BYTES} bytes")
            if end < 0:
                return False
            head = self._buffer[:end].decode("utf-8", "replace")
            del self._buffer[: end + len(HEAD_END)]
            status = self._parse_lines(head.split("\r\n"))
            # An interim answer is followed by the final one.
            if status >= 200:
                self.status = status
                self._choose_framing()
                return True

    def _parse_lines(self, lines: list[str]) -> int:
        version, _, rest = lines[0].partition(" ")
        code = rest[:3]
        if version not in ("HTTP/1.1", "HTTP/1.0") or not _is_digits(code):
            raise AnswerLost(f"no HTTP answer: {lines[0][:40]!r}")
        if code == "101" or code < "100":
            raise AnswerLost(f"unexpected status {code}")
        headers: dict[str, str] = {}
        for line in lines[1:]:
            name, colon, value = line.partition(":")
            if not colon or not name or name != name.strip():
                raise AnswerLost(f"malformed header {line[:40]!r}")
            name, value = name.lower(), value.strip()
            if name == "content-length" and headers.get(name, value) != value:
                raise AnswerLost("two different lengths")
            headers[name] = value
        self.headers = headers
        connection = headers.get("connection", "").lower()
        if version == "HTTP/1.1":
            self.keeps_connection = "close" not in connection
        else:
            self.keeps_connection = "keep-alive" in connection
        return int(code)

    def _choose_framing(self) -> None:
        coding = self.headers.get("transfer-encoding")
        length = self.headers.get("content-length")
        if not self.has_body or self.status in NO_BODY_STATUSES:
            self._expected = 0
        elif coding is not None:
            if coding.lower() != "chunked":
                raise AnswerLost(f"unknown transfer coding {coding[:40]!r}")
            self._chunked = True
        elif length is None:
            raise AnswerLost("the answer has no length")
        elif not _is_digits(length):
            raise AnswerLost(f"malformed length {length[:40]!r}")
        else:
            self._expected = int(length)
            self._check_size(self._expected)

    def _check_size(self, size: int) -> None:
        if size > self.max_body:
            raise AnswerTooLarge(f"answer over {self.max_body} bytes")

    def _parse_chunks(self) -> bool:
        """Move whole chunks to the body; return whether the last one was received."""
        while True:
            end = self._buffer.find(LINE_END)
            if end < 0:
                if len(self._buffer) > MAX_CHUNK_LINE_BYTES:
                    raise AnswerLost("malformed chunk")
                return False
            if self._in_trailer:
                del self._buffer[: end + 2]
                if end == 0:
                    return True
                continue
            size = self._chunk_size(end)
            if size == 0:
                del self._buffer[: end + 2]
                self._in_trailer = True
                continue
            after = end + 2 + size
            if len(self._buffer) < after + 2:
                return False
            if self._buffer[after : after + 2] != LINE_END:
                raise AnswerLost("malformed chunk")
            self._body += self._buffer[end + 2 : after]
            del self._buffer[: after + 2]

    def _chunk_size(self, end: int) -> int:
        text = bytes(self._buffer[:end]).partition(b";")[0].strip()
        if not text or text.strip(b"0123456789abcdefABCDEF") or len(text) > 16:
            raise AnswerLost("malformed chunk")
        size = int(text, 16)
        self._check_size(len(self._body) + size)
        return size


def _is_digits(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 18
