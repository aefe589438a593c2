"""Command-line flags, listening ports and the main loop of the stubs."""

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from absl import flags
from twisted.internet.defer import Deferred
from twisted.web.http import HTTPChannel

from ebonybend.addresses import split_address
from ebonybend.http_answers import Handler
from ebonybend.http_server import HttpLimits, HttpSite

# The platform accepts values of up to 1 MB.
DEFAULT_LIMITS = HttpLimits(max_body_bytes=(1 << 20) + 4096, max_connections=5000)
LISTEN_BACKLOG = 512


class TrackingSite(HttpSite):
    """An HTTP site that can reset its open connections."""

    def __init__(
        self, reactor: Any, handler: Handler, limits: HttpLimits = DEFAULT_LIMITS
    ):
        super().__init__(reactor, handler, limits)
        self.channels: set[HTTPChannel] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Accept a connection and track it until it closes."""
        channel = super().buildProtocol(addr)
        self.channels = {x for x in self.channels if x.transport is not None}
        self.channels.add(channel)
        return channel

    def reset_all(self) -> None:
        """Reset every open connection."""
        for channel in self.channels:
            reset_connection(channel)
        self.channels.clear()


def reset_connection(channel: Any) -> None:
    """Reset a connection."""
    if channel is not None and channel.transport is not None:
        channel.transport.abortConnection()


def listen(reactor: Any, address: str, site: HttpSite) -> Any:
    """Listen on an address "ip:port" and return the listening port."""
    host, port = split_address(address)
    return reactor.listenTCP(port, site, backlog=LISTEN_BACKLOG, interface=host)


def sleep(reactor: Any, seconds: float) -> Deferred[None]:
    """Return a Deferred that fires after a delay; cancelling it stops the timer."""
    done: Deferred[None] = Deferred(lambda _: call.cancel())
    call = reactor.callLater(seconds, done.callback, None)
    return done


def parse_flags(
    define: Callable[[flags.FlagValues], None], arguments: Sequence[str]
) -> flags.FlagValues:
    """Parse the command line; raise SystemExit if it is invalid."""
    values = flags.FlagValues()
    define(values)
    try:
        positional = values(list(arguments))
    except flags.Error as error:
        raise SystemExit(f"error: {error}") from error
    if len(positional) > 1:
        raise SystemExit(f"error: unexpected argument {positional[1]!r}")
    return values


def run(reactor: Any, start: Callable[[], Awaitable[None]]) -> None:
    """Run the reactor until the process is stopped; exit with 1 if start fails."""
    failures = []

    def stop_on_failure(failure: Any) -> None:
        failures.append(failure.getErrorMessage())
        reactor.stop()

    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(start()).addErrback(stop_on_failure)
    )
    reactor.run()
    if failures:
        raise SystemExit(f"error: {failures[0]}")
