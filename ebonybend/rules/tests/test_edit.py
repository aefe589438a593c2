from hypothesis import given
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.errors import ErrorKind, SteeringError
from ebonybend.rules import (
    add_rule,
    diff_rules,
    parse_rules,
    remove_expired,
    remove_rule,
)
from ebonybend.rules.tests.strategies import RULES
from ebonybend.tests.profile import REPEATABLE

TEXT = """# rules of the association

# Eva: export is abused
refuse service=s path=/export
# Ben: narrow link
cap from=A to=B rate=50/s until=2026-12-31T00:00:00Z
"""


class AddRemoveTest(TestCase):
    """Guards against an edit that changes other lines or can't be undone."""

    @REPEATABLE
    @given(RULES)
    def test_added_rule_can_be_parsed_and_removed(self, rule):
        text = add_rule(TEXT, rule.text, rule.author, rule.reason)
        found = parse_rules(text).unwrap()[-1]
        self.assertEqual(
            (rule.text, rule.author, rule.reason),
            (found.text, found.author, found.reason),
        )
        self.assertEqual(TEXT, remove_rule(text, rule.text).unwrap())

    def test_rule_is_found_with_other_numbers_and_end(self):
        text = remove_rule(TEXT, "cap to=B from=A rate=1/s").unwrap()
        self.assertEqual("".join(TEXT.splitlines(True)[:4]), text)

    def test_missing_rule_is_a_failure(self):
        error = remove_rule(TEXT, "drain backend=x").failure()
        self.assertIs(ErrorKind.INVALID_RULES, error.kind)
        self.assertIn("drain backend=x", error.message)

    def test_expired_rules_are_removed(self):
        text, expired = remove_expired(TEXT, 1_800_000_000.0)
        self.assertEqual(["Ben"], [rule.author for rule in expired])
        self.assertEqual("".join(TEXT.splitlines(True)[:4]), text)


class CommentTest(TestWithScenarios, TestCase):
    """Guards against an author or reason that changes the meaning of the text."""

    scenarios = [
        ("colon", {"author": "a: b", "reason": "c"}),
        ("empty_author", {"author": " ", "reason": "c"}),
        ("empty_reason", {"author": "a", "reason": ""}),
        ("second_line", {"author": "a", "reason": "b\ndrain backend=x"}),
        ("header", {"author": "revision", "reason": "7"}),
    ]

    def test_is_refused(self):
        error = self.assertRaises(
            SteeringError, add_rule, "", "drain backend=y", self.author, self.reason
        )
        self.assertIs(ErrorKind.INVALID_RULES, error.kind)


class DiffTest(TestCase):
    """Guards against a difference that hides a change."""

    def test_added_removed_and_changed(self):
        new = (
            "# Eva: export is abused again\nrefuse service=s path=/export\n"
            "# Ben: patch\ndrain instance=a-1\n"
        )
        self.assertEqual(
            (
                "- cap from=A to=B rate=50/s until=2026-12-31T00:00:00Z"
                " (Ben: narrow link)",
                "~ refuse service=s path=/export (Eva: export is abused again),"
                " before: refuse service=s path=/export (Eva: export is abused)",
                "+ drain instance=a-1 (Ben: patch)",
            ),
            diff_rules(TEXT, new),
        )
        self.assertEqual((), diff_rules(TEXT, TEXT))
