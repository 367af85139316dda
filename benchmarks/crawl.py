"""What the quick partners of a relay lose while others of them crawl.

    python -m benchmarks.crawl [--seconds 20] [--seeds 3] [--slow 0 1 5 20] [--json FILE]

24 partners, one relay, load at 80% of what its slots carry when all are quick, evenly over the partners, in Poisson
gaps. For five seconds all are quick; then some begin to crawl, and from that moment on it is measured. Of those a
third works forty times as long, a third answers at 20 bytes a second, a third reads 200 bytes a second. Compared is
what the partners that are quick in all runs of a seed got: worth (1 up to the aim, then falling in a line to 0 at the
deadline), against the run in which none crawls; and the latency of what was delivered.
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
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.common import child, end, parser, serve_forever, spawn, tell
from linnetstile.codec import http1
from linnetstile.emulators import messages
from linnetstile.emulators.partner import PartnersSpec, Stand
from linnetstile.emulators.record import now_ms
from linnetstile.emulators.registry import RegisterSpec, RegisterStand
from linnetstile.net import client

PARTNERS, SLOTS, WORK_MS = 24, 32, 100.0
AIM_MS, DEADLINE_MS = 1000.0, 8000.0
WARM_S = 5.0  # all are quick for so long, then some begin to crawl
KINDS = ({"kind": "slow", "factor": 40.0}, {"kind": "trickle"}, {"kind": "crawl", "bytes": 200})


def partners(slow: int, seed: int, from_ms: float) -> dict[str, Any]:
    """The last `slow` partners crawl, so that the first ones are quick in all runs."""
    return {
        "seed": seed,
        "t0_ms": from_ms,
        "partners": [
            {
                "name": f"p{n}",
                "endpoints": [{"id": n + 1}],
                "work_ms": WORK_MS,
                "spread": 0.2,
                "servers": 64,
                "queue": 256,
            }
            for n in range(PARTNERS)
        ],
        "faults": [
            {**KINDS[n % len(KINDS)], "at_s": 0, "for_s": 600, "partners": [f"p{PARTNERS - 1 - n}"]}
            for n in range(slow)
        ],
    }


async def serve_partners(spec: str) -> Stand:
    stand = Stand(PartnersSpec.model_validate_json(spec))
    ports = await stand.start()
    print(json.dumps({"port": 0, "ports": ports}), flush=True)
    return stand


async def measure(slow: int, seed: int, seconds: float, quick: int) -> dict[str, Any]:
    from_ms = now_ms() + 1000 * (WARM_S + 2)  # two seconds to start
    stand, told = spawn("crawl", "--serve-partners", json.dumps(partners(slow, seed, from_ms)))
    ports = told["ports"]
    register = RegisterStand(
        RegisterSpec.model_validate(
            {
                "entries": [
                    {
                        "id": int(n),
                        "partner": f"p{int(n) - 1}",
                        "url": f"http://127.0.0.1:{port}/as2",
                        "status": "ready",
                        "rate": 100.0,
                    }
                    for n, port in ports.items()
                ]
            }
        )
    )
    settings = {
        "name": "r",
        "register": f"http://127.0.0.1:{await register.start()}",
        "seed": seed,
        "classes": {"a": {"effect": "safe", "aim_ms": AIM_MS, "deadline_ms": DEADLINE_MS}},
        "rules": [{"class": "a"}],
        "limits": {"slots": SLOTS, "hold": 2000},
    }
    relay, port = await asyncio.get_running_loop().run_in_executor(
        None, child, "throughput", "--serve-relay", json.dumps(settings), ""
    )
    pool, rng, loop = client.Pool(), random.Random(seed), asyncio.get_running_loop()
    histogram, before, serial = HdrHistogram(1, 60_000_000, 3), HdrHistogram(1, 60_000_000, 3), itertools.count()
    worth = {"sent": 0.0, "got": 0.0}
    kinds: collections.Counter[str] = collections.Counter()
    await asyncio.sleep(from_ms / 1000 - WARM_S - loop.time())
    start, rate = loop.time(), 0.8 * SLOTS * 1000 / WORK_MS
    out = []

    def hand(partner: int, when: float) -> None:
        done: asyncio.Future[client.Answer] = loop.create_future()
        made = messages.make("s", f"p{partner}", f"<{next(serial)}@s>", "a", b"ISA*00~" * 100, receipt=False)
        data = http1.request("POST", "/as2", [("Host", "x"), *made.headers], made.body)
        pool.call(("127.0.0.1", port), "POST", data, done.set_result, when + DEADLINE_MS / 1000 + 2)

        def ended(future: asyncio.Future[client.Answer]) -> None:
            answer, took = future.result(), (loop.time() - when) * 1000
            got = answer.head.headers.get("linnetstile-answer") if answer.head else "lost"
            if partner >= quick:
                return
            during = when * 1000 >= from_ms
            if not during:
                if got == "delivered":
                    before.record_value(int(took * 1000))
                return
            kinds[got] += 1
            worth["sent"] += 1
            if got == "delivered":
                worth["got"] += 1 if took <= AIM_MS else max(0.0, 1 - (took - AIM_MS) / (DEADLINE_MS - AIM_MS))
                histogram.record_value(int(took * 1000))

        done.add_done_callback(ended)
        out.append(done)

    at = start
    while at < start + WARM_S + seconds:
        at += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, at - loop.time()))
        hand(rng.randrange(PARTNERS), loop.time())
    await asyncio.gather(*out)
    pool.close()
    end(relay)
    end(stand)
    register.close()
    return {
        "slow": slow,
        "seed": seed,
        "sent": int(worth["sent"]),
        "worth": round(worth["got"] / worth["sent"], 4),
        "p99_before_ms": round(before.get_value_at_percentile(99) / 1000, 1),
        "p50_ms": round(histogram.get_value_at_percentile(50) / 1000, 1),
        "p99_ms": round(histogram.get_value_at_percentile(99) / 1000, 1),
        "answers": dict(kinds),
    }


def one(case: tuple[int, int, float, int]) -> dict[str, Any]:
    return asyncio.run(measure(*case))


def main() -> None:
    if sys.argv[1:2] == ["--serve-partners"]:
        serve_forever(lambda: serve_partners(sys.argv[2]))
        return
    args_ = parser(__doc__)
    args_.add_argument("--seconds", type=float, default=20.0)
    args_.add_argument("--seeds", type=int, default=3)
    args_.add_argument("--slow", type=int, nargs="+", default=[0, 1, 5, 20])
    args = args_.parse_args()
    quick = PARTNERS - max(args.slow)
    cases = [(slow, seed, args.seconds, quick) for seed in range(1, args.seeds + 1) for slow in args.slow]
    with concurrent.futures.ProcessPoolExecutor(2) as runs:
        found = list(runs.map(one, cases))
    base = {run["seed"]: run["worth"] for run in found if run["slow"] == 0}
    summary = []
    for slow in args.slow:
        mine = [run for run in found if run["slow"] == slow]
        shares = [run["worth"] / base[run["seed"]] for run in mine if base.get(run["seed"])]
        summary.append(
            {
                "slow": slow,
                "worth_against_none": round(statistics.mean(shares), 4) if shares else None,
                "least": round(min(shares), 4) if shares else None,
                "most": round(max(shares), 4) if shares else None,
                "p99_before_ms": [run["p99_before_ms"] for run in mine],
                "p99_ms": [run["p99_ms"] for run in mine],
            }
        )
    tell({"partners": PARTNERS, "slots": SLOTS, "quick_partners": quick, "summary": summary, "runs": found}, args.json)


if __name__ == "__main__":
    main()
