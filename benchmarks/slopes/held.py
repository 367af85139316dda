"""Pending messages for draining destinations: memory, journal, and the cost of a restart with them.

`module`: the engine's bytes by tracemalloc, and the processor time of accepting a message, of recovering one, and of a
turn without events while they are pending.

`journal`: bytes of the file and of the records replayed from it, and the processor time of replaying and rewriting it.

`node`: a real relay that starts with such a journal: the time until it is ready, and its processor time and memory
beyond those of a relay that starts without one.

`long`: a journal of a given number of MB is rewritten.
"""

from __future__ import annotations

import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.slopes import inside, internals
from benchmarks.slopes.processes import TEMPORARY_PREFIX, PlatformProcess, RelayProcess
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.timing import processor_time_us
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import EndpointList, EndpointStatus, Event, ListKind, Message, MessageRecovered

QUEUES = 2280
"""Number of destinations that are down at the target."""
BODY = bytes(range(33, 127)) * 2 + b"x" * 24  # 212 bytes
HOUR_MS = 3_600_000.0
EXTRA_MESSAGES = 1000
FIRST_EXTRA_MESSAGE_ID = 10**7
IDLE_TURNS = 9
SETTLE_S = 1.0
IDLE_S = 3.0
UNREACHABLE = "127.0.0.1:9"
BODIES_A_MB = 16
BODY_64_KIB = b"x" * 65536
REWRITE_MEMORY_FACTOR = 4
"""Upper bound of the memory for rewriting a journal, as a multiple of the journal's size."""


def engine_with_draining() -> DeliveryEngine:
    """Return an engine whose destinations are all draining, so that messages for them stay pending."""
    engine = inside.create_engine(QUEUES)
    draining = inside.endpoints(QUEUES, 1, EndpointStatus.DRAINING)
    engine.handle(1.0, [EndpointList(ListKind.CHANGES, draining)])
    return engine


def measure_engine(count: int) -> Measurements:
    """Measure the engine with `count` pending messages."""
    return measure_acceptance(count) | measure_recovery(count)


def measure_acceptance(count: int) -> Measurements:
    """Measure the memory of `count` pending messages, and the processor time of accepting one more."""
    engine = engine_with_draining()

    def fill() -> None:  # in one turn: only the memory is measured here
        engine.handle(2.0, [Message(number, number % QUEUES, 0, HOUR_MS) for number in range(count)])

    pending_bytes = inside.measure_allocation(fill).size_bytes
    measurements: Measurements = {"module_bytes": float(pending_bytes), "module_bytes_a_message": pending_bytes / count}
    tracemalloc.stop()
    inside.freeze_live_objects()
    extra_messages = [
        Message(FIRST_EXTRA_MESSAGE_ID + number, number % QUEUES, 0, HOUR_MS) for number in range(EXTRA_MESSAGES)
    ]
    measurements["take_on_us"] = processor_time_us(
        lambda: [engine.handle(2.0, [event]) for event in extra_messages]
    ) / len(extra_messages)
    return measurements


def measure_recovery(count: int) -> Measurements:
    """Measure the processor time of recovering `count` messages, and of an idle turn while they are pending."""
    engine = engine_with_draining()
    recovered: list[Event] = [
        MessageRecovered(Message(number, number % QUEUES, 0, HOUR_MS), 1000.0) for number in range(count)
    ]
    all_us = processor_time_us(lambda: engine.handle(2.0, recovered))
    inside.freeze_live_objects()
    return {
        "resume_us": all_us,
        "resume_us_a_message": all_us / count,
        "turn_us": min(processor_time_us(lambda: engine.handle(3.0, [])) for _ in range(IDLE_TURNS)),
    }


def journal_entries(count: int) -> Iterator[tuple[int, dict[str, Any], bytes]]:
    """Generate number, fields and body of `count` messages, under the names that the journal stores."""
    unix_ms = time.time() * 1000
    for number in range(1, count + 1):
        fields = {
            "ident": f"{number:016x}",
            "class": "state",
            "tenant": "acme",
            "dest": number % QUEUES,
            "key": f"{number:032x}",
            "order": 0,
            "taken": round(unix_ms - 1000.0, 1),
            "due": round(unix_ms + HOUR_MS, 1),
        }
        yield number, fields, BODY


def measure_journal(count: int) -> Measurements:
    """Measure the journal of `count` messages: its bytes, replaying it and rewriting it."""
    data = internals.journal_records(journal_entries(count))
    measurements: Measurements = {"file_bytes": float(len(data)), "file_bytes_a_message": len(data) / count}
    replayed_bytes, replayed = inside.measure_allocation(lambda: internals.replay_journal(data))
    measurements |= {"kept_bytes": replayed_bytes, "kept_bytes_a_message": replayed_bytes / count}
    tracemalloc.stop()
    measurements["replay_us"] = processor_time_us(lambda: internals.replay_journal(data))
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        measurements["rewrite_us"] = processor_time_us(
            lambda: internals.rewrite_journal(Path(folder), replayed.values(), internals.UNBOUNDED)
        )
    for name in ("replay_us", "rewrite_us"):
        measurements[f"{name}_a_message"] = float(measurements[name]) / count
    return measurements


def measure_relay(count: int) -> Measurements:
    """Measure a real relay that starts with `count` messages in its journal, less one that starts with none."""
    draining_entries = [inside.discovery_entry(number, number, UNREACHABLE, "DRAINING") for number in range(QUEUES)]
    with PlatformProcess() as platform, tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        platform.set_list(QUEUES, changed=draining_entries)
        with RelayProcess(platform, draining_entries) as empty:
            empty_ready_s = empty.wait_ready()
            time.sleep(SETTLE_S)
            empty_mb = empty.resident_mb()
            empty_us = empty.cpu_us()
        state = Path(folder)
        (state / "journal").write_bytes(internals.journal_records(journal_entries(count)))
        with RelayProcess(platform, draining_entries, state) as relay:
            ready_s = relay.wait_ready()
            time.sleep(SETTLE_S)
            start_us = relay.cpu_us()
            time.sleep(IDLE_S)
            idle_us_a_s = (relay.cpu_us() - start_us) / IDLE_S
            ready_lines = [line for line in relay.log.read_text().splitlines() if '"ready"' in line]
            measurements: Measurements = {
                "ready_wall_ms": ready_s * 1000,
                "ready_over_none_wall_ms": (ready_s - empty_ready_s) * 1000,
                "start_over_none_us": start_us - empty_us,
                "over_none_mb": relay.resident_mb() - empty_mb,
                "at_rest_us_a_s": idle_us_a_s,
            }
    if f'"resumed": {count}' not in "".join(ready_lines):
        measurements["resumed"] = (ready_lines or ["no line says that it is ready"])[-1]
    return measurements


def measure_long_journal(size_mb: int) -> Measurements:
    """Rewrite a journal of `size_mb` whose bodies have 64 KiB each; if that fails, the result is the error.

    Rewriting takes up to `REWRITE_MEMORY_FACTOR` times the journal's size in memory, and is not run if less is free.
    """
    free_kb = int(Path("/proc/meminfo").read_text().partition("MemAvailable:")[2].split()[0])
    half_of_free_mb = free_kb / 1024 / 2
    if half_of_free_mb < REWRITE_MEMORY_FACTOR * size_mb / 2:
        return {"written_bytes": "not run: too little memory is free"}
    messages = internals.journaled_messages(size_mb * BODIES_A_MB, BODY_64_KIB)
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        journal = internals.rewrite_journal(Path(folder), messages, internals.UNBOUNDED)
    return {"written_bytes": f"refused: {journal.error}" if journal.failed else float(journal.size_bytes)}


POINTS = (10_000, 25_000, 50_000, 100_000)
CHECKS = (300_000,)
SERIES = {
    "module": Series("messages", POINTS, CHECKS, measure_engine, 1),
    "journal": Series("messages", POINTS, CHECKS, measure_journal, 1),
    "node": Series("messages", POINTS, CHECKS, measure_relay, 1),
    "long": Series("MB of journal", (256, 512, 1024), (2100,), measure_long_journal, 1),
}
