import json
import sys

from hypothesis import given
from hypothesis import strategies as st
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend import json_scan
from ebonybend.json_scan import CHUNK_BYTES, scan, split_array, split_object
from ebonybend.steps import complete
from ebonybend.tests.profile import REPEATABLE

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
DEPTH = 100_000


def array_parts(data):
    """Return the elements of an array."""
    return [part.data for part in complete(split_array(complete(scan(data))))]


def object_parts(data):
    """Return the members of an object."""
    members = complete(split_object(complete(scan(data))))
    return {name: part.data for name, part in members.items()}


class RoundTripTest(TestCase):
    """Guards against parts of a text that are cut in the wrong places."""

    @REPEATABLE
    @given(st.lists(VALUES), st.sampled_from([None, 2]), st.booleans())
    def test_array(self, value, indent, ascii_only):
        text = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
        parts = array_parts(text.encode("utf-8", "surrogatepass"))
        self.assertEqual(value, [json.loads(part) for part in parts])

    @REPEATABLE
    @given(st.dictionaries(st.text(st.characters(codec="ascii")), VALUES))
    def test_object(self, value):
        members = object_parts(json.dumps(value).encode())
        names = {json.loads(f'"{name}"') for name in members}
        self.assertEqual(set(value), names)
        for name, part in members.items():
            self.assertEqual(value[json.loads(f'"{name}"')], json.loads(part))

    @REPEATABLE
    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        for split in (array_parts, object_parts):
            try:
                split(data)
            except ValueError:
                continue


class OddTextTest(TestWithScenarios, TestCase):
    """Guards against one value that makes the others unreadable."""

    scenarios = [
        ("nested", {"odd": b"[" * DEPTH + b"]" * DEPTH}),
        ("nested objects", {"odd": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH}),
        ("surrogate", {"odd": b'"\\ud800"'}),
        ("brackets and commas in a text", {"odd": b'"],}\\"[{"'}),
        ("bytes that are no text", {"odd": b'"\xff\xfe"'}),
        ("number of many digits", {"odd": b"1" * 10_000}),
    ]

    def test_array(self):
        parts = array_parts(b' [1, %s ,{"a":[2,3]}] ' % self.odd)
        self.assertEqual([b"1", self.odd, b'{"a":[2,3]}'], parts)

    def test_object(self):
        text = b'{"a" : 1, "odd":%s,"b":{"c":2}}' % self.odd
        members = object_parts(text)
        self.assertEqual({"a": b"1", "odd": self.odd, "b": b'{"c":2}'}, members)


class MalformedTest(TestWithScenarios, TestCase):
    """Guards against a broken text that is taken for a whole one."""

    scenarios = [
        (text.decode() or "empty", {"text": text})
        for text in (b"", b"1", b"[1", b"[1]]", b"[1] 2", b"x[1]", b'{"a":1', b"{1:2}")
    ]

    def test_is_refused(self):
        for split in (array_parts, object_parts):
            self.assertRaises(ValueError, split, self.text)


SIZE = 200_000


def filled(start, repeated, end):
    """Return a text that repeats a part up to a size."""
    return start + repeated * (SIZE // len(repeated)) + end


OBJECTS = b'{"a":' * (SIZE // 5) + b"1" + b"}" * (SIZE // 5)


class StepCostTest(TestWithScenarios, TestCase):
    """Guards against an odd value whose size stops the event loop."""

    scenarios = [
        ("lists within lists", {"odd": filled(b"", b"[", b"]" * SIZE)}),
        ("objects within objects", {"odd": OBJECTS}),
        ("many lists", {"odd": filled(b"[", b"[],", b"1]")}),
        ("many strings", {"odd": filled(b"[", b'"",', b"1]")}),
        ("many numbers", {"odd": filled(b"[", b"1,", b"1]")}),
        ("many short lists", {"odd": filled(b"[", b"[[[[1]]]],", b"1]")}),
        ("escaped quotes", {"odd": filled(b'"', b'\\"', b'"')}),
        ("backslashes", {"odd": filled(b'"', b"\\\\", b'"')}),
        ("one long string", {"odd": filled(b'"', b"[", b'"')}),
        ("spaces", {"odd": filled(b"", b" ", b"1")}),
    ]
    # Interpreted lines for a chunk in which three parts end.
    MAX_LINES = 150

    def lines_by_step(self, steps):
        """Return the number of interpreted lines of the scanner in each step."""
        count, counts = 0, []

        def trace(frame, event, _argument):
            nonlocal count
            if frame.f_code.co_filename != json_scan.__file__:
                return None
            count += event == "line"
            return trace

        previous = sys.gettrace()
        sys.settrace(trace)
        try:
            for _ in steps:
                counts.append(count)
                count = 0
        finally:
            sys.settrace(previous)
        return [*counts, count]

    def test_interpreted_lines_in_each_step(self):
        for name, split, text in (
            ("array", split_array, b"[1,%s,2]"),
            ("object", split_object, b'{"a":1,"b":%s,"c":2}'),
        ):
            data = text % self.odd
            lines = self.lines_by_step(scan(data))
            lines += self.lines_by_step(split(complete(scan(data))))
            self.assertLessEqual(2 * (len(data) // CHUNK_BYTES), len(lines), name)
            self.assertLessEqual(max(lines), self.MAX_LINES, name)
