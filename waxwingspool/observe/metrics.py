"""Prometheus metrics of the process of ``waxwingspool run``."""

import dataclasses
import functools

import prometheus_client

__all__ = ["Metrics", "create", "labelled"]

# Upper bounds of the latency buckets, in seconds.
LATENCY_BUCKETS_S = (
    *(0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075),
    *(0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Metrics:
    """The metrics of one process.

    :ivar requests: requests by service, rule and outcome.
    :ivar latency: seconds from accepting a request to its outcome, by service and rule.
    :ivar extra_attempts: additional upstream attempts by service and kind (``hedge``, ``retry``).
    :ivar measuring_bytes: bytes of probes by ``scope``: within the region (``region``) or to
        another one (``cross``).
    :ivar measuring_work_ms: upstream work spent on probes, in milliseconds.
    :ivar store_calls: calls of the table by kind (``read``, ``scan``, ``commit``).
    :ivar peer_bytes: bytes to and from peers, by the same ``scope``.
    :ivar config_version: configuration version in force.
    """

    registry: prometheus_client.CollectorRegistry
    requests: prometheus_client.Counter
    latency: prometheus_client.Histogram
    extra_attempts: prometheus_client.Counter
    measuring_bytes: prometheus_client.Counter
    measuring_work_ms: prometheus_client.Counter
    store_calls: prometheus_client.Counter
    peer_bytes: prometheus_client.Counter
    config_version: prometheus_client.Gauge


def create() -> Metrics:
    """Return new metrics in their own registry."""
    registry = prometheus_client.CollectorRegistry()
    prometheus_client.ProcessCollector(registry=registry)

    def counter(name: str, help_text: str, *labels: str) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            f"waxwingspool_{name}", help_text, labels, registry=registry
        )

    return Metrics(
        registry=registry,
        requests=counter("requests", "Requests by outcome", "service", "rule", "outcome"),
        latency=prometheus_client.Histogram(
            "waxwingspool_latency_seconds",
            "Time from accepting a request to its outcome",
            ("service", "rule"),
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        ),
        extra_attempts=counter("extra_attempts", "Hedges and retries", "service", "kind"),
        measuring_bytes=counter("measuring_bytes", "Bytes spent on measuring", "scope"),
        measuring_work_ms=counter("measuring_work_ms", "Upstream work spent on probes"),
        store_calls=counter("store_calls", "Calls of the platform's table", "kind"),
        peer_bytes=counter("peer_bytes", "Bytes to and from peers", "scope"),
        config_version=prometheus_client.Gauge(
            "waxwingspool_config_version", "Configuration version in force", registry=registry
        ),
    )


@functools.cache
def labelled(metric, *values: str):
    """Return the cached child of a metric for the given label values.

    :param metric: a counter or histogram.
    :param values: the label values; their combinations must be few, as the cache is unbounded.
    """
    return metric.labels(*values)
