"""The metrics of a relay. Scrapers and dashboards depend on their names, help texts and labels."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from ..engine.fair_share import BYTES, MESSAGES
from ..telemetry.metrics import MetricSample
from .connections_view import connections_view
from .relay_view import RelayView
from .slow_partners_view import slow_partners_view


def metric_samples(relay: RelayView) -> Iterator[MetricSample]:
    """Yield all samples of a relay at this moment."""
    yield from _counters("events", "What the relay did, by name.", relay.counts)
    yield from _counters("listener", "Connections refused or let go, by bound.", relay.listener.counts)
    yield from _counters("pool", "Connections to partners.", relay.pool.counts)
    yield from _counters("room", "Asks for room, by what came of them.", relay.admission.fair_share.counts)
    yield from _connection_samples(relay)
    yield from _memory_samples(relay)
    yield from _capacity_samples(relay)
    yield from _slow_partner_samples(relay)


def _counters(name: str, help_text: str, counts: Mapping[str, int]) -> Iterator[MetricSample]:
    for counter, count in counts.items():
        yield MetricSample(name, "counter", help_text, count, (("what", counter),))


def _connection_samples(relay: RelayView) -> Iterator[MetricSample]:
    for side_and_phase, count in connections_view(relay).phases.items():
        side, _, phase = side_and_phase.partition(" ")
        yield MetricSample("connections", "gauge", "Open connections.", count, (("side", side), ("phase", phase)))


def _memory_samples(relay: RelayView) -> Iterator[MetricSample]:
    fair_share = relay.admission.fair_share
    for index, name in ((BYTES, "bytes"), (MESSAGES, "messages")):
        help_text = "Held for messages and bodies under way."
        yield MetricSample(f"held_{name}", "gauge", help_text, fair_share.used[index])
        yield MetricSample(f"room_{name}", "gauge", "The bound on what is held.", fair_share.capacity[index])
        for tree, root in fair_share.trees.items():
            for node in root.children.values():
                yield MetricSample(
                    f"party_held_{name}",
                    "gauge",
                    "Held by tenant (from) or partner (to).",
                    node.used[index],
                    (("tree", tree), ("party", node.name)),
                )


def _capacity_samples(relay: RelayView) -> Iterator[MetricSample]:
    settings = relay.settings
    help_text = "Requests that are not read on for want of room."
    yield MetricSample("waiting_for_room", "gauge", help_text, len(relay.admission.waiting))
    yield MetricSample("slots_out", "gauge", "Calls out.", relay.engine.in_flight)
    yield MetricSample("slots", "gauge", "Calls that may be out.", settings.limits.slots)
    yield MetricSample("memory_bound_bytes", "gauge", "What the process is to stay under.", settings.max_memory_bytes())


def _slow_partner_samples(relay: RelayView) -> Iterator[MetricSample]:
    for row in slow_partners_view(relay).shown_rows:
        labels = (("partner", row.partner),)
        is_slow = float(row.slow_s is not None)
        yield MetricSample("partner_slow", "gauge", "1 while the partner counts as slow.", is_slow, labels)
        yield MetricSample("partner_slot_ms", "gauge", "Slot time of an attempt.", row.slot_ms, labels)
