"""Answers outside the grammar of HTTP/1.1, and odd answers within it.

Each entry of the tables turns a complete answer, framed by its length, into another
one. A reader that ignores what is wrong with a broken one would still deliver it.
"""

from collections.abc import Callable
from types import MappingProxyType

from attrs import evolve, frozen

CRLF = b"\r\n"
HEAD_END = CRLF * 2


@frozen
class AnswerParts:
    """The parts of an answer; fields are lines without their ends."""

    status_line: bytes
    fields: tuple[bytes, ...]
    body: bytes

    def encode(self) -> bytes:
        """Return the answer's bytes."""
        return CRLF.join((self.status_line, *self.fields)) + HEAD_END + self.body

    def without(self, name: bytes) -> "AnswerParts":
        """Return the answer without the fields of a name."""
        prefix = name.lower() + b":"
        kept = (line for line in self.fields if not line.lower().startswith(prefix))
        return evolve(self, fields=tuple(kept))


def split_answer(answer: bytes) -> AnswerParts:
    """Return the parts of a well-formed answer."""
    head, _, body = answer.partition(HEAD_END)
    status_line, *fields = head.split(CRLF)
    return AnswerParts(status_line, tuple(fields), body)


AnswerChange = Callable[[bytes], bytes]


def _replace_status(status: bytes) -> AnswerChange:
    """Return a change of the status line's second part."""
    return _replace_status_line(b"HTTP/1.1 %s OK" % status)


def _replace_status_line(line: bytes) -> AnswerChange:
    return lambda answer: evolve(split_answer(answer), status_line=line).encode()


def _insert_line(line: bytes, at: int = 1) -> AnswerChange:
    """Return a change that adds a line after a number of fields."""

    def change(answer: bytes) -> bytes:
        parts = split_answer(answer)
        fields = (*parts.fields[:at], line, *parts.fields[at:])
        return evolve(parts, fields=fields).encode()

    return change


def _replace_framing(*lines: bytes, body: bytes | None = None) -> AnswerChange:
    """Return a change of the length, and maybe of the body."""

    def change(answer: bytes) -> bytes:
        parts = split_answer(answer).without(b"Content-Length")
        body_bytes = parts.body if body is None else body
        size = b"%d" % len(parts.body)
        fields = parts.fields + tuple(line.replace(b"SIZE", size) for line in lines)
        return evolve(parts, fields=fields, body=body_bytes).encode()

    return change


def _chunk(
    size: bytes = b"SIZE", end: bytes = CRLF, last: bytes = b"0\r\n\r\n"
) -> AnswerChange:
    """Return a change to a body of one chunk."""

    def change(answer: bytes) -> bytes:
        parts = split_answer(answer).without(b"Content-Length")
        size_line = size.replace(b"SIZE", b"%x" % len(parts.body))
        return evolve(
            parts,
            fields=(*parts.fields, b"Transfer-Encoding: chunked"),
            body=size_line + CRLF + parts.body + end + last,
        ).encode()

    return change


def _prepend(data: bytes) -> AnswerChange:
    return lambda answer: data + answer


def _without_body(status: bytes, *fields: bytes) -> AnswerChange:
    """Return a change to a status that has no body, with fields that claim one."""

    def change(answer: bytes) -> bytes:
        parts = split_answer(answer).without(b"Content-Length")
        line = b"HTTP/1.1 %s No Content" % status
        return AnswerParts(line, parts.fields + fields, b"").encode()

    return change


def _change_chunked(line: bytes) -> AnswerChange:
    """Return a change to a chunked body, with one more line in the head."""

    def change(answer: bytes) -> bytes:
        size = len(split_answer(answer).body)
        return _insert_line(line.replace(b"SIZE", b"%d" % size))(_chunk()(answer))

    return change


BROKEN_STATUSES = (
    b"000",
    b"00",
    b"20",
    b"0200",
    b"2000",
    b"+200",
    b"+20",
    b"-200",
    b"2_00",
    b"20_0",
    b"099",
    b"600",
    b"999",
    b"2O0",
    b"\xb2\xb0\xb0",
    b" 200",
    b"\t200",
    b"200\t",
    b"",
)
BROKEN_VERSIONS = (
    b"HTTP/2.0",
    b"HTTP/0.9",
    b"HTTP/3",
    b"HTTP/1.",
    b"HTTP/1.10",
    b"HTTP/01.1",
    b"HTTP/+1.1",
    b"HTTP/1.1.1",
    b"http/1.1",
    b"HTTPS/1.1",
    b"\0HTTP/1.1",
    b" HTTP/1.1",
)
BROKEN_NAMES = (
    b"X Name",
    b"X\tName",
    b"X-Name ",
    b"X-Name\t",
    b" X-Name",
    b"\tX-Name",
    b"X\0Name",
    b"\0X-Name",
    b"X\x01Name",
    b"X\x0bName",
    b"X\x1bName",
    b"X\x7fName",
    b"X\rName",
    b"X\xe9Name",
    b"X(Name)",
    b'"X-Name"',
    b"",
)
BROKEN_VALUES = (
    b"a\0b",
    b"a\rb",
    b"a\r",
    b"\ra",
    b"a\x0bb",
    b"\x0c",
    b"\x1b",
    b"a\x7f",
)

BROKEN_ANSWERS: MappingProxyType[str, AnswerChange] = MappingProxyType(
    {
        **{f"status {x!r}": _replace_status(x) for x in BROKEN_STATUSES},
        **{
            f"version {x!r}": _replace_status_line(x + b" 200 OK")
            for x in BROKEN_VERSIONS
        },
        **{
            f"reason {x!r}": _replace_status_line(b"HTTP/1.1 200 " + x)
            for x in (b"a\0b", b"a\rb", b"a\r", b"a\x7f")
        },
        **{f"field name {x!r}": _insert_line(x + b": v") for x in BROKEN_NAMES},
        **{f"field value {x!r}": _insert_line(b"X-Name: " + x) for x in BROKEN_VALUES},
        "a line without a colon": _insert_line(b"X-Name"),
        "a blank line with a blank": _insert_line(b" "),
        "a folded line": _insert_line(b"  continued"),
        "a folded line after the status line": _insert_line(b"  continued", 0),
        "a folded length": _insert_line(b" Content-Length: 1", 0),
        **{
            f"length {x!r}": _replace_framing(b"Content-Length: " + x)
            for x in (b"", b"+SIZE", b"-SIZE", b"0x5", b"SIZE, 1", b"SIZE 1", b"SIZE,")
        },
        "two lengths": _replace_framing(b"Content-Length: SIZE", b"Content-Length: 1"),
        "a length and chunks": _change_chunked(b"Content-Length: SIZE"),
        "an unknown coding": _replace_framing(b"Transfer-Encoding: x", body=b""),
        "no coding": _replace_framing(b"Transfer-Encoding:", b"Content-Length: SIZE"),
        "two codings": _change_chunked(b"Transfer-Encoding: gzip"),
        "a coding after chunks": lambda answer: _chunk()(answer).replace(
            b": chunked", b": chunked\r\nTransfer-Encoding: gzip", 1
        ),
        "chunks twice": _change_chunked(b"Transfer-Encoding: chunked"),
        "chunks after another coding": _replace_framing(
            b"Transfer-Encoding: gzip, chunked", body=b"0\r\n\r\n"
        ),
        "chunks in version 1.0": lambda answer: _chunk()(answer).replace(
            b"HTTP/1.1", b"HTTP/1.0", 1
        ),
        "chunks where no body may be": _without_body(
            b"204", b"Transfer-Encoding: chunked"
        ),
        "a length where no body may be": _without_body(b"204", b"Content-Length: 5"),
        **{
            f"chunk size {x!r}": _chunk(x)
            for x in (b"+SIZE", b"-1", b"0xSIZE", b"SIZE ", b" SIZE", b"", b"SIZE;\0")
        },
        "a chunk without its end": _chunk(end=b""),
        "a chunk over its size": _chunk(end=b"x\r\n"),
        **{
            f"trailer {x!r}": _chunk(last=b"0\r\n" + x + HEAD_END)
            for x in (b"X Name: v", b"X-Name", b"X-Name: a\0b", b"HTTP/1.1 200 OK")
        },
        "another protocol after an interim answer": _prepend(
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"
        ),
        "a broken field in an interim answer": _prepend(
            b"HTTP/1.1 103 Early Hints\r\nX Name: v\r\n\r\n"
        ),
        "an interim answer with a body": _prepend(
            b"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n"
        ),
        "an empty line first": _prepend(CRLF),
    }
)

ODD_ANSWERS: MappingProxyType[str, AnswerChange] = MappingProxyType(
    {
        "unchanged": lambda answer: answer,
        "no reason": _replace_status_line(b"HTTP/1.1 200"),
        "an empty reason": _replace_status_line(b"HTTP/1.1 200 "),
        "an odd reason": _replace_status_line(b"HTTP/1.1 200 \tall  w\xe9ll: 1 "),
        "version 1.0": _replace_status_line(b"HTTP/1.0 200 OK"),
        "a later minor version": _replace_status_line(b"HTTP/1.2 200 OK"),
        "unusual names": _insert_line(b"!#$%&'*+-.^_`|~09azAZ: v"),
        "bytes over 0x7f in a value": _insert_line(b"X-Name: \x80\xe9\xff"),
        "an empty value": _insert_line(b"X-Name:"),
        "blanks around a value": _insert_line(b"X-Name: \t a\tb  "),
        "line ends without CR": lambda answer: (
            answer.partition(HEAD_END)[0].replace(CRLF, b"\n")
            + b"\n\n"
            + split_answer(answer).body
        ),
        "equal lengths": _replace_framing(
            b"Content-Length: SIZE", b"content-length: SIZE"
        ),
        "equal lengths in a list": _replace_framing(b"Content-Length: SIZE, SIZE"),
        "a length with zeros": _replace_framing(b"Content-Length: 000SIZE"),
        "chunks": _chunk(),
        "chunk extensions": _chunk(b'00SIZE;a;b=c;d="e f"'),
        "trailers": _chunk(last=b"0;x\r\nX-Name: v\r\nX-Other:\r\n\r\n"),
        "an interim answer": _prepend(b"HTTP/1.1 100 Continue\r\n\r\n"),
        "interim answers": _prepend(
            b"HTTP/1.1 102\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Name: v\r\n"
            b"Content-Length: 0\r\n\r\n"
        ),
    }
)
