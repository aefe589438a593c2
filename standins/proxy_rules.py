"""The configuration of the fault proxy and its effect on one connection."""

from typing import Literal

from attrs import field, frozen

Action = Literal["none", "cut", "freeze", "half_open"]
Direction = Literal["both", "forward", "back"]


@frozen
class Listener:
    """An address where the proxy listens and the target that it forwards to."""

    listen: str
    target: str


@frozen
class ProxyLink:
    """A one-way link whose capacity all its connections share."""

    name: str
    bytes_per_second: float


@frozen(kw_only=True)
class ProxyRule:
    """A fault or delay on the connections from some sources to some listeners.

    Source and target are prefixes of the text "ip:port"; an empty one matches all.
    Forward is the direction from the client to the target.
    """

    name: str
    source: str = ""
    target: str = ""
    direction: Direction = "both"
    # One-way delay.
    delay_ms: float = 0.0
    # Names of the links whose capacity the bytes of each direction use.
    forward_link: str | None = None
    back_link: str | None = None
    # "cut" resets connections; it also closes the port if it matches all sources.
    # "freeze" keeps connections open and forwards nothing. "half_open" closes the
    # target's side and keeps the client's side open.
    action: Action = "none"
    # Number of bytes in the rule's direction after which a connection is reset.
    truncate_after: int | None = None

    def matches(self, source: str, target: str) -> bool:
        """Return whether the rule applies to a connection."""
        return source.startswith(self.source) and target.startswith(self.target)


@frozen
class ProxyConfig:
    """The complete configuration; a POST to /config replaces it."""

    listeners: tuple[Listener, ...] = ()
    links: tuple[ProxyLink, ...] = ()
    rules: tuple[ProxyRule, ...] = ()


@frozen
class DirectionEffect:
    """The combined effect of the rules on one direction of a connection."""

    delay_s: float = 0.0
    links: tuple[str, ...] = ()
    frozen: bool = False
    truncate_after: int | None = None


@frozen
class ConnectionEffect:
    """The combined effect of the rules on one connection."""

    reset: bool = False
    half_open: bool = False
    forward: DirectionEffect = field(factory=DirectionEffect)
    back: DirectionEffect = field(factory=DirectionEffect)


def _direction_effect(
    rules: list[ProxyRule], direction: Direction, links: list[str | None]
) -> DirectionEffect:
    matching = [rule for rule in rules if rule.direction in ("both", direction)]
    truncations = [x.truncate_after for x in matching if x.truncate_after is not None]
    return DirectionEffect(
        sum(rule.delay_ms for rule in matching) / 1000,
        tuple(link for link in links if link is not None),
        any(rule.action == "freeze" for rule in matching),
        min(truncations, default=None),
    )


def effect_for(config: ProxyConfig, source: str, target: str) -> ConnectionEffect:
    """Return the combined effect of the rules that match a connection."""
    rules = [rule for rule in config.rules if rule.matches(source, target)]
    actions = {rule.action for rule in rules}
    return ConnectionEffect(
        "cut" in actions,
        "half_open" in actions,
        _direction_effect(rules, "forward", [rule.forward_link for rule in rules]),
        _direction_effect(rules, "back", [rule.back_link for rule in rules]),
    )


def is_port_closed(config: ProxyConfig, target: str) -> bool:
    """Return whether a rule cuts a listener from all sources."""
    return any(
        rule.action == "cut" and not rule.source and target.startswith(rule.target)
        for rule in config.rules
    )
