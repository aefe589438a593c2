from asyncio import all_tasks, gather, new_event_loop, sleep, start_server

from testscenarios import TestWithScenarios
from testtools import TestCase
from twisted.internet.defer import Deferred

from ebonybend.http_client import AnswerLost, AnswerTimeout, AnswerTooLarge, NotSent
from ebonybend.http_link import HttpLinks, parse_head, request_bytes

GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LATE_S = 0.5


class LinkCase(TestCase):
    def setUp(self):
        super().setUp()
        self.loop = new_event_loop()
        # The server's tasks are cancelled at the end, which is no failure.
        self.loop.set_exception_handler(lambda _loop, _context: None)
        self.addCleanup(self.loop.close)
        self.addCleanup(self.end_tasks)
        self.connections = 0

    def end_tasks(self):
        tasks = all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        if tasks:
            self.loop.run_until_complete(gather(*tasks, return_exceptions=True))

    def ask(self, answers, max_body=100, requests=1):
        """Ask a server that gives these answers; None closes the connection."""
        return self.loop.run_until_complete(self._ask(answers, max_body, requests))

    async def _ask(self, answers, max_body, requests):
        left = list(answers)

        async def serve(reader, writer):
            self.connections += 1
            while left:
                await reader.readuntil(b"\r\n\r\n")
                answer = left.pop(0)
                if answer == "late":
                    await sleep(LATE_S)
                    break
                writer.write(answer or b"")
                await writer.drain()
                if answer != GOOD:
                    break
            writer.close()

        server = await start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        address = f"127.0.0.1:{port}"
        links = HttpLinks("127.0.0.1", max_body)
        request = request_bytes("GET", address, "/health")
        try:
            for _ in range(requests):
                asked = Deferred.fromCoroutine(links.request(address, request, 0.2))
                result = await asked.asFuture(self.loop)
                await sleep(0.02)
            return result
        finally:
            links.close()
            server.close()
            # The connections' tasks end before the loop is closed.
            await sleep(0.05)


class HttpLinkTest(LinkCase):
    """Guards against lost requests on persistent connections."""

    def test_reuses_a_connection(self):
        answer = self.ask([GOOD, GOOD, GOOD], requests=3)
        self.assertEqual((200, b"ok"), (answer.status, answer.body))
        self.assertEqual(1, self.connections)

    def test_sends_again_when_the_idle_connection_was_closed(self):
        closing = GOOD.replace(b"\r\n\r\n", b"\r\nX: y\r\n\r\n")
        answer = self.ask([closing, GOOD], requests=2)
        self.assertEqual(b"ok", answer.body)
        self.assertEqual(2, self.connections)

    def test_refused_connection_is_not_sent(self):
        links = HttpLinks()
        request = request_bytes("GET", "127.0.0.1:1", "/")

        async def run():
            asked = links.request("127.0.0.1:1", request, 0.2)
            return await Deferred.fromCoroutine(asked).asFuture(self.loop)

        error = self.assertRaises(NotSent, self.loop.run_until_complete, run())
        self.assertTrue(error.refused)


class BadAnswerTest(TestWithScenarios, LinkCase):
    """Guards against a truncated or endless answer taken for a whole one."""

    scenarios = [
        ("closed", {"answer": None, "error": AnswerLost}),
        ("late", {"answer": "late", "error": AnswerTimeout}),
        ("cut off", {"answer": GOOD[:-1], "error": AnswerLost}),
        ("no length", {"answer": b"HTTP/1.1 200 OK\r\n\r\nok", "error": AnswerLost}),
        ("no status", {"answer": b"ok\r\n\r\n", "error": AnswerLost}),
        (
            "body too large",
            {
                "answer": b"HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
                "error": AnswerTooLarge,
            },
        ),
    ]

    def test_raises(self):
        self.assertRaises(self.error, self.ask, [self.answer])


class HeadTest(TestCase):
    """Guards against headers without end."""

    def test_waits_for_the_end_up_to_a_limit(self):
        self.assertIsNone(parse_head(b"HTTP/1.1 200 OK\r\n"))
        self.assertRaises(AnswerLost, parse_head, b"x" * (17 << 10))
