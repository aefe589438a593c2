"""Read metrics of a process."""

from prometheus_client.parser import text_string_to_metric_families

from bench.http_calls import call


def read_metric(address: str, name: str) -> float:
    """Return the sum of a metric's samples, or -1 unless /metrics answers 200."""
    answer = call("GET", address, "/metrics")
    if answer.status != 200:
        return -1.0
    text = answer.body.decode()
    samples = [
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    ]
    return sum(samples)
