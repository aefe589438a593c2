"""Stop a node within its grace time; abort only the requests still running then."""

from collections.abc import Awaitable, Callable
from math import inf
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from ebonybend.logs import get_logger

POLL_INTERVAL_S = 0.05
# Fraction of the grace time in which new requests are still served, so that clients
# with a cached directory answer meet no refused connection.
SERVING_FRACTION = 0.6
# Time before the end of the grace time at which remaining requests are aborted.
END_MARGIN_S = 0.3
# Time from the start of a stop up to which a request may be accepted that ends in time
# by all that is known of its route, though its deadline is later.
LIKELY_END_PERIOD_S = 3.0


class NodeStop:
    """Serve while clients move to other nodes, then close the ports and exit."""

    def __init__(
        self,
        reactor: Any,
        grace_s: Callable[[], float],
        announce: Callable[[], None],
        close_ports: Callable[[], Awaitable[None]],
        unfinished: Callable[[], int],
        shut_down: Callable[[], None],
    ):
        self.reactor = reactor
        # Returns the time until the process is killed, from the settings in force.
        self.read_grace_s = grace_s
        # The time that this stop uses.
        self.grace_s = inf
        self.announce = announce
        self.close_ports = close_ports
        self.unfinished = unfinished
        self.shut_down = shut_down
        self.stopping = False
        # Times of the start of the stop, and at which remaining requests are aborted.
        self.began_at = inf
        self.ends_at = inf

    def begin_or_abort(self) -> None:
        """Start the stop; a second call exits at once."""
        if self.stopping:
            get_logger().warning("immediate_stop", running=self.unfinished())
            self.shut_down()
            return
        self.begin()

    def begin(self) -> None:
        """Start the stop unless it has begun."""
        if self.stopping:
            return
        self.stopping = True
        self.began_at = self.reactor.seconds()
        self.grace_s = self.read_grace_s()
        self.ends_at = self.began_at + self.grace_s - END_MARGIN_S
        get_logger().info(
            "stop_begins", running=self.unfinished(), grace_s=self.grace_s
        )
        self.announce()
        Deferred.fromCoroutine(self._run()).addErrback(self._on_failure)

    def may_send(self, arrived_at: float, deadline: float, likely_s: float) -> bool:
        """Return whether a request may be sent to a server.

        During a stop, it has to end before the process does, since a request that is
        cut off may have run. Only its deadline bounds its end; how long others took
        shows what is likely, which is enough early in a stop. A client can send a
        refused one to another node.
        """
        if deadline <= self.ends_at:
            return True
        is_early = arrived_at <= self.began_at + LIKELY_END_PERIOD_S
        return is_early and self.reactor.seconds() + likely_s <= self.ends_at

    def _on_failure(self, failure: Any) -> None:
        get_logger().error("stop_failed", error=repr(failure.value))
        self.shut_down()

    async def _run(self) -> None:
        await deferLater(self.reactor, self.grace_s * SERVING_FRACTION)
        await self.close_ports()
        while self.unfinished() and self.reactor.seconds() < self.ends_at:
            await deferLater(self.reactor, POLL_INTERVAL_S)
        # Time for the sockets to send the last answers.
        await deferLater(self.reactor, POLL_INTERVAL_S)
        elapsed_s = self.reactor.seconds() - self.began_at
        get_logger().info("stopped", seconds=round(elapsed_s, 3))
        self.shut_down()
