"""Track the requests in flight on each backend server, and report crashes."""

from collections.abc import Callable
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred

from ebonybend.entry.requests import SteeredRequest
from ebonybend.steering.suspects import SuspectRegistry

# Longest delay of a client's answer while a crash notice is sent to the control.
NOTICE_TIMEOUT_S = 0.3


@define(eq=False)
class RunningRequest:
    """A request in flight on a backend server."""

    server: str
    request: SteeredRequest
    # Whether the crash that ended this request was counted for another request.
    crash_counted: bool = False


@define
class RunningRequests:
    """All requests in flight, by backend server."""

    suspects: SuspectRegistry
    # Sends a report to the control; the Deferred fires when the call has ended.
    send_crash_notice: Callable[[], Deferred[Any]]
    reactor: Any
    by_server: dict[str, dict[RunningRequest, None]] = field(factory=dict)
    # Servers that run an isolated request and must get no other one.
    exclusive: set[str] = field(factory=set)
    # The last crash notice to the control, by server.
    _notices: dict[str, Deferred[Any]] = field(factory=dict)

    def add(self, server: str, request: SteeredRequest) -> RunningRequest:
        """Record the start of a request on a server."""
        running = RunningRequest(server, request)
        self.by_server.setdefault(server, {})[running] = None
        return running

    def remove(self, running: RunningRequest) -> None:
        """Record the end of a request."""
        self.by_server[running.server].pop(running, None)

    def is_idle(self, server: str) -> bool:
        """Return whether no request of this entry is in flight on a server."""
        return not self.by_server.get(server)

    async def report_crash(self, running: RunningRequest) -> None:
        """Count a crash once for all requests that it ended, and notify the control.

        Wait until the notice is sent, at most for NOTICE_TIMEOUT_S.
        """
        if not running.crash_counted:
            affected = list(self.by_server[running.server])
            for other in affected:
                other.crash_counted = True
            fingerprints = [other.request.fingerprint for other in affected]
            isolated = running.server in self.exclusive
            self.suspects.record_crash(fingerprints, isolated, running.server)
            running.request.log.warning(
                "server_lost",
                server=running.server,
                suspects=fingerprints,
                alone=isolated,
            )
            self._notices[running.server] = self.send_crash_notice()
        await self._wait(self._notices.get(running.server))

    async def _wait(self, notice: Deferred[Any] | None) -> None:
        """Wait for a notice; several requests may wait for the same one."""
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
