"""Benefit of gossip for new relays that start while a partner returns from an outage and is in slow start.

    python -m benchmarks.cold_start [--fresh 6] [--seconds 20] [--json FILE]

Two old relays have seen the partner's outage of 6 s. Shortly before the partner returns, new relays start: in the first
run without any knowledge of it, in the second with the old relays as gossip peers. The partner emulator records the
calls that it gets in slow start; they are compared with its budget (more calls overload it again). Both runs have the
same messages, and follow one another in this process. The benchmark ends by itself.
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
"""Time during which the old relays get messages in the outage."""
OLD_RELAYS = 2
QUEUE_LENGTH = 2
"""Calls beyond its budget that the partner queues."""
START_BEFORE_RETURN_S = 0.8
"""Time between the start of the new relays and the end of the outage."""


def slow_start_budget(since_ms: float) -> float:
    """Calls in a window of `fall_ms` above which the partner is overloaded, `since_ms` after its return.

    The two calls that it queues are included.
    """
    share = SAFETY["cold_share"] + (1 - SAFETY["cold_share"]) * since_ms / SAFETY["cold_ms"]
    return SAFETY["fall_multiple"] * share * PARTNER_RATE * SAFETY["fall_ms"] / 1000 + QUEUE_LENGTH


def worst_budget_use(calls_ms: list[float], slow_start_calls_ms: list[float]) -> float:
    """The largest share of the budget that the calls of one window took.

    Args:
        calls_ms: Times of all calls since the partner's return.
        slow_start_calls_ms: Times of the calls in slow start; a window ends at each of them.
    """
    window_ms = SAFETY["fall_ms"]
    uses = [
        sum(end_ms - window_ms < call_ms <= end_ms for call_ms in calls_ms) / slow_start_budget(end_ms)
        for end_ms in slow_start_calls_ms
    ]
    return max(uses, default=0)


async def submit_messages(testbed: RelayTestbed, seconds: float, relays: int) -> collections.Counter[str]:
    """Submit messages at the rate of the benchmark, to all relays in turn; returns the number of answers by kind."""
    began = testbed.elapsed_s()
    answers = []
    for number in range(int(MESSAGES_PER_S * seconds)):
        await testbed.sleep_until(began + number / MESSAGES_PER_S)
        answers.append(asyncio.create_task(testbed.submit(testbed.make_message("safe"), number % relays)))
    return collections.Counter(map(answer_kind, await asyncio.gather(*answers)))


async def measure(new_relays: int, seconds: float, learning: bool) -> dict[str, Any]:
    """One run with new relays, which get gossip from the old ones if `learning`."""
    folder = Path(tempfile.mkdtemp(prefix="linnetstile-cold-"))
    (folder / "token").write_text("secret")
    gossip_settings = {"token_file": folder / "token"}
    outage = {"kind": "fast_errors", "at_s": 0, "for_s": OUTAGE_S, "partners": ["firma"]}
    partner = {"rate": PARTNER_RATE, "cold_ms": SAFETY["cold_ms"]}
    relays = OLD_RELAYS + new_relays
    async with RelayTestbed(
        folder,
        relays=OLD_RELAYS,
        configured_relay_count=relays,
        faults=[outage],
        partner=partner,
        gossip_settings=gossip_settings,
    ) as testbed:
        load_in_outage = asyncio.create_task(
            testbed.submit_evenly("safe", OUTAGE_MESSAGES_PER_S, OUTAGE_LOAD_S, OLD_RELAYS)
        )
        await testbed.sleep_until(OUTAGE_S - START_BEFORE_RETURN_S)
        for _ in range(new_relays):
            peers = [relay.address for relay in testbed.relays[:OLD_RELAYS]]
            await testbed.start_relay(gossip_settings=gossip_settings | ({"peers": peers} if learning else {}))
        await testbed.sleep_until(OUTAGE_S)
        answers = await submit_messages(testbed, seconds, relays)
        await load_in_outage
        return {"learning": learning, **_figures(testbed), "answers": dict(answers)}


def _figures(testbed: RelayTestbed) -> dict[str, Any]:
    """The partner's calls since its return, and the number of routes whose state relays learned by gossip."""
    returned_at_ms = testbed.partner_emulator.script_start_ms + OUTAGE_S * 1000
    call_times = [record["t"] for record in testbed.partner_records("began")]
    calls_ms = [at_ms - returned_at_ms for at_ms in call_times if at_ms >= returned_at_ms]
    slow_start_calls_ms = [since_ms for since_ms in calls_ms if since_ms < SAFETY["cold_ms"]]
    return {
        "calls_in_first_s": sum(since_ms < 1000 for since_ms in calls_ms),
        "calls_while_cold": len(slow_start_calls_ms),
        "worst_share_of_budget": round(worst_budget_use(calls_ms, slow_start_calls_ms), 2),
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
