"""Measures the processor time and memory that a list of destinations costs one simulated relay."""

from __future__ import annotations

import contextlib
import gc
import random
import time
import tracemalloc
from dataclasses import dataclass, field, replace

from ...engine.engine import DeliveryEngine
from . import scenarios
from .discovery_model import FIRST_VERSION, ChangeKind
from .options import RACK_FAILURE_SCENARIO, ScaleOptions
from .platform_model import PlatformModel
from .relay_engine import create_engine
from .watch_reader import WatchReader

CHANGES_PER_KIND = 24
"""Changes of each kind that are measured; the cost of the kind is their mean."""
MEASURED_KINDS = (ChangeKind.NEW_WEIGHT, ChangeKind.REPLACED, ChangeKind.DRAINED, ChangeKind.ADDED)
CHANGE_SEED = 1
ENGINE_SEED = 1


@dataclass(slots=True)
class ListCost:
    """Cost of one list of destinations in one simulated relay.

    Attributes:
        destinations: Destinations on the list.
        list_bytes: Size of the list on the wire.
        endpoint_count: Endpoints that the relay knows after reading the list; 0 if it refused the list.
        list_ms: Processor time of reading the list.
        change_ms: By kind of change, mean processor time of one change.
        change_bytes: Mean size of a change on the wire.
        memory_bytes: Bytes that the interpreter has allocated for directory and engine.
        peak_memory_bytes: Largest value of `memory_bytes` while the list was read.
    """

    destinations: int
    list_bytes: int
    endpoint_count: int
    list_ms: float
    change_ms: dict[ChangeKind, float] = field(default_factory=dict)
    change_bytes: float = 0.0
    memory_bytes: int = 0
    peak_memory_bytes: int = 0

    def to_json(self) -> dict[str, float]:
        """Return the row of the report; it includes the changes if the relay accepted the list."""
        row: dict[str, float] = {
            "destinations": self.destinations,
            "list_bytes": self.list_bytes,
            "known": self.endpoint_count,
            "list_ms": self.list_ms,
        }
        for kind, cost_ms in self.change_ms.items():
            row[f"{kind.value}_ms"] = cost_ms
            row["change_bytes"] = self.change_bytes
        row["bytes"] = self.memory_bytes
        row["bytes_largest"] = self.peak_memory_bytes
        return row


def measure_list_cost(options: ScaleOptions, destinations: int) -> ListCost:
    """Measure a list with this number of destinations: reading it, one change of each kind, and its memory."""
    platform = scenarios.build(replace(options, destinations=destinations, in_use=2, scenes=(RACK_FAILURE_SCENARIO,)))
    line = platform.discovery.full_list(FIRST_VERSION)
    began = time.thread_time()
    reader, engine = _read_list(platform, line)
    cost = ListCost(destinations, len(line), reader.endpoint_count, (time.thread_time() - began) * 1000)
    if reader.endpoint_count:
        _measure_changes(cost, platform, reader, engine)
    del reader, engine
    _measure_memory(cost, platform, line)
    return cost


def _measure_changes(cost: ListCost, platform: PlatformModel, reader: WatchReader, engine: DeliveryEngine) -> None:
    rng = random.Random(CHANGE_SEED)
    for kind in MEASURED_KINDS:
        changes = [
            platform.discovery.change(kind, rng.randrange(cost.destinations), 1.0, rng) for _ in range(CHANGES_PER_KIND)
        ]
        began = time.thread_time()
        for change in changes:
            for event in reader.read(change.line):
                engine.handle(1.0, [event])
        cost.change_ms[kind] = (time.thread_time() - began) * 1000 / CHANGES_PER_KIND
        mean_bytes = sum(len(change.line) for change in changes) / CHANGES_PER_KIND
        cost.change_bytes += mean_bytes / len(MEASURED_KINDS)


def _measure_memory(cost: ListCost, platform: PlatformModel, line: bytes) -> None:
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    reader, engine = _read_list(platform, line)
    gc.collect()
    current, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    cost.memory_bytes = current - before
    cost.peak_memory_bytes = peak - before
    assert reader.endpoint_count == cost.endpoint_count
    del engine  # kept alive until here so that the measured memory includes it


def _read_list(platform: PlatformModel, line: bytes) -> tuple[WatchReader, DeliveryEngine]:
    """Return the reader and engine of a relay after one list, which it may have refused."""
    reader = WatchReader()
    engine = create_engine(platform, 0, ENGINE_SEED)
    with contextlib.suppress(ValueError):
        for event in reader.read(line):
            engine.handle(0.0, [event])
    return reader, engine
