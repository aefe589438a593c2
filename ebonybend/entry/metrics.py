"""Prometheus metrics of the entry process."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from ebonybend.errors import ErrorKind

# Seconds; the deadlines are 1 ms to 60 s.
LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 60)


class EntryMetrics:
    """The metrics of one entry process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registered = {"registry": self.registry}
        self.latency = Histogram(
            "ebonybend_request_seconds",
            "Time from receipt to answer.",
            ("service", "region"),
            buckets=LATENCY_BUCKETS_S,
            **registered,
        )
        self.refusals = Counter(
            "ebonybend_refusals", "Refusals by kind.", ("kind",), **registered
        )
        self.lookups = Counter("ebonybend_lookups", "Look-ups.", **registered)
        self.retries = Counter(
            "ebonybend_retries", "Attempts after the first.", **registered
        )
        self.in_flight = Gauge(
            "ebonybend_server_in_flight",
            "Requests in flight by backend server.",
            ("server",),
            **registered,
        )
        self.limit = Gauge(
            "ebonybend_server_limit",
            "In-flight limit by backend server.",
            ("server",),
            **registered,
        )
        self.cap_units = Gauge(
            "ebonybend_cap_units",
            "Requests per second that this entry may send under a rule.",
            ("rule",),
            **registered,
        )
        self.table_age = Gauge(
            "ebonybend_table_age_seconds", "Age of the routing table.", **registered
        )
        self.revision = Gauge(
            "ebonybend_rules_revision", "Rules revision in force.", **registered
        )
        # labels() takes a lock and builds a tuple per call, so its results are cached.
        self._latencies: dict[tuple[str, str], Histogram] = {}

    def record_answer(self, service: str, region: str, seconds: float) -> None:
        """Count an answered request."""
        child = self._latencies.get((service, region))
        if child is None:
            child = self.latency.labels(service, region)
            self._latencies[(service, region)] = child
        child.observe(seconds)

    def record_refusal(self, kind: ErrorKind) -> None:
        """Count a refusal."""
        self.refusals.labels(kind.value).inc()

    def render(self) -> tuple[bytes, str]:
        """Return the text of all metrics and its content type."""
        return generate_latest(self.registry), CONTENT_TYPE_LATEST
