from threading import Thread
from time import monotonic, sleep

from testtools import TestCase

from bench.deployments import blue_mahoe, reduced
from bench.fleet import Fleet, FleetOptions
from bench.history import read_server_events
from bench.http_calls import call
from bench.lookup_cache import LookupAnswer
from bench.soak_operators import tool
from ebonybend.codec import from_json
from ebonybend.control.admin_messages import StatusAnswer
from ebonybend.steering.suspects import fingerprint

SHORT_TIMEOUT_FLAGS = (
    "--hold_ms=500",
    "--longest_deadline_ms=2000",
    "--lookup_lifetime_ms=1000",
)
DOMAINS = ("kingston-1", "montego-1", "mandeville-1")
SENDERS = ("kingston-1-a", "montego-1-a", "mandeville-1-a")
READ_SERVICE, WRITE_SERVICE = "ride-history", "sign-off-filing"
CRASH_PATH = "/crash-server"
REFUSED_STATUS = 422
# The requirement is "within seconds"; this is the limit for a configuration to be in
# force everywhere.
REFUSED_EVERYWHERE_S = 5.0
# A request is refused after two crashes.
MAX_CRASHES = 2
OTHER_REQUESTS = 8
OTHER_SERVICE_MS = 400
SERVICE_MS = 200
DEADLINE_MS = 2000
RESTART_S = 10.0
SETTLE_S = 1.0


class CrashingRequestTest(TestCase):
    """A request that crashes every backend server that runs it."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        options = FleetOptions(daemon_flags=SHORT_TIMEOUT_FLAGS, cold_s=0.2)
        cls.fleet = Fleet(reduced(blue_mahoe(), DOMAINS), options)
        cls.fleet.__enter__()
        cls.addClassCleanup(cls.fleet.__exit__)

    def setUp(self):
        super().setUp()
        self.addCleanup(self.wait_for_servers)

    def wait_for_servers(self):
        servers = [x.name for x in self.fleet.plan.servers]
        self.fleet.wait_until(
            lambda: all(self.fleet.server_ready(x) for x in servers),
            "backend servers are ready",
            RESTART_S,
        )
        sleep(SETTLE_S)

    def send(self, instance, path, service=READ_SERVICE, method="GET", key=None):
        headers = {"Deadline-Ms": str(DEADLINE_MS)}
        if key is not None:
            headers["Idempotency-Key"] = key
        address = self.fleet.addresses.public(instance).listen
        body = b"entry" if method == "POST" else None
        target = f"/s/{service}{path}"
        return call(method, address, target, body, headers, DEADLINE_MS / 1000 + 1)

    def send_all(self, requests):
        """Send requests at once; return the answers in their order."""
        answers = [None] * len(requests)

        def send(index):
            answers[index] = self.send(*requests[index])

        threads = [Thread(target=send, args=(x,)) for x in range(len(requests))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return answers

    def run_times(self, path):
        """Return when backend servers started a request."""
        events = read_server_events(self.fleet.server_histories())
        return [x.at for x in events if x.event == "started" and x.path == path]

    def refused_after(self, path, since):
        """Return the seconds until every instance refuses a request."""
        accepting = set(self.fleet.instances)
        while accepting:
            if monotonic() - since > 2 * REFUSED_EVERYWHERE_S:
                self.fail(f"not refused by {accepting}")
            name = sorted(accepting)[0]
            if self.send(name, path).status == REFUSED_STATUS:
                accepting.discard(name)
        return monotonic() - since

    def assert_refused(self, path, max_crashes):
        """Check how many servers a request crashed and when all instances refuse it."""
        second_crash_at = sorted(self.run_times(path))[1] + SERVICE_MS / 2000
        seconds = self.refused_after(path, second_crash_at)
        crashes = [
            round(x + SERVICE_MS / 2000 - second_crash_at, 2)
            for x in self.run_times(path)
        ]
        print(f"crashes at {crashes} s, refused everywhere after {seconds:.2f} s")
        self.assertLessEqual(len(crashes), max_crashes)
        self.assertLess(seconds, REFUSED_EVERYWHERE_S)

    def other_requests(self, case):
        return [
            (SENDERS[x % 3], f"/innocent?{case}={x}&service_ms={OTHER_SERVICE_MS}")
            for x in range(OTHER_REQUESTS)
        ]

    def assert_answered(self, requests, answers):
        """Check that other requests aren't refused, and are answered when resent."""
        statuses = [x.status for x in answers]
        self.assertNotIn(REFUSED_STATUS, statuses, f"other requests: {statuses}")
        self.wait_for_servers()
        again = [x.status for x in self.send_all(requests)]
        self.assertEqual([200] * OTHER_REQUESTS, again)

    def test_one_sender_again_and_again(self):
        # Guards against a request that a client resends to one server after another.
        path = f"{CRASH_PATH}?one=1&service_ms={SERVICE_MS}"
        other_requests = self.other_requests("one")
        answers = self.send_all([*other_requests, (SENDERS[0], path)])
        for sender in (*SENDERS[1:], *SENDERS):
            self.send(sender, path)
        self.assert_refused(path, MAX_CRASHES)
        self.assert_answered(other_requests, answers[:-1])

    def test_senders_in_all_regions_at_once(self):
        # Guards against regions that learn of the request only from their own crashes.
        path = f"{CRASH_PATH}?all=1&service_ms={SERVICE_MS}"
        other_requests = self.other_requests("all")
        crashing_requests = [(x, path) for x in SENDERS]
        answers = self.send_all([*other_requests, *crashing_requests])
        self.send_all(crashing_requests)
        # Each region may start one run before it learns of another region's crash.
        self.assert_refused(path, len(SENDERS))
        self.assert_answered(other_requests, answers[:OTHER_REQUESTS])

    def test_operators_see_and_pardon(self):
        # Guards against a refusal that operators can't see or lift.
        path = f"{CRASH_PATH}?pardon=1&service_ms={SERVICE_MS}"
        name = fingerprint(READ_SERVICE, "GET", path, b"")
        for sender in SENDERS:
            self.send(sender, path)
        self.refused_after(path, monotonic())
        crashes = len(self.run_times(path))
        for instance in self.fleet.instances:
            answer = call("GET", self.fleet.addresses.admin(instance), "/v1/status")
            status = from_json(answer.body, StatusAnswer)
            refused = {x.fingerprint for x in status.suspects if x.refused}
            self.assertIn(name, refused, f"status of {instance}")
        self.assertIn(name, tool(self.fleet, SENDERS[:1], "status").output)
        arguments = ("pardon", name[:12], "--author=Ben", "--why=fixed")
        done = tool(self.fleet, SENDERS[:1], *arguments)
        self.assertEqual(0, done.status, done.output)
        self.wait_for_servers()
        answer = self.send(SENDERS[2], path)
        self.assertGreater(len(self.run_times(path)), crashes, answer)

    def test_write_is_not_sent_again(self):
        # Guards against a write that the system resends after a crash.
        path = f"{CRASH_PATH}?write=1&service_ms={SERVICE_MS}"
        address = self.fleet.addresses.public(SENDERS[0]).listen
        client = self.fleet.addresses.client_ip("Kingston", 1)
        lookup = call("GET", address, f"/v1/lookup?client={client}")
        owner = from_json(lookup.body, LookupAnswer).instances[0]
        key = f"{owner.key_prefix}~write"
        for sender in (owner.name, *SENDERS):
            answer = self.send(sender, path, WRITE_SERVICE, "POST", key)
            self.assertIn(b"unknown", answer.body)
        self.assertEqual(1, len(self.run_times(path)))
