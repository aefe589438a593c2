from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.rules import check_rules, compile_rules, parse_rules
from ebonybend.world import (
    BackendServer,
    Contract,
    Deployment,
    FailureDomain,
    Region,
    Service,
)

COMMENT = "# Ben: test\n"
NOW = 1_800_000_000.0
DEPLOYMENT = Deployment(
    regions=(Region("A"), Region("B"), Region("C")),
    failure_domains=(FailureDomain("a1", "A", ("a-1",)),),
    links=(),
    services=(Service("s", "c"),),
    contracts=(Contract("c", 0.5, 0.5),),
)
SERVERS = (BackendServer("s-01", "s", "a1", "127.0.0.1:1", 3),)


def check(*lines, servers=SERVERS):
    text = "".join(f"{COMMENT}{line}\n" for line in lines)
    return check_rules(parse_rules(text).unwrap(), DEPLOYMENT, servers, NOW)


class CheckTest(TestWithScenarios, TestCase):
    """Guards against a rule that can't do what its author expects."""

    scenarios = [
        ("service", {"rule": "refuse service=t", "expected": "unknown service 't'"}),
        (
            "region",
            {"rule": "cap from=A to=D rate=1/s", "expected": "unknown region 'D'"},
        ),
        ("instance", {"rule": "drain instance=s-01", "expected": "unknown instance"}),
        (
            "backend",
            {"rule": "drain backend=a-1", "expected": "unknown backend server"},
        ),
        ("cap", {"rule": "cap from=A to=B rate=0/s", "expected": "at least 1/s"}),
        (
            "shift",
            {
                "rule": "shift service=s from=A to=B share=1% cap=0/s",
                "expected": "at least 1/s",
            },
        ),
        (
            "over",
            {
                "rule": "drain instance=a-1 until=2026-01-01T00:00:00Z",
                "expected": "already passed",
            },
        ),
    ]

    def test_one_error_on_its_line(self):
        (error,) = check(self.rule)
        self.assertEqual(2, error.line)
        self.assertIn(self.expected, error.message)


class SharesTest(TestCase):
    """Guards against shifting more than all requests, and against rounding errors."""

    def test_sum_above_100_percent_is_refused_at_the_exceeding_rule(self):
        shift = "shift service=s from=A to={} share={} cap=1/s"
        full_shifts = shift.format("B", "70.01%"), shift.format("C", "29.99%")
        self.assertEqual((), check(*full_shifts))
        (error,) = check(shift.format("B", "70.01%"), shift.format("C", "30%"))
        self.assertEqual(4, error.line)
        self.assertIn("more than 100%", error.message)


class UnknownServersTest(TestCase):
    """Guards against refusing a drain while the platform's list is not known."""

    def test_names_of_servers_are_not_checked_without_a_list(self):
        self.assertEqual((), check("drain backend=any", servers=()))


class CompileTest(TestCase):
    """Guards against rules in force after their end, and the loss of a whole text.

    An older version may have accepted a line that this version can't parse; the other
    lines have to stay in force.
    """

    def test_rules_end_at_their_time(self):
        text = f"{COMMENT}drain backend=x until=2027-01-15T08:00:00Z\n"
        self.assertEqual(1, len(compile_rules(text, NOW - 1)))
        self.assertEqual((), compile_rules(text, NOW))

    def test_lines_with_errors_are_skipped(self):
        text = f"{COMMENT}mirror service=s\n{COMMENT}drain backend=x\n"
        self.assertEqual(
            ["drain backend=x"], [rule.text for rule in compile_rules(text, NOW)]
        )
