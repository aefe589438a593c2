from hypothesis import example, given
from hypothesis.strategies import one_of, text
from returns.result import Result
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.rules import RuleError, parse_rules, render
from ebonybend.rules.parse import MAX_RULES_BYTES
from ebonybend.rules.tests.strategies import RULE_LIKE_TEXTS, RULES
from ebonybend.tests.profile import REPEATABLE

COMMENT = "# Ben (operations): kernel update\n"
SHIFT = "shift service=s from=A to=B share=30% cap=20/s"


class RoundTripTest(TestCase):
    """Guards against a text form that loses or changes part of a rule."""

    @REPEATABLE
    @given(RULES)
    def test_rendered_rule_is_the_same(self, rule):
        self.assertEqual((rule,), parse_rules(render(rule)).unwrap())


class AnyTextTest(TestCase):
    """Guards against input that makes the parser raise."""

    @REPEATABLE
    @given(one_of(text(), RULE_LIKE_TEXTS))
    @example(COMMENT + "pardon fingerprint=" + "٣" * 32)
    @example(COMMENT + "cap from=A to=B rate=" + "9" * 5000 + "/s")
    def test_any_text_gives_a_result(self, rules_text):
        self.assertIsInstance(parse_rules(rules_text), Result)


class ErrorTest(TestWithScenarios, TestCase):
    """Guards against accepting a faulty line or reporting a wrong position."""

    scenarios = [
        ("no_comment", {"text": "drain backend=x", "at": (1, 1), "say": "comment"}),
        (
            "shared_comment",
            {
                "text": f"{COMMENT}drain backend=x\n drain backend=y",
                "at": (3, 2),
                "say": "its own comment",
            },
        ),
        (
            "blank_between",
            {"text": f"{COMMENT}\ndrain backend=x", "at": (3, 1), "say": "comment"},
        ),
        (
            "no_reason",
            {"text": "# Ben:\ndrain backend=x", "at": (2, 1), "say": "comment"},
        ),
        (
            "header_is_no_author",
            {"text": "# revision: 4\ndrain backend=x", "at": (2, 1), "say": "comment"},
        ),
        ("kind", {"text": f"{COMMENT}drian x=1", "at": (2, 1), "say": "unknown rule"}),
        ("word", {"text": f"{COMMENT}{SHIFT} now", "at": (2, 48), "say": "key=value"}),
        ("key", {"text": f"{COMMENT}{SHIFT} x=1", "at": (2, 48), "say": "no argument"}),
        (
            "twice",
            {"text": f"{COMMENT}{SHIFT} to=C", "at": (2, 48), "say": "given twice"},
        ),
        (
            "missing",
            {"text": f"{COMMENT}cap from=A to=B", "at": (2, 1), "say": "needs rate="},
        ),
        (
            "share",
            {
                "text": f"{COMMENT}shift service=s from=A to=B share=101% cap=1/s",
                "at": (2, 35),
                "say": "share",
            },
        ),
        (
            "rate",
            {
                "text": f"{COMMENT}cap from=A to=B rate=0.5/s",
                "at": (2, 22),
                "say": "whole",
            },
        ),
        (
            "until",
            {
                "text": f"{COMMENT}drain backend=x until=2026-13-01T00:00:00Z",
                "at": (2, 23),
                "say": "UTC",
            },
        ),
        (
            "both_targets",
            {
                "text": f"{COMMENT}drain instance=x backend=y",
                "at": (2, 1),
                "say": "one of",
            },
        ),
        (
            "no_weight",
            {
                "text": f"{COMMENT}weights service=s latency=0 headroom=0",
                "at": (2, 1),
                "say": "both be 0",
            },
        ),
        (
            "same_region",
            {"text": f"{COMMENT}cap from=A to=A rate=1/s", "at": (2, 1), "say": "same"},
        ),
        (
            "duplicate",
            {
                "text": f"{COMMENT}drain backend=x\n{COMMENT}drain  backend=x",
                "at": (4, 1),
                "say": "same rule is on line 2",
            },
        ),
        (
            "contradiction",
            {
                "text": f"{COMMENT}{SHIFT}\n{COMMENT}{SHIFT.replace('30', '40')}",
                "at": (4, 1),
                "say": "contradicts line 2",
            },
        ),
        (
            "to_and_fro",
            {
                "text": f"{COMMENT}{SHIFT}\n{COMMENT}shift service=s from=B to=A"
                " share=1% cap=1/s",
                "at": (4, 1),
                "say": "the other way",
            },
        ),
        (
            "invisible",
            {"text": f"{COMMENT}drain\u00a0backend=x", "at": (2, 6), "say": "U+00A0"},
        ),
        (
            "size",
            {"text": "#" * (MAX_RULES_BYTES + 1), "at": (1, 1), "say": "bytes"},
        ),
    ]

    def test_one_error_at_its_place(self):
        (error,) = parse_rules(self.text).failure()
        self.assertIsInstance(error, RuleError)
        self.assertEqual(self.at, (error.line, error.column))
        self.assertIn(self.say, error.message)


class SeveralErrorsTest(TestCase):
    """Guards against a report of the first error only."""

    def test_all_lines_and_words_are_reported(self):
        rules_text = f"{COMMENT}cap from=? to=B rate=x\n\n{COMMENT}drain\n"
        errors = parse_rules(rules_text).failure()
        places = [(error.line, error.column) for error in errors]
        self.assertEqual([(2, 10), (2, 22), (5, 1)], places)


class LayoutTest(TestCase):
    """Guards against refusing a layout that editors produce."""

    def test_blank_lines_comments_line_ends_and_composed_names(self):
        rules_text = (
            "\ufeff# rules of the co-operative\r\n\r\n"
            "\t# Ágnes: cellar: flood\r\n"
            "  cap\tto=Villa\u0301ny from=Eger  rate=5/s\r\n"
        )
        (rule,) = parse_rules(rules_text).unwrap()
        self.assertEqual(("Ágnes", "cellar: flood"), (rule.author, rule.reason))
        self.assertEqual("cap from=Eger to=Villány rate=5/s", rule.text)
        self.assertEqual(4, rule.line)
