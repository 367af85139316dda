"""Memory and open files of one relay under attack, against the bounds that it states; what good clients see of it.

    python -m benchmarks.attack [--seconds 6] [--json FILE] [--plot FILE]

One relay, two partners (one answers in 20 ms, one hangs), a good client of 60 messages a second, and one kind of bad
peer after the other, each for so many seconds: 3000 half-open connections; heads a byte at a time; 1500 bodies a byte
at a time; 64 clients that upload 12 MB each to the partner that hangs, as fast as they are read; one 200 MB body
beside thousands of small messages; clients that pipeline requests and read no answer; a new connection for each
message. The process is sampled ten times a second. Bounded: it stops by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO, Any

from hdrh.histogram import HdrHistogram

from benchmarks.attackers import Attacker
from benchmarks.common import (
    argument_parser,
    print_result,
    resident_mb,
    serve_forever,
    start_child,
    start_relay,
    stop_child,
)
from linnetstile.codec import http1
from linnetstile.config.relay import RelaySettings
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnerEmulator, PartnersSpec
from linnetstile.emulators.registry import RegistryEmulator, RegistrySpec
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
"""Methods of `Attacker`, in the order in which they run."""
BETWEEN_S = 1.5
SAMPLE_INTERVAL_S = 0.1
SAMPLES_A_ROW = 5
"""Of so many samples, one goes into the result."""
GOOD_RATE = 60
"""Messages a second of the good client."""
ANSWER_TIMEOUT_S = 10
HISTOGRAM_RANGE = 1, 60_000_000, 3
"""Least and largest value in microseconds, significant digits."""
BODY = b"ISA*00~" * 100


async def serve_partners() -> PartnerEmulator:
    """Be the partners: one is quick, one hangs."""
    partners = [
        {"name": name, "endpoints": [{"id": number}], "work_ms": 20, "spread": 0.1, "servers": 256, "queue": 1000}
        for number, name in ((1, "quick"), (2, "hangs"))
    ]
    faults = [{"kind": "hang", "at_s": 0, "for_s": 600, "partners": ["hangs"]}]
    stand = PartnerEmulator(PartnersSpec.model_validate({"partners": partners, "faults": faults}))
    print(json.dumps({"port": 0, "ports": await stand.start()}), flush=True)
    return stand


def registry_spec(ports: dict[str, int]) -> dict[str, Any]:
    """The registry's document: the endpoint of each partner, by its number."""
    return {
        "entries": [
            {
                "id": int(endpoint),
                "partner": "quick" if endpoint == "1" else "hangs",
                "url": f"http://127.0.0.1:{port}/as2",
                "status": "ready",
                "rate": 2000.0,
            }
            for endpoint, port in ports.items()
        ]
    }


def relay_settings(register: str) -> dict[str, Any]:
    """Settings of the relay."""
    return {
        "name": "r",
        "register": register,
        "rules": [{"class": "a"}],
        "classes": {"a": {"effect": "safe", "aim_ms": 1000, "deadline_ms": 8000}},
        "limits": LIMITS,
    }


@dataclass(slots=True)
class PhaseResult:
    """What the good client saw in one phase, and what became of the bad peers."""

    sent: int = 0
    delivered: int = 0
    latency: Any = field(default_factory=lambda: HdrHistogram(*HISTOGRAM_RANGE))
    bad_peers: dict[str, int] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """The row of the result."""
        return {
            "sent": self.sent,
            "delivered": self.delivered,
            "p99_ms": round(self.latency.get_value_at_percentile(99) / 1000, 1),
            "bad_peers": self.bad_peers,
        }


class GoodClient:
    """Submits messages at a constant rate, in one phase after the other."""

    def __init__(self, port: int) -> None:
        """Prepare a client of a loopback port."""
        self.port = port
        self.phase = "before"
        self.phases: dict[str, PhaseResult] = {}
        self.loop = asyncio.get_running_loop()
        self.pool = client.ConnectionPool()

    async def run(self) -> None:
        """Submit until cancelled."""
        began = self.loop.time()
        for number in itertools.count():
            await asyncio.sleep(max(0.0, began + number / GOOD_RATE - self.loop.time()))
            self.submit(number)

    def submit(self, number: int) -> None:
        """Submit one message, which counts in the current phase."""
        message = messages.build_message("good", "quick", f"<{number}@good>", "a", BODY, receipt=False)
        submitted_at = self.loop.time()
        result = self.phases.setdefault(self.phase, PhaseResult())
        result.sent += 1

        def done(answer: client.CallResult) -> None:
            if answer.head is not None and answer.head.headers.get("linnetstile-answer") == "delivered":
                result.delivered += 1
                result.latency.record_value(int((self.loop.time() - submitted_at) * 1e6))

        data = http1.encode_request("POST", "/as2", [("Host", "x"), *message.headers], message.body)
        self.pool.call(("127.0.0.1", self.port), "POST", data, done, submitted_at + ANSWER_TIMEOUT_S)


@dataclass(slots=True)
class Sampler:
    """Memory and open files of a process, ten times a second.

    Attributes:
        process: The process.
        samples: Seconds since the beginning, resident MB, open files.
        began: Beginning on the loop's clock.
    """

    process: subprocess.Popen[str]
    samples: list[tuple[float, float, int]] = field(default_factory=list)
    began: float = field(default_factory=lambda: asyncio.get_running_loop().time())

    def seconds(self) -> float:
        """Seconds since the beginning."""
        return asyncio.get_running_loop().time() - self.began

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            files = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.samples.append((round(self.seconds(), 2), round(resident_mb(self.process.pid), 1), files))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(*coroutines: Any) -> AsyncIterator[None]:
    """Run coroutines beside the block, and cancel them after it."""
    tasks = [asyncio.create_task(each) for each in coroutines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run_attacks(port: int, seconds: float, good: GoodClient, sampler: Sampler) -> list[tuple[str, float]]:
    """Run all attacks, one after the other; returns the name and the beginning of each phase."""
    phases = []
    await asyncio.sleep(seconds)
    for name in ATTACKS:
        attacker = Attacker(port)
        good.phase = name
        phases.append((name, round(sampler.seconds(), 1)))
        async with running(getattr(attacker, name)()):
            await asyncio.sleep(seconds)
        attacker.stop()
        good.phases[name].bad_peers = dict(attacker.counts)
        good.phase = "between"
        await asyncio.sleep(BETWEEN_S)
    good.phase = "after"
    phases.append(("after", round(sampler.seconds(), 1)))
    await asyncio.sleep(seconds / 2)
    return phases


async def measure(seconds: float) -> dict[str, Any]:
    """The whole benchmark; each attack takes so many seconds."""
    with tempfile.TemporaryFile() as log:
        return await _measure(seconds, log)


async def _measure(seconds: float, log: IO[bytes]) -> dict[str, Any]:
    partners, announced = start_child("attack", "--serve-partners")
    register = RegistryEmulator(RegistrySpec.model_validate(registry_spec(announced["ports"])))
    settings = relay_settings(f"http://127.0.0.1:{await register.start()}")
    relay, port = await start_relay(settings, log=log)
    sampler, good = Sampler(relay), GoodClient(port)
    async with running(sampler.run(), good.run()):
        phases = await run_attacks(port, seconds, good, sampler)
    checked = RelaySettings.model_validate(settings)
    cpu_s = stop_child(relay)
    stop_child(partners)
    register.close()
    log.seek(0)
    lines = log.read().decode()
    samples = sampler.samples
    return {
        "limits": LIMITS,
        "self_check_findings": lines.count("AssertionError"),
        "tracebacks": lines.count("Traceback"),
        "memory_bound_mb": round(checked.max_memory_bytes() / 2**20),
        "peak_mb": max(memory_mb for _, memory_mb, _ in samples),
        "first_mb": samples[0][1],
        "last_mb": samples[-1][1],
        "files_bound": checked.max_open_files(),
        "peak_files": max(files for _, _, files in samples),
        "cpu_s": round(cpu_s, 1),
        "good_client": {name: result.to_json() for name, result in good.phases.items()},
        "phases": phases,
        "samples": samples,
    }


def plot(result: dict[str, Any], file: str) -> None:
    """Draw memory and open files over time, with their bounds, into a PNG file."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(2, 1, figsize=(11, 6.5), sharex=True)
    seconds = [sample[0] for sample in result["samples"]]
    for axis, column, bound, name in (
        (axes[0], 1, result["memory_bound_mb"], "resident memory, MB"),
        (axes[1], 2, result["files_bound"], "open files"),
    ):
        axis.plot(seconds, [sample[column] for sample in result["samples"]], lw=1.4, color="tab:blue")
        axis.axhline(bound, color="tab:red", lw=1, ls="--", label=f"stated bound {bound}")
        axis.set_ylabel(name)
        axis.set_ylim(0, bound * 1.12)
        axis.legend(loc="upper right", fontsize=8)
        for label, begin in result["phases"]:
            axis.axvline(begin, color="0.8", lw=0.8)
            if column == 1:
                axis.text(begin + 0.2, bound * 0.9, label.replace("_", " "), fontsize=8, rotation=90, va="top")
    axes[1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(file, dpi=110)


def main() -> None:
    """Run the benchmark, or be its partners."""
    if sys.argv[1:2] == ["--serve-partners"]:
        serve_forever(serve_partners)
        return
    parser = argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--plot")
    args = parser.parse_args()
    result = asyncio.run(measure(args.seconds))
    if args.plot:
        plot(result, args.plot)
    result["samples"] = result["samples"][::SAMPLES_A_ROW]
    if args.json:
        Path(args.json).write_text(json.dumps(result) + "\n", encoding="utf-8")
    else:
        print_result(result, None)


if __name__ == "__main__":
    main()
