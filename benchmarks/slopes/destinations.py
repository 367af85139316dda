"""Destinations that a relay knows of, and two endpoints of each: memory, reading a list, a change, a message, starting.

`memory`: bytes by tracemalloc, in one process: directory, then module. `list` and `list_two`: processor time of reading
the whole list in text, directory and module, and the longest of its steps; then of one change (the best of 7) and of a
message with its answer. `node`: a real process that knows 20 destinations gets the list by its watch: memory over the
same process with 20, time until the last destination of the list is in force, and the longest time that a client
waited for an answer meanwhile; then all once more as the watch is cut. `connections`: memory of a real process by
the connections to endpoints that it keeps.
"""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.slopes import inside, program
from benchmarks.slopes.harness import Found, Series, timed
from benchmarks.slopes.outside import Child, Client, Node, until_listed
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, Event, ListKind

SIZES, TARGET = (1024, 7500, 15_000, 30_000, 60_000), (120_000,)
SMALL, HALF = (1024, 3750, 7500, 15_000), (60_000,)  # where tracing makes it slow
BASE = 20  # destinations of the process that others are compared with
MESSAGES = 300
DAYS_MS = 3 * 86_400_000.0
KEEP: list[Any] = []


def memory(count: int, endpoints: int = 1) -> Found:
    ends = count * endpoints
    data = program.told(inside.servers(count, endpoints), 1, True)

    def read() -> Any:
        directory = program.new_directory()
        events: list[Event] = []
        for told in program.parsed(data)[0]:
            more: list[Event] | None = program.taken(directory, told)
            while more is not None:
                events += more
                more = program.swept(told)
        return directory, events

    size, (directory, events) = inside.traced(read)
    # What the event alone holds is told of apart: it goes once the module has read it.
    relay = inside.relay(1)
    with_module, _ = inside.traced(lambda: relay.handle(1.0, list(events)))
    after, _ = inside.traced(events.clear)
    del directory
    return {
        "directory_bytes": size + after,
        "module_bytes": with_module,
        "directory_bytes_an_endpoint": (size + after) / ends,
        "module_bytes_an_endpoint": with_module / ends,
        "all_mb": (size + with_module + after) / 2**20,
    }


def reading(count: int, endpoints: int = 1) -> Found:
    """The whole list from its text to the module, then `at_rest`. Where the inner parts are not to be had, the module
    alone is measured."""
    told, events = read_in(count, endpoints)
    relay = DeliveryEngine(inside.settings(), 1)
    turns = [timed(partial(relay.handle, 0.0, [event])) for event in events]
    module = sum(turns)
    told["module_us"] = module
    text, directory, longest = told.get("text_us"), told.get("directory_us"), told.get("longest_step_us")
    if isinstance(text, float) and isinstance(directory, float) and isinstance(longest, float):
        told["all_us_an_endpoint"] = (text + directory + module) / count / endpoints
        told["longest_step_us"] = max(longest, *turns)  # the module has its turn after the directory's step
    events.clear()
    return told | at_rest(relay, count, endpoints)


def read_in(count: int, endpoints: int) -> tuple[Found, list[Event]]:
    """From the text to events for the module. The bytes that complete a text, or a part of it, bring that to the
    directory in one go."""
    data, bound = program.told(inside.servers(count, endpoints), 1, True), program.bound_bytes()
    sizes: Found = {
        "list_bytes": float(len(data)),
        "list_bytes_an_endpoint": len(data) / count / endpoints,
        "within_bound": "yes" if bound is None or len(data) <= bound else f"refused: over {bound} bytes",
    }
    found: dict[str, Any] = {}

    def text() -> None:
        found["text"] = program.parsed(data)

    def put(told: Any) -> None:
        found["more"] = program.taken(found["directory"], told)

    def sweep(told: Any) -> None:
        found["more"] = program.swept(told)

    def directory() -> None:
        found["events"], found["longest"] = [], 0.0
        for told in found["text"][0]:
            step = put
            while True:
                found["longest"] = max(found["longest"], timed(partial(step, told)))
                if found["more"] is None:
                    break
                found["events"] += found["more"]
                step = sweep

    try:
        found["directory"] = program.new_directory()
        text_us, directory_us = timed(text), timed(directory)
        sizes |= {
            "text_us": text_us,
            "directory_us": directory_us,
            "longest_step_us": found["text"][1] + found["longest"],
        }
        events: list[Event] = found["events"]
    except Exception as error:  # whatever a changed inner surface raises
        sizes["text_us"] = f"not measured: {error!r}"
        events = [EndpointList(ListKind.FULL, inside.entries(count, endpoints))]
    KEEP.append(found.get("directory"))  # as in a node, whose collections see it
    return sizes, events


def at_rest(relay: DeliveryEngine, count: int, endpoints: int) -> Found:
    """A module that knows of so many: a change, a message, a turn."""
    inside.still()
    now = 1000.0
    told: Found = {}
    samples: dict[str, list[float]] = {"drains": [], "goes": [], "comes": []}
    for number in range(7):
        cell = (number + 1) * count // 8
        entry = Endpoint(cell * endpoints + 1, cell, EndpointStatus.READY, 0, 0, inside.RATE)
        fresh = Endpoint(10**7 + number, cell, EndpointStatus.READY, 0, 0, inside.RATE)
        for name, change in (
            ("drains", Endpoint(entry.id, cell, EndpointStatus.DRAINING)),
            ("comes", entry),
            ("goes", Endpoint(entry.id, cell, EndpointStatus.GONE)),
            ("comes", fresh),
        ):
            now += 20_000.0
            event = EndpointList(ListKind.CHANGES, (change,))
            samples[name].append(timed(lambda now=now, event=event: relay.handle(now, [event])))  # type: ignore[misc]
    told |= {f"{name}_us": min(values) for name, values in samples.items()}
    cells = [(number * 7919) % count for number in range(min(MESSAGES, count))]
    ident = 0
    for name, gap in (("first_message_us", 0.0), ("message_us", 1000.0), ("after_days_us", DAYS_MS)):
        now += 10_000.0 + gap
        times = []
        for cell in cells:
            ident += 1
            now += 0.5
            times.append(
                timed(
                    lambda now=now, ident=ident, cell=cell: (  # type: ignore[misc]
                        inside.delivered(relay, ident, cell, now)
                    )
                )
            )
        told[name] = median(times)
    told["turn_us"] = timed(lambda: [relay.handle(now + 100.0, []) for _ in range(50)], 5) / 50
    return told


def node(count: int) -> Found:
    with Child() as child:
        known = list(inside.servers(BASE, 1, child.sink))
        child.list(BASE)
        with Node(child, known) as small:
            base_ready = small.ready()
            with Client(small.port) as client:
                until_listed(client, BASE - 1, 3.0)
            base_mb, base_us = small.resident(), small.cpu()
        size = child.list(count)
        with Node(child, known) as made:
            ready = made.ready()
            told: Found = {
                "list_bytes": float(size),
                "ready_wall_ms": ready * 1000,
                "ready_over_20_wall_ms": max(0.0, ready - base_ready) * 1000,
            }
            with Client(made.port) as client:
                taken, longest = until_listed(client, count - 1, 8.0)
                told["listed_wall_ms"] = (
                    (time.monotonic() - made.began) * 1000 - 500
                    if taken is not None
                    else ("refused: not in force within 8 s")
                )
                told["start_longest_wait_wall_ms"] = longest
                told["over_20_mb"] = made.resident() - base_mb
                if taken is None:
                    return told | {"watches": float(child.do("counts")["wholes"])}
                told["start_over_20_us"] = made.cpu() - base_us
                told |= first_messages(child, client, count)
                told |= cut(child, made, client, count)
                told["over_20_after_again_mb"] = made.resident() - base_mb
    return told


def connections(count: int) -> Found:
    """Memory of a real node that has just called so many destinations and keeps a connection to each, over the same
    before, once 20 others have been called."""
    with Child() as child:
        child.list(count + BASE)
        with Node(child, list(inside.servers(BASE, 1, child.sink))) as made:
            made.ready()
            with Client(made.port) as client:
                until_listed(client, count + BASE - 1, 5.0)
                for cell in range(BASE):
                    client.hand_in(cell)
                time.sleep(0.2)
                before = made.resident()
                for cell in range(BASE, count + BASE):
                    client.hand_in(cell)
                time.sleep(0.2)
                kept = len(list(Path(f"/proc/{made.pid}/fd").iterdir()))
                return {"over_before_bytes": (made.resident() - before) * 2**20, "descriptors": float(kept)}


def first_messages(child: Child, client: Client, count: int) -> Found:
    """From hand-in to the endpoint, over 40 quiet destinations, then over the same ones again; the medians."""
    told: Found = {}
    child.do("track", on=True)
    cells = [(number * 7919) % (count - 1) for number in range(min(40, count - 1))]
    for name in ("first_message_wall_ms", "next_message_wall_ms"):
        sent = {}
        for cell in cells:
            ident = f"{name[:5]}-{cell}"
            sent[ident] = time.monotonic()
            client.hand_in(cell, ident=ident)
            time.sleep(0.01)
        time.sleep(0.1)
        came = child.do("calls")
        told[name] = median((came[ident] - at) * 1000 for ident, at in sent.items() if ident in came)
    child.do("track", on=False)
    return told


def cut(child: Child, made: Node, client: Client, count: int) -> Found:
    """The watch ends once and is opened anew: what that takes beside clients; one destination has come meanwhile."""
    before, bytes_before = made.cpu(), child.do("counts")["whole_bytes"]
    child.do("cut", servers=[inside.server(10**6 + count, count, child.sink)])
    taken, longest = until_listed(client, count, 8.0)
    told: Found = {
        "again_longest_wait_wall_ms": longest,
        "again_us": made.cpu() - before,
        "again_list_bytes": float(child.do("counts")["whole_bytes"] - bytes_before),
    }
    told["again_listed_wall_ms"] = taken * 1000 if taken is not None else "not in force within 8 s"
    return told


SERIES = {
    "memory": Series("destinations", SMALL, TARGET, memory, 1),
    "memory_two": Series("destinations of two endpoints", SMALL, HALF, lambda count: memory(count, 2), 1),
    "list": Series("destinations", SIZES, TARGET, reading, 2),
    "list_two": Series("destinations of two endpoints", SIZES[:-1], TARGET, lambda count: reading(count, 2), 1),
    "connections": Series("connections kept", (40, 80, 120, 160), (220,), connections, 1),
    "node": Series("destinations", SIZES[:-1], (50_000, 60_000, 120_000), node, 1),
}
