import os
from os import pipe

from testtools import TestCase

from ebonybend.logs import NonBlockingLogFile
from ebonybend.node.decisions import MAX_ANSWER_LINES_PER_S, LineBudget


class NonBlockingLogFileTest(TestCase):
    """Guards against a process that blocks because nothing reads its log."""

    def setUp(self):
        super().setUp()
        self.reader, self.writer = pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)

    def test_writes_do_not_block_after_the_reader_stops(self):
        file = NonBlockingLogFile(self.writer)
        line = "x" * 999 + "\n"
        for _ in range(200):
            file.write(line)
        self.assertGreater(file.dropped, 100)
        received = b""
        while len(received) < (200 - file.dropped) * len(line) - len(line):
            received += os.read(self.reader, 1 << 20)
        lines = received.split(b"\n")[:-1]
        self.assertEqual({999}, {len(found) for found in lines})

    def test_lines_are_complete_after_the_reader_resumes(self):
        file = NonBlockingLogFile(self.writer)
        for _ in range(100):
            file.write("a" * 1500 + "\n")
        os.read(self.reader, 1 << 20)
        file.write("b\n")
        data = os.read(self.reader, 1 << 20)
        self.assertEqual(b"b", data.split(b"\n")[-2])


class LineBudgetTest(TestCase):
    """Guards against a log whose size grows with the request rate."""

    def test_allows_the_budget_in_one_second(self):
        budget = LineBudget(MAX_ANSWER_LINES_PER_S)
        allowed = sum(budget.allow(step / 1000) for step in range(1000))
        self.assertEqual(MAX_ANSWER_LINES_PER_S, allowed)
        self.assertEqual(1000 - MAX_ANSWER_LINES_PER_S, budget.pop_dropped_count())
