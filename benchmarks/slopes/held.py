"""Messages held, for destinations that drain: memory, journal, and what a restart with them takes.

`module`: bytes by tracemalloc, and the processor time of taking one on, of the same one resumed, and of a turn beside
them. `journal`: bytes of the file and of what is read from it, processor time of replay and rewriting. `node`: a real
process that finds such a journal: time until it is ready, processor time until then, memory over the same with none.
`long`: a journal of so many MB is written anew.
"""

from __future__ import annotations

import tempfile
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from benchmarks.slopes import inside, program
from benchmarks.slopes.harness import Found, Series, timed
from benchmarks.slopes.outside import Child, Node
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import EndpointList, EndpointStatus, Event, ListKind, Message, MessageRecovered

QUEUES = 2280  # destinations that are down, as at the target
BODY = bytes(range(33, 127)) * 2 + b"x" * 24  # 212 bytes
HOUR_MS = 3_600_000.0


def drained() -> DeliveryEngine:
    relay = inside.relay(QUEUES)
    relay.handle(1.0, [EndpointList(ListKind.CHANGES, inside.entries(QUEUES, 1, EndpointStatus.DRAINING))])
    return relay


def module(count: int) -> Found:
    return taken_on(count) | resumed(count)


def taken_on(count: int) -> Found:
    relay = drained()

    def fill() -> None:  # all at once: what a turn takes beside them is measured below
        relay.handle(2.0, [Message(ident, ident % QUEUES, 0, HOUR_MS) for ident in range(count)])

    held_bytes, _ = inside.traced(fill)
    told: Found = {"module_bytes": float(held_bytes), "module_bytes_a_message": held_bytes / count}
    tracemalloc.stop()
    inside.still()
    more = [Message(10**7 + number, number % QUEUES, 0, HOUR_MS) for number in range(1000)]
    told["take_on_us"] = timed(lambda: [relay.handle(2.0, [event]) for event in more]) / len(more)
    return told


def resumed(count: int) -> Found:
    relay = drained()
    back: list[Event] = [MessageRecovered(Message(ident, ident % QUEUES, 0, HOUR_MS), 1000.0) for ident in range(count)]
    all_us = timed(lambda: relay.handle(2.0, back))
    inside.still()
    return {
        "resume_us": all_us,
        "resume_us_a_message": all_us / count,
        "turn_us": min(timed(lambda: relay.handle(3.0, [])) for _ in range(9)),
    }


def written(count: int) -> Iterator[tuple[int, dict[str, Any], bytes]]:
    unix = time.time() * 1000
    for ident in range(1, count + 1):
        fields = {
            "ident": f"{ident:016x}",
            "class": "state",
            "tenant": "acme",
            "dest": ident % QUEUES,
            "key": f"{ident:032x}",
            "order": 0,
            "taken": round(unix - 1000.0, 1),
            "due": round(unix + HOUR_MS, 1),
        }
        yield ident, fields, BODY


def journal(count: int) -> Found:
    data = program.records(written(count))
    told: Found = {"file_bytes": float(len(data)), "file_bytes_a_message": len(data) / count}
    kept_bytes, kept = inside.traced(lambda: program.replayed(data))
    told |= {"kept_bytes": kept_bytes, "kept_bytes_a_message": kept_bytes / count}
    tracemalloc.stop()
    told["replay_us"] = timed(lambda: program.replayed(data))
    with tempfile.TemporaryDirectory(prefix="linnetstile-slopes-") as folder:
        told["rewrite_us"] = timed(lambda: program.rewritten(Path(folder), kept.values(), 1 << 40))
    for name in ("replay_us", "rewrite_us"):
        told[f"{name}_a_message"] = float(told[name]) / count
    return told


def node(count: int) -> Found:
    drains = [inside.server(cell, cell, "127.0.0.1:9", "DRAINING") for cell in range(QUEUES)]
    with Child() as child, tempfile.TemporaryDirectory(prefix="linnetstile-slopes-") as folder:
        child.list(QUEUES, changes=drains)
        with Node(child, drains) as empty:
            base_ready = empty.ready()
            time.sleep(1.0)
            base_mb, base_us = empty.resident(), empty.cpu()
        state = Path(folder)
        (state / "journal").write_bytes(program.records(written(count)))
        with Node(child, drains, state) as made:
            ready = made.ready()
            time.sleep(1.0)
            before = made.cpu()
            time.sleep(3.0)
            beside = (made.cpu() - before) / 3
            resumed = [line for line in made.log.read_text().splitlines() if '"ready"' in line]
            told: Found = {
                "ready_wall_ms": ready * 1000,
                "ready_over_none_wall_ms": (ready - base_ready) * 1000,
                "start_over_none_us": before - base_us,
                "over_none_mb": made.resident() - base_mb,
                "at_rest_us_a_s": beside,
            }
    if f'"resumed": {count}' not in "".join(resumed):
        told["resumed"] = (resumed or ["no line says that it is ready"])[-1]
    return told


def long(mb: int) -> Found:
    """A journal of so many MB is written anew, of bodies of 64 KiB: the error, if it can't be. It takes up to four
    times its size in memory, and is not run where half of what is free is less."""
    meminfo = Path("/proc/meminfo").read_text().partition("MemAvailable:")[2].split()
    if int(meminfo[0]) / 1024 < 2 * 4 * mb / 2:
        return {"written_bytes": "not run: too little memory is free"}
    kept = program.filler(mb * 16, b"x" * 65536)
    with tempfile.TemporaryDirectory(prefix="linnetstile-slopes-") as folder:
        size, failed, error = program.rewritten(Path(folder), kept, 1 << 40)
    return {"written_bytes": f"refused: {error}" if failed else float(size)}


POINTS, CHECKS = (10_000, 25_000, 50_000, 100_000), (300_000,)
SERIES = {
    "module": Series("messages", POINTS, CHECKS, module, 1),
    "journal": Series("messages", POINTS, CHECKS, journal, 1),
    "node": Series("messages", POINTS, CHECKS, node, 1),
    "long": Series("MB of journal", (256, 512, 1024), (2100,), long, 1),
}
