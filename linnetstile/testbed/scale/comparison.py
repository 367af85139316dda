"""Compares relay processes with their reference models: both get the same list and the same changes.

The endpoint that a message is delivered to shows which version of the list is in force: the successive endpoints of a
destination alternate between two ports.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from .comparison_bench import MEMORY_BYTES, ComparisonBench, PlatformSource
from .comparison_result import Comparison, EndpointCount
from .comparison_run import ComparisonRun
from .options import ScaleOptions
from .platform_model import PlatformModel
from .reference_model import ReferenceModel
from .relay_process import RelayProcess

BASELINE_DESTINATIONS = 20
"""Destinations of the baseline: the relay process whose memory and start the others are compared with."""
BASELINE_SEED = 1
CLOSE_DELAY_S = 0.01


async def compare(options: ScaleOptions, folder: Path, report_progress: Callable[[str], None]) -> Comparison:
    """Run the comparison; the files of its processes go to `folder`.

    Raises:
        RelayStartError: A relay process did not become ready in time, or exited before the comparison ended.
        OSError: Files or sockets cannot be used.
    """
    bench = ComparisonBench(folder, MEMORY_BYTES // (options.real + 1))
    began = time.monotonic()
    try:
        run = await _start(bench, options, report_progress)
        if run.result.is_list_accepted:
            await run.play_changes()
        await run.break_watches()
        run.result.sent_bytes = run.discovery.sent_bytes
        run.result.watches = len(run.discovery.requested_targets)
        run.result.seconds = round(time.monotonic() - began, 1)
        bench.check_running()
        return run.result
    finally:
        bench.close()
        await asyncio.sleep(CLOSE_DELAY_S)  # lets the emulators handle the closed connections


async def _start(
    bench: ComparisonBench, options: ScaleOptions, report_progress: Callable[[str], None]
) -> ComparisonRun:
    """Start emulators, relay processes and reference models, and wait until all have read the list."""
    ports = await bench.start_endpoint(), await bench.start_endpoint()
    # Each relay gets an equal share of a destination's rate. With the number of relays in the whole fleet, the share
    # would be so small that it delays the few messages of the comparison.
    platform = PlatformModel(replace(options, relays=max(1, options.real), played=0), ports)
    source = PlatformSource(platform)
    discovery, discovery_port = await bench.start_discovery(source)
    rng = random.Random(f"{options.seed}:real")
    seeds = [rng.getrandbits(32) for _ in range(options.real)]
    report_progress(
        f"starting {options.real} relay processes, and one with {BASELINE_DESTINATIONS} destinations as a baseline for"
        " their memory"
    )
    baseline = await _start_baseline(bench, options, ports)
    processes = [
        bench.start_relay(platform, number, f"real-{number + 1}", discovery_port, seed)
        for number, seed in enumerate(seeds)
    ]
    await asyncio.gather(*(bench.wait_ready(process) for process in bench.relays))
    models = [ReferenceModel(platform, number, seed) for number, seed in enumerate(seeds)]
    result = _compare_start(source, baseline, processes, models)
    report_progress(
        f"ready with {[process.endpoint_count for process in processes]} endpoints; endpoints of the reference models: "
        f"{[model.reader.endpoint_count for model in models]}"
    )
    return ComparisonRun(bench, discovery, source, processes, models, rng, result)


async def _start_baseline(bench: ComparisonBench, options: ScaleOptions, ports: tuple[int, int]) -> RelayProcess:
    """Start the baseline relay process, which has few destinations, and its discovery."""
    platform = PlatformModel(replace(options, destinations=BASELINE_DESTINATIONS), ports)
    _, discovery_port = await bench.start_discovery(PlatformSource(platform))
    return bench.start_relay(platform, 0, "small", discovery_port, BASELINE_SEED)


def _compare_start(
    source: PlatformSource, baseline: RelayProcess, processes: list[RelayProcess], models: list[ReferenceModel]
) -> Comparison:
    """Let the models read the list that the processes have read, and record the state of both."""
    line = source.full_list()
    accepted = [model.read(line, 0.0) for model in models]
    return Comparison(
        relays=len(processes),
        list_bytes=len(line),
        is_list_accepted=all(accepted),
        endpoints=[
            EndpointCount(process.endpoint_count, model.reader.endpoint_count)
            for process, model in zip(processes, models, strict=True)
        ],
        start_cpu_s=[round(process.cpu_s() - baseline.cpu_s(), 3) for process in processes],
        memory=[process.memory() for process in processes],
        baseline_memory=baseline.memory(),
    )
