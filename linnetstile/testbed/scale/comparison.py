"""Relay processes beside their reference models: the same list and changes, and what both then do.

What shows which version of the list is in force is the endpoint that a message goes to: of two ports, by turns.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from ...emulators.discovery import DiscoveryEmulator
from .comparison_bench import CHANGE_TIMEOUT_S, MEMORY_BYTES, ComparisonBench, WorldSource
from .discovery_model import NO_ENDPOINT as NO_GENERATION
from .discovery_model import ChangeKind, EndpointChange
from .options import ScaleOptions
from .reference_model import NO_ENDPOINT, ReferenceModel
from .relay_process import ProcessMemory, RelayProcess
from .world_model import World

SINGLE_CHANGES = (ChangeKind.REPLACED, ChangeKind.DRAINED, ChangeKind.ADDED) * 3 + (ChangeKind.REMOVED,)
"""Changes that are sent one by one."""
BURST_CHANGES = 100
"""Changes that are sent at once."""
BASELINE_DESTINATIONS = 20
"""Destinations of the relay process that memory is compared with."""
BASELINE_SEED = 1
START_MS = 1000.0
CHANGE_INTERVAL_MS = 5_000.0
"""Between two changes on the simulated clock."""
REOPEN_POLL_S = 0.02
CLOSE_S = 0.01


@dataclass(frozen=True, slots=True)
class EndpointCount:
    """Endpoints that a relay process and its reference model know."""

    process: int
    model: int


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What the relays did after a change.

    Attributes:
        version: Version of the list with the change.
        kind: What it changed.
        expected: Where a message goes now.
        models: Where it went at each reference model.
        model_ms: After how many simulated ms.
        processes: Where it went at each relay process.
        process_ms: After how many ms it went as expected.
    """

    version: int
    kind: ChangeKind
    expected: str
    models: list[str]
    model_ms: list[float]
    processes: list[str]
    process_ms: list[float]

    @property
    def agrees(self) -> bool:
        """Whether processes and models all did as expected."""
        return self.processes == self.models == [self.expected] * len(self.processes)

    def to_json(self) -> dict[str, Any]:
        """The row of the report."""
        return {
            "version": self.version,
            "what": self.kind.value,
            "expected": self.expected,
            "hollow": self.models,
            "hollow_ms": self.model_ms,
            "real": self.processes,
            "real_ms": self.process_ms,
        }


@dataclass(frozen=True, slots=True)
class BurstResult:
    """Many changes at once: ms until the next one shows, and processor time of each relay process in seconds."""

    until_next_shows_ms: float
    cpu_s: list[float]

    def to_json(self) -> dict[str, Any]:
        """The entry of the report."""
        return {"changes": BURST_CHANGES, "until_next_shows_ms": self.until_next_shows_ms, "cpu_s": self.cpu_s}


@dataclass(slots=True)
class Comparison:
    """What a comparison found.

    Attributes:
        relays: Relay processes.
        list_bytes: Bytes of the list.
        list_taken_by_models: All reference models took the list.
        endpoints: Endpoints known at the start, for each relay.
        start_cpu_s: Processor time of the start of each relay process, beyond that of the baseline.
        memory: Memory of each relay process.
        baseline_memory: Memory of the relay process with few destinations.
        changes: What the relays did after each change that was looked at.
        burst: Many changes at once; None if the list was not taken.
        reopened_watches: Targets of the watches that were opened after all had been broken.
        resumes_by_version: They asked for the changes since a version, not for the list.
        sent_bytes: Bytes that discovery sent to the relay processes.
        watches: Watches that they opened.
        seconds: Length of the comparison.
    """

    relays: int
    list_bytes: int
    list_taken_by_models: bool
    endpoints: list[EndpointCount]
    start_cpu_s: list[float]
    memory: list[ProcessMemory]
    baseline_memory: ProcessMemory
    changes: list[ChangeResult] = field(default_factory=list)
    burst: BurstResult | None = None
    reopened_watches: list[str] = field(default_factory=list)
    resumes_by_version: bool = False
    sent_bytes: int = 0
    watches: int = 0
    seconds: float = 0.0

    @property
    def agrees(self) -> bool:
        """Whether relay processes and reference models did the same after the list and each change."""
        return all(each.agrees for each in self.changes) and all(each.process == each.model for each in self.endpoints)

    def to_json(self) -> dict[str, Any]:
        """The section of the report."""
        return {
            "relays": self.relays,
            "list_bytes": self.list_bytes,
            "list_taken_by_hollow": self.list_taken_by_models,
            "endpoints": [{"real": each.process, "hollow": each.model} for each in self.endpoints],
            "start_cpu_s": self.start_cpu_s,
            "memory": [each.to_json() for each in self.memory],
            "memory_small": self.baseline_memory.to_json(),
            "changes": [each.to_json() for each in self.changes],
            **({"burst": self.burst.to_json()} if self.burst else {}),
            "reopened": self.reopened_watches,
            "since_version": self.resumes_by_version,
            "sent_bytes": self.sent_bytes,
            "watches": self.watches,
            "seconds": self.seconds,
            "agrees": self.agrees,
        }


async def compare(options: ScaleOptions, folder: Path, report_progress: Callable[[str], None]) -> Comparison:
    """Run the comparison; files go to the folder.

    Raises:
        NotStarted: A relay process did not start, or ended by itself.
        OSError: Files or sockets cannot be used.
    """
    bench, began = ComparisonBench(folder, MEMORY_BYTES // (options.real + 1)), time.monotonic()
    try:
        run = await _start(bench, options, report_progress)
        if run.result.list_taken_by_models:
            await run.play_changes()
        await run.break_watches()
        run.result.sent_bytes = run.discovery.sent_bytes
        run.result.watches = len(run.discovery.requested_targets)
        run.result.seconds = round(time.monotonic() - began, 1)
        bench.check_running()
        return run.result
    finally:
        bench.close()
        await asyncio.sleep(CLOSE_S)  # the emulators see that their connections are gone


async def _start(
    bench: ComparisonBench, options: ScaleOptions, report_progress: Callable[[str], None]
) -> ComparisonRun:
    """Start emulators, relay processes and reference models, and let all read the list."""
    ports = await bench.start_endpoint(), await bench.start_endpoint()
    # As many relays as there are here: the rate limit of few messages is then no part of the times.
    world = World(replace(options, relays=max(1, options.real), played=0), ports)
    source = WorldSource(world)
    discovery, discovery_port = await bench.start_discovery(source)
    rng = random.Random(f"{options.seed}:real")
    seeds = [rng.getrandbits(32) for _ in range(options.real)]
    report_progress(
        f"{options.real} real relays start, and one with {BASELINE_DESTINATIONS} destinations to hold their memory"
        " against"
    )
    baseline = await _start_baseline(bench, options, ports)
    processes = [
        bench.start_relay(world, number, f"real-{number + 1}", discovery_port, seed)
        for number, seed in enumerate(seeds)
    ]
    await asyncio.gather(*(bench.wait_ready(process) for process in bench.relays))
    models = [ReferenceModel(world, number, seed) for number, seed in enumerate(seeds)]
    result = _compare_start(source, baseline, processes, models)
    report_progress(
        f"ready with {[process.endpoint_count for process in processes]} endpoints; hollow twins "
        f"{[model.reader.endpoint_count for model in models]}"
    )
    return ComparisonRun(bench, discovery, source, processes, models, rng, result)


async def _start_baseline(bench: ComparisonBench, options: ScaleOptions, ports: tuple[int, int]) -> RelayProcess:
    """Start the relay process with few destinations, and its discovery."""
    world = World(replace(options, destinations=BASELINE_DESTINATIONS), ports)
    _, discovery_port = await bench.start_discovery(WorldSource(world))
    return bench.start_relay(world, 0, "small", discovery_port, BASELINE_SEED)


def _compare_start(
    source: WorldSource, baseline: RelayProcess, processes: list[RelayProcess], models: list[ReferenceModel]
) -> Comparison:
    """Let the models read the list that the processes have read, and compare what they know then."""
    line = source.whole()
    list_taken = [model.read(line, 0.0) for model in models]
    return Comparison(
        relays=len(processes),
        list_bytes=len(line),
        list_taken_by_models=all(list_taken),
        endpoints=[
            EndpointCount(process.endpoint_count, model.reader.endpoint_count)
            for process, model in zip(processes, models, strict=True)
        ],
        start_cpu_s=[round(process.cpu_s() - baseline.cpu_s(), 3) for process in processes],
        memory=[process.memory() for process in processes],
        baseline_memory=baseline.memory(),
    )


@dataclass(slots=True)
class ComparisonRun:
    """Changes the list and looks at what reference models and relay processes do then.

    Attributes:
        bench: Emulators and processes.
        discovery: Discovery of the relay processes.
        source: The list that it sends.
        processes: Relay processes, without the baseline.
        models: Their reference models, in the same order.
        rng: Draws destinations and changes.
        result: Where the findings go.
        now_ms: Time of the reference models.
    """

    bench: ComparisonBench
    discovery: DiscoveryEmulator
    source: WorldSource
    processes: list[RelayProcess]
    models: list[ReferenceModel]
    rng: random.Random
    result: Comparison
    now_ms: float = START_MS
    destinations: list[int] = field(default_factory=list)

    async def play_changes(self) -> None:
        """Some changes one by one, then many at once."""
        world = self.source.world
        self.destinations = self.rng.sample(range(world.options.destinations), len(SINGLE_CHANGES) + 2)
        for kind, destination in zip(SINGLE_CHANGES, self.destinations, strict=False):
            await self._send_change(kind, destination)
        cpu_before_s = [process.cpu_s() for process in self.processes]
        for _ in range(BURST_CHANGES):
            destination = self.rng.randrange(world.options.destinations)
            self._announce(world.discovery.change(ChangeKind.NEW_WEIGHT, destination, self.now_ms, self.rng))
        began = time.monotonic()
        await self._send_change(ChangeKind.REPLACED, self.destinations[-1])
        self.result.burst = BurstResult(
            until_next_shows_ms=round((time.monotonic() - began) * 1000, 1),
            cpu_s=[
                round(process.cpu_s() - before, 3) for process, before in zip(self.processes, cpu_before_s, strict=True)
            ],
        )

    async def break_watches(self) -> None:
        """Break all watches, so that a change is missed; see what relays ask for then, and whether they have it."""
        listed = self.result.list_taken_by_models
        missed = self._change(ChangeKind.REPLACED, self.destinations[-2]) if listed else None
        asked_before = len(self.discovery.requested_targets)
        self.discovery.drop_watches()
        await self._wait_reopened(asked_before + len(self.processes))
        reopened = self.discovery.requested_targets[asked_before:]
        self.result.reopened_watches = reopened
        self.result.resumes_by_version = bool(reopened) and all("since=" in target for target in reopened)
        if missed is None:
            return
        for model in self.models:
            model.reader.reopen()
            model.read(missed.line if self.result.resumes_by_version else self.source.whole(), self.now_ms)
        await self._compare_change(missed)

    async def _wait_reopened(self, watches: int) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CHANGE_TIMEOUT_S):
                # The emulator only keeps a list of what it was asked: there is no event to wait for.
                while len(self.discovery.requested_targets) < watches:  # noqa: ASYNC110 (see above)
                    await asyncio.sleep(REOPEN_POLL_S)

    def _change(self, kind: ChangeKind, destination: int) -> EndpointChange:
        self.now_ms += CHANGE_INTERVAL_MS
        change = self.source.world.discovery.change(kind, destination, self.now_ms, self.rng)
        self.source.version = change.version
        return change

    def _announce(self, change: EndpointChange) -> None:
        for model in self.models:
            model.read(change.line, self.now_ms)
        self.discovery.publish(change.line)

    async def _send_change(self, kind: ChangeKind, destination: int) -> None:
        change = self._change(kind, destination)
        self._announce(change)
        await self._compare_change(change)

    async def _compare_change(self, change: EndpointChange) -> None:
        """Ask all of them for the destination of a change that they have been sent."""
        expected = self._expected_endpoint(change.destination)
        by_model = [model.find_endpoint(change.destination, self.now_ms) for model in self.models]
        by_process = await asyncio.gather(
            *(self.bench.await_endpoint(process, change.destination, expected) for process in self.processes)
        )
        self.result.changes.append(
            ChangeResult(
                version=change.version,
                kind=change.kind,
                expected=self._label(expected),
                models=[self._label(where) for where, _ in by_model],
                model_ms=[round(ms, 1) for _, ms in by_model],
                processes=[self._label(where) for where, _ in by_process],
                process_ms=[round(ms, 1) for _, ms in by_process],
            )
        )

    def _expected_endpoint(self, destination: int) -> str:
        discovery = self.source.world.discovery
        generation = discovery.generation(destination, self.now_ms)
        if generation == NO_GENERATION:
            return NO_ENDPOINT
        assert discovery.ports is not None
        return str(discovery.ports[generation % 2])

    def _label(self, endpoint: str) -> str:
        """Name of a port in the report: its number differs from run to run."""
        ports = [str(port) for port in self.source.world.discovery.ports or ()]
        return f"port-{ports.index(endpoint)}" if endpoint in ports else endpoint
