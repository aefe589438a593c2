"""Split JSON text into its parts without decoding them.

Decoders reject a whole text because of one value in it, such as one that is nested too
deeply. The parts of the text can then be decoded one by one.
"""

import re

# Strings, and the characters that structure a text; all others belong to scalars.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def split_array(data: bytes) -> list[bytes]:
    """Return the elements of an array; raise ValueError if the text is none."""
    return [data[start:end].strip() for start, end in _ranges(data, b"[")]


def split_object(data: bytes) -> dict[str, bytes]:
    """Return the members of an object; raise ValueError if the text is none."""
    members = {}
    for start, end in _ranges(data, b"{"):
        name = _TOKEN.search(data, start, end)
        colon = name and _TOKEN.search(data, name.end(), end)
        if not colon or colon.group() != b":" or not name.group().startswith(b'"'):
            raise ValueError("a member of the object has no name")
        text = name.group()[1:-1].decode("utf-8", "replace")
        members[text] = data[colon.end() : end].strip()
    return members


def _ranges(data: bytes, opening: bytes) -> list[tuple[int, int]]:
    """Return the start and end of each part between commas at the first level."""
    ranges: list[tuple[int, int]] = []
    depth, start = 0, 0
    for token in _TOKEN.finditer(data):
        text = token.group()
        if not depth and (text != opening or data[: token.start()].strip()):
            break
        if text in _OPENING:
            depth += 1
            if depth == 1:
                start = token.end()
        elif text in _CLOSING:
            depth -= 1
        is_end = not depth
        if is_end or (depth == 1 and text == b","):
            ranges.append((start, token.start()))
            start = token.end()
        if is_end:
            if data[token.end() :].strip():
                break
            only = ranges[0]
            is_empty = len(ranges) == 1 and not data[only[0] : only[1]].strip()
            return [] if is_empty else ranges
    raise ValueError("the text is no whole array or object")
