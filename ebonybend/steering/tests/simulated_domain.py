"""Simulate the entries of a failure domain and their heartbeats on a faulty network."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from ebonybend.clock import ManualClock
from ebonybend.steering import SlotLedger

HOLD_S = 2.0
DEADLINE_S = 5.0
TICK_S = 0.25
# More losses in a row are simulated as a cut link.
MAX_LOSSES_IN_A_ROW = 3


class Process:
    def __init__(self, domain, name, incarnation):
        self.name = name
        # Clocks differ in offset and by up to 0.5% in rate.
        self.offset = domain.random.uniform(0, 1e6)
        self.rate = domain.random.uniform(0.995, 1.005)
        self.clock = ManualClock()
        self.dead = False
        self.paused_at = None
        # Whether the platform lists the process as live during a pause.
        self.listed = True
        self.inbox = []
        self.set_time(domain.now)
        self.ledger = SlotLedger(name, incarnation, self.clock, HOLD_S, DEADLINE_S)
        self.ledger.set_roster(domain.names)
        self.ledger.set_servers(domain.servers)

    def set_time(self, now):
        self.clock.now = self.offset + now * self.rate

    def is_running(self):
        return not self.dead and self.paused_at is None


class SimulatedDomain:
    def __init__(self, names, servers, seed=None):
        self.names, self.servers = names, servers
        # Without a seed the network has no faults.
        self.random = Random(seed)
        self.faulty = seed is not None
        self.now = 0.0
        self.events, self.event_numbers = [], count()
        self.incarnations = count(1)
        self.processes, self.current = [], {}
        self.cut_links, self.losses = set(), Counter()
        self.running = Counter()
        self.lists = [frozenset(names)]
        self.version_sent = dict.fromkeys(names, 0)
        self.received_list = dict.fromkeys(names, frozenset(names))
        self.saturated = False
        self.violations = []
        for name in names:
            self.start(name)

    def schedule(self, delay, action, *arguments):
        heappush(
            self.events, (self.now + delay, next(self.event_numbers), action, arguments)
        )

    def run(self, seconds):
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heappop(self.events)
            action(*arguments)
        self.now = end
        for process in self.processes:
            process.set_time(end)

    def start(self, name):
        self.current[name] = Process(self, name, next(self.incarnations))
        self.processes.append(self.current[name])
        self.schedule(0.0, self.tick, self.current[name])

    def kill(self, process):
        process.dead = True

    def pause(self, process):
        if process.paused_at is None:
            process.paused_at = self.now

    def replace(self, process):
        if self.current[process.name] is process:
            self.start(process.name)

    def resume(self, process):
        if process.dead or process.paused_at is None:
            return
        process.paused_at, process.listed = None, True
        inbox, process.inbox = process.inbox, []
        for action, arguments in inbox:
            self.schedule(self.random.choice([0, 0.001]), action, *arguments)
        self.schedule(self.random.choice([0, 0.002]), self.tick, process)
        self.dispatch(process)

    def deliver_list(self, name, live):
        process = self.current[name]
        previous, self.received_list[name] = self.received_list[name], live
        # Section 5.2 gives no bound when both the list and a link fail.
        cut = (n for n in self.names if frozenset((name, n)) in self.cut_links)
        if any(self.lacks_live_member(name, other) for other in cut):
            self.received_list[name] = previous
        process.set_time(self.now)
        process.ledger.set_live_instances(self.received_list[name])

    def lacks_live_member(self, observer, name, both=False):
        """Return whether the list that an observer received lacks a live member."""
        if both and self.lacks_live_member(name, observer):
            return True
        return not self.current[name].dead and name not in self.received_list[observer]

    def refresh_lists(self):
        """Update the platform's list and deliver delayed versions of it."""
        live = [p.name for p in self.current.values() if not p.dead and p.listed]
        self.lists.append(frozenset(live))
        for name in self.names:
            if self.current[name].is_running():
                version = len(self.lists) - self.random.choice([1, 1, 2, 6])
                self.version_sent[name] = max(self.version_sent[name], version)
                self.deliver_list(name, self.lists[self.version_sent[name]])
        self.schedule(2 * TICK_S, self.refresh_lists)

    def tick(self, process):
        if not process.is_running():
            return
        process.set_time(self.now)
        ledger = process.ledger
        ledger.tick()
        for name in self.names:
            if name != process.name:
                self.send(process, name, ledger.heartbeat(), process.clock.monotonic())
        self.dispatch(process)
        self.check_slots()
        self.schedule(TICK_S, self.tick, process)

    def send(self, process, name, message, sent_at):
        if self.is_lost(process.name, name):
            return
        target = self.current[name]
        if target.dead:
            self.schedule(
                self.delay(), self.handle, process, self.receive_refusal, name
            )
            return
        for _ in range(2 if self.faulty and self.random.random() < 0.05 else 1):
            arguments = (target, self.answer, process, message, sent_at)
            self.schedule(self.delay(), self.handle, *arguments)

    def handle(self, process, action, *arguments):
        if process.dead:
            return
        if process.paused_at is not None:
            process.inbox.append((self.handle, (process, action, *arguments)))
            return
        process.set_time(self.now)
        action(process, *arguments)
        self.dispatch(process)

    def answer(self, process, sender, message, sent_at):
        answer = process.ledger.receive(message)
        if not self.is_lost(process.name, sender.name):
            arguments = (sender, self.receive_answer, answer, sent_at)
            self.schedule(self.delay(), self.handle, *arguments)

    def receive_answer(self, process, answer, sent_at):
        process.ledger.record_acknowledgement(answer, sent_at)

    def receive_refusal(self, process, name):
        process.ledger.record_refused_connection(name)

    def is_lost(self, source, target):
        if frozenset((source, target)) in self.cut_links:
            return True
        lost = self.faulty and self.random.random() < 0.15
        lost = lost and self.losses[source, target] < MAX_LOSSES_IN_A_ROW
        self.losses[source, target] = self.losses[source, target] + 1 if lost else 0
        return lost

    def delay(self):
        if not self.faulty:
            return 0.0
        return self.random.choice([0.001, 0.01, 0.05, 0.4])

    def dispatch(self, process):
        """Fill a process's free slots with requests of up to the longest deadline."""
        if not self.saturated or not process.is_running():
            return
        process.set_time(self.now)
        ledger = process.ledger
        for server in self.servers:
            while ledger.in_flight(server) < ledger.owned_slots(server):
                ledger.record_request_start(server)
                self.running[server] += 1
                duration = self.random.choice([0.02, 0.5, DEADLINE_S])
                self.schedule(duration, self.finish, process, server)
        self.check_slots()

    def finish(self, process, server):
        """End a request on the server, whether or not its sender is still alive."""
        self.running[server] -= 1
        self.handle(process, lambda sender: sender.ledger.record_request_end(server))

    def check_slots(self):
        for server, slots in self.servers.items():
            owned_slots = sum(
                self.owned_slots(p, server) for p in self.processes if p.is_running()
            )
            if owned_slots > slots or self.running[server] > slots:
                self.violations.append(
                    (self.now, server, owned_slots, self.running[server])
                )

    def owned_slots(self, process, server):
        process.set_time(self.now)
        return process.ledger.owned_slots(server)

    def total_owned(self, name=None):
        """Return the number of slots owned by a member, or by all members."""
        chosen = [self.current[name]] if name else self.current.values()
        chosen = [process for process in chosen if process.is_running()]
        return sum(
            self.owned_slots(p, server) for p in chosen for server in self.servers
        )
