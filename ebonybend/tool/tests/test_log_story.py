from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.codec import to_json
from ebonybend.tool.log_story import find_story, parse_event
from ebonybend.tool.tests.test_tool import ToolCase

REQUEST = "507cdc09a6bc31b0"


def line(second, instance, event, **fields):
    timestamp = f"2026-12-04T10:00:{second:02}.000000Z"
    values = {**fields, "event": event, "instance": instance, "timestamp": timestamp}
    return to_json(values).decode()


ENDED = line(
    20,
    "n1",
    "request_ended",
    request_id=REQUEST,
    status=502,
    service="history",
    server="s1",
)
LINES = (
    line(1, "n1", "config_in_force", version=1),
    line(5, "n1", "config_in_force", version=2),
    line(6, "n2", "config_in_force", version=3),
    line(7, "n1", "watch_failed", kind="servers"),
    line(8, "n1", "region_shares", service="other"),
    line(9, "n1", "region_shares", service="history"),
    line(9, "n1", "server_left_out", server="s1"),
    line(11, "n1", "server_left_out", server="s1"),
    line(12, "n1", "server_left_out", server="s2"),
    line(12, "n2", "server_left_out", server="s1"),
    ENDED,
    line(25, "n1", "server_gone", server="s1"),
    line(26, "n1", "config_in_force", version=4),
)


class StoryTest(TestCase):
    """Guards against a story without its cause, or with another request's."""

    def test_story(self):
        story = find_story([*reversed(LINES), "not JSON {", "", "[1]"], REQUEST)
        self.assertEqual([502], [e.fields["status"] for e in story.attempts])
        expected = [
            ("config_in_force", 5),
            ("watch_failed", 7),
            ("region_shares", 9),
            ("server_left_out", 11),
            ("server_gone", 25),
        ]
        self.assertEqual(expected, [(e.event, e.at.second) for e in story.context])

    def test_attempts_on_two_nodes(self):
        again = ENDED.replace('"n1"', '"n2"').replace("00:20", "00:21")
        story = find_story([*LINES, again], REQUEST)
        self.assertEqual(["n1", "n2"], [e.instance for e in story.attempts])
        seen = {(e.instance, e.event) for e in story.context}
        self.assertIn(("n2", "server_left_out"), seen)


class ParseTest(TestWithScenarios, TestCase):
    """Guards against output of other programs between the lines of a log."""

    scenarios = [
        ("plain", {"text": ENDED, "instance": "n1"}),
        ("with a prefix", {"text": f"  20.0000 n1 {ENDED}", "instance": "n1"}),
        ("text", {"text": "Traceback (most recent call last):", "instance": None}),
        ("other JSON", {"text": '{"timestamp": 1}', "instance": None}),
        ("cut off", {"text": ENDED[:-4], "instance": None}),
        ("a list", {"text": "[{}]", "instance": None}),
    ]

    def test_instance(self):
        event = parse_event(self.text)
        self.assertEqual(self.instance, event and event.instance)


class TraceVerbTest(ToolCase):
    """Guards against a story that does not reach the reader."""

    def test_story_is_printed(self):
        path = self.write("\n".join(LINES))
        status, text, _ = self.run_tool("trace", path, f"--request={REQUEST}")
        self.assertEqual(0, status)
        self.assertIn("n1 request_ended status=502 service=history server=s1", text)
        self.assertIn("n1 server_left_out server=s1", text)
        self.assertNotIn("server=s2", text)

    def test_unknown_request(self):
        path = self.write("\n".join(LINES))
        status, text, _ = self.run_tool("trace", path, "--request=0")
        self.assertEqual(1, status)
        self.assertIn("no line about request 0", text)

    def test_request_is_needed(self):
        status, _, error = self.run_tool("trace", self.write(""))
        self.assertEqual(2, status)
        self.assertIn("--request", error)
