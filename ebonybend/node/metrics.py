"""Prometheus metrics of a node."""

from collections.abc import Collection

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from ebonybend.errors import SteeringError
from ebonybend.steering.crash_suspects import Suspect

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 5, 10)


class NodeMetrics:
    """Counters and latency histograms of one node."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        options = {"registry": self.registry}
        # The histograms come last, since a reader may keep only the first kilobytes.
        self.store_calls = Gauge(
            "ebonybend_store_calls", "Calls to the store since the start.", **options
        )
        self.connections_opened = Gauge(
            "ebonybend_backend_connections_opened",
            "Connections opened to backend servers since the start.",
            **options,
        )
        self.config_version = Gauge(
            "ebonybend_config_version", "Configuration in force.", **options
        )
        self.nodes_alive = Gauge(
            "ebonybend_nodes_alive",
            "Nodes with a recent heartbeat, this one included.",
            **options,
        )
        self.suspects = Gauge(
            "ebonybend_suspects",
            "Requests known to have run on servers that crashed.",
            **options,
        )
        self.refused_suspects = Gauge(
            "ebonybend_suspects_refused", "Suspects that are refused.", **options
        )
        self.most_crashes = Gauge(
            "ebonybend_suspects_most_crashes",
            "Largest number of crashes of a suspect that is not refused.",
            **options,
        )
        self.refusals = Counter(
            "ebonybend_refusals",
            "Requests that failed in this node, by kind of error.",
            ("kind",),
            **options,
        )
        self.answers = Counter(
            "ebonybend_answers",
            "Answers by status; 0 means that the client disconnected.",
            ("route", "status"),
            **options,
        )
        self.latency = Histogram(
            "ebonybend_request_seconds",
            "Time from receipt to answer.",
            ("route",),
            buckets=LATENCY_BUCKETS_S,
            **options,
        )

    def record_outcome(
        self, route: str, status: int, error: SteeringError | None, seconds: float
    ) -> None:
        """Record the outcome of a request."""
        self.latency.labels(route).observe(seconds)
        self.answers.labels(route, str(status)).inc()
        if error is not None:
            self.refusals.labels(error.kind.value).inc()

    def record_suspects(self, suspects: Collection[Suspect]) -> None:
        """Update the gauges of requests that ran on crashed servers."""
        counts = [len(suspect.crashes) for suspect in suspects if not suspect.refused]
        self.suspects.set(len(suspects))
        self.refused_suspects.set(len(suspects) - len(counts))
        self.most_crashes.set(max(counts, default=0))

    def render(self) -> tuple[bytes, str]:
        """Return the metrics as text and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST
