"""What gossip is worth: fresh relays beside a partner that comes back cold while nobody can see it.

    python -m benchmarks.cold_start [--fresh 6] [--seconds 20] [--json FILE]

Two old relays met a partner's outage of 6 s. As it returns cold, fresh relays start: once knowing nothing, once
learning from the old ones. The partner emulator counts the calls that it gets while it is cold, against its budget
(what makes it fall over). Both runs have the same messages, one after the other, in this process. Bounded.
"""

from __future__ import annotations

import asyncio
import collections
import tempfile
from pathlib import Path
from typing import Any

from benchmarks.common import argument_parser, print_result
from tests.faults.relay_testbed import RelayTestbed, answer_kind
from tests.faults.testbed_settings import SAFETY

PARTNER_RATE, MESSAGES_PER_S, OUTAGE_S = 60.0, 100.0, 6.0
OLD_RELAYS = 2
QUEUE_PLACES = 2
"""Calls that wait in the partner's queue beyond its budget."""
START_EARLY_S = 0.8
"""Fresh relays start so long before the outage is over."""


def cold_call_budget(at_ms: float) -> float:
    """Calls in a span of `fall_ms` that make it fall over, so many ms after its return; two more wait in its queue."""
    share = SAFETY["cold_share"] + (1 - SAFETY["cold_share"]) * at_ms / SAFETY["cold_ms"]
    return SAFETY["fall_multiple"] * share * PARTNER_RATE * SAFETY["fall_ms"] / 1000 + QUEUE_PLACES


def worst_budget_use(calls_ms: list[float], cold_ms: list[float]) -> float:
    """The largest part of the budget that the calls of a span took, of the spans that end with a cold call."""
    span_ms = SAFETY["fall_ms"]
    return max(
        (sum(at - span_ms < other <= at for other in calls_ms) / cold_call_budget(at) for at in cold_ms), default=0
    )


async def submit_messages(rig: RelayTestbed, seconds: float, relays: int) -> collections.Counter[str]:
    """Submit messages at the rate of the benchmark, to all relays by turns; returns how they were answered."""
    began = rig.elapsed_s()
    answers = []
    for number in range(int(MESSAGES_PER_S * seconds)):
        await rig.sleep_until(began + number / MESSAGES_PER_S)
        answers.append(asyncio.create_task(rig.submit(rig.make_message("safe"), number % relays)))
    return collections.Counter(map(answer_kind, await asyncio.gather(*answers)))


async def measure(fresh: int, seconds: float, learning: bool) -> dict[str, Any]:
    """One run with so many fresh relays."""
    folder = Path(tempfile.mkdtemp(prefix="linnetstile-cold-"))
    (folder / "token").write_text("secret")
    gossip = {"token_file": folder / "token"}
    faults = [{"kind": "fast_errors", "at_s": 0, "for_s": OUTAGE_S, "partners": ["firma"]}]
    partner = {"rate": PARTNER_RATE, "cold_ms": SAFETY["cold_ms"]}
    relays = OLD_RELAYS + fresh
    async with RelayTestbed(
        folder, relays=OLD_RELAYS, fleet=relays, faults=faults, partner=partner, knowledge=gossip
    ) as rig:
        load_in_outage = asyncio.create_task(rig.submit_evenly("safe", 10, OUTAGE_S - 1.0, 2))
        await rig.sleep_until(OUTAGE_S - START_EARLY_S)
        for _ in range(fresh):
            peers = [service.address for service in rig.relays[:OLD_RELAYS]]
            await rig.start_relay(knowledge=gossip | ({"peers": peers} if learning else {}))
        await rig.sleep_until(OUTAGE_S)
        answers = await submit_messages(rig, seconds, relays)
        await load_in_outage
        returned_at = rig.partner_emulator.script_start_ms + OUTAGE_S * 1000
        calls_ms = [row["t"] - returned_at for row in rig.partner_records("began") if row["t"] >= returned_at]
        cold_ms = [at for at in calls_ms if at < SAFETY["cold_ms"]]
        return {
            "learning": learning,
            "calls_in_first_s": sum(at < 1000 for at in calls_ms),
            "calls_while_cold": len(cold_ms),
            "worst_share_of_budget": round(worst_budget_use(calls_ms, cold_ms), 2),
            "pushed_over": bool(rig.partner_records("fallen")),
            "lessons_taken": sum(service.gossip.counts["taken"] for service in rig.relays),
            "answers": dict(answers),
        }


def main() -> None:
    """Run the benchmark without and with gossip."""
    parser = argument_parser(__doc__)
    parser.add_argument("--fresh", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=20.0)
    args = parser.parse_args()
    print_result([asyncio.run(measure(args.fresh, args.seconds, learning)) for learning in (False, True)], args.json)


if __name__ == "__main__":
    main()
