from itertools import chain, count
from math import inf, nan

from attrs import frozen
from testscenarios import TestWithScenarios
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering.crash_suspects import (
    CRASHES_TO_REFUSE,
    REFUSED_LIFETIME_S,
    SUSPECT_LIFETIME_S,
    CrashReport,
)
from ebonybend.steering.crashes import (
    END_REPORT_S,
    LOSS_LIFETIME_S,
    MAX_LOST_PER_SERVER,
    MAX_REPORTED_SUSPECTS,
    MAX_SUSPECTS,
    CrashDetector,
)
from ebonybend.world.backend_server import ServerProcess

BEAT_S = 0.7
MAX_DATAGRAMS = 4
# Time between two nodes.
TRAVEL_S = 0.055


@frozen(eq=False)
class Nodes:
    """Detectors that exchange their reports, and evidence that isn't told yet."""

    clock: ManualClock
    detectors: tuple[CrashDetector, ...]

    def exchange(self, beats=1):
        for _ in range(beats):
            self.clock.advance(BEAT_S)
            now = self.clock.monotonic()
            sent = [
                (d.untold.take(now, MAX_DATAGRAMS), d.reports(), d.end_reports())
                for d in self.detectors
            ]
            for number, (datagrams, suspects, ended) in enumerate(sent):
                for receiver in self.detectors:
                    if receiver is self.detectors[number]:
                        continue
                    for evidence in chain.from_iterable(datagrams):
                        receiver.merge_evidence(evidence)
                    receiver.merge(f"n{number}", suspects)
                    for report in ended:
                        receiver.merge_end(report)

    def refused(self, name="bad"):
        return [detector.is_refused(name) for detector in self.detectors]


def nodes(number=2):
    clock = ManualClock()
    return Nodes(clock, tuple(CrashDetector(clock) for _ in range(number)))


def process(number, started_ms=7):
    return ServerProcess(f"s{number}", started_ms)


class CrashDetectorTest(TestCase):
    """Guards against a request that crashes one server after another."""

    def setUp(self):
        super().setUp()
        self.clock = ManualClock()
        self.detector = CrashDetector(self.clock)

    def crash(self, number, *fingerprints):
        for fingerprint in fingerprints:
            self.detector.record_lost_request(process(number), fingerprint)
        self.clock.advance(0.1)
        self.detector.record_end(process(number))
        self.clock.advance(2.0)

    def test_refused_after_the_third_crash(self):
        for number in range(CRASHES_TO_REFUSE):
            self.assertFalse(self.detector.is_refused("bad"))
            self.crash(number, "bad")
        self.assertTrue(self.detector.is_refused("bad"))

    def test_lost_answers_without_an_end_are_no_crash(self):
        for number in range(10):
            self.detector.record_lost_request(process(number), "good")
            self.clock.advance(LOSS_LIFETIME_S + 0.1)
            self.detector.record_end(process(number))
        self.assertFalse(self.detector.has_suspects())

    def test_a_success_clears_requests_that_ran_beside_the_culprit(self):
        for number in range(9):
            self.crash(number, "bad", "good")
            self.detector.record_success("good")
        self.assertFalse(self.detector.is_refused("good"))
        self.assertTrue(self.detector.is_refused("bad"))

    def test_other_nodes_refuse_reported_suspects(self):
        for number in range(CRASHES_TO_REFUSE):
            self.crash(number, "bad")
        other = CrashDetector(self.clock)
        self.assertEqual(["bad"], other.merge("n1", self.detector.reports()))
        self.assertTrue(other.is_refused("bad"))

    def test_a_server_without_a_start_time_counts_each_end(self):
        for _ in range(CRASHES_TO_REFUSE):
            server = process(1, started_ms=0)
            self.detector.record_lost_request(server, "bad")
            self.detector.record_end(server)
            self.detector.record_lost_request(server, "bad")
            self.detector.record_end(server)
            self.clock.advance(2.0)
        self.assertTrue(self.detector.is_refused("bad"))
        self.assertEqual(CRASHES_TO_REFUSE, len(self.detector.suspects["bad"].crashes))

    def test_suspicion_ends(self):
        self.crash(1, "once")
        for number in range(CRASHES_TO_REFUSE):
            self.crash(number, "bad")
        self.clock.advance(SUSPECT_LIFETIME_S)
        self.detector.reports()
        self.assertEqual(["bad"], list(self.detector.suspects))
        self.clock.advance(REFUSED_LIFETIME_S)
        self.assertFalse(self.detector.is_refused("bad"))
        self.detector.reports()
        self.assertFalse(self.detector.has_suspects())

    def test_memory_is_bounded(self):
        for number in range(MAX_LOST_PER_SERVER + 10):
            self.detector.record_lost_request(process(1), f"r{number}")
        self.assertEqual(MAX_LOST_PER_SERVER, len(self.detector.lost[process(1)]))
        reports = [CrashReport(f"r{n}", ("s1/7",)) for n in range(MAX_SUSPECTS + 10)]
        self.detector.merge("n1", [CrashReport("bad", refused=True), *reports])
        self.assertEqual(MAX_SUSPECTS, len(self.detector.suspects))
        self.assertTrue(self.detector.is_refused("bad"))

    def test_malformed_ages(self):
        reports = [CrashReport("r", refused=True, age_ms=x) for x in (nan, inf, -inf)]
        self.assertEqual([], self.detector.merge("n1", reports))
        self.detector.merge("n1", [CrashReport("r", refused=True, age_ms=-1e300)])
        self.assertTrue(self.detector.is_refused("r"))


class EvidenceTest(TestWithScenarios, TestCase):
    """Guards against crashes that are not counted, and losses that are no crash."""

    scenarios = [
        ("the end is seen at once", {"steps": ("lost", "end"), "crashes": 1}),
        ("the end is seen late", {"steps": ("lost", "wait", "end"), "crashes": 1}),
        ("seen twice", {"steps": ("lost", "end", "wait", "end"), "crashes": 1}),
        ("alive afterwards", {"steps": ("lost", "alive", "wait", "end"), "crashes": 0}),
        ("alive, lost, ended", {"steps": ("alive", "lost", "end"), "crashes": 1}),
        ("never seen", {"steps": ("lost", "wait"), "crashes": 0}),
        ("long before the end", {"steps": ("lost", "long", "end"), "crashes": 0}),
        ("planned", {"steps": ("lost", "planned", "end"), "crashes": 0}),
        ("not running there", {"steps": ("end", "wait", "lost"), "crashes": 0}),
    ]

    def test_crashes(self):
        clock = ManualClock()
        detector = CrashDetector(clock)
        for step in self.steps:
            match step:
                case "lost":
                    detector.record_lost_request(process(1), "bad")
                case "end":
                    detector.record_end(process(1))
                case "alive":
                    clock.advance(0.01)
                    detector.record_alive(process(1), clock.monotonic())
                case "planned":
                    detector.forget_losses(process(1))
                case "wait":
                    clock.advance(5.0)
                case "long":
                    clock.advance(LOSS_LIFETIME_S + 0.1)
            clock.advance(0.01)
        suspect = detector.suspects.get("bad")
        self.assertEqual(self.crashes, len(suspect.crashes) if suspect else 0)


class SharedEvidenceTest(TestWithScenarios, TestCase):
    """Guards against crashes that no node counts because each knows a part."""

    scenarios = [
        ("one node sees both", {"loser": [0, 0, 0], "observer": [0, 0, 0]}),
        ("another node sees the end", {"loser": [0, 0, 0], "observer": [1, 1, 1]}),
        ("each at another node", {"loser": [0, 1, 2], "observer": [1, 2, 0]}),
        ("both see the end", {"loser": [0, 1, 0], "observer": [0, 0, 0, 1, 1, 1]}),
    ]

    def test_all_refuse_it(self):
        fleet = nodes(3)
        observers = iter(self.observer)
        for number, loser in enumerate(self.loser):
            fleet.detectors[loser].record_lost_request(process(number), "bad")
            fleet.clock.advance(0.5)
            for _ in range(len(self.observer) // len(self.loser)):
                fleet.detectors[next(observers)].record_end(process(number))
            fleet.exchange(2)
        self.assertEqual([True] * 3, fleet.refused())

    def test_one_crash_seen_by_all_counts_once(self):
        fleet = nodes(3)
        for detector in fleet.detectors:
            detector.record_lost_request(process(1), "good")
            detector.record_end(process(1))
        fleet.exchange(3)
        self.assertEqual([False] * 3, fleet.refused("good"))

    def test_old_end_is_not_reported(self):
        fleet = nodes()
        fleet.detectors[1].record_end(process(1))
        fleet.clock.advance(END_REPORT_S)
        fleet.detectors[0].record_lost_request(process(1), "good")
        fleet.exchange(2)
        self.assertFalse(fleet.detectors[0].has_suspects())


class ManySuspectsTest(TestCase):
    """Guards against suspects that never fit into a heartbeat."""

    def test_all_are_reported_in_turn(self):
        fleet = nodes()
        names = [f"bad{number}" for number in range(3 * MAX_REPORTED_SUSPECTS)]
        for server in range(CRASHES_TO_REFUSE):
            for name in names:
                fleet.detectors[0].record_lost_request(process(server), name)
            fleet.detectors[0].record_end(process(server))
        fleet.exchange(len(names))
        self.assertEqual([True] * len(names), [fleet.refused(x)[1] for x in names])

    def test_the_latest_is_reported_at_once(self):
        fleet = nodes()
        for number in range(100):
            fleet.clock.advance(0.01)
            for server in range(CRASHES_TO_REFUSE):
                fleet.detectors[0].record_lost_request(process(server), f"bad{number}")
                fleet.detectors[0].record_end(process(server))
        fleet.exchange()
        self.assertEqual([True, True], fleet.refused("bad99"))


class SuccessTest(TestWithScenarios, TestCase):
    """Guards against a culprit that another client's success clears.

    The same content crashes servers for one client only.
    """

    scenarios = [
        ("none", {"pattern": "ccc", "refused": True}),
        ("after every second crash", {"pattern": "ccsccs", "refused": True}),
        ("at another node", {"pattern": "ccSccS", "refused": True}),
        ("after each crash", {"pattern": "cscscscs", "refused": False}),
        ("after each crash, elsewhere", {"pattern": "cScScScS", "refused": False}),
        ("many", {"pattern": "cssscssscsssc", "refused": False}),
        (
            "of the same caller",
            {"name": "bad-1", "pattern": "cssscssscsssc", "refused": True},
        ),
        (
            "many of the same caller",
            {"name": "bad-1", "pattern": "csssssssscsssssSSc", "refused": False},
        ),
    ]
    name = "bad"

    def test_refused(self):
        fleet = nodes()
        numbers = count()
        for step in self.pattern:
            match step:
                case "c":
                    server = process(next(numbers))
                    fleet.detectors[0].record_lost_request(server, self.name)
                    fleet.detectors[0].record_end(server)
                case "s":
                    fleet.detectors[0].record_success(self.name)
                case "S":
                    fleet.detectors[1].record_success(self.name)
            fleet.exchange()
        self.assertEqual([self.refused] * 2, fleet.refused(self.name))


class ForgottenTest(TestWithScenarios, TestCase):
    """Guards against suspicions that nodes renew for one another for ever."""

    scenarios = [
        ("a suspect", {"crashes": 1, "lifetime_s": SUSPECT_LIFETIME_S}),
        ("a refused one", {"crashes": 3, "lifetime_s": REFUSED_LIFETIME_S}),
    ]

    def test_ends_although_reports_go_round(self):
        fleet = nodes()
        for server in range(self.crashes):
            fleet.detectors[0].record_lost_request(process(server), "bad")
            fleet.detectors[0].record_end(process(server))
        until = fleet.clock.monotonic() + self.lifetime_s + 1.0
        while fleet.clock.monotonic() < until:
            for sender, receiver in (fleet.detectors, fleet.detectors[::-1]):
                reports = sender.reports()
                fleet.clock.advance(TRAVEL_S)
                receiver.merge("n", reports)
        for detector in fleet.detectors:
            detector.reports()
            self.assertFalse(detector.has_suspects())


class RestartedNodeTest(TestCase):
    """Guards against a restarted node that sends what others know to crash servers."""

    def test_learns_from_the_others(self):
        fleet = nodes()
        for server in range(CRASHES_TO_REFUSE):
            fleet.detectors[0].record_lost_request(process(server), "bad")
            fleet.detectors[0].record_end(process(server))
        fleet.exchange()
        restarted = CrashDetector(fleet.clock)
        restarted.merge("n1", fleet.detectors[1].reports())
        self.assertTrue(restarted.is_refused("bad"))


class ClearedTest(TestCase):
    """Guards against a neighbour of the culprit that a restarted node refuses."""

    def test_evidence_goes_before_what_others_say(self):
        fleet = nodes()
        for number in range(5):
            names = ["bad-1", "good-1"] if number < CRASHES_TO_REFUSE else ["bad-1"]
            for name in names:
                fleet.detectors[0].record_lost_request(process(number), name)
            fleet.detectors[0].record_end(process(number))
        fleet.exchange()
        fleet.detectors[1].restore_refused("good-1", 1.0)
        self.assertEqual([True, True], fleet.refused("bad-1"))
        self.assertEqual([False, False], fleet.refused("good-1"))
        self.assertTrue(fleet.detectors[1].is_cleared("good-1"))

    def test_caller_with_several_addresses(self):
        fleet = nodes()
        for number in range(CRASHES_TO_REFUSE):
            fleet.detectors[0].record_lost_request(process(number), f"bad-{number}")
            fleet.detectors[0].record_end(process(number))
        fleet.exchange()
        self.assertEqual([True, True], fleet.refused("bad-9"))


class SameNameTest(TestWithScenarios, TestCase):
    """Guards against a server that crashes again before the list names its process."""

    scenarios = [
        ("it came back", {"returns": True, "crashes": 3}),
        ("no sign of another process", {"returns": False, "crashes": 1}),
    ]

    def test_crashes(self):
        fleet = nodes()
        detector = fleet.detectors[0]
        for _ in range(3):
            detector.record_lost_request(process(1), "bad")
            detector.record_end(process(1))
            if self.returns:
                detector.record_return(process(1))
            fleet.exchange()
        counts = [d.crash_count("bad") for d in fleet.detectors]
        self.assertEqual([self.crashes] * 2, counts)


class ClearedByTrialTest(TestWithScenarios, TestCase):
    """Guards against a wrong refusal that no success can end, on some node."""

    scenarios = [
        ("all know the crashes", {"beats": 4}),
        ("most were only told", {"restarts": True, "beats": 4}),
        ("a node was away", {"late": True, "beats": 4}),
    ]
    restarts = False
    late = False

    def refuse(self, fleet):
        for number in range(CRASHES_TO_REFUSE):
            fleet.detectors[0].record_lost_request(process(number), "good-1")
            fleet.detectors[0].record_end(process(number))
        fleet.exchange(2)

    def test_all_serve_it_again(self):
        fleet = nodes(4)
        self.refuse(fleet)
        self.assertEqual([True] * 4, fleet.refused("good-1"))
        if self.restarts:
            told = CrashDetector(fleet.clock), CrashDetector(fleet.clock)
            fleet = Nodes(fleet.clock, fleet.detectors[:2] + told)
            fleet.exchange(2)
        fleet.clock.advance(20.0)
        here = Nodes(fleet.clock, fleet.detectors[: 3 if self.late else 4])
        self.assertTrue(here.detectors[1].clear("good-1"))
        here.exchange(self.beats)
        fleet.exchange(self.beats)
        self.assertEqual([False] * 4, fleet.refused("good-1"))
        for detector in fleet.detectors:
            detector.restore_refused("good-1", 25.0)
            self.assertTrue(detector.is_cleared("good-1"))
        self.assertEqual([False] * 4, fleet.refused("good-1"))

    def test_later_crashes_count(self):
        fleet = nodes(4)
        self.refuse(fleet)
        fleet.clock.advance(20.0)
        fleet.detectors[1].clear("good-1")
        fleet.exchange(2)
        for number in range(10, 10 + CRASHES_TO_REFUSE):
            self.assertEqual([False] * 4, fleet.refused("good-1"))
            fleet.detectors[2].record_lost_request(process(number), "good-1")
            fleet.detectors[2].record_end(process(number))
            fleet.exchange(2)
        self.assertEqual([True] * 4, fleet.refused("good-1"))

    def test_crash_after_the_decision_counts(self):
        fleet = nodes()
        self.refuse(fleet)
        self.assertFalse(fleet.detectors[0].clear("good-1", age_s=5.0))
        self.assertEqual([True] * 2, fleet.refused("good-1"))


class ClearedCulpritTest(TestCase):
    """Guards against a culprit that is served since its neighbour was cleared."""

    def test_culprit_stays_refused(self):
        fleet = nodes()
        for number in range(CRASHES_TO_REFUSE):
            for name in ("bad-1", "good-1"):
                fleet.detectors[0].record_lost_request(process(number), name)
            fleet.detectors[0].record_end(process(number))
        fleet.exchange()
        fleet.detectors[0].clear("good-1")
        fleet.exchange()
        self.assertEqual([False] * 2, fleet.refused("good-1"))
        self.assertEqual([True] * 2, fleet.refused("bad-1"))


class PopularContentTest(TestWithScenarios, TestCase):
    """Guards against content that is refused for all, since servers ended at once.

    Load pattern: most servers end in one moment, each with content that many send.
    """

    scenarios = [
        ("sent by many before", {"before": 9, "callers": 8, "refused": False}),
        ("long before", {"before": 9, "others": 1999, "callers": 8, "refused": False}),
        ("never succeeded", {"callers": 8, "refused": True}),
        ("two callers", {"callers": 2, "refused": False}),
        ("three callers", {"callers": 3, "refused": True}),
    ]
    before = 0
    others = 0

    def test_refused_for_another_caller(self):
        fleet = nodes()
        for detector in fleet.detectors:
            for number in range(self.before):
                detector.record_success(f"popular-{number}")
            for number in range(self.others):
                detector.record_success(f"rare{number}-1")
        for number in range(8):
            name = f"popular-{number % self.callers}"
            fleet.detectors[0].record_lost_request(process(number), name)
            fleet.detectors[0].record_end(process(number))
        fleet.exchange()
        self.assertEqual([self.refused] * 2, fleet.refused("popular-x"))


class SlowCulpritTest(TestCase):
    """Guards against a culprit that is forgotten each time before it comes again."""

    def test_one_crash_in_some_minutes(self):
        fleet = nodes()
        for number in range(CRASHES_TO_REFUSE):
            fleet.detectors[0].record_lost_request(process(number), "bad-1")
            fleet.detectors[0].record_end(process(number))
            fleet.exchange()
            fleet.clock.advance(240.0)
            # Heartbeats drop what is forgotten.
            fleet.exchange()
        self.assertEqual([True] * 2, fleet.refused("bad-1"))
