from testtools import TestCase
from twisted.internet.task import Clock

from standins.proxy_flow import Flow, LinkSchedule
from standins.proxy_rules import (
    DirectionEffect,
    ProxyConfig,
    ProxyRule,
    effect_for,
    is_port_closed,
)


class Sink:
    def __init__(self):
        self.data = b""
        self.ended = None

    def write(self, data):
        self.data += data

    def loseConnection(self):
        self.ended = "closed"

    def abortConnection(self):
        self.ended = "reset"


class FlowTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.links = {"a>b": LinkSchedule(1000.0)}
        self.resets = []
        self.flow = Flow(self.clock, self.links, lambda: self.resets.append(1))
        self.flow.sink = self.sink = Sink()

    def test_bytes_keep_their_order_when_the_delay_becomes_shorter(self):
        self.flow.set_effect(DirectionEffect(delay_s=1.0))
        self.flow.receive(b"first ")
        self.flow.set_effect(DirectionEffect())
        self.flow.receive(b"second")
        self.assertEqual(b"", self.sink.data)
        self.clock.advance(1.0)
        self.assertEqual(b"first second", self.sink.data)

    def test_link_rate_is_shared_by_connections(self):
        other = Flow(self.clock, self.links, lambda: None)
        other.sink = Sink()
        for flow in (self.flow, other):
            flow.set_effect(DirectionEffect(links=("a>b",)))
            flow.receive(b"x" * 1000)
        self.clock.advance(1.0)
        self.assertEqual((1000, 0), (len(self.sink.data), len(other.sink.data)))
        self.clock.advance(1.0)
        self.assertEqual(1000, len(other.sink.data))

    def test_end_of_stream_arrives_after_queued_bytes(self):
        self.flow.set_effect(DirectionEffect(delay_s=0.1))
        self.flow.receive(b"last")
        self.flow.record_source_close(clean=False)
        self.clock.advance(0.05)
        self.assertIsNone(self.sink.ended)
        self.clock.advance(0.05)
        self.assertEqual((b"last", "reset"), (self.sink.data, self.sink.ended))

    def test_frozen_direction_retains_queued_bytes(self):
        self.flow.set_effect(DirectionEffect(frozen=True))
        self.flow.receive(b"kept")
        self.clock.advance(9.0)
        self.assertEqual(b"", self.sink.data)
        self.flow.set_effect(DirectionEffect())
        self.assertEqual(b"kept", self.sink.data)

    def test_truncation_forwards_bytes_up_to_the_limit_and_resets(self):
        self.flow.set_effect(DirectionEffect(truncate_after=5))
        self.flow.receive(b"abc")
        self.flow.receive(b"defg")
        self.clock.advance(1.0)
        self.assertEqual((b"abcde", [1]), (self.sink.data, self.resets))


class EffectTest(TestCase):
    def test_one_way_freeze_does_not_affect_the_other_direction(self):
        rule = ProxyRule(name="x", action="freeze", direction="back")
        effect = effect_for(ProxyConfig(rules=(rule,)), "127.1.1.1", "127.1.2.1:1")
        self.assertEqual((False, True), (effect.forward.frozen, effect.back.frozen))

    def test_rules_apply_only_to_matching_source_and_target(self):
        rule = ProxyRule(name="x", source="127.1.1.", target="127.1.2.", delay_ms=8)
        config = ProxyConfig(rules=(rule,))
        self.assertEqual(
            [0.008, 0.0, 0.0],
            [
                effect_for(config, source, target).forward.delay_s
                for source, target in (
                    ("127.1.1.1", "127.1.2.1:1"),
                    ("127.1.3.1", "127.1.2.1:1"),
                    ("127.1.1.1", "127.1.22.1:1"),
                )
            ],
        )

    def test_only_a_cut_of_all_sources_closes_the_port(self):
        partial = ProxyRule(name="x", source="127.1.1.", action="cut")
        full = ProxyRule(name="y", target="127.1.2.", action="cut")
        self.assertFalse(is_port_closed(ProxyConfig(rules=(partial,)), "127.1.2.1:1"))
        self.assertTrue(is_port_closed(ProxyConfig(rules=(full,)), "127.1.2.1:1"))
