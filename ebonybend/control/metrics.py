"""Metrics of the control process for Prometheus."""

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from ebonybend.control.core import ControlCore

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "ebonybend_control_"


class ControlMetrics(Collector):
    """Collect the state of the process at each scrape."""

    def __init__(self, core: ControlCore):
        self.core = core
        self.registry = CollectorRegistry()
        self.registry.register(self)
        ProcessCollector(registry=self.registry)

    def text(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Return the current values of all metrics."""
        yield from self._gauges()
        yield from self._counters()
        yield self._servers()

    def _gauges(self) -> Iterator[GaugeMetricFamily]:
        core = self.core
        waiting = core.status.waiting_for(core.rules.revision)
        yield _gauge("ready", "1 once synchronised.", core.synchronised)
        yield _gauge("rules_revision", "Newest revision known.", core.rules.revision)
        yield _gauge(
            "rules_revision_entry",
            "Revision in force on the own entry process.",
            core.entry.rules_revision,
        )
        yield _gauge(
            "instances_behind", "Listed instances without the revision.", len(waiting)
        )
        yield _gauge("watching", "1 while it watches the platform.", core.feed.watching)
        yield _gauge(
            "platform_age_seconds",
            "Time since the platform answered this control.",
            core.feed.contact_age_s(),
        )
        yield _gauge("suspects", "Suspect requests.", len(core.suspects.views()))
        yield _gauge(
            "probes_frozen", "1 while all probes fail at once.", core.prober.frozen
        )
        yield _gauge(
            "audit_waiting", "Events not written yet.", len(core.audit.pending)
        )

    def _counters(self) -> Iterator[CounterMetricFamily]:
        core = self.core
        yield _counter("audit_dropped", "Events lost.", core.audit.dropped)
        yield _counter("exchanges", "Exchanges started.", core.exchange.started)
        yield _counter(
            "exchanges_failed", "Exchanges without a reply.", core.exchange.failed
        )
        yield _counter("exchanges_answered", "Requests.", core.exchange.answered)
        yield _counter("tables", "Tables built.", core.builder.serial)
        for name, value in core.traffic().items():
            yield _counter(name, "Calls or bytes of bodies since the start.", value)

    def _servers(self) -> GaugeMetricFamily:
        states = GaugeMetricFamily(
            f"{PREFIX}servers", "Backend servers by state.", labels=["state"]
        )
        counts: dict[str, int] = {}
        for view in self.core.builder.servers():
            counts[view.state.value] = counts.get(view.state.value, 0) + 1
        for state, count in sorted(counts.items()):
            states.add_metric([state], count)
        return states


def _gauge(name: str, help_text: str, value: float) -> GaugeMetricFamily:
    return GaugeMetricFamily(PREFIX + name, help_text, value=float(value))


def _counter(name: str, help_text: str, value: float) -> CounterMetricFamily:
    return CounterMetricFamily(PREFIX + name, help_text, value=float(value))
