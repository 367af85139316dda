"""Memory and open files of one relay under attack, compared with its stated bounds, and the service of a good client.

    python -m benchmarks.attack [--seconds 6] [--json FILE] [--plot FILE]

One relay serves two partners (one answers in 20 ms, one hangs) and a good client that sends 60 messages a second. The
attacks follow one another and take `--seconds` each: 3000 half-open connections; request heads sent a byte at a time;
1500 bodies sent a byte at a time; 64 clients that each upload 12 MB to the partner that hangs, as fast as the relay
reads; one 200 MB body beside thousands of small messages; clients that pipeline requests and read no answer; a new
connection for each message. The relay process is sampled ten times a second. The benchmark ends by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import sys
import tempfile
from collections.abc import AsyncIterator, Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any, NamedTuple

from benchmarks.as2_load import (
    BODY,
    MESSAGE_CLASS,
    LatencyHistogram,
    RelayClient,
    answer_kind,
    encode_submission,
    registry_entry,
    relay_settings,
    running_registry,
    start_partners,
)
from benchmarks.attackers import HANGING_PARTNER, QUICK_PARTNER, Attacker
from benchmarks.common import (
    BYTES_PER_MB,
    argument_parser,
    print_result,
    resident_mb,
    serve_forever,
    start_child,
)
from benchmarks.relay_process import start_relay
from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnersSpec
from linnetstile.net import client

LIMITS = {
    "slots": 64,
    "hold": 2000,
    "connections": 1000,
    "body_bytes": 208 << 20,
    "hold_bytes": 256 << 20,
    "head_ms": 3000,
    "stall_ms": 2000,
    "remember": 20_000,
    "remember_bytes": 16 << 20,
    "self_check_ms": 250,
}
ATTACKS = ("half_open", "heads", "bodies", "uploads", "huge", "unread", "connects")
"""Names of methods of `Attacker`, in the order in which they run."""
PAUSE_BETWEEN_ATTACKS_S = 1.5
SAMPLE_INTERVAL_S = 0.1
SAMPLES_PER_ROW = 5
"""The result keeps one sample of this many."""
GOOD_RATE = 60
"""Messages a second of the good client."""
ANSWER_TIMEOUT_S = 10
PARTNERS = {1: QUICK_PARTNER, 2: HANGING_PARTNER}
"""Partner name by the identifier of its only endpoint."""
LISTED_RATE = 2000.0
BETWEEN_PHASE = "between"
"""Phase of the good client in the pause after an attack."""
AFTER_PHASE = "after"


def partners_spec() -> PartnersSpec:
    """Settings of the partner emulator: one partner is quick, one hangs."""
    partners = [
        {"name": name, "endpoints": [{"id": endpoint}], "work_ms": 20, "spread": 0.1, "servers": 256, "queue": 1000}
        for endpoint, name in PARTNERS.items()
    ]
    hang = {"kind": "hang", "at_s": 0, "for_s": 600, "partners": [HANGING_PARTNER]}
    return PartnersSpec.model_validate({"partners": partners, "faults": [hang]})


@dataclass(slots=True)
class PhaseResult:
    """Messages of the good client in one phase, and counts of how the bad peers' requests and connections ended."""

    sent: int = 0
    delivered: int = 0
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    bad_peers: dict[str, int] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """The row of the result."""
        return {
            "sent": self.sent,
            "delivered": self.delivered,
            "p99_ms": self.latency.percentile_ms(99),
            "bad_peers": self.bad_peers,
        }


class GoodClient:
    """Submits messages at a constant rate, and counts them by phase."""

    def __init__(self, port: int) -> None:
        """Prepare a client of a relay on a loopback port."""
        self.phase = "before"
        self.phases: dict[str, PhaseResult] = {}
        self._loop = asyncio.get_running_loop()
        self._client = RelayClient(port, ANSWER_TIMEOUT_S)

    async def run(self) -> None:
        """Submit until cancelled."""
        began = self._loop.time()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, began + number / GOOD_RATE - self._loop.time()))
            self.submit(number)

    def submit(self, number: int) -> None:
        """Submit one message, and count it and its answer in the current phase."""
        message = messages.build_message("good", QUICK_PARTNER, f"<{number}@good>", MESSAGE_CLASS, BODY, receipt=False)
        submitted_at = self._loop.time()
        result = self.phases.setdefault(self.phase, PhaseResult())
        result.sent += 1

        def record_answer(answer: client.CallResult) -> None:
            if answer_kind(answer) == "delivered":
                result.delivered += 1
                result.latency.record(self._loop.time() - submitted_at)

        self._client.submit(encode_submission(message), record_answer)


class Sample(NamedTuple):
    """Memory and open files at one time; a list in the JSON result."""

    elapsed_s: float
    resident_mb: float
    open_files: int


class PhaseStart(NamedTuple):
    """Start of a phase; a list in the JSON result."""

    name: str
    elapsed_s: float


@dataclass(slots=True)
class Sampler:
    """Samples memory and open files of a process ten times a second.

    Attributes:
        pid: Identifier of the process.
        samples: The samples so far.
        began: Start time on the event loop's clock.
    """

    pid: int
    samples: list[Sample] = field(default_factory=list)
    began: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    def seconds(self) -> float:
        """Seconds since the start."""
        return asyncio.get_running_loop().time() - self.began

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            open_files = len(os.listdir(f"/proc/{self.pid}/fd"))
            self.samples.append(Sample(round(self.seconds(), 2), round(resident_mb(self.pid), 1), open_files))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines concurrently with the block, and cancel them at its end."""
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_attacks(port: int, seconds: float, good: GoodClient, sampler: Sampler) -> list[PhaseStart]:
    """Run all attacks, one after the other; returns the start of each phase."""
    phases = []
    await asyncio.sleep(seconds)
    for name in ATTACKS:
        attacker = Attacker(port)
        good.phase = name
        phases.append(PhaseStart(name, round(sampler.seconds(), 1)))
        async with running(getattr(attacker, name)()):
            await asyncio.sleep(seconds)
        attacker.stop()
        good.phases[name].bad_peers = dict(attacker.counts)
        good.phase = BETWEEN_PHASE
        await asyncio.sleep(PAUSE_BETWEEN_ATTACKS_S)
    good.phase = AFTER_PHASE
    phases.append(PhaseStart(AFTER_PHASE, round(sampler.seconds(), 1)))
    await asyncio.sleep(seconds / 2)
    return phases


async def measure(seconds: float) -> dict[str, Any]:
    """Run the whole benchmark, with attacks of `seconds` each; returns its result."""
    with tempfile.TemporaryFile() as log:
        return await _measure(seconds, log)


async def _measure(seconds: float, log: IO[bytes]) -> dict[str, Any]:
    with start_child("attack", "--serve-partners") as partners:
        entries = [
            registry_entry(endpoint, PARTNERS[endpoint], port, LISTED_RATE) for endpoint, port in partners.ports.items()
        ]
        async with running_registry(entries) as registry_url:
            settings = relay_settings(registry_url, aim_ms=1000, deadline_ms=8000, limits=LIMITS)
            with await start_relay(settings, log=log) as relay:
                sampler = Sampler(relay.pid)
                good = GoodClient(relay.port)
                async with running(sampler.run(), good.run()):
                    phases = await run_attacks(relay.port, seconds, good, sampler)
                cpu_s = relay.stop()
    good_client = {name: result.to_json() for name, result in good.phases.items()}
    return (
        _limits_and_logged_faults(log)
        | _peaks_and_bounds(RelaySettings.model_validate(settings), sampler.samples)
        | {"cpu_s": round(cpu_s, 1), "good_client": good_client, "phases": phases, "samples": sampler.samples}
    )


def _limits_and_logged_faults(log: IO[bytes]) -> dict[str, Any]:
    """The relay's limits, and the number of faults in its log."""
    log.seek(0)
    lines = log.read().decode()
    return {
        "limits": LIMITS,
        "self_check_findings": lines.count("AssertionError"),
        "tracebacks": lines.count("Traceback"),
    }


def _peaks_and_bounds(settings: RelaySettings, samples: list[Sample]) -> dict[str, Any]:
    """Peak memory and open files, with the bounds that follow from the settings."""
    return {
        "memory_bound_mb": round(settings.max_memory_bytes() / BYTES_PER_MB),
        "peak_mb": max(sample.resident_mb for sample in samples),
        "first_mb": samples[0].resident_mb,
        "last_mb": samples[-1].resident_mb,
        "files_bound": settings.max_open_files(),
        "peak_files": max(sample.open_files for sample in samples),
    }


def plot(result: Mapping[str, Any], file: str) -> None:
    """Draw memory and open files over time, with their bounds, into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    samples: list[Sample] = result["samples"]
    phases: list[PhaseStart] = result["phases"]
    seconds = [sample.elapsed_s for sample in samples]
    figure, (memory_axes, files_axes) = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    memory_bound = result["memory_bound_mb"]
    _draw_panel(memory_axes, "resident memory, MB", seconds, [sample.resident_mb for sample in samples], memory_bound)
    _draw_panel(files_axes, "open files", seconds, [sample.open_files for sample in samples], result["files_bound"])
    for phase in phases:
        memory_axes.axvline(phase.elapsed_s, color="0.8", lw=0.8)
        files_axes.axvline(phase.elapsed_s, color="0.8", lw=0.8)
        label = phase.name.replace("_", " ")
        memory_axes.text(phase.elapsed_s + 0.2, memory_bound * 0.9, label, fontsize=8, rotation=90, va="top")
    files_axes.set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def _draw_panel(axes: Any, name: str, seconds: list[float], values: Sequence[float], bound: int) -> None:
    """Draw one quantity over time, with its bound."""
    axes.plot(seconds, values, lw=1.4, color="tab:blue")
    axes.axhline(bound, color="tab:red", lw=1, ls="--", label=f"stated bound {bound}")
    axes.set_ylabel(name)
    axes.set_ylim(0, bound * 1.12)
    axes.legend(loc="upper right", fontsize=8)


def main() -> None:
    """Run the benchmark, or the partner emulator as its child process."""
    if sys.argv[1:2] == ["--serve-partners"]:
        serve_forever(lambda: start_partners(partners_spec()))
        return
    parser = argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--plot")
    args = parser.parse_args()
    result = asyncio.run(measure(args.seconds))
    if args.plot:
        plot(result, args.plot)
    result["samples"] = result["samples"][::SAMPLES_PER_ROW]
    if args.json:
        Path(args.json).write_text(json.dumps(result) + "\n", encoding="utf-8")
    else:
        print_result(result, None)


if __name__ == "__main__":
    main()
