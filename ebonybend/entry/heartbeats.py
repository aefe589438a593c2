"""Exchange heartbeats with the other entries of the failure domain."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from ebonybend.clock import Clock
from ebonybend.entry.peer_client import PeerClient, run_in_background
from ebonybend.entry.table_state import TableState
from ebonybend.http_client import NotSent, RequestFailed
from ebonybend.steering.slots import Heartbeat, SlotLedger
from ebonybend.steering.table import Table

HEARTBEAT_PATH = "/peer/heartbeat"
HEARTBEAT_INTERVAL_S = 0.25
HEARTBEAT_TIMEOUT_S = 0.5


class HeartbeatLoop:
    """Update the slot ledger and send its heartbeats periodically."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        table_state: TableState,
        ledger: SlotLedger,
        peers: PeerClient,
        on_tick: Callable[[], None],
    ):
        self.reactor = reactor
        self.clock = clock
        self.table_state = table_state
        self.ledger = ledger
        self.peers = peers
        self.on_tick = on_tick
        # Last known addresses, kept for members that are no longer in the table: a
        # refused connection shows that their process has ended.
        self.addresses: dict[str, str] = {}
        self._pending: set[str] = set()
        self._timer: Any = None
        table_state.listeners.append(self._apply_table)

    def start(self) -> None:
        """Start the loop."""
        self._tick()

    def stop(self) -> None:
        """Stop the loop."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _apply_table(self, table: Table) -> None:
        domain = table.deployment.domain(table.failure_domain)
        roster = domain.instances if domain else (self.table_state.own,)
        self.ledger.set_roster(roster)
        self.ledger.set_servers({view.name: view.slots for view in table.servers})
        self.ledger.set_live_instances(
            view.name for view in table.instances if view.listed
        )
        for view in table.instances:
            if view.name in roster:
                self.addresses[view.name] = view.peer_address

    def _tick(self) -> None:
        self._timer = self.reactor.callLater(HEARTBEAT_INTERVAL_S, self._tick)
        self.ledger.tick()
        self.on_tick()
        self.send()

    def send(self, force: bool = False) -> Deferred[Any]:
        """Send a heartbeat to each other member.

        The returned Deferred fires when all calls have ended.

        A member with an unanswered heartbeat gets another one only if force is set.
        """
        names = [name for name in self.addresses if name != self.ledger.own]
        sends = [run_in_background(self._send(name, force)) for name in names]
        return DeferredList(sends)

    async def _send(self, name: str, force: bool) -> None:
        if name in self._pending and not force:
            return
        self._pending.add(name)
        sent_at = self.clock.monotonic()
        try:
            answer = await self.peers.ask(
                self.addresses[name],
                HEARTBEAT_PATH,
                self.ledger.heartbeat(),
                Heartbeat,
                HEARTBEAT_TIMEOUT_S,
            )
            self.ledger.record_acknowledgement(answer, sent_at)
        except NotSent as error:
            if error.refused:
                self.ledger.record_refused_connection(name)
        except RequestFailed:
            # Without an answer the peer's process may still be running.
            pass
        finally:
            self._pending.discard(name)
