"""Pending messages for destinations that drain: memory, journal, and what a restart with them takes.

`module`: the engine's bytes by tracemalloc, and the processor time of accepting a message, of recovering one, and of a
turn beside them. `journal`: bytes of the file and of what is read from it, processor time of replay and rewriting.
`node`: a real relay that finds such a journal: time until it is ready, processor time until then, memory over the same
with none. `long`: a journal of so many MB is written anew.
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
"""Destinations that are down, as at the target."""
BODY = bytes(range(33, 127)) * 2 + b"x" * 24  # 212 bytes
HOUR_MS = 3_600_000.0
ADDITIONAL_MESSAGES = 1000
FIRST_ADDITIONAL_MESSAGE = 10**7
IDLE_TURNS = 9
SETTLE_S = 1.0
IDLE_S = 3.0
UNREACHABLE = "127.0.0.1:9"
BODIES_A_MB = 16
BODY_64_KIB = b"x" * 65536
REWRITE_MEMORY_FACTOR = 4
"""Rewriting a journal takes up to so many times its size in memory."""


def engine_with_draining() -> DeliveryEngine:
    """An engine whose destinations all drain, so that messages for them stay pending."""
    engine = inside.create_engine(QUEUES)
    draining = inside.endpoints(QUEUES, 1, EndpointStatus.DRAINING)
    engine.handle(1.0, [EndpointList(ListKind.CHANGES, draining)])
    return engine


def measure_engine(count: int) -> Measurements:
    """The engine with so many pending messages."""
    return measure_acceptance(count) | measure_recovery(count)


def measure_acceptance(count: int) -> Measurements:
    """Memory of so many pending messages, and processor time of one more."""
    engine = engine_with_draining()

    def fill() -> None:  # all at once: what a turn takes beside them is measured below
        engine.handle(2.0, [Message(number, number % QUEUES, 0, HOUR_MS) for number in range(count)])

    pending_bytes = inside.measure_allocation(fill).size_bytes
    found: Measurements = {"module_bytes": float(pending_bytes), "module_bytes_a_message": pending_bytes / count}
    tracemalloc.stop()
    inside.freeze_garbage()
    more = [
        Message(FIRST_ADDITIONAL_MESSAGE + number, number % QUEUES, 0, HOUR_MS) for number in range(ADDITIONAL_MESSAGES)
    ]
    found["take_on_us"] = processor_time_us(lambda: [engine.handle(2.0, [event]) for event in more]) / len(more)
    return found


def measure_recovery(count: int) -> Measurements:
    """Processor time of recovering so many messages, and of a turn beside them."""
    engine = engine_with_draining()
    recovered: list[Event] = [
        MessageRecovered(Message(number, number % QUEUES, 0, HOUR_MS), 1000.0) for number in range(count)
    ]
    all_us = processor_time_us(lambda: engine.handle(2.0, recovered))
    inside.freeze_garbage()
    return {
        "resume_us": all_us,
        "resume_us_a_message": all_us / count,
        "turn_us": min(processor_time_us(lambda: engine.handle(3.0, [])) for _ in range(IDLE_TURNS)),
    }


def journal_entries(count: int) -> Iterator[tuple[int, dict[str, Any], bytes]]:
    """Number, fields and body of so many messages, as the journal has them."""
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
    """The journal of so many messages: its bytes, replaying and rewriting it."""
    data = internals.journal_records(journal_entries(count))
    found: Measurements = {"file_bytes": float(len(data)), "file_bytes_a_message": len(data) / count}
    replayed_bytes, replayed = inside.measure_allocation(lambda: internals.replay_journal(data))
    found |= {"kept_bytes": replayed_bytes, "kept_bytes_a_message": replayed_bytes / count}
    tracemalloc.stop()
    found["replay_us"] = processor_time_us(lambda: internals.replay_journal(data))
    with tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        found["rewrite_us"] = processor_time_us(
            lambda: internals.rewrite_journal(Path(folder), replayed.values(), internals.UNBOUNDED)
        )
    for name in ("replay_us", "rewrite_us"):
        found[f"{name}_a_message"] = float(found[name]) / count
    return found


def measure_relay(count: int) -> Measurements:
    """A real relay that starts with so many messages in its journal, over one that starts with none."""
    drains = [inside.discovery_entry(number, number, UNREACHABLE, "DRAINING") for number in range(QUEUES)]
    with PlatformProcess() as platform, tempfile.TemporaryDirectory(prefix=TEMPORARY_PREFIX) as folder:
        platform.set_list(QUEUES, changed=drains)
        with RelayProcess(platform, drains) as empty:
            empty_ready_s = empty.wait_ready()
            time.sleep(SETTLE_S)
            empty_mb = empty.resident_mb()
            empty_us = empty.cpu_us()
        state = Path(folder)
        (state / "journal").write_bytes(internals.journal_records(journal_entries(count)))
        with RelayProcess(platform, drains, state) as relay:
            ready_s = relay.wait_ready()
            time.sleep(SETTLE_S)
            start_us = relay.cpu_us()
            time.sleep(IDLE_S)
            idle_us_a_s = (relay.cpu_us() - start_us) / IDLE_S
            ready_lines = [line for line in relay.log.read_text().splitlines() if '"ready"' in line]
            found: Measurements = {
                "ready_wall_ms": ready_s * 1000,
                "ready_over_none_wall_ms": (ready_s - empty_ready_s) * 1000,
                "start_over_none_us": start_us - empty_us,
                "over_none_mb": relay.resident_mb() - empty_mb,
                "at_rest_us_a_s": idle_us_a_s,
            }
    if f'"resumed": {count}' not in "".join(ready_lines):
        found["resumed"] = (ready_lines or ["no line says that it is ready"])[-1]
    return found


def measure_long_journal(size_mb: int) -> Measurements:
    """A journal of so many MB is written anew, of bodies of 64 KiB: the error, if it can't be.

    It takes up to four times its size in memory, and is not run where half of what is free is less.
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
