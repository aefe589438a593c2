import re
import shlex
from pathlib import Path

from testtools import TestCase

from ebonybend.codec import from_json
from ebonybend.errors import ANSWERS
from ebonybend.rules import check_rules, parse_rules
from ebonybend.tool import VERBS, parse_options
from ebonybend.tool.verbs import allowed_flags
from ebonybend.world import Deployment

ROOT = Path(__file__).resolve().parents[3]
README = (ROOT / "README.md").read_text()
OPERATING = (ROOT / "docs" / "operating.md").read_text()
# A time before the rules in the README's example expire.
NOW = 1_790_000_000.0


class PagesTest(TestCase):
    """Guards against documentation that does not match the code."""

    def test_error_table_has_every_kind_with_its_answer(self):
        for kind, answer in ANSWERS.items():
            row = f"| `{kind.value}` | {answer.status} | {answer.outcome.value} |"
            self.assertIn(row, OPERATING)

    def test_example_rules_fit_the_example_deployment(self):
        text = re.search(r"```\n(.*?)```", README, re.DOTALL)[1]
        data = re.search(r"```json\n(.*?)```", README, re.DOTALL)[1]
        deployment = from_json(data.encode(), Deployment)
        rules = parse_rules(text).unwrap()
        self.assertEqual((), check_rules(rules, deployment, (), NOW))

    def test_example_commands_use_known_verbs_and_flags(self):
        examples = [verb.example for verb in VERBS.values()]
        examples += re.findall(r"^    (ebonybend .*)$", README + OPERATING, re.M)
        examples += re.findall(r"`(ebonybend [a-z]+ [^`]*=[^`]*)`", OPERATING)
        # The logs that a pipe reads are not part of the command.
        for example in (text.rpartition("| ")[2] for text in examples):
            command = re.split(r" >|  +#", example)[0]
            options, _ = parse_options(shlex.split(command)[1:], {})
            verb = VERBS[options.verb]
            self.assertEqual(bool(verb.operand), bool(options.operands), example)
            unknown = options.given_flags - set(allowed_flags(verb))
            self.assertEqual(frozenset(), unknown, example)
