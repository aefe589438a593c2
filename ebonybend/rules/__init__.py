"""The rules that operators write: parse, check, compare, edit and compile them."""

from ebonybend.rules.check import check_rules
from ebonybend.rules.compile import compile_rules, is_expired
from ebonybend.rules.diff import describe, diff_rules
from ebonybend.rules.edit import add_rule, remove_expired, remove_rule, render
from ebonybend.rules.model import (
    CapRule,
    DrainRule,
    PardonRule,
    RefuseRule,
    Rule,
    RuleBody,
    RuleError,
    ShiftRule,
    WeightsRule,
)
from ebonybend.rules.parse import parse_rule, parse_rules, parse_text
from ebonybend.rules.syntax import canonical_text, rule_key

__all__ = [
    "CapRule",
    "DrainRule",
    "PardonRule",
    "RefuseRule",
    "Rule",
    "RuleBody",
    "RuleError",
    "ShiftRule",
    "WeightsRule",
    "add_rule",
    "canonical_text",
    "check_rules",
    "compile_rules",
    "describe",
    "diff_rules",
    "is_expired",
    "parse_rule",
    "parse_rules",
    "parse_text",
    "remove_expired",
    "remove_rule",
    "render",
    "rule_key",
]
