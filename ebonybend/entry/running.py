"""Requests in flight on each backend server, and what a crash says about them."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred

from ebonybend.entry.requests import SteeredRequest
from ebonybend.steering.suspects import SuspectRegistry

# Longest time that a caller's answer waits for a crash notice to reach the control.
NOTICE_TIMEOUT_S = 0.3


@define(eq=False)
class Running:
    """A request in flight on a backend server."""

    server: str
    request: SteeredRequest
    # The crash that ended this request has been counted with another one.
    counted: bool = False


@define
class RunningRequests:
    """All requests in flight, by backend server."""

    suspects: SuspectRegistry
    # Sends a report to the control; fires when the control has it.
    push_notice: Callable[[], Deferred[Any]]
    reactor: Any
    by_server: dict[str, dict[Running, None]] = field(factory=dict)
    # Servers that run one suspect request and take no other.
    exclusive: set[str] = field(factory=set)
    # Notices on their way to the control, by server.
    _notices: dict[str, Deferred[Any]] = field(factory=dict)

    def add(self, server: str, request: SteeredRequest) -> Running:
        """Note that a request starts on a server."""
        running = Running(server, request)
        self.by_server.setdefault(server, {})[running] = None
        return running

    def remove(self, running: Running) -> None:
        """Note that a request ended."""
        self.by_server[running.server].pop(running, None)

    def idle(self, server: str) -> bool:
        """Tell whether no request of this entry is in flight on a server."""
        return not self.by_server.get(server)

    async def lost(self, running: Running) -> None:
        """Count a crash once for all requests it ended, then notify the control.

        Returns when the control has the notice, or after NOTICE_TIMEOUT_S.
        """
        if not running.counted:
            together = list(self.by_server[running.server])
            for other in together:
                other.counted = True
            prints = [other.request.fingerprint for other in together]
            alone = running.server in self.exclusive
            self.suspects.record_crash(prints, alone, running.server)
            running.request.log.warning(
                "server_lost", server=running.server, suspects=prints, alone=alone
            )
            self._notices[running.server] = self.push_notice()
        await self._wait(self._notices.get(running.server))

    async def _wait(self, notice: Deferred[Any] | None) -> None:
        """Wait for a notice that several requests wait for."""
        if notice is None or notice.called:
            return
        done: Deferred[None] = Deferred(lambda _: None)

        def fire(result: Any) -> Any:
            if not done.called:
                done.callback(None)
            return result

        notice.addBoth(fire)
        timer = self.reactor.callLater(NOTICE_TIMEOUT_S, fire, None)
        await done
        if timer.active():
            timer.cancel()
