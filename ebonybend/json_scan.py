"""Split JSON text into its parts without decoding them.

Decoders reject a whole text because of one value in it, such as one that is nested too
deeply. The parts of the text can then be decoded one by one.

The text comes from other writers, so its size and nesting are theirs to choose. It is
scanned in chunks, each in one step. Python code runs once for each part and each chunk,
not for each character or bracket; only built-in functions see those.
"""

import re
from itertools import accumulate

from attrs import frozen

from ebonybend.steps import Steps

# Bytes that one step scans, about a millisecond of work.
CHUNK_BYTES = 16_384
# Rounds in which pairs of brackets are removed from a chunk; deeper nesting is rare.
PAIR_ROUNDS = 8
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)
_COLON = re.compile(rb"\s*:")
_SPACE = re.compile(rb"\s*")
_STRUCTURE = re.compile(rb"[\[\]{},]")
_OPENING, _CLOSING = b"[{", b"]}"
_NO_BRACKETS = bytes(x for x in range(256) if x not in _OPENING + _CLOSING)
# Change of the nesting depth at each byte, as a signed byte.
_DEPTH_CHANGES = bytes(
    1 if byte in _OPENING else 255 if byte in _CLOSING else 0 for byte in range(256)
)


@frozen
class JsonText:
    """A JSON text, and one of the same length without quotes and strings."""

    data: bytes
    masked: bytes

    def part(self, start: int, end: int) -> "JsonText":
        """Return the text between two positions without the space around it."""
        start = _SPACE.match(self.data, start, end).end()
        end = start + len(self.data[start:end].rstrip())
        return JsonText(self.data[start:end], self.masked[start:end])


def scan(data: bytes) -> Steps[JsonText]:
    """Return a text to be split."""
    mask = _StringMask()
    chunks = []
    for start in range(0, len(data), CHUNK_BYTES):
        chunks.append(mask.apply(data[start : start + CHUNK_BYTES]))
        yield
    return JsonText(data, b"".join(chunks))


def split_array(text: JsonText) -> Steps[list[JsonText]]:
    """Return the elements of an array; raise ValueError if the text is none."""
    ranges = yield from _ranges(text, b"[")
    return [text.part(start, end) for start, end in ranges]


def split_object(text: JsonText) -> Steps[dict[str, JsonText]]:
    """Return the members of an object; raise ValueError if the text is none."""
    ranges = yield from _ranges(text, b"{")
    members = {}
    for start, end in ranges:
        first = _SPACE.match(text.data, start, end).end()
        name = _STRING.match(text.data, first, end)
        colon = name and _COLON.match(text.data, name.end(), end)
        if not colon:
            raise ValueError("a member of the object has no name")
        key = name.group()[1:-1].decode("utf-8", "replace")
        members[key] = text.part(colon.end(), end)
    return members


class _StringMask:
    """Replace quotes and strings in a text whose chunks are given in order."""

    def __init__(self) -> None:
        self.in_string = False
        # Whether the next character follows a backslash.
        self.escaped = False

    def apply(self, chunk: bytes) -> bytes:
        """Return a chunk of the same length without quotes and strings."""
        if self.escaped:
            chunk = b"_" + chunk[1:]
        backslashes = len(chunk) - len(chunk.rstrip(b"\\"))
        self.escaped = backslashes % 2 == 1
        text = chunk.replace(b"\\\\", b"__").replace(b'\\"', b"__")
        parts = text.split(b'"')
        first = 0 if self.in_string else 1
        parts[first::2] = map(bytes, map(len, parts[first::2]))
        self.in_string ^= len(parts) % 2 == 0
        return b"_".join(parts)


def _ranges(text: JsonText, opening: bytes) -> Steps[list[tuple[int, int]]]:
    """Return the start and end of each part between commas at the first level."""
    data, masked = text.data, text.masked
    first = _SPACE.match(data).end()
    if data[first : first + 1] != opening:
        raise ValueError("the text is no array or object")
    ranges: list[tuple[int, int]] = []
    depth, part_start = 1, first + 1
    for chunk_start in range(first + 1, len(data), CHUNK_BYTES):
        yield
        chunk = masked[chunk_start : chunk_start + CHUNK_BYTES]
        lowest, end_depth = _depth_bounds(chunk, depth)
        if lowest > 1:
            depth = end_depth
            continue
        depths = _depths(chunk, depth)
        for position in _first_level(chunk, depths, depth):
            at = chunk_start + position
            ranges.append((part_start, at))
            part_start = at + 1
            if depths[position] == 0:
                if _SPACE.match(data, part_start).end() != len(data):
                    raise ValueError("text follows the array or object")
                only_start, only_end = ranges[0]
                is_blank = not data[only_start:only_end].strip()
                return [] if len(ranges) == 1 and is_blank else ranges
        depth = depths[-1]
    raise ValueError("the text is no whole array or object")


def _depth_bounds(chunk: bytes, depth: int) -> tuple[int, int]:
    """Return a lower bound of the depths in a chunk, and the depth at its end."""
    brackets = chunk.translate(None, _NO_BRACKETS)
    for _ in range(PAIR_ROUNDS):
        if depth - _count(brackets, _CLOSING) > 1:
            break
        shorter = brackets.replace(b"[]", b"").replace(b"{}", b"")
        if len(shorter) == len(brackets):
            break
        brackets = shorter
    closings = _count(brackets, _CLOSING)
    return depth - closings, depth + _count(brackets, _OPENING) - closings


def _count(text: bytes, characters: bytes) -> int:
    return sum(map(text.count, characters))


def _depths(chunk: bytes, depth: int) -> list[int]:
    """Return the depth after each byte of a chunk that begins at a depth."""
    changes = memoryview(chunk.translate(_DEPTH_CHANGES)).cast("b")
    return list(accumulate(changes, initial=depth))[1:]


def _first_level(chunk: bytes, depths: list[int], depth: int) -> list[int]:
    """Return the positions of commas at depth 1, and that of the closing bracket."""
    found: list[int] = []
    position = 0
    while True:
        if depth > 1:
            try:
                position = depths.index(1, position) + 1
            except ValueError:
                return found
        token = _STRUCTURE.search(chunk, position)
        if token is None:
            return found
        depth = depths[token.start()]
        position = token.end()
        if depth <= 1:
            found.append(token.start())
        if depth == 0:
            return found
