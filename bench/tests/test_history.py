from testtools import TestCase

from bench.history import check
from bench.load import Attempt, Operation
from standins.server_history import ServerEvent


def operation(result, attempt_results=("answered",), method="POST", fault=""):
    records = tuple(
        Attempt(1.0, f"op1.{number}", "a", "k", outcome)
        for number, outcome in enumerate(attempt_results, 1)
    )
    path = "/file?op=op1"
    return Operation(
        "op1", "c", "r", "s", method, path, 1.0, 2.0, 2000, result, records, fault
    )


def event(event_name="started", request_id="op1.1", server="s1", at=1.5, in_flight=1):
    path = "/file?op=op1"
    return ServerEvent(
        at, server, 1, event_name, request_id, "k", "f", "POST", path, in_flight, 3
    )


class HistoryTest(TestCase):
    """Guards against checks of a run that miss a violation or report a false one."""

    def test_one_run_of_an_answered_write_is_no_fault(self):
        report = check([operation("whole")], [event(), event("finished")])
        self.assertTrue(report.ok)
        self.assertEqual((1, 1), (report.sent, report.whole))

    def assert_found(self, fault, operations, events, leaving_since=None):
        report = check(operations, events, leaving_since)
        self.assertEqual(1, getattr(report, fault))
        self.assertFalse(report.ok)

    def test_finds_a_write_that_ran_twice(self):
        events = [event(), event(request_id="op1.2", server="s2")]
        self.assert_found("duplicates", [operation("whole")], events)

    def test_finds_a_refused_write_that_ran(self):
        refused = operation("not_run", ("unknown", "not_run"))
        self.assert_found("untruthful", [refused], [event()])

    def test_finds_a_refused_attempt_that_ran_although_a_later_one_was_answered(self):
        answered = operation("whole", ("not_run", "answered"), "GET")
        events = [event(), event(request_id="op1.2")]
        self.assert_found("untruthful", [answered], events)

    def test_finds_an_answer_that_is_not_the_callers(self):
        wrong = operation("wrong", fault="answer to /other")
        self.assert_found("wrong", [wrong], [event()])

    def test_finds_a_write_answered_without_a_run(self):
        self.assert_found("invented", [operation("whole")], [])

    def test_finds_more_requests_in_flight_than_slots(self):
        self.assert_found("over_slots", [operation("whole")], [event(in_flight=4)])

    def test_finds_new_work_on_a_server_that_leaves(self):
        events = [event(), event("received", at=14.0)]
        self.assert_found("late_work", [operation("whole")], events, {"s1": 10.5})

    def test_a_read_whose_earlier_attempt_was_lost_is_no_untruthful_refusal(self):
        refused = operation("not_run", ("lost", "not_run"), "GET")
        self.assertTrue(check([refused], [event()]).ok)

    def test_finds_an_answered_write_whose_answer_was_broken(self):
        events = [event(), event("finished"), event("broken")]
        self.assert_found("wrong", [operation("whole")], events)

    def test_a_whole_answer_after_a_broken_one_is_no_fault(self):
        answered = operation("whole", ("unknown", "answered"), "GET")
        events = [event(), event("broken"), event(request_id="op1.2", server="s2")]
        self.assertTrue(check([answered], events).ok)
