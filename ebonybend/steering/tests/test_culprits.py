from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.steering.culprits import content_of, find_culprits, identify


class CulpritTest(TestWithScenarios, TestCase):
    """Guards against a culprit that is cleared, or a neighbour that is refused."""

    scenarios = [
        ("none", {"crashes": {}, "culprits": ""}),
        ("one", {"crashes": {"a-1": "xyz"}, "culprits": "a-1"}),
        ("a neighbour", {"crashes": {"a-1": "wxyz", "b-1": "xyz"}, "culprits": "a-1"}),
        ("alike", {"crashes": {"a-1": "xyz", "b-1": "xyz"}, "culprits": "a-1 b-1"}),
        (
            "a crash of its own",
            {"crashes": {"a-1": "wxyz", "b-1": "xyu"}, "culprits": "a-1 b-1"},
        ),
        (
            "beside two culprits",
            {
                "crashes": {"a-1": "stuv", "b-1": "wxyz", "c-1": "tuw"},
                "culprits": "a-1 b-1",
            },
        ),
        (
            "beside one that is excused",
            {
                "crashes": {"a-1": "wxyz", "b-1": "xyz"},
                "excused": "a-1",
                "culprits": "b-1",
            },
        ),
        (
            "content of one caller",
            {"crashes": {"a-1": "xyz", "a": "xyz"}, "culprits": "a-1"},
        ),
        (
            "content of several callers",
            {"crashes": {"a-1": "xyz", "a": "wxyz"}, "culprits": "a-1 a"},
        ),
        ("content alone", {"crashes": {"a": "xyz"}, "culprits": "a"}),
    ]
    excused = ""

    def test_culprits(self):
        found = find_culprits(self.crashes, self.excused.split().__contains__)
        self.assertEqual(set(self.culprits.split()), found)

    def test_content(self):
        identity = identify(b"GET", "h", b"/x", b"body", "10.9.0.1")
        other = identify(b"GET", "h", b"/x", b"body", "10.9.0.2")
        self.assertNotEqual(identity, other)
        self.assertEqual(content_of(identity), content_of(other))
        self.assertEqual(content_of(identity), content_of(content_of(identity)))
