"""Forward TCP connections, with delays, rate limits and faults by address."""

import sys
from pathlib import Path
from typing import Any

from absl import flags
from attrs import frozen
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from ebonybend.addresses import split_address
from ebonybend.codec import from_json
from ebonybend.http_answers import IncomingRequest, OutgoingAnswer, json_answer
from ebonybend.http_router import Router
from standins.command import LISTEN_BACKLOG, TrackingSite, listen, parse_flags, run
from standins.proxy_flow import Flow, LinkSchedule
from standins.proxy_rules import (
    ConnectionEffect,
    Listener,
    ProxyConfig,
    effect_for,
    is_port_closed,
)
from standins.proxy_target import TargetMonitor

CONNECT_TIMEOUT_S = 5.0


@frozen
class LinkUsage:
    """The bytes that a link has carried since the proxy started."""

    name: str
    carried_bytes: int


@frozen
class ProxyCounts:
    """The connections, listening addresses and link usage of the proxy."""

    connections: int
    listening: tuple[str, ...]
    links: tuple[LinkUsage, ...]


class _ClientSide(Protocol):
    """The connection that a client opened to the proxy."""

    connection: "ProxiedConnection"

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        peer = self.transport.getPeer()
        self.connection = ProxiedConnection(
            self.factory.proxy, self.factory.listener, peer.host, self
        )
        self.connection.connect()

    def dataReceived(self, data: bytes) -> None:
        self.connection.forward.receive(data)

    def connectionLost(self, reason: Any = None) -> None:
        self.connection.handle_client_close(reason.check(ConnectionDone) is not None)


class _ClientSideFactory(Factory):
    """Accept client connections on one listener."""

    noisy = False
    protocol = _ClientSide

    def __init__(self, proxy: "Proxy", listener: Listener):
        self.proxy = proxy
        self.listener = listener


class _TargetSide(Protocol):
    """The connection that the proxy opened to the target."""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.factory.connection.handle_target_connect(self.transport)

    def dataReceived(self, data: bytes) -> None:
        self.factory.connection.back.receive(data)

    def connectionLost(self, reason: Any = None) -> None:
        clean = reason.check(ConnectionDone) is not None
        self.factory.connection.handle_target_close(clean)


class _TargetSideFactory(ClientFactory):
    """Connect a proxied connection to its target."""

    noisy = False
    protocol = _TargetSide

    def __init__(self, connection: "ProxiedConnection"):
        self.connection = connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.connection.reset()


class ProxiedConnection:
    """A client's connection and its counterpart to the target."""

    def __init__(self, proxy: "Proxy", listener: Listener, source: str, client: Any):
        self.proxy = proxy
        self.listener = listener
        self.source = source
        self.client = client.transport
        self.target: Any = None
        self.forward = Flow(proxy.reactor, proxy.links, self.reset)
        self.back = Flow(proxy.reactor, proxy.links, self.reset)
        self.forward.source = self.back.sink = self.client
        self.half_open = False
        self.closed = False

    def connect(self) -> None:
        """Connect to the target from the client's own source address."""
        self.proxy.connections.add(self)
        self.apply_effect(self.proxy.effect_on(self.source, self.listener.listen))
        if self.closed or self.half_open:
            return
        host, port = split_address(self.listener.target)
        self.proxy.reactor.connectTCP(
            host,
            port,
            _TargetSideFactory(self),
            timeout=CONNECT_TIMEOUT_S,
            bindAddress=(self.source, 0),
        )

    def apply_effect(self, effect: ConnectionEffect) -> None:
        """Apply the combined effect of the rules."""
        self.forward.set_effect(effect.forward)
        self.back.set_effect(effect.back)
        if effect.reset:
            self.reset()
        elif effect.half_open and not self.half_open:
            self.half_open = True
            if self.target is not None:
                self.target.abortConnection()

    def handle_target_connect(self, transport: Any) -> None:
        """Start to forward bytes."""
        self.target = transport
        if self.closed or self.half_open:
            transport.abortConnection()
            return
        self.forward.sink = self.back.source = transport
        self.forward.send_due()

    def handle_client_close(self, clean: bool) -> None:
        """Close the target's side once the queued bytes are forwarded."""
        self.back.stop()
        self.back.sink = self.forward.source = None
        self.proxy.connections.discard(self)
        self.forward.record_source_close(clean)

    def handle_target_close(self, clean: bool) -> None:
        """Close the client's side once the queued bytes are forwarded."""
        self.forward.stop()
        self.forward.sink = self.back.source = None
        if not self.half_open:
            self.back.record_source_close(clean)

    def reset(self) -> None:
        """Reset both sides."""
        self.closed = True
        self.forward.stop()
        self.back.stop()
        for transport in (self.client, self.target):
            if transport is not None:
                transport.abortConnection()


class ListeningPort:
    """A port that listens while its target accepts connections and no rule cuts it."""

    def __init__(self, proxy: "Proxy", listener: Listener):
        self.proxy = proxy
        self.listener = listener
        self.is_target_up = False
        self.tcp_port: Any = None
        self.target_monitor = TargetMonitor(
            proxy.reactor, listener.target, self.set_target_up
        )

    def set_target_up(self, up: bool) -> None:
        """Record whether the target accepts connections; update the port."""
        self.is_target_up = up
        self.update()

    def update(self) -> None:
        """Open or close the port according to the target and the rules."""
        should_listen = self.is_target_up and not is_port_closed(
            self.proxy.config, self.listener.listen
        )
        if should_listen and self.tcp_port is None:
            host, port = split_address(self.listener.listen)
            factory = _ClientSideFactory(self.proxy, self.listener)
            self.tcp_port = self.proxy.reactor.listenTCP(
                port, factory, backlog=LISTEN_BACKLOG, interface=host
            )
        elif not should_listen and self.tcp_port is not None:
            self.tcp_port.stopListening()
            self.tcp_port = None

    def stop(self) -> None:
        """Close the port and stop monitoring the target."""
        self.target_monitor.stop()
        if self.tcp_port is not None:
            self.tcp_port.stopListening()
            self.tcp_port = None


class Proxy:
    """A proxy with its listeners, links and connections."""

    def __init__(self, reactor: Any):
        self.reactor = reactor
        self.config = ProxyConfig()
        self.links: dict[str, LinkSchedule] = {}
        self.ports: dict[Listener, ListeningPort] = {}
        self.connections: set[ProxiedConnection] = set()
        self.effect_cache: dict[tuple[str, str], ConnectionEffect] = {}

    def effect_on(self, source: str, target: str) -> ConnectionEffect:
        """Return the combined effect of the rules on a connection."""
        key = (source, target)
        if key not in self.effect_cache:
            self.effect_cache[key] = effect_for(self.config, source, target)
        return self.effect_cache[key]

    def set_config(self, config: ProxyConfig) -> None:
        """Replace the configuration; apply it to open connections as well."""
        self.config = config
        self.effect_cache.clear()
        for link in config.links:
            schedule = self.links.setdefault(
                link.name, LinkSchedule(link.bytes_per_second)
            )
            schedule.bytes_per_second = link.bytes_per_second
        for removed in set(self.ports) - set(config.listeners):
            self.ports.pop(removed).stop()
        for listener in config.listeners:
            if listener in self.ports:
                self.ports[listener].update()
            else:
                self.ports[listener] = ListeningPort(self, listener)
        for connection in tuple(self.connections):
            connection.apply_effect(
                self.effect_on(connection.source, connection.listener.listen)
            )

    def counts(self) -> ProxyCounts:
        """Return the proxy's state."""
        listening = (x.listen for x, port in self.ports.items() if port.tcp_port)
        links = (LinkUsage(name, x.carried_bytes) for name, x in self.links.items())
        return ProxyCounts(
            len(self.connections), tuple(sorted(listening)), tuple(links)
        )


def admin_router(proxy: Proxy) -> Router:
    """Return the router of the admin port."""

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
    """Define the command-line flags."""
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
