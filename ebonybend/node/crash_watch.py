"""Record requests that servers don't answer, and find out which servers ended."""

from collections.abc import Callable, Mapping, Sequence
from math import inf
from typing import Any

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ebonybend.logs import get_logger
from ebonybend.node.backend_connection import LossReason
from ebonybend.node.backend_pool import BackendPool, BackendUnreachable
from ebonybend.node.caller_requests import ClientRequest
from ebonybend.node.decisions import LineBudget
from ebonybend.node.refusal_trials import NoTrials, TrialClaims
from ebonybend.steering.crash_suspects import CRASHES_TO_REFUSE
from ebonybend.steering.crashes import CrashDetector
from ebonybend.steering.culprits import identify
from ebonybend.steering.server_state import ServerTable, TrackedServer
from ebonybend.world import BackendServer, LifeState
from ebonybend.world.backend_server import ServerProcess

# A server that ends closes its connections and its port at nearly the same time.
CHECK_DELAY_S = 0.05
# Shortest time between two checks of a server, which may be short of connections.
CHECK_PERIOD_S = 1.0
# Longest time for which a request waits for a check of the server that lost it: the
# delay of the check and several round trips between regions.
MAX_CHECK_WAIT_S = 0.5
# Losses after which the server may have ended.
POSSIBLE_ENDS = frozenset(
    {LossReason.CLOSED, LossReason.UNACKNOWLEDGED, LossReason.MALFORMED}
)
# Longest time for which a refused request waits for the permit to try it.
MAX_CLAIM_WAIT_S = 0.5
# Crashes that a log line names.
MAX_LOGGED_CRASHES = 6
NO_TRIALS = NoTrials()
# Lines per second about lost requests.
MAX_LOSS_LINES_PER_S = 50

# Called with a server, the crashes by request, what showed its end, and whether its
# process was not known to have ended.
OnEnd = Callable[[str, Mapping[str, int], str, bool], None]


def log_end(server: str, evidence: str) -> None:
    """Log that the process of a server has ended."""
    get_logger().info("server_process_ended", server=server, evidence=evidence)


def log_crashes(server: str, crashes: Mapping[str, int], evidence: str) -> None:
    """Log the crashes that are known for the requests that a server ran."""
    if crashes:
        get_logger().warning(
            "crash_counted", server=server, crashes=dict(crashes), evidence=evidence
        )


def log_cleared(suspect: str, crashes: Sequence[str], reason: str) -> None:
    """Log that a request is no longer refused, with the crashes that it was for."""
    get_logger().warning(
        "suspect_cleared", suspect=suspect, crashes=crashes, reason=reason
    )


def describe_crashes(crashes: Sequence[str]) -> Sequence[str]:
    """Return some crashes for a log line; a name is server/start/earlier ends."""
    return crashes[:MAX_LOGGED_CRASHES]


def _do_nothing() -> None:
    """Tell nobody."""


def log_end_and_crashes(
    server: str, crashes: Mapping[str, int], evidence: str, is_new: bool
) -> None:
    """Log the end of a server's process, and the crashes that it counts as."""
    if is_new:
        log_end(server, evidence)
    log_crashes(server, crashes, evidence)


class CrashWatch:
    """Tell the crash detector and the server table what this node's requests show."""

    def __init__(
        self,
        reactor: Any,
        pool: BackendPool,
        detector: CrashDetector,
        table: ServerTable,
        on_end: OnEnd = log_end_and_crashes,
        trials: TrialClaims = NO_TRIALS,
        on_cleared: Callable[[], None] = _do_nothing,
    ):
        self.reactor = reactor
        self.pool = pool
        self.detector = detector
        self.table = table
        # Called with a server that ended, and the crashes counted for its requests.
        self.on_end = on_end
        self.trials = trials
        # Called when a trial ended the refusal of a request.
        self.on_cleared = on_cleared
        # Times of the last or next check of each process.
        self.checks: dict[ServerProcess, float] = {}
        # Requests that wait for the end of a check, for each process.
        self.waiting: dict[ServerProcess, list[Deferred[None]]] = {}
        self.lines = LineBudget(MAX_LOSS_LINES_PER_S)

    def is_refused(self, request: ClientRequest) -> bool:
        """Return whether a request has crashed too many servers."""
        detector = self.detector
        return detector.has_suspects() and detector.is_refused(fingerprint_of(request))

    def explain_refusal(self, request: ClientRequest) -> str:
        """Return for which suspect a request is refused, with its known crashes."""
        fingerprint = fingerprint_of(request)
        suspect = next(iter(self.detector.refusing(fingerprint)), fingerprint)
        crashes = describe_crashes(self.detector.crashes_of(suspect))
        return f"suspect {suspect}, crashes: {' '.join(crashes) or 'told'}"

    async def may_try(self, request: ClientRequest) -> bool:
        """Return whether a refused request may be sent once, for all nodes together.

        Waits for the store if a trial is due.
        """
        if request.may_have_run:
            return False
        if request.is_trial:
            return True
        refusing = self.detector.refusing(fingerprint_of(request))
        if not refusing:
            return True
        since_crash_s = min(map(self.detector.since_crash_s, refusing))
        claim = Deferred.fromCoroutine(self.trials.claim(refusing[0], since_crash_s))
        claim.addErrback(_log_claim_failure)
        # Not the claim itself is awaited, as it goes on if the client leaves.
        permitted: Deferred[bool] = Deferred()
        timer = self.reactor.callLater(MAX_CLAIM_WAIT_S, permitted.callback, False)
        claim.addCallback(self._end_claim, refusing[0], permitted)
        try:
            request.is_trial = await permitted
        finally:
            if timer.active():
                timer.cancel()
        return request.is_trial

    def _end_claim(
        self, is_permitted: bool, fingerprint: str, waiting: Deferred[bool]
    ) -> None:
        """Tell the request that waits for a permit, or keep it for the next one."""
        if not waiting.called:
            waiting.callback(is_permitted)
        elif is_permitted:
            self.trials.give_back(fingerprint)

    def end_unsent_trial(self, request: ClientRequest) -> None:
        """Keep the permit of a trial that no server ran, for the next time."""
        for name in self.detector.refusing(fingerprint_of(request))[:1]:
            self.trials.give_back(name)

    def record_answered(self, request: ClientRequest) -> None:
        """End the refusal of a request whose trial a server ran and answered."""
        if not request.is_trial:
            return
        refusing = self.detector.refusing(fingerprint_of(request))
        for name in refusing:
            crashes = describe_crashes(self.detector.crashes_of(name))
            if self.detector.clear(name):
                log_cleared(name, crashes, "a trial was answered")
        if refusing:
            self.on_cleared()

    def record_success(self, request: ClientRequest) -> None:
        """Record that a request ran without a crash."""
        self.detector.record_success(fingerprint_of(request))

    def record_alive(self, server: BackendServer, since: float) -> None:
        """Record that a server's process answered what was sent at a time."""
        self.detector.record_alive(server.process, since)
        if self.table.record_alive(server.process, since, self.reactor.seconds()):
            self.detector.record_return(server.process)
            get_logger().info("server_process_returned", server=server.name)

    def record_lost(
        self,
        request: ClientRequest,
        tracked: TrackedServer,
        loss: LossReason | None = None,
    ) -> None:
        """Record a request without an answer, unless its server's end is planned.

        If the loss may show it, find out whether the server has ended.
        """
        server = tracked.server
        if server.state is not LifeState.LIVE or tracked.states_leaving:
            return
        if loss in POSSIBLE_ENDS:
            self._start_check(server)
        name = fingerprint_of(request)
        self.detector.record_lost_request(server.process, name)
        if loss is LossReason.ABORTED:
            return
        if self.lines.allow(self.reactor.seconds()):
            get_logger().info(
                "request_lost",
                server=server.name,
                request_id=request.request_id.decode("latin-1"),
                suspect=name,
                caller=request.caller,
                loss=loss.value if loss else "no answer in time",
            )

    async def wait_for_check(
        self, request: ClientRequest, server: BackendServer
    ) -> None:
        """Wait for a check of a server if its end would make the request refused."""
        crashes = self.detector.crash_count(fingerprint_of(request))
        waiting = self.waiting.get(server.process)
        if waiting is None or crashes + 1 < CRASHES_TO_REFUSE:
            return
        checked: Deferred[None] = Deferred()
        waiting.append(checked)
        timeout = deferLater(self.reactor, MAX_CHECK_WAIT_S)
        await DeferredList([checked, timeout], fireOnOneCallback=True)

    def record_connection_lost(self, server: BackendServer) -> None:
        """Find out whether a server has ended that closed a connection."""
        state = self.table.states.get(server.name)
        is_leaving = state is None or state.states_leaving
        if not is_leaving and state.server.state is LifeState.LIVE:
            self._start_check(server)

    def record_end(self, server: BackendServer, evidence: str) -> None:
        """Record that a server's process has ended."""
        now = self.reactor.seconds()
        is_new = self.table.record_end(server.process, now)
        crashes = self.detector.record_end(server.process)
        self.on_end(server.name, crashes, evidence, is_new)

    def _start_check(self, server: BackendServer) -> None:
        """Check a server soon, since no other request for it may follow."""
        now = self.reactor.seconds()
        checks = {p: at for p, at in self.checks.items() if at > now - CHECK_PERIOD_S}
        last_at = checks.get(server.process, -inf)
        if last_at <= now:
            at = max(now + CHECK_DELAY_S, last_at + CHECK_PERIOD_S)
            checks[server.process] = at
            self.waiting.setdefault(server.process, [])
            checking = Deferred.fromCoroutine(self._check(server, at - now))
            checking.addErrback(_log_check_failure)
            checking.addBoth(self._end_check, server.process)
        self.checks = checks

    async def _check(self, server: BackendServer, delay_s: float) -> None:
        await deferLater(self.reactor, delay_s)
        started = self.reactor.seconds()
        try:
            connection = await self.pool.connect(server)
        except BackendUnreachable as failure:
            if failure.refused:
                self.record_end(server, "refused connection")
            return
        closed_at = self.pool.closed_all_alone(server)
        if closed_at is not None and self.table.record_end(server.process, closed_at):
            # It shows no crash, since the network may have closed the connections.
            self.on_end(server.name, {}, "closed all connections", True)
        self.record_alive(server, started)
        self.pool.add_idle(server, connection)

    def _end_check(self, _result: None, process: ServerProcess) -> None:
        for checked in self.waiting.pop(process, ()):
            checked.callback(None)


def _log_claim_failure(failure: Failure) -> bool:
    get_logger().error("claim_failed", error=failure.getErrorMessage())
    return False


def _log_check_failure(failure: Failure) -> None:
    get_logger().error("check_failed", error=failure.getErrorMessage())


def fingerprint_of(request: ClientRequest) -> str:
    """Return what a request has in common with itself when it comes again."""
    return identify(
        request.method, request.route.host, request.uri, request.body, request.caller
    )
