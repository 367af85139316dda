"""What the quick partners of a relay lose while others of them crawl.

    python -m benchmarks.crawl [--seconds 20] [--seeds 3] [--slow 0 1 5 20] [--json FILE]

24 partners, one relay, load at 80% of what its slots carry when all are quick, evenly over the partners, in Poisson
gaps. For five seconds all are quick; then some begin to crawl, and from that moment on it is measured. Of those a
third works forty times as long, a third answers at 20 bytes a second, a third reads 200 bytes a second. Compared is
what the partners that are quick in all runs of a seed got: worth (1 up to the objective, then falling in a line to 0 at
the deadline), against the run in which none crawls; and the latency of what was delivered.
Each run has processes of its own for partners and relay; two runs at a time. Bounded: it stops by itself.
"""

from __future__ import annotations

import asyncio
import collections
import concurrent.futures
import itertools
import json
import random
import statistics
import sys
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.common import argument_parser, print_result, serve_forever, start_child, start_relay, stop_child
from linnetstile.codec import http1
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnerEmulator, PartnersSpec
from linnetstile.emulators.record import now_ms
from linnetstile.emulators.registry import RegistryEmulator, RegistrySpec
from linnetstile.net import client

PARTNERS, MAX_IN_FLIGHT, WORK_MS = 24, 32, 100.0
OBJECTIVE_MS, DEADLINE_MS = 1000.0, 8000.0
LOAD = 0.8
"""Of what the slots carry when all partners are quick."""
START_S = 2
"""For the processes to start."""
WARM_UP_S = 5.0
"""All are quick for so long, then some begin to crawl."""
SLOW_FAULTS = ({"kind": "slow", "factor": 40.0}, {"kind": "trickle"}, {"kind": "crawl", "bytes": 200})
HISTOGRAM_RANGE = 1, 60_000_000, 3
"""Least and largest value in microseconds, significant digits."""
RUNS_AT_ONCE = 2
BODY = b"ISA*00~" * 100


@dataclass(frozen=True, slots=True)
class Case:
    """One run.

    Attributes:
        slow: Partners that crawl.
        seed: Seed of the run.
        seconds: Length of the measured part.
        quick: Partners that are quick in all runs; what they get is measured.
    """

    slow: int
    seed: int
    seconds: float
    quick: int


def partners_spec(slow: int, seed: int, from_ms: float) -> dict[str, Any]:
    """The partner emulator's document. The last `slow` partners crawl, so that the first ones are quick in all runs."""
    return {
        "seed": seed,
        "t0_ms": from_ms,
        "partners": [
            {
                "name": f"p{number}",
                "endpoints": [{"id": number + 1}],
                "work_ms": WORK_MS,
                "spread": 0.2,
                "servers": 64,
                "queue": 256,
            }
            for number in range(PARTNERS)
        ],
        "faults": [
            {
                **SLOW_FAULTS[number % len(SLOW_FAULTS)],
                "at_s": 0,
                "for_s": 600,
                "partners": [f"p{PARTNERS - 1 - number}"],
            }
            for number in range(slow)
        ],
    }


def registry_spec(ports: dict[str, int]) -> dict[str, Any]:
    """The registry's document: the endpoint of each partner, by its number."""
    return {
        "entries": [
            {
                "id": int(endpoint),
                "partner": f"p{int(endpoint) - 1}",
                "url": f"http://127.0.0.1:{port}/as2",
                "status": "ready",
                "rate": 100.0,
            }
            for endpoint, port in ports.items()
        ]
    }


def relay_settings(register: str, seed: int) -> dict[str, Any]:
    """Settings of the relay."""
    return {
        "name": "r",
        "register": register,
        "seed": seed,
        "classes": {"a": {"effect": "safe", "aim_ms": OBJECTIVE_MS, "deadline_ms": DEADLINE_MS}},
        "rules": [{"class": "a"}],
        "limits": {"slots": MAX_IN_FLIGHT, "hold": 2000},
    }


async def serve_partners(spec: str) -> PartnerEmulator:
    """Be the partners."""
    stand = PartnerEmulator(PartnersSpec.model_validate_json(spec))
    ports = await stand.start()
    print(json.dumps({"port": 0, "ports": ports}), flush=True)
    return stand


def worth_of(elapsed_ms: float) -> float:
    """Worth of a delivered message: 1 up to the objective, then falling in a line to 0 at the deadline."""
    if elapsed_ms <= OBJECTIVE_MS:
        return 1
    return max(0.0, 1 - (elapsed_ms - OBJECTIVE_MS) / (DEADLINE_MS - OBJECTIVE_MS))


class QuickPartners:
    """What the partners that are quick in all runs got."""

    def __init__(self) -> None:
        self.latency, self.latency_before = HdrHistogram(*HISTOGRAM_RANGE), HdrHistogram(*HISTOGRAM_RANGE)
        self.sent = self.worth = 0.0
        self.answers: collections.Counter[str] = collections.Counter()

    def record_before(self, answer: str, elapsed_ms: float) -> None:
        """Record the answer to a message of the time before others crawl."""
        if answer == "delivered":
            self.latency_before.record_value(int(elapsed_ms * 1000))

    def record(self, answer: str, elapsed_ms: float) -> None:
        """Record the answer to a message of the measured time."""
        self.answers[answer] += 1
        self.sent += 1
        if answer == "delivered":
            self.worth += worth_of(elapsed_ms)
            self.latency.record_value(int(elapsed_ms * 1000))

    def result(self, case: Case) -> dict[str, Any]:
        """The row of a run."""
        return {
            "slow": case.slow,
            "seed": case.seed,
            "sent": int(self.sent),
            "worth": round(self.worth / self.sent, 4),
            "p99_before_ms": round(self.latency_before.get_value_at_percentile(99) / 1000, 1),
            "p50_ms": round(self.latency.get_value_at_percentile(50) / 1000, 1),
            "p99_ms": round(self.latency.get_value_at_percentile(99) / 1000, 1),
            "answers": dict(self.answers),
        }


class Load:
    """Submits messages to the relay, in Poisson gaps and evenly over the partners."""

    def __init__(self, port: int, case: Case, slow_from_ms: float) -> None:
        """Prepare the load of a run.

        Args:
            port: Loopback port of the relay.
            case: The run.
            slow_from_ms: From when on some crawl, in ms of the loop's clock.
        """
        self.port, self.case, self.slow_from_ms = port, case, slow_from_ms
        self.loop = asyncio.get_running_loop()
        self.pool, self.rng, self.serial = client.ConnectionPool(), random.Random(case.seed), itertools.count()
        self.quick = QuickPartners()
        self.submitted: list[asyncio.Future[client.CallResult]] = []

    async def run(self) -> None:
        """Submit until the run is over, and wait for all answers."""
        await asyncio.sleep(self.slow_from_ms / 1000 - WARM_UP_S - self.loop.time())
        began, rate = self.loop.time(), LOAD * MAX_IN_FLIGHT * 1000 / WORK_MS
        at = began
        while at < began + WARM_UP_S + self.case.seconds:
            at += self.rng.expovariate(rate)
            await asyncio.sleep(max(0.0, at - self.loop.time()))
            self.submit(self.rng.randrange(PARTNERS), self.loop.time())
        await asyncio.gather(*self.submitted)
        self.pool.close()

    def submit(self, partner: int, now: float) -> None:
        """Submit a message for a partner."""
        done: asyncio.Future[client.CallResult] = self.loop.create_future()
        identifier = f"<{next(self.serial)}@s>"
        message = messages.build_message("s", f"p{partner}", identifier, "a", BODY, receipt=False)
        data = http1.encode_request("POST", "/as2", [("Host", "x"), *message.headers], message.body)
        self.pool.call(("127.0.0.1", self.port), "POST", data, done.set_result, now + DEADLINE_MS / 1000 + 2)
        if partner < self.case.quick:
            done.add_done_callback(lambda future: self._answered(future.result(), now))
        self.submitted.append(done)

    def _answered(self, answer: client.CallResult, submitted_at: float) -> None:
        elapsed_ms = (self.loop.time() - submitted_at) * 1000
        name = answer.head.headers.get("linnetstile-answer") if answer.head else "lost"
        if submitted_at * 1000 >= self.slow_from_ms:
            self.quick.record(name, elapsed_ms)
        else:
            self.quick.record_before(name, elapsed_ms)


async def measure(case: Case) -> dict[str, Any]:
    """One run, with processes of its own for partners and relay."""
    slow_from_ms = now_ms() + 1000 * (WARM_UP_S + START_S)
    spec = partners_spec(case.slow, case.seed, slow_from_ms)
    partners, announced = start_child("crawl", "--serve-partners", json.dumps(spec))
    register = RegistryEmulator(RegistrySpec.model_validate(registry_spec(announced["ports"])))
    settings = relay_settings(f"http://127.0.0.1:{await register.start()}", case.seed)
    relay, port = await start_relay(settings)
    load = Load(port, case, slow_from_ms)
    await load.run()
    stop_child(relay)
    stop_child(partners)
    register.close()
    return load.quick.result(case)


def measure_case(case: Case) -> dict[str, Any]:
    """One run, in a process of a pool."""
    return asyncio.run(measure(case))


def summarize(runs: list[dict[str, Any]], slow_counts: list[int]) -> list[dict[str, Any]]:
    """By number of slow partners: worth against the run of the same seed in which none crawls, and latencies."""
    base = {run["seed"]: run["worth"] for run in runs if run["slow"] == 0}
    summary = []
    for slow in slow_counts:
        own = [run for run in runs if run["slow"] == slow]
        shares = [run["worth"] / base[run["seed"]] for run in own if base.get(run["seed"])]
        summary.append(
            {
                "slow": slow,
                "worth_against_none": round(statistics.mean(shares), 4) if shares else None,
                "least": round(min(shares), 4) if shares else None,
                "most": round(max(shares), 4) if shares else None,
                "p99_before_ms": [run["p99_before_ms"] for run in own],
                "p99_ms": [run["p99_ms"] for run in own],
            }
        )
    return summary


def main() -> None:
    """Run the benchmark, or be its partners."""
    if sys.argv[1:2] == ["--serve-partners"]:
        serve_forever(lambda: serve_partners(sys.argv[2]))
        return
    parser = argument_parser(__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--slow", type=int, nargs="+", default=[0, 1, 5, 20])
    args = parser.parse_args()
    quick = PARTNERS - max(args.slow)
    cases = [Case(slow, seed, args.seconds, quick) for seed in range(1, args.seeds + 1) for slow in args.slow]
    with concurrent.futures.ProcessPoolExecutor(RUNS_AT_ONCE) as pool:
        runs = list(pool.map(measure_case, cases))
    result = {
        "partners": PARTNERS,
        "slots": MAX_IN_FLIGHT,
        "quick_partners": quick,
        "summary": summarize(runs, args.slow),
        "runs": runs,
    }
    print_result(result, args.json)


if __name__ == "__main__":
    main()
