from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.entry.rules_state import RulesInForce
from ebonybend.rules.model import DrainRule, RefuseRule, Rule


def rule(body, until=None):
    return Rule(line=1, author="Eva", reason="r", text="t", body=body, until=until)


class RefuseTest(TestWithScenarios, TestCase):
    """Guards against requests that bypass a refuse rule or are refused wrongly."""

    scenarios = [
        (name, {"asked": asked, "refused": refused})
        for name, asked, refused in (
            ("path", ("rides", "GET", "/export/all"), True),
            ("encoded_path", ("rides", "GET", "/%65xport"), True),
            ("other_path", ("rides", "GET", "/import"), False),
            ("other_service", ("defects", "GET", "/export"), False),
            ("other_method", ("rides", "POST", "/export"), False),
        )
    ]

    def test_refuses(self):
        body = RefuseRule(service="rides", path="/export", method="GET")
        rules = RulesInForce([rule(body)])
        self.assertIs(self.refused, rules.find_refusal(*self.asked) is not None)


class ValidityTest(TestCase):
    def test_the_earliest_expiry_counts(self):
        """Guards against a rule that stays in force after its validity has ended."""
        drain = DrainRule(target_kind="backend", name="s1")
        rules = RulesInForce([rule(drain, 20.0), rule(drain, 10.0), rule(drain)])
        self.assertFalse(rules.has_expired_rule(9.0))
        self.assertTrue(rules.has_expired_rule(10.0))
        self.assertEqual({"s1"}, rules.drained_servers)
