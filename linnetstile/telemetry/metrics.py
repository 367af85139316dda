"""Metrics in the Prometheus text format, read from a live relay when they are asked for. Names in one place."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Sample:
    """One figure: `kind` counter or gauge, labels in the order of their names."""

    name: str
    kind: str
    help: str
    value: float
    labels: tuple[tuple[str, str], ...] = ()


PREFIX = "linnetstile_"
MOST_LABELS = 500  # series of one name: bounds what names from peers can make of a page


def page(samples: Iterable[Sample]) -> bytes:
    """The page that a scraper reads."""
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
    from prometheus_client.metrics_core import Metric
    from prometheus_client.registry import Collector

    families: dict[str, Metric] = {}
    series: dict[str, int] = {}
    for each in samples:
        name = PREFIX + each.name
        if series.get(name, 0) >= MOST_LABELS:
            continue
        series[name] = series.get(name, 0) + 1
        if name not in families:
            made = CounterMetricFamily if each.kind == "counter" else GaugeMetricFamily
            families[name] = made(name, each.help, labels=[label for label, _ in each.labels])
        family = families[name]
        assert isinstance(family, CounterMetricFamily | GaugeMetricFamily)
        family.add_metric([value for _, value in each.labels], each.value)

    class Live(Collector):
        def collect(self) -> Iterator[Metric]:
            return iter(families.values())

    registry = CollectorRegistry(auto_describe=False)
    registry.register(Live())
    return generate_latest(registry)
