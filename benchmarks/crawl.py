"""Loss of a relay's quick partners while other partners are slow.

    python -m benchmarks.crawl [--seconds 20] [--seeds 3] [--slow 0 1 5 20] [--json FILE]

One relay and 24 partners. The load is 80% of what the relay's slots carry when all partners are quick; messages arrive
at random (Poisson), spread evenly over the partners. For five seconds all partners are quick, then some become slow and
the measured part begins. Of the slow partners, a third works forty times as long, a third answers at 20 bytes a second,
and a third reads 200 bytes a second. The result is about the partners that are quick in all runs of a seed. It has the
value of their messages (1 up to the objective, then falling linearly to 0 at the deadline; `worth` in the result), also
as a ratio to the run without slow partners, and the latency of delivered messages. Each run has its own processes for
partners and relay; two runs are made at a time. The benchmark ends by itself.
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
from benchmarks.common import argument_parser, print_result, serve_forever, start_child
from benchmarks.relay_process import start_relay
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnersSpec
from linnetstile.emulators.record import now_ms
from linnetstile.net import client

PARTNERS = 24
MAX_IN_FLIGHT = 32
WORK_MS = 100.0
OBJECTIVE_MS = 1000.0
DEADLINE_MS = 8000.0
ANSWER_TIMEOUT_S = DEADLINE_MS / 1000 + 2
LISTED_RATE = 100.0
LOAD_SHARE = 0.8
"""Load as a share of what the slots carry when all partners are quick."""
START_S = 2
"""Time for the processes to start."""
WARM_UP_S = 5.0
"""Time in which all partners are quick, before some become slow."""
SLOW_FAULTS = ({"kind": "slow", "factor": 40.0}, {"kind": "trickle"}, {"kind": "crawl", "bytes": 200})
RUNS_AT_ONCE = 2


@dataclass(frozen=True, slots=True)
class Case:
    """Parameters of one run.

    Attributes:
        slow: Number of slow partners.
        seed: Seed of the run.
        seconds: Length of the measured part.
        quick: Number of partners that are quick in all runs; their messages are measured.
    """

    slow: int
    seed: int
    seconds: float
    quick: int


def partners_spec(slow: int, seed: int, from_ms: float) -> dict[str, Any]:
    """Settings of the partner emulator; the last `slow` partners are slow, so that the first are quick in all runs."""
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


def delivered_value(elapsed_ms: float) -> float:
    """Value of a delivered message: 1 up to the objective, then falling linearly to 0 at the deadline."""
    if elapsed_ms <= OBJECTIVE_MS:
        return 1
    return max(0.0, 1 - (elapsed_ms - OBJECTIVE_MS) / (DEADLINE_MS - OBJECTIVE_MS))


class QuickPartnerResults:
    """Answers, latencies and value for the partners that are quick in all runs."""

    def __init__(self) -> None:
        self.latency = LatencyHistogram()
        self.latency_before = LatencyHistogram()
        self.sent = 0
        self.value = 0.0
        self.answers: collections.Counter[str | None] = collections.Counter()

    def record_before(self, answer: str | None, elapsed_s: float) -> None:
        """Record the answer to a message submitted before other partners became slow."""
        if answer == "delivered":
            self.latency_before.record(elapsed_s)

    def record(self, answer: str | None, elapsed_s: float) -> None:
        """Record the answer to a message submitted in the measured part."""
        self.answers[answer] += 1
        self.sent += 1
        if answer == "delivered":
            self.value += delivered_value(elapsed_s * 1000)
            self.latency.record(elapsed_s)

    def result(self, case: Case) -> dict[str, Any]:
        """The row of a run in the result."""
        return {
            "slow": case.slow,
            "seed": case.seed,
            "sent": self.sent,
            "worth": round(self.value / self.sent, 4),
            "p99_before_ms": self.latency_before.percentile_ms(99),
            "p50_ms": self.latency.percentile_ms(50),
            "p99_ms": self.latency.percentile_ms(99),
            "answers": dict(self.answers),
        }


class Load:
    """Submits messages to the relay, with Poisson arrivals and evenly over the partners."""

    def __init__(self, port: int, case: Case, slow_from_ms: float) -> None:
        """Prepare the load of a run.

        Args:
            port: Loopback port of the relay.
            case: The run.
            slow_from_ms: Time at which some partners become slow, in ms of the event loop's clock.
        """
        self.case = case
        self.slow_from_ms = slow_from_ms
        self.quick_results = QuickPartnerResults()
        self._loop = asyncio.get_running_loop()
        self._client = RelayClient(port, ANSWER_TIMEOUT_S)
        self._rng = random.Random(case.seed)
        self._message_numbers = itertools.count()
        self._answers: list[asyncio.Future[client.CallResult]] = []

    async def run(self) -> None:
        """Submit until the end of the run, and wait for all answers."""
        await asyncio.sleep(self.slow_from_ms / 1000 - WARM_UP_S - self._loop.time())
        rate = LOAD_SHARE * MAX_IN_FLIGHT * 1000 / WORK_MS
        send_at = self._loop.time()
        end = send_at + WARM_UP_S + self.case.seconds
        while send_at < end:
            send_at += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, send_at - self._loop.time()))
            self.submit(self._rng.randrange(PARTNERS))
        await asyncio.gather(*self._answers)
        self._client.close()

    def submit(self, partner: int) -> None:
        """Submit a message for a partner."""
        submitted_at = self._loop.time()
        message_id = f"<{next(self._message_numbers)}@s>"
        message = messages.build_message("s", f"p{partner}", message_id, MESSAGE_CLASS, BODY, receipt=False)
        answer = self._client.call(encode_submission(message))
        if partner < self.case.quick:
            answer.add_done_callback(lambda future: self._record(future.result(), submitted_at))
        self._answers.append(answer)

    def _record(self, answer: client.CallResult, submitted_at: float) -> None:
        elapsed_s = self._loop.time() - submitted_at
        if submitted_at * 1000 >= self.slow_from_ms:
            self.quick_results.record(answer_kind(answer), elapsed_s)
        else:
            self.quick_results.record_before(answer_kind(answer), elapsed_s)


async def measure(case: Case) -> dict[str, Any]:
    """Measure one run in its own processes for partners and relay; returns its row."""
    slow_from_ms = now_ms() + 1000 * (WARM_UP_S + START_S)
    spec = partners_spec(case.slow, case.seed, slow_from_ms)
    with start_child("crawl", "--serve-partners", json.dumps(spec)) as partners:
        entries = [
            registry_entry(endpoint, f"p{endpoint - 1}", port, LISTED_RATE) for endpoint, port in partners.ports.items()
        ]
        async with running_registry(entries) as registry_url:
            limits = {"slots": MAX_IN_FLIGHT, "hold": 2000}
            settings = relay_settings(
                registry_url, aim_ms=OBJECTIVE_MS, deadline_ms=DEADLINE_MS, limits=limits, seed=case.seed
            )
            with await start_relay(settings) as relay:
                load = Load(relay.port, case, slow_from_ms)
                await load.run()
    return load.quick_results.result(case)


def measure_case(case: Case) -> dict[str, Any]:
    """Measure one run in a process of the pool; returns its row."""
    return asyncio.run(measure(case))


def summarize(runs: list[dict[str, Any]], slow_counts: list[int]) -> list[dict[str, Any]]:
    """Per number of slow partners: value as a ratio to the run of the same seed without any, and latencies."""
    value_without_slow = {run["seed"]: run["worth"] for run in runs if run["slow"] == 0}
    summary = []
    for slow in slow_counts:
        same_count = [run for run in runs if run["slow"] == slow]
        shares = [
            run["worth"] / value_without_slow[run["seed"]] for run in same_count if value_without_slow.get(run["seed"])
        ]
        summary.append(
            {
                "slow": slow,
                "worth_against_none": round(statistics.mean(shares), 4) if shares else None,
                "least": round(min(shares), 4) if shares else None,
                "most": round(max(shares), 4) if shares else None,
                "p99_before_ms": [run["p99_before_ms"] for run in same_count],
                "p99_ms": [run["p99_ms"] for run in same_count],
            }
        )
    return summary


def main() -> None:
    """Run the benchmark, or the partner emulator as its child process."""
    if sys.argv[1:2] == ["--serve-partners"]:
        spec = PartnersSpec.model_validate_json(sys.argv[2])
        serve_forever(lambda: start_partners(spec))
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
