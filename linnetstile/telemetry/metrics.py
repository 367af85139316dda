"""Metrics in the Prometheus text format, rendered from a live relay when a scraper asks for them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

PREFIX = "linnetstile_"
MAX_SERIES_PER_NAME = 500  # limits the page size where peers choose label values


@dataclass(frozen=True, slots=True)
class MetricSample:
    """One value of one metric.

    Attributes:
        name: Name of the metric without `PREFIX`.
        kind: "counter" or "gauge".
        help: Description of the metric in one line.
        value: The current value.
        labels: Pairs of label name and label value, in the order of the label names.
    """

    name: str
    kind: str
    help: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


def render_metrics(samples: Iterable[MetricSample]) -> bytes:
    """Return the page that a scraper reads; series of a metric beyond `MAX_SERIES_PER_NAME` are left out."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
    from prometheus_client.metrics_core import Metric
    from prometheus_client.registry import Collector

    families: dict[str, Metric] = {}
    series_counts: dict[str, int] = {}
    for sample in samples:
        name = PREFIX + sample.name
        if series_counts.get(name, 0) >= MAX_SERIES_PER_NAME:
            continue
        series_counts[name] = series_counts.get(name, 0) + 1
        if name not in families:
            family_type = CounterMetricFamily if sample.kind == "counter" else GaugeMetricFamily
            families[name] = family_type(name, sample.help, labels=[label for label, _ in sample.labels])
        family = families[name]
        assert isinstance(family, CounterMetricFamily | GaugeMetricFamily)
        family.add_metric([value for _, value in sample.labels], sample.value)

    class FamiliesCollector(Collector):
        """Provides the metric families of this page to the registry that renders them."""

        def collect(self) -> Iterator[Metric]:
            """Return the metric families of this page."""
            return iter(families.values())

    registry = CollectorRegistry(auto_describe=False)
    registry.register(FamiliesCollector())
    return generate_latest(registry)
