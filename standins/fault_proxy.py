"""Forward TCP connections with delays, rate limits and faults between addresses."""

import sys
from pathlib import Path
from typing import Any

from absl import flags
from attrs import frozen
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ebonybend.addresses import split_address
from ebonybend.codec import from_json
from ebonybend.http_router import Router
from ebonybend.http_server import (
    IncomingRequest,
    OutgoingAnswer,
    json_answer,
)
from standins.command import LISTEN_BACKLOG, TrackingSite, listen, parse_flags, run
from standins.proxy_flow import Flow, LinkClock
from standins.proxy_rules import Effect, Listener, ProxyConfig, effect_for, port_closed
from standins.proxy_target import TargetWatch

CONNECT_TIMEOUT_S = 5.0


@frozen
class LinkUse:
    """What a link carried since the start."""

    name: str
    carried_bytes: int


@frozen
class ProxyCounts:
    """The proxy's state."""

    connections: int
    listening: tuple[str, ...]
    links: tuple[LinkUse, ...]


class _CallerSide(Protocol):
    """The side of a connection that the caller opened."""

    pair: "Pair"

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        peer = self.transport.getPeer()
        self.pair = Pair(self.factory.proxy, self.factory.listener, peer.host, self)
        self.pair.open()

    def dataReceived(self, data: bytes) -> None:
        self.pair.forward.receive(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.pair.caller_closed(reason.check(ConnectionDone) is not None)


class _CallerFactory(Factory):
    """Accept connections on one listener."""

    noisy = False
    protocol = _CallerSide

    def __init__(self, proxy: "Proxy", listener: Listener):
        self.proxy = proxy
        self.listener = listener


class _TargetSide(Protocol):
    """The side of a connection that the proxy opened."""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.factory.pair.target_connected(self.transport)

    def dataReceived(self, data: bytes) -> None:
        self.factory.pair.back.receive(data)

    def connectionLost(self, reason: Any = None) -> None:
        clean = reason.check(ConnectionDone) is not None
        self.factory.pair.target_closed(clean)


class _TargetFactory(ClientFactory):
    """Connect one pair to its target."""

    noisy = False
    protocol = _TargetSide

    def __init__(self, pair: "Pair"):
        self.pair = pair

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.pair.cut()


class Pair:
    """A caller's connection and the one to the target."""

    def __init__(self, proxy: "Proxy", listener: Listener, source: str, caller: Any):
        self.proxy = proxy
        self.listener = listener
        self.source = source
        self.caller = caller.transport
        self.target: Any = None
        self.forward = Flow(proxy.reactor, proxy.links, self.cut)
        self.back = Flow(proxy.reactor, proxy.links, self.cut)
        self.forward.source = self.back.sink = self.caller
        self.half_open = False
        self.closed = False

    def open(self) -> None:
        """Connect to the target, from the caller's own address."""
        self.proxy.pairs.add(self)
        self.apply(self.proxy.effect(self.source, self.listener.listen))
        if self.closed or self.half_open:
            return
        host, port = split_address(self.listener.target)
        self.proxy.reactor.connectTCP(
            host,
            port,
            _TargetFactory(self),
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.source, 0),
        )

    def apply(self, effect: Effect) -> None:
        """Apply the rules to the connection."""
        self.forward.set_effect(effect.forward)
        self.back.set_effect(effect.back)
        if effect.cut:
            self.cut()
        elif effect.half_open and not self.half_open:
            self.half_open = True
            if self.target is not None:
                self.target.abortConnection()

    def target_connected(self, transport: Any) -> None:
        """Start to pass bytes."""
        self.target = transport
        if self.closed or self.half_open:
            transport.abortConnection()
            return
        self.forward.sink = self.back.source = transport
        self.forward.wake()

    def caller_closed(self, clean: bool) -> None:
        """Close the target's side once the bytes before the end have passed."""
        self.back.stop()
        self.back.sink = self.forward.source = None
        self.proxy.pairs.discard(self)
        self.forward.end(clean)

    def target_closed(self, clean: bool) -> None:
        """Close the caller's side once the bytes before the end have passed."""
        self.forward.stop()
        self.forward.sink = self.back.source = None
        if not self.half_open:
            self.back.end(clean)

    def cut(self) -> None:
        """Reset both sides."""
        self.closed = True
        self.forward.stop()
        self.back.stop()
        for transport in (self.caller, self.target):
            if transport is not None:
                transport.abortConnection()


class Door:
    """One listener, open while its target accepts connections and no rule cuts it."""

    def __init__(self, proxy: "Proxy", listener: Listener):
        self.proxy = proxy
        self.listener = listener
        self.target_up = False
        self.port: Any = None
        self.watch = TargetWatch(proxy.reactor, listener.target, self.target_changed)

    def target_changed(self, up: bool) -> None:
        """Open or close the listener with its target."""
        self.target_up = up
        self.update()

    def update(self) -> None:
        """Open or close the listener as the target and the rules ask."""
        open_now = self.target_up and not port_closed(
            self.proxy.config, self.listener.listen
        )
        if open_now and self.port is None:
            host, port = split_address(self.listener.listen)
            factory = _CallerFactory(self.proxy, self.listener)
            self.port = self.proxy.reactor.listenTCP(
                port, factory, backlog=LISTEN_BACKLOG, interface=host
            )
        elif not open_now and self.port is not None:
            self.port.stopListening()
            self.port = None

    def stop(self) -> None:
        """Close the listener for good."""
        self.watch.stop()
        if self.port is not None:
            self.port.stopListening()
            self.port = None


class Proxy:
    """All listeners, links and connections."""

    def __init__(self, reactor: Any):
        self.reactor = reactor
        self.config = ProxyConfig()
        self.links: dict[str, LinkClock] = {}
        self.doors: dict[Listener, Door] = {}
        self.pairs: set[Pair] = set()
        self.effects: dict[tuple[str, str], Effect] = {}

    def effect(self, source: str, target: str) -> Effect:
        """Return what applies to a connection."""
        key = (source, target)
        if key not in self.effects:
            self.effects[key] = effect_for(self.config, source, target)
        return self.effects[key]

    def set_config(self, config: ProxyConfig) -> None:
        """Replace the configuration and apply it to the open connections."""
        self.config = config
        self.effects.clear()
        for link in config.links:
            clock = self.links.setdefault(link.name, LinkClock(link.bytes_per_second))
            clock.bytes_per_second = link.bytes_per_second
        for gone in set(self.doors) - set(config.listeners):
            self.doors.pop(gone).stop()
        for listener in config.listeners:
            if listener in self.doors:
                self.doors[listener].update()
            else:
                self.doors[listener] = Door(self, listener)
        for pair in tuple(self.pairs):
            pair.apply(self.effect(pair.source, pair.listener.listen))

    def counts(self) -> ProxyCounts:
        """Return the proxy's state."""
        listening = (x.listen for x, door in self.doors.items() if door.port)
        links = (LinkUse(name, x.carried_bytes) for name, x in self.links.items())
        return ProxyCounts(len(self.pairs), tuple(sorted(listening)), tuple(links))


def admin_router(proxy: Proxy) -> Router:
    """Return the handler of the admin port."""

    async def post_config(request: IncomingRequest) -> OutgoingAnswer:
        proxy.set_config(from_json(request.body, ProxyConfig))
        return OutgoingAnswer(204)

    async def get_counts(_request: IncomingRequest) -> OutgoingAnswer:
        return json_answer(proxy.counts())

    router = Router()
    router.add("POST", "/config", post_config)
    router.add("GET", "/counts", get_counts)
    return router


def define_flags(values: flags.FlagValues) -> None:
    """Define the flags of the proxy."""
    flags.DEFINE_string("faults", "127.0.0.1:7500", "Admin port.", flag_values=values)
    flags.DEFINE_string("config", None, "First configuration.", flag_values=values)


def main(arguments: list[str]) -> None:
    """Run the proxy until the process is stopped."""
    from twisted.internet import reactor

    values = parse_flags(define_flags, arguments)

    async def start() -> None:
        proxy = Proxy(reactor)
        if values["config"].value:
            text = Path(values["config"].value).read_bytes()
            proxy.set_config(from_json(text, ProxyConfig))
        site = TrackingSite(reactor, admin_router(proxy))
        listen(reactor, values["faults"].value, site)

    run(reactor, start)


if __name__ == "__main__":
    main(sys.argv)
