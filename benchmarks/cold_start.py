"""What learning is worth: fresh relays beside a partner that comes back cold while nobody can see it.

    python -m benchmarks.cold_start [--fresh 6] [--seconds 20] [--json FILE]

Two old relays met a partner's outage of 6 s. As it returns cold, fresh relays start: once knowing nothing, once
learning from the old ones. The stand-in counts the calls that it gets while it is cold, against its budget (what
makes it fall over). Both runs have the same messages, one after the other, in this process. Bounded.
"""

from __future__ import annotations

import asyncio
import collections
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.common import parser, tell
from tests.faults.rig import SAFETY, Rig, kind

RATE, PER_S, OUT_S = 60.0, 100.0, 6.0


def allowed(at: float) -> float:
    """Calls in a span of `fall_ms` that make it fall over, so many ms after its return; two more wait in its queue."""
    share = SAFETY["cold_share"] + (1 - SAFETY["cold_share"]) * at / SAFETY["cold_ms"]
    return SAFETY["fall_multiple"] * share * RATE * SAFETY["fall_ms"] / 1000 + 2


async def measure(fresh: int, seconds: float, learning: bool) -> dict[str, Any]:
    folder = Path(tempfile.mkdtemp(prefix="linnetstile-cold-"))
    (folder / "token").write_text("secret")
    know = {"token_file": folder / "token"}
    faults = [{"kind": "fast_errors", "at_s": 0, "for_s": OUT_S, "partners": ["firma"]}]
    partner = {"rate": RATE, "cold_ms": SAFETY["cold_ms"]}
    async with Rig(folder, relays=2, fleet=2 + fresh, faults=faults, partner=partner, knowledge=know) as rig:
        before = asyncio.create_task(rig.load("safe", 10, OUT_S - 1.0, 2))
        await rig.until(OUT_S - 0.8)
        for _ in range(fresh):
            peers = [service.address for service in rig.services[:2]]
            await rig.relay(knowledge=know | ({"peers": peers} if learning else {}))
        await rig.until(OUT_S)
        tasks = [before]
        start = rig.seconds()
        answers = []
        for n in range(int(PER_S * seconds)):
            await rig.until(start + n / PER_S)
            answers.append(asyncio.create_task(rig.hand(rig.make("safe"), n % (2 + fresh))))
        got = collections.Counter(map(kind, await asyncio.gather(*answers)))
        await asyncio.gather(*tasks)
        back = rig.stand.t0 + OUT_S * 1000
        calls = [row["t"] - back for row in rig.rows("began") if row["t"] >= back]
        cold = [at for at in calls if at < SAFETY["cold_ms"]]
        span = SAFETY["fall_ms"]
        worst = max((sum(at - span < other <= at for other in calls) / allowed(at) for at in cold), default=0)
        fell = bool(rig.rows("fallen"))
        taken = sum(service.knowledge.counts["taken"] for service in rig.services)
    return {
        "learning": learning,
        "calls_in_first_s": sum(at < 1000 for at in calls),
        "calls_while_cold": len(cold),
        "worst_share_of_budget": round(worst, 2),
        "pushed_over": fell,
        "lessons_taken": taken,
        "answers": dict(got),
    }


def main() -> None:
    made = parser(__doc__)
    made.add_argument("--fresh", type=int, default=6)
    made.add_argument("--seconds", type=float, default=20.0)
    args = made.parse_args()
    tell([asyncio.run(measure(args.fresh, args.seconds, learning)) for learning in (False, True)], args.json)


if __name__ == "__main__":
    main()
