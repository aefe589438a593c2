"""Hypothesis strategies for rules and for texts that look like rules."""

from hypothesis.strategies import (
    builds,
    characters,
    integers,
    just,
    lists,
    none,
    one_of,
    sampled_from,
    text,
)

from ebonybend.rules import (
    CapRule,
    DrainRule,
    PardonRule,
    RefuseRule,
    Rule,
    ShiftRule,
    WeightsRule,
    canonical_text,
)

NAMES = sampled_from(["Eger", "Tokaj", "Villány", "ride-history", "a_b.c-03", "0"])
METHODS = one_of(none(), sampled_from(["GET", "HEAD", "POST"]))
WEIGHTS = integers(1, 10_000).map(lambda steps: steps / 10_000)
REGIONS = {"source": sampled_from(["Eger", "Tokaj"]), "target": just("Villány")}
RATES = integers(0, 1_000_000_000)
PATHS = text(characters(codec="ascii", categories=["L", "N", "P", "S"]))

BODIES = one_of(
    builds(WeightsRule, service=NAMES, latency=WEIGHTS, headroom=WEIGHTS),
    builds(ShiftRule, service=NAMES, **REGIONS, share=WEIGHTS, cap_per_second=RATES),
    builds(CapRule, service=one_of(none(), NAMES), **REGIONS, cap_per_second=RATES),
    builds(RefuseRule, service=NAMES, path=PATHS.map("/".__add__), method=METHODS),
    builds(DrainRule, target_kind=sampled_from(["instance", "backend"]), name=NAMES),
    builds(PardonRule, fingerprint=text("0123456789abcdef", min_size=32, max_size=32)),
)
# The text form has four digits for the year.
ENDS = one_of(none(), integers(0, 253_402_300_799).map(float))
_VISIBLE = characters(categories=["L", "N", "P", "S"])
AUTHORS = text(_VISIBLE, min_size=1).filter(
    lambda name: ":" not in name and name != "revision"
)
REASONS = text(_VISIBLE, min_size=1)


def make_rule(body, until, author, reason) -> Rule:
    """Return a rule as it is parsed from the second line of a text."""
    line_text = canonical_text(body, until)
    return Rule(
        line=2, author=author, reason=reason, text=line_text, body=body, until=until
    )


RULES = builds(make_rule, BODIES, ENDS, AUTHORS, REASONS)

_WORDS = sampled_from(
    ["shift", "cap", "drain", "weights", "#", "a: b", "=", "from=", "share=30%"]
    + ["until=9999-99-99T00:00:00Z", "cap=9/s", "\n", "\r\n", " ", "\t", "²", "\ud800"]
)
RULE_LIKE_TEXTS = lists(one_of(_WORDS, text(max_size=5))).map("".join)
