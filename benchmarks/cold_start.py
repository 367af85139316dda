"""What gossip gains: new relays beside a partner that returns and warms up while nobody can see it.

    python -m benchmarks.cold_start [--fresh 6] [--seconds 20] [--json FILE]

Two old relays met a partner's outage of 6 s. As it returns and warms up, new relays start: once knowing nothing, once
learning from the old ones by gossip. The partner emulator counts the calls that it gets while it warms up, against its
budget (more of them overload it again). Both runs have the same messages, one after the other, in this process.
Bounded.
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

PARTNER_RATE = 60.0
MESSAGES_PER_S = 100.0
OUTAGE_S = 6.0
OUTAGE_MESSAGES_PER_S = 10
OUTAGE_LOAD_S = OUTAGE_S - 1.0
"""The old relays get messages for so long during the outage."""
OLD_RELAYS = 2
QUEUE_LENGTH = 2
"""Calls that wait in the partner's queue beyond its budget."""
START_EARLY_S = 0.8
"""New relays start so long before the outage is over."""


def warm_up_budget(since_ms: float) -> float:
    """Calls in a window of `fall_ms` that overload the partner, so long after its return; its queue takes two more."""
    share = SAFETY["cold_share"] + (1 - SAFETY["cold_share"]) * since_ms / SAFETY["cold_ms"]
    return SAFETY["fall_multiple"] * share * PARTNER_RATE * SAFETY["fall_ms"] / 1000 + QUEUE_LENGTH


def worst_budget_use(calls_ms: list[float], warm_up_ms: list[float]) -> float:
    """The largest part of the budget that the calls of a window took.

    Args:
        calls_ms: Times of all calls since the return.
        warm_up_ms: Those while the partner warmed up; a window ends with each.
    """
    window_ms = SAFETY["fall_ms"]
    uses = [
        sum(end_ms - window_ms < call_ms <= end_ms for call_ms in calls_ms) / warm_up_budget(end_ms)
        for end_ms in warm_up_ms
    ]
    return max(uses, default=0)


async def submit_messages(testbed: RelayTestbed, seconds: float, relays: int) -> collections.Counter[str]:
    """Submit messages at the rate of the benchmark, to all relays in turn; returns how they were answered."""
    began = testbed.elapsed_s()
    answers = []
    for number in range(int(MESSAGES_PER_S * seconds)):
        await testbed.sleep_until(began + number / MESSAGES_PER_S)
        answers.append(asyncio.create_task(testbed.submit(testbed.make_message("safe"), number % relays)))
    return collections.Counter(map(answer_kind, await asyncio.gather(*answers)))


async def measure(new_relays: int, seconds: float, learning: bool) -> dict[str, Any]:
    """One run with so many new relays, which learn from the old ones or not."""
    folder = Path(tempfile.mkdtemp(prefix="linnetstile-cold-"))
    (folder / "token").write_text("secret")
    gossip = {"token_file": folder / "token"}
    outage = {"kind": "fast_errors", "at_s": 0, "for_s": OUTAGE_S, "partners": ["firma"]}
    partner = {"rate": PARTNER_RATE, "cold_ms": SAFETY["cold_ms"]}
    relays = OLD_RELAYS + new_relays
    async with RelayTestbed(
        folder, relays=OLD_RELAYS, fleet=relays, faults=[outage], partner=partner, knowledge=gossip
    ) as testbed:
        load_in_outage = asyncio.create_task(
            testbed.submit_evenly("safe", OUTAGE_MESSAGES_PER_S, OUTAGE_LOAD_S, OLD_RELAYS)
        )
        await testbed.sleep_until(OUTAGE_S - START_EARLY_S)
        for _ in range(new_relays):
            peers = [relay.address for relay in testbed.relays[:OLD_RELAYS]]
            await testbed.start_relay(knowledge=gossip | ({"peers": peers} if learning else {}))
        await testbed.sleep_until(OUTAGE_S)
        answers = await submit_messages(testbed, seconds, relays)
        await load_in_outage
        return {"learning": learning, **_figures(testbed), "answers": dict(answers)}


def _figures(testbed: RelayTestbed) -> dict[str, Any]:
    """What the partner saw since its return, and what relays learned."""
    returned_at_ms = testbed.partner_emulator.script_start_ms + OUTAGE_S * 1000
    call_times = [record["t"] for record in testbed.partner_records("began")]
    calls_ms = [at_ms - returned_at_ms for at_ms in call_times if at_ms >= returned_at_ms]
    warm_up_ms = [since_ms for since_ms in calls_ms if since_ms < SAFETY["cold_ms"]]
    return {
        "calls_in_first_s": sum(since_ms < 1000 for since_ms in calls_ms),
        "calls_while_cold": len(warm_up_ms),
        "worst_share_of_budget": round(worst_budget_use(calls_ms, warm_up_ms), 2),
        "pushed_over": bool(testbed.partner_records("fallen")),
        "lessons_taken": sum(relay.gossip.counts["taken"] for relay in testbed.relays),
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
