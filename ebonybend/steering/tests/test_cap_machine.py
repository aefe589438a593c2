from bisect import bisect_left
from random import Random

from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from hypothesis.strategies import booleans, integers, sampled_from
from testtools import TestCase

from ebonybend.clock import ManualClock
from ebonybend.steering import CapShare, LinkBudget
from ebonybend.steering.shares import WINDOW_S
from ebonybend.tests.profile import MACHINE

CAP = 30
NAMES = ("a", "b", "c")
LINK_BYTES = 30_000
STEP_S = 0.05
LEASE_REQUEST_STEPS = 5


class Sender:
    def __init__(self, name, now, random):
        self.name = name
        self.offset = random.uniform(0, 1e6)
        self.clock = ManualClock(self.offset + now)
        self.cap = CapShare(CAP, name, NAMES, self.clock, 2.0)
        self.link = LinkBudget(LINK_BYTES, len(NAMES), self.clock)
        self.paused = False
        # Messages that arrived during a pause.
        self.inbox = []


class CapMachine(RuleBasedStateMachine):
    """Guards against more sends or link bytes in a window than the cap or budget."""

    @initialize(seed=integers(0, 2**32))
    def begin(self, seed):
        self.random = Random(seed)
        self.now, self.steps = 0.0, 0
        self.senders = {name: Sender(name, 0.0, self.random) for name in NAMES}
        self.sent, self.bytes, self.messages = [], [], []
        self.worst_sends = self.worst_bytes = 0
        self.run(4.0, "a")

    @rule(seconds=sampled_from([0.1, 0.6, 1.1, 2.1, 3.4]), busy=sampled_from("abc"))
    def load(self, seconds, busy):
        self.run(seconds, busy)

    @rule(seconds=sampled_from([0.6, 1.1]))
    def load_all(self, seconds):
        self.run(seconds, NAMES)

    @rule(name=sampled_from(NAMES))
    def replace(self, name):
        self.senders[name] = Sender(name, self.now, self.random)

    @rule(name=sampled_from(NAMES))
    def pause(self, name):
        self.senders[name].paused = True

    @rule(resent=booleans())
    def resume(self, resent):
        for sender in self.senders.values():
            sender.paused = False
            inbox, sender.inbox = sender.inbox, []
            for action in inbox * (1 + resent):
                action()

    def run(self, seconds, busy):
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.steps += 1
            for sender in self.senders.values():
                sender.clock.now = sender.offset + self.now
            self.deliver()
            for name in busy:
                self.send_all(self.senders[name])

    def send_all(self, sender):
        if sender.paused:
            return
        while sender.cap.try_acquire():
            self.sent.append(self.now)
        while sender.link.charge(700):
            self.bytes.append(self.now)
        if self.steps % LEASE_REQUEST_STEPS == 0 and sender.cap.recent_refusals():
            for lender in self.senders.values():
                if lender is not sender:
                    self.request_lease(sender, lender)
        self.measure()

    def request_lease(self, sender, lender):
        sent_at = sender.clock.monotonic()

        def answer():
            lease = lender.cap.grant_lease(CAP, sender.name)
            self.post(sender, lambda: sender.cap.use_lease(lease, sent_at))

        self.post(lender, answer)

    def post(self, sender, action):
        """Deliver a message after a random delay, repeatedly, or not at all."""
        for _ in range(self.random.choice([0, 1, 1, 1, 2])):
            delay = self.random.choice([0.0, 0.0, 0.05, 0.3, 1.2, 2.5])
            self.messages.append((self.now + delay, sender, action))

    def deliver(self):
        due = [message for message in self.messages if message[0] <= self.now]
        self.messages = [message for message in self.messages if message[0] > self.now]
        for _, sender, action in due:
            if sender.paused:
                sender.inbox.append(action)
            else:
                action()

    def measure(self):
        self.worst_sends = max(self.worst_sends, in_window(self.sent))
        self.worst_bytes = max(self.worst_bytes, 700 * in_window(self.bytes))

    @invariant()
    def caps_hold(self):
        if hasattr(self, "senders"):
            assert self.worst_sends <= CAP, f"{self.worst_sends} sends"
            assert self.worst_bytes <= LINK_BYTES, f"{self.worst_bytes} bytes"


class CapMachineTest(CapMachine.TestCase):
    settings = MACHINE


def in_window(times):
    """Return the number of times in the window that ends with the last one."""
    if not times:
        return 0
        # Sums of steps differ from the exact second by rounding errors.
    return len(times) - bisect_left(times, times[-1] - WINDOW_S + 1e-6)


class LeaseTest(TestCase):
    def test_uneven_load_uses_the_cap(self):
        """Guards against a cap that stays mostly unused if one sender has the load."""
        machine = CapMachine()
        machine.begin(1)
        machine.run(3.0, "a")
        machine.post = lambda sender, action: action()
        before = len(machine.sent)
        machine.run(20.0, "a")
        self.assertGreater(len(machine.sent) - before, 0.85 * CAP * 20)
        machine.caps_hold()
