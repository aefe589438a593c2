"""Construct and connect the components that handle requests in one entry process."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import Deferred

from ebonybend.clock import Clock
from ebonybend.entry.budgets import RegionBudgets
from ebonybend.entry.dispatch import LocalDispatcher
from ebonybend.entry.domains import DomainOptions
from ebonybend.entry.forwarder import Forwarder
from ebonybend.entry.hops import HopClient
from ebonybend.entry.metrics import EntryMetrics
from ebonybend.entry.owner import KeyOwner
from ebonybend.entry.peer_client import PeerClient
from ebonybend.entry.replication import OutcomeFinder, Replicator
from ebonybend.entry.running import RunningRequests
from ebonybend.entry.steer import Steering
from ebonybend.entry.table_state import TableState
from ebonybend.http_client import HttpClient
from ebonybend.settings import Settings
from ebonybend.steering.admission import Admission
from ebonybend.steering.choice import DomainChooser, ServerChooser
from ebonybend.steering.keys import KeyRegistry
from ebonybend.steering.outcomes import OutcomeStore
from ebonybend.steering.retries import RetryBudget
from ebonybend.steering.slots import SlotLedger
from ebonybend.steering.suspects import SuspectRegistry
from ebonybend.steering.table import Table

MS = 1000.0


class DataPlane:
    """All components that handle requests; uses a reactor but opens no port."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        clock: Clock,
        http: HttpClient,
        incarnation: int,
        random: Random,
        send_crash_notice: Callable[[], Deferred[Any]],
    ):
        own = settings.instance
        hold_s = settings.hold_ms / MS
        self.table_state = TableState(own, clock)
        self.metrics = EntryMetrics()
        self.peers = PeerClient(http)
        self.suspects = SuspectRegistry(clock)
        longest_s = settings.longest_deadline_ms / MS
        self.ledger = SlotLedger(own, incarnation, clock, hold_s, longest_s)
        self.admission = Admission(self.ledger, clock)
        self.chooser = ServerChooser(self.admission, clock, random)
        self.registry = KeyRegistry(own, incarnation, clock)
        self.outcome_store = OutcomeStore(clock)
        self.running = RunningRequests(self.suspects, send_crash_notice, reactor)
        self.budgets = RegionBudgets(reactor, clock, self.table_state, random, hold_s)
        self.local = LocalDispatcher(
            reactor,
            clock,
            http,
            self.table_state,
            self.admission,
            self.chooser,
            self.running,
        )
        self.hops = HopClient(clock, http, self.table_state, random)
        self.domain_options = DomainOptions(
            clock,
            self.table_state,
            self.admission,
            self.chooser,
            self.budgets.link_utilisation,
        )
        self.forwarder = Forwarder(
            clock,
            self.table_state,
            self.local,
            self.hops,
            DomainChooser(clock, random),
            self.domain_options,
            self.budgets,
            self.suspects,
            RetryBudget(clock),
            self.metrics,
        )
        self.replicator = Replicator(
            reactor, self.table_state, self.registry, self.peers
        )
        self.owner = KeyOwner(
            reactor,
            clock,
            self.table_state,
            self.registry,
            self.forwarder,
            self.hops,
            OutcomeFinder(self.table_state, self.outcome_store, self.peers),
            self.replicator,
        )
        self.steering = Steering(self.forwarder, self.owner)
        self.table_state.listeners.append(self._apply_table)

    def _apply_table(self, table: Table) -> None:
        rules = self.table_state.rules
        self.admission.set_drained(rules.drained_servers)
        self.set_server_states(table)
        self.suspects.merge(*table.suspects)
        for pardoned in rules.pardons:
            self.suspects.pardon(pardoned)

    def set_server_states(self, table: Table) -> None:
        """Apply the server states of a table to the admission control."""
        for view in table.servers:
            state = self.table_state.server_state(view)
            self.admission.set_state(view.name, state)
