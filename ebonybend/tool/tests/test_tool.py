from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from json import loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest.mock import patch

from attrs import evolve
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.cli import main
from ebonybend.codec import to_json
from ebonybend.control.admin_messages import (
    InstanceStatus,
    ServerStatus,
    StatusAnswer,
    SuspectStatus,
    WhereAnswer,
)
from ebonybend.rules import RuleError, parse_rules
from ebonybend.tool import VERBS
from ebonybend.tool.confirm import classify_instances
from ebonybend.tool.tests.fake_admin import FakeAdmin, start_server
from ebonybend.world import Deployment, Region, Service

CHANGE_FLAGS = ("--author=Ágnes", "--why=flood: cellar 2", "--wait=0")
CAP_RULE = "# Ben: narrow link\ncap from=A to=B rate=5/s\n"
# A closed port on loopback, which refuses connections.
CLOSED_ADDRESS = "127.0.0.1:9"
FINGERPRINT = "0123456789abcdef" * 2
STATUS = StatusAnswer(
    0,
    True,
    (
        InstanceStatus("a-1", "a", "live", 0, 100.0, True),
        InstanceStatus("b-1", "b", "live", 0, 100.0, True),
    ),
    (ServerStatus("s-01", "s", "a", "ready", 1, 4),),
    suspects=(SuspectStatus(FINGERPRINT, 2, True, 1000.0),),
)


class ToolCase(TestCase):
    def setUp(self):
        super().setUp()
        self.admin = FakeAdmin(status=STATUS)
        self.address = start_server(self.admin, self.addCleanup)
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        for name, delays in (
            ("submit.RETRY_DELAYS_S", (0.01, 0.01)),
            ("edit_verbs.CONFLICT_RETRY_DELAYS_S", (0.01, 0.01, 0.01, 0.01)),
        ):
            patcher = patch(f"ebonybend.tool.{name}", delays)
            patcher.start()
            self.addCleanup(patcher.stop)

    def run_tool(self, *arguments, admin=None):
        """Return the exit status, standard output and standard error."""
        out, err = StringIO(), StringIO()
        environment = {"EBONYBEND_ADMIN": admin or self.address}
        with redirect_stdout(out), redirect_stderr(err):
            status = main(arguments, environment)
        return status, out.getvalue(), err.getvalue()

    def write(self, text):
        path = self.directory / "rules.txt"
        path.write_text(text)
        return str(path)


class ApplyTest(ToolCase):
    """Guards against changes that are lost, applied twice or confirmed too early."""

    def test_output_of_show_can_be_edited_and_applied(self):
        self.admin.accept(CAP_RULE, "Ben", "narrow link", "c1")
        status, text, _ = self.run_tool("show")
        self.assertEqual((0, f"# revision: 1\n{CAP_RULE}"), (status, text))
        file = self.write(text.replace("5/s", "7/s"))
        status, out, _ = self.run_tool("apply", file, *CHANGE_FLAGS)
        self.assertEqual(0, status, out)
        self.assertIn("~ cap from=A to=B rate=7/s", out)
        self.assertIn("revision 2 is in force everywhere (2 of 2 instances)", out)
        self.assertEqual(CAP_RULE.replace("5/s", "7/s"), self.admin.rules.text)
        self.assertEqual("Ágnes", self.admin.rules.author)
        self.assertEqual("flood: cellar 2", self.admin.rules.reason)

    def test_missing_confirmations_are_named(self):
        self.admin.lagging = frozenset({"a-1", "b-1"})
        unreachable = evolve(STATUS.instances[1], reachable=False)
        confirmed = evolve(STATUS.instances[0], name="c-1")
        self.admin.status = evolve(
            STATUS, instances=(STATUS.instances[0], unreachable, confirmed)
        )
        status, out, _ = self.run_tool(
            "apply", self.write(CAP_RULE), "--base=0", *CHANGE_FLAGS
        )
        self.assertEqual(1, status)
        self.assertIn("NOT in force everywhere (1 of 3 instances)", out)
        self.assertIn("in force:    c-1", out)
        self.assertIn("behind:      a-1", out)
        self.assertIn("unreachable: b-1", out)

    def test_planned_but_unlisted_instance_needs_no_confirmation(self):
        self.admin.lagging = self.admin.unlisted = frozenset({"b-1"})
        status, out, _ = self.run_tool(
            "apply", self.write(CAP_RULE), "--base=0", *CHANGE_FLAGS
        )
        self.assertEqual(0, status, out)

    def test_control_without_the_revision_confirms_nothing(self):
        self.admin.lagging = frozenset({"a-1", "b-1"})
        before = self.admin.current_status()
        with patch.object(FakeAdmin, "current_status", lambda _: before):
            file = self.write(CAP_RULE)
            status, out, _ = self.run_tool("apply", file, "--base=0", *CHANGE_FLAGS)
        self.assertEqual(1, status)
        self.assertIn("behind:      a-1, b-1", out)

    def test_later_revision_confirms_an_earlier_one(self):
        confirming = (evolve(i, rules_revision=1) for i in STATUS.instances)
        status = evolve(
            STATUS,
            revision=2,
            in_force_everywhere=False,
            instances=tuple(confirming),
            waiting_for=("a-1", "b-1"),
        )
        self.assertTrue(classify_instances(status, 1).in_force_everywhere)
        self.assertFalse(classify_instances(status, 2).in_force_everywhere)

    def test_no_listed_instance_is_not_in_force(self):
        self.admin.status = evolve(STATUS, instances=())
        status, out, _ = self.run_tool(
            "apply", self.write(CAP_RULE), "--base=0", *CHANGE_FLAGS
        )
        self.assertEqual(1, status)
        self.assertIn("knows no list of instances", out)

    def test_conflict_names_the_other_change_and_the_difference(self):
        self.admin.accept(CAP_RULE, "Eva", "mine", "c1")
        file = self.write("# revision: 0\n# Ben: x\ndrain backend=s-01\n")
        status, out, _ = self.run_tool("apply", file, *CHANGE_FLAGS)
        self.assertEqual(1, status)
        self.assertIn("revision 1 by Eva (mine)", out)
        self.assertIn("+ drain backend=s-01 (Ben: x)", out)
        self.assertIn("- cap from=A to=B rate=5/s", out)
        self.assertEqual(CAP_RULE, self.admin.rules.text)

    def test_lost_request_or_answer_is_retried_and_applied_once(self):
        for fault_field in ("lost_answers", "lost_requests"):
            before = self.admin.rules.revision
            setattr(self.admin, fault_field, 1)
            base = f"--base={before}"
            status, out, err = self.run_tool(
                "apply", self.write(CAP_RULE), base, *CHANGE_FLAGS
            )
            self.assertEqual(0, status, out + err)
            self.assertEqual(before + 1, self.admin.rules.revision)

    def test_unknown_outcome_is_resolved_by_its_change_id(self):
        self.admin.lost_answers = 3
        file = self.write(CAP_RULE)
        status, _, err = self.run_tool("apply", file, "--base=0", *CHANGE_FLAGS)
        self.assertEqual(2, status)
        self.assertIn("outcome_unknown", err)
        flag = err[err.index("--change_id=") :].split()[0]
        status, out, _ = self.run_tool("apply", file, "--base=0", flag, *CHANGE_FLAGS)
        self.assertEqual((0, 1), (status, self.admin.rules.revision))
        self.assertIn("revision 1 is in force everywhere", out)

    def test_errors_have_the_line_numbers_of_the_file(self):
        file = self.write("# revision: 0\n\ndrain backend=x\n")
        status, out, _ = self.run_tool("apply", file, *CHANGE_FLAGS)
        self.assertEqual(1, status)
        self.assertTrue(out.startswith(f"{file}:3:1: a rule needs its own"), out)

    def test_errors_of_the_control_have_the_line_numbers_of_the_file(self):
        self.admin.errors = (RuleError(2, 1, "unknown region 'B'"),)
        file = self.write(f"# revision: 0\n{CAP_RULE}")
        status, out, _ = self.run_tool("apply", file, *CHANGE_FLAGS)
        self.assertEqual((1, f"{file}:3:1: unknown region 'B'\n"), (status, out))

    def test_file_without_revision_is_not_applied(self):
        status, _, err = self.run_tool("apply", self.write(CAP_RULE), *CHANGE_FLAGS)
        self.assertEqual(2, status)
        self.assertIn("--base", err)
        self.assertEqual(0, self.admin.rules.revision)


class BadAnswerTest(TestWithScenarios, ToolCase):
    """Guards against reporting an invalid answer to a change as refusal or success."""

    scenarios = [
        ("garbled", {"fault": {"body_override": b"<html>"}}),
        ("empty", {"fault": {"body_override": b""}}),
        ("truncated", {"fault": {"truncated_bytes": 1}}),
        (
            "internal",
            {"fault": {"error_answers": [(500, "internal", "unknown")] * 3}},
        ),
        (
            "platform",
            {
                "fault": {
                    "error_answers": [(503, "platform_unavailable", "unknown")] * 3
                }
            },
        ),
    ]

    def test_outcome_of_change_is_unknown_and_status_is_an_error(self):
        for name, value in self.fault.items():
            setattr(self.admin, name, value)
        arguments = ("--author=Ben", "--why=x", "--wait=0", "--json")
        with patch("ebonybend.tool.rules_verbs._changes_from_base", return_value=()):
            file = self.write(CAP_RULE)
            status, out, _ = self.run_tool("apply", file, "--base=0", *arguments)
        self.assertEqual(2, status)
        self.assertEqual("outcome_unknown", loads(out)["kind"])
        self.assertEqual(1, self.admin.rules.revision)
        if "error_answers" not in self.fault:
            status, out, err = self.run_tool("status")
            self.assertEqual((2, ""), (status, out), err)


class EditTest(ToolCase):
    """Guards against an edit that overwrites another operator's change."""

    def test_drain_finds_the_kind_and_undrain_restores_the_text(self):
        self.admin.accept(CAP_RULE, "Ben", "narrow link", "c1")
        for name, kind in (("a-1", "instance"), ("s-01", "backend")):
            status, out, err = self.run_tool("drain", name, *CHANGE_FLAGS)
            self.assertEqual(0, status, out + err)
            self.assertIn(f"+ drain {kind}={name} (Ágnes: flood: cellar 2)", out)
            self.assertEqual(0, self.run_tool("undrain", name, *CHANGE_FLAGS)[0])
            self.assertEqual(CAP_RULE, self.admin.rules.text)

    def test_undrain_of_unknown_outcome_is_resolved_by_its_change_id(self):
        self.run_tool("drain", "a-1", *CHANGE_FLAGS)
        self.admin.lost_answers = 3
        status, _, err = self.run_tool("undrain", "a-1", *CHANGE_FLAGS)
        self.assertEqual(2, status)
        flag = err[err.index("--change_id=") :].split()[0]
        status, out, _ = self.run_tool("undrain", "a-1", flag, *CHANGE_FLAGS)
        self.assertEqual((0, 2), (status, self.admin.rules.revision), out)

    def test_conflict_is_retried_on_the_newest_rules(self):
        self.admin.conflicts = 2
        self.assertEqual(0, self.run_tool("drain", "a-1", *CHANGE_FLAGS)[0])
        rules = parse_rules(self.admin.rules.text).unwrap()
        self.assertEqual(
            ["drain backend=e1", "drain backend=e0", "drain instance=a-1"],
            [rule.text for rule in rules],
        )

    def test_repeated_conflicts_end_as_refused(self):
        self.admin.conflicts = 100
        status, out, _ = self.run_tool("drain", "a-1", *CHANGE_FLAGS)
        self.assertEqual(1, status)
        self.assertIn("conflict:", out)
        self.assertNotIn("a-1", self.admin.rules.text)

    def test_duration_counts_from_the_controls_time_and_can_be_changed(self):
        for until, written in (("2h", "2027-01-15T10:00:00Z"), ("1d", "2027-01-16T08")):
            self.run_tool("drain", "a-1", f"--until={until}", *CHANGE_FLAGS)
            (rule,) = parse_rules(self.admin.rules.text).unwrap()
            self.assertIn(f"drain instance=a-1 until={written}", rule.text)

    def test_second_drain_changes_nothing(self):
        self.run_tool("drain", "a-1", *CHANGE_FLAGS)
        status, out, _ = self.run_tool("drain", "a-1", *CHANGE_FLAGS)
        self.assertEqual((0, 1), (status, self.admin.rules.revision))
        self.assertIn("nothing to do", out)

    def test_expired_rules_do_not_block_a_drain(self):
        expired = "# Eva: test\ndrain backend=x until=2027-01-15T07:59:59Z\n"
        self.admin.accept(expired + CAP_RULE, "Eva", "test", "c1")
        status, out, _ = self.run_tool("drain", "a-1", *CHANGE_FLAGS)
        self.assertEqual(0, status)
        self.assertIn("- drain backend=x", out)
        self.assertNotIn("backend=x", self.admin.rules.text)
        self.assertIn(CAP_RULE, self.admin.rules.text)

    def test_backend_server_of_another_failure_domain_is_found(self):
        other = FakeAdmin(status=evolve(STATUS, servers=()))
        addresses = (
            f"{CLOSED_ADDRESS},{start_server(other, self.addCleanup)},{self.address}"
        )
        status, out, err = self.run_tool(
            "drain", "s-01", *CHANGE_FLAGS, admin=addresses
        )
        self.assertEqual(0, status, out + err)
        self.assertIn("drain backend=s-01", other.rules.text)

    def test_unknown_and_ambiguous_names_are_refused(self):
        self.assertEqual(1, self.run_tool("drain", "z-9", *CHANGE_FLAGS)[0])
        self.assertEqual(1, self.run_tool("undrain", "a-1", *CHANGE_FLAGS)[0])
        same_name = evolve(STATUS.servers[0], name="a-1")
        self.admin.status = evolve(STATUS, servers=(same_name,))
        self.assertEqual(2, self.run_tool("drain", "a-1", *CHANGE_FLAGS)[0])
        self.assertEqual(
            0, self.run_tool("drain", "a-1", "--backend", *CHANGE_FLAGS)[0]
        )
        self.assertIn("drain backend=a-1", self.admin.rules.text)

    def test_pardon_completes_a_fingerprint(self):
        self.assertEqual(0, self.run_tool("pardon", "0123", *CHANGE_FLAGS)[0])
        self.assertIn(f"pardon fingerprint={FINGERPRINT}", self.admin.rules.text)
        self.assertEqual(1, self.run_tool("pardon", "ff", *CHANGE_FLAGS)[0])


class StateTest(ToolCase):
    """Guards against state that is shown wrongly or omitted."""

    def test_status_reports_whether_the_rules_are_in_force(self):
        status, out, _ = self.run_tool("status")
        self.assertEqual(0, status)
        for part in ("a-1", "s-01", FINGERPRINT, "platform: reachable"):
            self.assertIn(part, out)
        self.admin.status = evolve(STATUS, revision=1, platform_reachable=False)
        status, out, _ = self.run_tool("status")
        self.assertEqual(1, status)
        self.assertIn("behind:      a-1, b-1", out)
        self.assertIn("platform: NOT REACHABLE", out)

    def test_json_output_is_the_answer_of_the_control(self):
        status, out, err = self.run_tool("status", "--json")
        self.assertEqual((0, ""), (status, err))
        self.assertEqual(loads(to_json(STATUS)), loads(out))

    def test_where_passes_its_query_and_explains(self):
        lines = ("a is nearest",)
        self.admin.where = WhereAnswer("192.0.2.7", "x", ("a-1",), explanation=lines)
        arguments = ("--client=192.0.2.7", "--service=ride history")
        status, out, _ = self.run_tool("where", *arguments)
        self.assertEqual(0, status)
        self.assertIn("a is nearest", out)
        self.assertIn("look-up lists: a-1", out)
        path = "GET /v1/where?client=192.0.2.7&service=ride+history"
        self.assertEqual([path], self.admin.requests)

    def test_history_passes_its_limit(self):
        status, out, _ = self.run_tool("history", "--limit=3")
        self.assertEqual(0, status)
        self.assertIn("2027-01-15 08:00:00  r3", out)
        self.assertEqual(["GET /v1/history?limit=3"], self.admin.requests)

    def test_diff_warns_of_a_newer_revision(self):
        self.admin.accept(CAP_RULE, "Eva", "mine", "c1")
        status, out, _ = self.run_tool("diff", self.write("# revision: 0\n"))
        self.assertEqual(0, status)
        self.assertIn("- cap from=A to=B rate=5/s", out)
        self.assertIn("revision 1 by Eva (mine) is newer", out)

    def test_next_control_is_tried(self):
        admin = f"{CLOSED_ADDRESS},{self.address}"
        self.assertEqual(0, self.run_tool("status", admin=admin)[0])
        status, out, _ = self.run_tool("status", "--json", admin=CLOSED_ADDRESS)
        self.assertEqual(2, status)
        self.assertEqual("control_unreachable", loads(out)["kind"])


class CheckTest(ToolCase):
    """Guards against a check that needs a connection or ignores the deployment."""

    def test_works_offline_with_and_without_a_deployment(self):
        file = self.write(CAP_RULE)
        self.assertEqual(0, self.run_tool("check", file, admin=CLOSED_ADDRESS)[0])
        deployment = self.directory / "deployment.json"
        value = Deployment((Region("A"),), (), (), (Service("s", "c"),), ())
        deployment.write_bytes(to_json(value))
        status, out, _ = self.run_tool("check", file, f"--deployment={deployment}")
        self.assertEqual(1, status)
        self.assertIn(f"{file}:2:1: unknown region 'B'", out)
        self.assertEqual([], self.admin.requests)


class UsageTest(TestWithScenarios, ToolCase):
    """Guards against a wrong command line that has an effect or a poor message."""

    scenarios = [
        ("no_verb", {"arguments": [], "error": "give a verb"}),
        ("verb", {"arguments": ["drian", "a-1"], "error": "unknown verb 'drian'"}),
        ("operand", {"arguments": ["drain"], "error": "ebonybend drain NAME"}),
        (
            "flag",
            {"arguments": ["show", "--wait=3"], "error": "show has no flag --wait"},
        ),
        ("unknown_flag", {"arguments": ["show", "--colour"], "error": "colour"}),
        ("author", {"arguments": ["drain", "a-1", "--why=x"], "error": "--author"}),
        ("range", {"arguments": ["show", "--timeout_ms=1"], "error": "10 to 600000"}),
        ("address", {"arguments": ["show", "--admin=host:1"], "error": "host:1"}),
        ("file", {"arguments": ["check", "/nowhere/rules"], "error": "/nowhere/rules"}),
        ("where", {"arguments": ["where"], "error": "--client"}),
        (
            "two_lines",
            {
                "arguments": ["drain", "a-1", "--author=b", "--why=c\nd"],
                "error": "one line",
            },
        ),
        (
            "until",
            {
                "arguments": ["drain", "a-1", "--author=b", "--why=c", "--until=soon"],
                "error": "--until='soon'",
            },
        ),
    ]

    def test_exit_status_is_2_and_error_is_one_line(self):
        status, out, err = self.run_tool(*self.arguments)
        self.assertEqual((2, ""), (status, out))
        self.assertIn(self.error, err)
        self.assertEqual(1, err.count("\n"), err)


class HelpTest(ToolCase):
    """Guards against verbs and flags without help."""

    def test_every_verb_has_help(self):
        status, text, _ = self.run_tool("--help")
        self.assertEqual(0, status)
        for name, verb in VERBS.items():
            self.assertIn(verb.summary, text)
            status, detail, _ = self.run_tool(name, "--help")
            self.assertEqual(0, status)
            for flag in verb.flags:
                self.assertIn(f"--{flag}", detail)


class EnvironmentTest(ToolCase):
    """Guards against a daemon's EBONYBEND_INSTANCE that changes what is drained."""

    def test_environment_sets_flags_but_not_what_is_drained(self):
        environment = {
            "EBONYBEND_ADMIN": self.address,
            "EBONYBEND_AUTHOR": "Eva",
            "EBONYBEND_WHY": "from the environment",
            "EBONYBEND_WAIT": "0",
            "EBONYBEND_INSTANCE": "b-1",
        }
        with redirect_stdout(StringIO()), redirect_stderr(StringIO()):
            status = main(["drain", "s-01", "--author=Ben"], environment)
        self.assertEqual(0, status)
        self.assertEqual("Ben", self.admin.rules.author)
        self.assertEqual("from the environment", self.admin.rules.reason)
        self.assertIn("drain backend=s-01", self.admin.rules.text)
