"""Plays the hollow fleet in processes of its own, bounded in time and memory; none outlives the run."""

from __future__ import annotations

import contextlib
import gc
import multiprocessing
import os
import random
import resource
import signal
import threading
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from typing import Any

from ...engine.engine import DeliveryEngine
from . import members, relay_process, scenarios
from .simulated_relay import Ears, Hollow, Trace, make
from .world_model import Sizes, World

MEMORY = 12 * 1000**3  # bytes, of the whole run
SPARED = 1000**3 + relay_process.MEMORY  # of it for the first process with the report, and for real relays
SPELL_S = 2.0  # between two lines of progress
GRACE_S = 20.0  # beyond its time, for a process that is in the middle of a list
COST_CHANGES = 24  # of each kind, to price one


class Failed(Exception):
    """A process of the run ended by itself."""


@dataclass(slots=True)
class Played:
    """What came back. `costs`: a row for each number of destinations; `members`: see members.py."""

    traces: list[Trace] = field(default_factory=list)
    costs: list[dict[str, float]] = field(default_factory=list)
    members: dict[str, Any] = field(default_factory=dict)
    peak: dict[str, int] = field(default_factory=dict)  # bytes of each process at its largest

    def check(self, world: World) -> None:
        """Raises Failed if a process has played another world than this: its figures would be held against changes and
        outages that it never had."""
        mark = world.mark()
        for trace in self.traces:
            if trace.world != mark:
                raise Failed(f"relay {trace.relay} played another world: the program was changed while it ran")


def cost(sizes: Sizes, destinations: int) -> dict[str, float]:
    """What the list of so many destinations costs one hollow relay: bytes of directory and module, as the interpreter
    allots them; ms for the list and for one change of each kind, processor time."""
    world = scenarios.build(replace(sizes, destinations=destinations, in_use=2, scenes=("rack",)))
    line, rng = world.whole(1), random.Random(1)
    begun = time.thread_time()
    ears, relay = _read(world, line)
    row: dict[str, float] = {
        "destinations": destinations,
        "list_bytes": len(line),
        "known": ears.known(),
        "list_ms": (time.thread_time() - begun) * 1000,
    }
    for what in ("weight", "replace", "drain", "add") if ears.known() else ():
        changes = [world.change(what, rng.randrange(destinations), 1.0, rng) for _ in range(COST_CHANGES)]
        begun = time.thread_time()
        for change in changes:
            for event in ears.hear(change.line):
                relay.handle(1.0, [event])
        row[f"{what}_ms"] = (time.thread_time() - begun) * 1000 / COST_CHANGES
        row["change_bytes"] = row.get("change_bytes", 0.0) + sum(len(c.line) for c in changes) / COST_CHANGES / 4
    del ears, relay
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = _read(world, line)
    gc.collect()
    row["bytes"], row["bytes_largest"] = (each - before for each in tracemalloc.get_traced_memory())
    tracemalloc.stop()
    assert kept[0].known() == row["known"]
    return row


def _read(world: World, line: bytes) -> tuple[Ears, DeliveryEngine]:
    """A relay that has heard one list, if it takes it."""
    ears, relay = Ears(), make(world, 0, 1)
    with contextlib.suppress(ValueError):
        for event in ears.hear(line):
            relay.handle(0.0, [event])
    return ears, relay


def _guard() -> None:
    """The first process answers for SIGINT; when it is gone, so is this one."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    parent = multiprocessing.parent_process()
    assert parent is not None

    def watch() -> None:
        parent.join()
        os._exit(1)

    threading.Thread(target=watch, daemon=True).start()


def _work(
    pipe: Connection, job: str, sizes: Sizes, relays: list[int], since_version: bool, left_s: float, memory: int
) -> None:
    """The main of a process of the run."""
    _guard()
    resource.setrlimit(resource.RLIMIT_AS, (memory, memory))
    until = time.monotonic() + left_s
    try:
        if job == "costs":
            for part in (4, 2, 1):
                pipe.send(cost(sizes, sizes.cost_most // part))
        elif job == "members":
            pipe.send(members.play(scenarios.build(sizes), lambda: time.monotonic() > until))
        else:
            world = scenarios.build(sizes)
            for number in relays:
                if time.monotonic() > until:
                    break
                pipe.send(Hollow(world, number, since_version, lambda: time.monotonic() > until).play())
        pipe.send(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024)
    except MemoryError:
        pipe.send(f"{job}: more than {memory / 1e6:.0f} MB: expected fewer --destinations or --workers")
    pipe.close()


class Fleet:
    """Processes of one run. Leave it by `close`, whatever happens."""

    def __init__(self, sizes: Sizes, since_version: bool, left_s: float, say: Callable[[str], None]) -> None:
        self.sizes, self.say = sizes, say
        self.begun = time.monotonic()
        self.until = self.begun + left_s + GRACE_S
        self.pipes: dict[Connection, tuple[str, BaseProcess]] = {}
        self.played = Played()
        context = multiprocessing.get_context("spawn")
        relays, count = sizes.hollow, min(sizes.workers, len(sizes.hollow))
        jobs: list[tuple[str, list[int]]] = [("costs", []), ("members", [])]
        jobs += [(f"relays-{n + 1}", relays[n::count]) for n in range(count)]
        memory = (MEMORY - SPARED) // len(jobs)
        for job, numbers in jobs:
            ours, theirs = context.Pipe(duplex=False)
            process = context.Process(
                target=_work, daemon=True, name=job, args=(theirs, job, sizes, numbers, since_version, left_s, memory)
            )
            self.pipes[ours] = job, process
            process.start()
            theirs.close()

    def play(self) -> Played:
        """Until all have ended. Raises Failed."""
        open_, spoken, total = dict(self.pipes), time.monotonic(), len(self.sizes.hollow)
        while open_:
            for pipe in wait(list(open_), timeout=SPELL_S):
                assert isinstance(pipe, Connection)
                job = open_[pipe][0]
                try:
                    self._take(job, pipe.recv())
                except EOFError:
                    if job not in self.played.peak:
                        raise Failed(f"{job}: the process ended by itself") from None
                    del open_[pipe]
            if time.monotonic() > self.until:
                raise Failed("the time is up: " + ", ".join(job for job, _ in open_.values()) + " did not end")
            if time.monotonic() - spoken > SPELL_S:
                spoken = time.monotonic()
                self.say(
                    f"{spoken - self.begun:6.1f} s  {len(self.played.traces)} of {total} relays played; at work: "
                    + ", ".join(sorted(job for job, _ in open_.values()))
                )
        self.played.traces.sort(key=lambda trace: trace.relay)
        return self.played

    def _take(self, job: str, told: Any) -> None:
        match told:
            case Trace():
                self.played.traces.append(told)
            case str():
                raise Failed(told)
            case int():
                self.played.peak[job] = told
            case dict():
                if job == "costs":
                    self.played.costs.append(told)
                else:
                    self.played.members = told

    def close(self) -> None:
        """Ends what still runs, each by its handle."""
        for pipe, (_, process) in self.pipes.items():
            with contextlib.suppress(ValueError):
                process.kill()
            process.join(5.0)
            pipe.close()
