import json

from hypothesis import given
from hypothesis import strategies as st
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.json_scan import split_array, split_object
from ebonybend.tests.profile import REPEATABLE

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=20,
)
DEPTH = 100_000


class RoundTripTest(TestCase):
    """Guards against parts of a text that are cut in the wrong places."""

    @REPEATABLE
    @given(st.lists(VALUES), st.sampled_from([None, 2]), st.booleans())
    def test_array(self, value, indent, ascii_only):
        text = json.dumps(value, indent=indent, ensure_ascii=ascii_only)
        parts = split_array(text.encode("utf-8", "surrogatepass"))
        self.assertEqual(value, [json.loads(part) for part in parts])

    @REPEATABLE
    @given(st.dictionaries(st.text(st.characters(codec="ascii")), VALUES))
    def test_object(self, value):
        members = split_object(json.dumps(value).encode())
        names = {json.loads(f'"{name}"') for name in members}
        self.assertEqual(set(value), names)
        for name, part in members.items():
            self.assertEqual(value[json.loads(f'"{name}"')], json.loads(part))

    @REPEATABLE
    @given(st.binary(max_size=60))
    def test_any_bytes(self, data):
        for split in (split_array, split_object):
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
        parts = split_array(b' [1, %s ,{"a":[2,3]}] ' % self.odd)
        self.assertEqual([b"1", self.odd, b'{"a":[2,3]}'], parts)

    def test_object(self):
        members = split_object(b'{"a" : 1, "odd":%s,"b":{"c":2}}' % self.odd)
        self.assertEqual({"a": b"1", "odd": self.odd, "b": b'{"c":2}'}, members)


class MalformedTest(TestWithScenarios, TestCase):
    """Guards against a broken text that is taken for a whole one."""

    scenarios = [
        (text.decode() or "empty", {"text": text})
        for text in (b"", b"1", b"[1", b"[1]]", b"[1] 2", b"x[1]", b'{"a":1', b"{1:2}")
    ]

    def test_is_refused(self):
        for split in (split_array, split_object):
            self.assertRaises(ValueError, split, self.text)
