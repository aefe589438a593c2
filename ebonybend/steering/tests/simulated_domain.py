"""Entries of one failure domain that exchange heartbeats over a faulty network."""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random

from ebonybend.clock import ManualClock
from ebonybend.steering import SlotLedger

HOLD_S = 2.0
DEADLINE_S = 5.0
TICK_S = 0.25
# Longer series of losses count as a cut link.
MOST_LOSSES = 3


class Process:
    def __init__(self, domain, name, incarnation):
        self.name = name
        # Clocks differ in offset and by up to 0.5% in rate.
        self.offset = domain.random.uniform(0, 1e6)
        self.rate = domain.random.uniform(0.995, 1.005)
        self.clock = ManualClock()
        self.dead = False
        self.paused_at = None
        # Whether the platform lists it as live during a pause.
        self.listed = True
        self.inbox = []
        self.set_time(domain.now)
        self.ledger = SlotLedger(name, incarnation, self.clock, HOLD_S, DEADLINE_S)
        self.ledger.set_roster(domain.names)
        self.ledger.set_servers(domain.servers)

    def set_time(self, now):
        self.clock.now = self.offset + now * self.rate

    def runs(self):
        return not self.dead and self.paused_at is None


class SimulatedDomain:
    def __init__(self, names, servers, seed=None):
        self.names, self.servers = names, servers
        # Without a seed the network is perfect.
        self.random = Random(seed)
        self.faulty = seed is not None
        self.now = 0.0
        self.events, self.order = [], count()
        self.incarnations = count(1)
        self.processes, self.current = [], {}
        self.cuts, self.losses = set(), Counter()
        self.running = Counter()
        self.lists = [frozenset(names)]
        self.versions = dict.fromkeys(names, 0)
        self.received = dict.fromkeys(names, frozenset(names))
        self.greedy = False
        self.excess = []
        for name in names:
            self.start(name)

    def at(self, delay, action, *arguments):
        heappush(self.events, (self.now + delay, next(self.order), action, arguments))

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
        self.at(0.0, self.tick, self.current[name])

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
            self.at(self.random.choice([0, 0.001]), action, *arguments)
        self.at(self.random.choice([0, 0.002]), self.tick, process)
        self.dispatch(process)

    def deliver_list(self, name, live):
        process = self.current[name]
        before, self.received[name] = self.received[name], live
        # Section 5.2 gives no bound for a list and a link that both fail.
        cut = (n for n in self.names if frozenset((name, n)) in self.cuts)
        if any(self.misjudges(name, other) for other in cut):
            self.received[name] = before
        process.set_time(self.now)
        process.ledger.set_live_instances(self.received[name])

    def misjudges(self, observer, name, both=False):
        """Return whether the list that an observer has lacks a live member."""
        if both and self.misjudges(name, observer):
            return True
        return not self.current[name].dead and name not in self.received[observer]

    def refresh_lists(self):
        """Update the platform's list and hand out late versions of it."""
        live = [p.name for p in self.current.values() if not p.dead and p.listed]
        self.lists.append(frozenset(live))
        for name in self.names:
            if self.current[name].runs():
                version = len(self.lists) - self.random.choice([1, 1, 2, 6])
                self.versions[name] = max(self.versions[name], version)
                self.deliver_list(name, self.lists[self.versions[name]])
        self.at(2 * TICK_S, self.refresh_lists)

    def tick(self, process):
        if not process.runs():
            return
        process.set_time(self.now)
        ledger = process.ledger
        ledger.tick()
        for name in self.names:
            if name != process.name:
                self.send(process, name, ledger.heartbeat(), process.clock.monotonic())
        self.dispatch(process)
        self.check()
        self.at(TICK_S, self.tick, process)

    def send(self, process, name, message, sent_at):
        if self.is_lost(process.name, name):
            return
        target = self.current[name]
        if target.dead:
            self.at(self.delay(), self.handle, process, self.refused, name)
            return
        for _ in range(2 if self.faulty and self.random.random() < 0.05 else 1):
            arguments = (target, self.answer, process, message, sent_at)
            self.at(self.delay(), self.handle, *arguments)

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
            arguments = (sender, self.acknowledge, answer, sent_at)
            self.at(self.delay(), self.handle, *arguments)

    def acknowledge(self, process, answer, sent_at):
        process.ledger.record_acknowledgement(answer, sent_at)

    def refused(self, process, name):
        process.ledger.record_refused_connection(name)

    def is_lost(self, source, target):
        if frozenset((source, target)) in self.cuts:
            return True
        lost = self.faulty and self.random.random() < 0.15
        lost = lost and self.losses[source, target] < MOST_LOSSES
        self.losses[source, target] = self.losses[source, target] + 1 if lost else 0
        return lost

    def delay(self):
        if not self.faulty:
            return 0.0
        return self.random.choice([0.001, 0.01, 0.05, 0.4])

    def dispatch(self, process):
        """Fill the free slots of a process with requests up to the longest deadline."""
        if not self.greedy or not process.runs():
            return
        process.set_time(self.now)
        ledger = process.ledger
        for server in self.servers:
            while ledger.in_flight(server) < ledger.owned(server):
                ledger.record_request_start(server)
                self.running[server] += 1
                duration = self.random.choice([0.02, 0.5, DEADLINE_S])
                self.at(duration, self.finish, process, server)
        self.check()

    def finish(self, process, server):
        """End a request on the server, whether or not its sender still lives."""
        self.running[server] -= 1
        self.handle(process, lambda sender: sender.ledger.record_request_end(server))

    def check(self):
        for server, slots in self.servers.items():
            owned = sum(self.owned(p, server) for p in self.processes if p.runs())
            if owned > slots or self.running[server] > slots:
                self.excess.append((self.now, server, owned, self.running[server]))

    def owned(self, process, server):
        process.set_time(self.now)
        return process.ledger.owned(server)

    def total(self, name=None):
        """Return the slots owned by a member, or by all members together."""
        chosen = [self.current[name]] if name else self.current.values()
        chosen = [process for process in chosen if process.runs()]
        return sum(self.owned(p, server) for p in chosen for server in self.servers)
