from time import sleep

from testtools import TestCase

from bench.deployments import blue_mahoe, reduced
from bench.fleet import Fleet, FleetOptions
from bench.load import LoadShape
from bench.playing import check_run, start_load

# Short times for the takeover of slots, to shorten the tests.
SHORT_TIMEOUT_FLAGS = (
    "--hold_ms=500",
    "--longest_deadline_ms=2000",
    "--lookup_lifetime_ms=1000",
)
OPTIONS = FleetOptions(daemon_flags=SHORT_TIMEOUT_FLAGS, cold_s=0.2)
DOMAINS = ("kingston-1", "montego-1")
DRAINED_SERVER = "ride-history-01"


class WholePathTest(TestCase):
    """Requests from clients to backend servers through real processes."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(reduced(blue_mahoe(), DOMAINS), OPTIONS)
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)

    def assert_no_violation(self, report):
        self.assertTrue(report.ok, f"{report.line()} {report.examples}")

    def test_reads_and_writes_are_answered_whole(self):
        load = start_load(self.fleet, LoadShape(), 4.0)
        load.wait()
        report = check_run(self.fleet, [load])
        self.assert_no_violation(report)
        self.assertGreater(report.sent, 50)
        self.assertEqual(report.sent, report.whole, report.line())

    def test_kill_and_drain_break_no_promise(self):
        load = start_load(self.fleet, LoadShape(), 8.0)
        sleep(2.0)
        self.fleet.kill_instance("kingston-1-b")
        self.fleet.deregister_instance("kingston-1-b")
        sleep(1.0)
        self.fleet.drain_server(DRAINED_SERVER)
        load.wait()
        report = check_run(self.fleet, [load])
        self.assert_no_violation(report)
        reads = [x for x in load.operations() if x.method == "GET"]
        self.assertEqual([], [x for x in reads if x.result != "whole"])
