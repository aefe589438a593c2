import signal
from threading import Thread
from time import monotonic, sleep
from uuid import uuid4

from testtools import TestCase

from bench.deployments import blue_mahoe, reduced
from bench.fleet import Fleet, FleetOptions
from bench.http_calls import call
from bench.revisions import RevisionWatch, entry_revision
from bench.rules_tool import current_rules
from bench.soak_operators import tool
from ebonybend.codec import from_json
from ebonybend.control.admin_messages import ApplyAnswer
from ebonybend.store.rules_store import RulesObject
from standins.object_store import StoredObject
from standins.platform import PlatformFaults
from standins.proxy_rules import ProxyRule

SHORT_TIMEOUT_FLAGS = (
    "--hold_ms=500",
    "--longest_deadline_ms=2000",
    "--lookup_lifetime_ms=1000",
)
DOMAINS = ("kingston-1", "montego-1", "mandeville-1")
WATCHER, WRITER = "kingston-1-a", "kingston-1-b"
REMOTE, RESTARTED = "mandeville-1-a", "montego-1-a"
IN_FORCE_S = 5.0
# Start-up time on a busy machine; it is not part of the time limit for rules.
START_TIMEOUT_S = 20.0
EDIT_ROUNDS = 5
FAULT_DURATION_S = 3.0
OLDER_OBJECT_WAIT_S = 2.0


def rules(latency, comment="test"):
    return (
        f"# Ana (association): {comment}\n"
        f"weights service=ride-history latency={latency:.2f} headroom=0.5\n"
    )


class ConfigurationTest(TestCase):
    """Rules that operators change, and their entry into force on every instance."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        options = FleetOptions(daemon_flags=SHORT_TIMEOUT_FLAGS, cold_s=0.2)
        cls.fleet = Fleet(reduced(blue_mahoe(), DOMAINS), options)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)
        cls.number = 0

    def setUp(self):
        super().setUp()
        self.addCleanup(self.remove_faults)
        self.watch = RevisionWatch(self.fleet)
        self.watch.__enter__()
        self.addCleanup(self.watch.__exit__)

    def remove_faults(self):
        self.fleet.clear_proxy_rules()
        self.fleet.set_platform_faults(PlatformFaults())
        ready = self.fleet.instances_ready
        self.fleet.wait_until(ready, "instances are ready", START_TIMEOUT_S)
        newest = self.stored_rules().revision
        self.fleet.wait_until(
            lambda: self.all_instances_have(newest), "revisions are equal"
        )

    def stored_rules(self):
        path = "/v1/objects/rules/main"
        answer = call("GET", self.fleet.addresses.platform_faults, path)
        if answer.status != 200:
            return RulesObject()
        return from_json(from_json(answer.body, StoredObject).value, RulesObject)

    def all_instances_have(self, revision):
        revisions = [entry_revision(self.fleet, x) or 0 for x in self.fleet.instances]
        return min(revisions) >= revision

    def next_rules(self):
        type(self).number += 1
        return rules(type(self).number / 100)

    def apply(self, instance=WRITER):
        """Apply new rules through the administration API; return revision and time."""
        admin = self.fleet.addresses.admin(instance)
        headers = {
            "If-Match": f'"{current_rules(admin).revision}"',
            "Author": "Ana",
            "Change-Id": uuid4().hex,
        }
        body = self.next_rules().encode()
        answer = call("PUT", admin, "/v1/rules", body, headers, 5.0)
        self.assertEqual(200, answer.status, answer.body)
        return from_json(answer.body, ApplyAnswer).revision, monotonic()

    def assert_in_force(self, revision, accepted_at, names=None):
        """Check that instances report a revision in time and no revision decreases."""
        slowest = 0.0
        for name in names or self.fleet.instances:
            process = f"{name}-entry"
            limit = accepted_at + IN_FORCE_S
            while (
                self.watch.first_seen_at(process, revision) is None
                and monotonic() < limit
            ):
                sleep(0.05)
            first_seen_at = self.watch.first_seen_at(process, revision)
            self.assertIsNotNone(first_seen_at, f"{name} lacks {revision} after 5 s")
            self.assertLess(first_seen_at - accepted_at, IN_FORCE_S, name)
            slowest = max(slowest, first_seen_at - accepted_at)
        print(f"in force after {slowest:.2f} s")
        self.assertEqual([], self.watch.falls)

    def cut_from_platform(self, *sources):
        platform = self.fleet.addresses.platform.advertise
        for source in sources:
            rule = ProxyRule(
                name=f"cut {source}", source=source, target=platform, action="cut"
            )
            self.fleet.add_proxy_rules(rule)

    def domain_networks(self, *domains):
        return [self.fleet.addresses.domain_network(x) for x in domains]

    def test_in_force_in_time(self):
        # Guards against a revision that instances get only by polling the platform.
        self.assert_in_force(*self.apply())

    def test_in_force_without_any_watch(self):
        # Guards against instances that receive rules only from the platform.
        watcher = f"{self.fleet.addresses.instance_host(WATCHER)}:"
        self.cut_from_platform(
            watcher, *self.domain_networks("montego-1", "mandeville-1")
        )
        self.assert_in_force(*self.apply())
        self.assert_in_force(*self.apply())

    def test_in_force_on_a_restarting_instance(self):
        # Guards against a new incarnation that serves with older rules.
        self.assert_in_force(*self.apply())
        self.cut_from_platform(*self.domain_networks("montego-1"))
        self.fleet.kill_instance(RESTARTED)
        self.fleet.restart_instance(RESTARTED)
        others = [x for x in self.fleet.instances if x != RESTARTED]
        revision, accepted_at = self.apply()
        self.assert_in_force(revision, accepted_at, others)
        ready = self.fleet.instance_ready
        self.fleet.wait_until(lambda: ready(RESTARTED), "the new incarnation is ready")
        self.assert_in_force(revision, monotonic(), [RESTARTED])

    def test_older_object_of_the_platform_is_not_taken(self):
        # Guards against older rules after the platform is restored from an older state.
        self.assert_in_force(*self.apply())
        older = self.stored_rules()
        revision, accepted_at = self.apply()
        self.assert_in_force(revision, accepted_at)
        self.fleet.write_object("rules", "main", older)
        sleep(OLDER_OBJECT_WAIT_S)
        self.fleet.kill_role(REMOTE, "control")
        self.fleet.processes.restart(f"{REMOTE}-control")
        self.fleet.kill_instance(WATCHER)
        self.fleet.restart_instance(WATCHER)
        ready = self.fleet.instances_ready
        self.fleet.wait_until(ready, "instances are ready", START_TIMEOUT_S)
        self.assert_in_force(revision, monotonic())
        later, accepted_at = self.apply()
        self.assertGreater(later, revision)
        self.assert_in_force(later, accepted_at)

    def test_one_of_two_simultaneous_edits_wins(self):
        # Guards against an edit that silently replaces another one.
        for number in range(EDIT_ROUNDS):
            base = self.stored_rules().revision
            runs = self.edit_simultaneously(base)
            found = self.stored_rules()
            self.assertEqual(base + 1, found.revision)
            statuses = sorted(x.status for x in runs.values())
            self.assertEqual([0, 1], statuses, f"round {number}: {runs}")
            winner = next(x for x in runs if runs[x].status == 0)
            loser = next(x for x in runs if runs[x].status == 1)
            self.assertEqual(winner, found.author)
            message = f"conflict: revision {base + 1} by {winner}"
            self.assertIn(message, runs[loser].output)
        self.assertEqual([], self.watch.falls)

    def edit_simultaneously(self, base):
        runs = {}

        def edit(author, instance, text):
            path = self.fleet.directory / f"{author}.rules"
            path.write_text(text)
            arguments = (f"--author={author}", "--why=test", f"--base={base}")
            instances = (instance,)
            runs[author] = tool(self.fleet, instances, "apply", str(path), *arguments)

        edits = (("Ana", WATCHER), ("Eva", REMOTE))
        threads = [
            Thread(target=edit, args=(*x, self.next_rules() + f"# by {x[0]}\n"))
            for x in edits
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return runs

    def test_lost_answer_is_resolved_and_the_change_is_written_once(self):
        # Guards against a change that is applied twice or reported as failed.
        before = self.stored_rules()
        path = self.fleet.directory / "lost.rules"
        path.write_text(self.next_rules())
        self.fleet.set_platform_faults(PlatformFaults(lose_answers=1))
        arguments = ("--author=Ana", "--why=test", f"--base={before.revision}")
        done = tool(self.fleet, (WRITER,), "apply", str(path), *arguments)
        self.assertEqual(0, done.status, done.output)
        after = self.stored_rules()
        self.assertEqual(before.revision + 1, after.revision)
        self.assertEqual(path.read_text(), after.text)
        ids = [x.change_id for x in after.recent]
        self.assertEqual(1, ids.count(after.change_id))

    def test_in_force_is_not_said_while_an_entry_is_paused(self):
        # Guards against a report based only on acceptance or on the control's revision.
        process = f"{REMOTE}-entry"
        self.fleet.processes.signal(process, signal.SIGSTOP)
        resume = (process, signal.SIGCONT)
        self.addCleanup(self.fleet.processes.signal, *resume)
        self.check_report(lambda: self.fleet.processes.signal(*resume))

    def test_in_force_is_not_said_while_a_domain_is_cut_off(self):
        # Guards against a report that ignores an unreachable instance.
        network = self.domain_networks("mandeville-1")[0]
        self.fleet.add_proxy_rules(
            ProxyRule(name="out", source=network, action="cut"),
            *(
                ProxyRule(name=f"in {x}", source=x, target=network, action="cut")
                for x in self.domain_networks("kingston-1", "montego-1")
            ),
        )
        self.check_report(self.fleet.clear_proxy_rules)

    def check_report(self, remove_faults):
        """Apply rules during a fault, which is removed while the tool waits."""
        path = self.fleet.directory / "report.rules"
        path.write_text(self.next_rules())
        base = self.stored_rules().revision
        results = []

        def apply():
            arguments = ("--author=Ana", "--why=test", f"--base={base}", "--wait=15")
            results.append(tool(self.fleet, (WRITER,), "apply", str(path), *arguments))

        thread = Thread(target=apply)
        thread.start()
        sleep(FAULT_DURATION_S)
        removed_at = monotonic()
        remove_faults()
        thread.join()
        self.assertEqual(0, results[0].status, results[0].output)
        self.assertGreater(results[0].ended_at, removed_at, "reported during the fault")
        for name in self.fleet.instances:
            last_missing_at = self.watch.last_missing_at(f"{name}-entry", base + 1)
            self.assertGreater(
                results[0].ended_at, last_missing_at, f"reported too early for {name}"
            )
