"""Relays, hollow: what each learns alone of an outage, what all send to cold destinations, what they tell each other.

`outage`: so many modules on one simulated clock share the same load (9.2 events a second for each destination, over
all relays); 6 of 24 destinations are out for 100 s and come back cold. Counted are calls, against the budget of the
time (N calls in any second while it is cold; beyond it 2 * sqrt(N) + 2 are put down to chance). What relays tell each
other: relays on the platform (linnetstile.platform_relay) tell each other nothing; relays of the service ask each other
(service/knowledge.py). `asks`: membership alone on a simulated clock: asks a second, and how long until a relay has
asked one of the hundredth of all that know of an outage. `document`: a relay's document in bytes and processor time, by
the number of destinations that it has called.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import math
import random
from typing import Any

from benchmarks.slopes import inside
from benchmarks.slopes.harness import Found, Series, timed
from benchmarks.slopes.hollow import Fleet
from linnetstile.engine.events import Outcome
from linnetstile.engine.membership import Membership

DESTINATIONS, OUT = 24, 6
EACH_PER_S = 9.2  # events a second for one destination, from all relays
BEGIN_MS, END_MS, LAST_MS = 60_000.0, 160_000.0, 175_000.0
DEADLINE_MS = 30_000.0


def budget(since_ms: float) -> float:
    """Calls that a destination takes in one second, so long after its return."""
    safety = inside.SAFETY
    share = safety.slow_start_fraction + (1 - safety.slow_start_fraction) * min(1.0, since_ms / safety.slow_start_ms)
    return safety.overload_multiple * share * inside.RATE * safety.overload_window_ms / 1000


def over_budget(calls: list[float]) -> tuple[float, float]:
    """Of the times of calls since the return (ms): the largest part of the budget that a second's calls took, and of
    the budget with what is put down to chance."""
    worst = chance = 0.0
    first = 0
    for last, at in enumerate(calls):
        while calls[first] <= at - 1000.0:
            first += 1
        allowed, got = budget(at), last - first + 1
        worst = max(worst, got / allowed)
        chance = max(chance, got / (allowed + 2 * math.sqrt(allowed) + 2))
    return worst, chance


def outage(relays: int) -> Found:
    rng = random.Random(relays)
    calls: list[tuple[float, int, int]] = []  # time, relay, destination: those that are out, or have been

    def answer(relay: int, endpoint: int, now: float) -> tuple[Outcome, float]:
        if endpoint <= OUT and now >= BEGIN_MS:
            calls.append((now, relay, endpoint - 1))
            if now < END_MS:
                return Outcome.CONNECT_FAILED, 5.0
        return Outcome.OK, 20.0

    fleet = Fleet(
        [inside.relay(DESTINATIONS, seed=seed, relays=relays, deadline_ms=DEADLINE_MS) for seed in range(relays)],
        answer,
    )
    when, count = 0.0, 0
    while (when := when + rng.expovariate(EACH_PER_S * DESTINATIONS / 1000)) < LAST_MS:
        count += 1
        fleet.message(when, rng.randrange(relays), rng.randrange(DESTINATIONS), DEADLINE_MS)
    fleet.run(LAST_MS)
    during = [call for call in calls if call[0] < END_MS]
    learned: dict[tuple[int, int], float] = {}
    for at, relay, destination in during:
        learned.setdefault((relay, destination), at - BEGIN_MS)
    spans = [
        sorted(at - END_MS for at, _, dest in calls if dest == out and END_MS <= at < END_MS + 5000.0)
        for out in range(OUT)
    ]
    parts = [over_budget(span) for span in spans if span]
    late = [at for at, _, _ in during if at >= END_MS - 50_000.0]
    never = relays * OUT - len(learned)
    times = sorted([*learned.values(), *[math.inf] * never])
    middle = times[len(times) // 2]
    return {
        "learned_median_s": middle / 1000 if middle < math.inf else "not within 100 s",
        "never_learned_share": never / (relays * OUT),
        "calls_while_out": len(during) / OUT,
        "calls_while_out_a_s_late": len(late) / OUT / 50.0,
        "cold_calls": sum(map(len, spans)) / OUT,
        "cold_budget_worst": max(part[0] for part in parts),
        "cold_budget_mean": sum(part[0] for part in parts) / len(parts),
        "cold_with_chance_worst": max(part[1] for part in parts),
        "us_a_message": fleet.cpu_us() / count,
        "delivered_share": fleet.ends.get("delivered", 0) / count,
    }


def asks(relays: int) -> Found:
    """Members that each know all others; an ask takes 5 ms. The first ones are asked within a minute, then it counts
    for two hours."""
    rng = random.Random(relays)
    names = [f"10.0.{number >> 8}.{number & 255}:80" for number in range(relays)]
    members = {name: Membership(name, names, 0.0, seed) for seed, name in enumerate(names)}
    knowers = set(rng.sample(names, max(1, relays // 100)))
    begin, end = 60_000.0, 7_260_000.0
    heap = [(rng.uniform(0.0, 500.0), name) for name in names]
    heapq.heapify(heap)
    asked, late, heard = 0, 0, dict[str, float]()
    while heap[0][0] < end:
        now, name = heapq.heappop(heap)
        peer = members[name].next_peer(now)
        if peer is not None:
            asked += 1
            late += now >= begin
            members[name].poll_answered(now + 5.0, peer, "run", members[peer].alive_peers()[:4])
            if now >= begin and peer in knowers:
                heard.setdefault(name, (now - begin) / 1000)
        heapq.heappush(heap, (max(now + 5.0, members[name].next_poll_at), name))
    times = sorted(heard.get(name, math.inf) for name in names if name not in knowers)
    told: Found = {"asks_a_s": late / relays / (end - begin) * 1000, "first_minute_asks": (asked - late) / relays}
    for name, at in (("heard_median_s", times[len(times) // 2]), ("heard_last_s", times[-1])):
        told[name] = at if at < math.inf else f"not within {(end - begin) / 1000:g} s"
    return told


def document(routes: int) -> Found:
    """Internal surface: service/knowledge.py, its document and the reading of one."""
    from linnetstile.as2_relay.gossip import Knowledge, parse
    from linnetstile.config.relay import KnowledgeSettings

    relay = inside.relay(routes)
    now = 0.0
    for number in range(routes):
        now += 0.4
        inside.delivered(relay, number, number, now)
    numbers = {f"partner-{number}": number for number in range(routes)}

    async def go() -> Found:
        def ignore(*_: object, **__: object) -> None:
            pass

        class Quiet:
            info = warning = debug = error = staticmethod(ignore)

        log: Any = Quiet()
        made = Knowledge(KnowledgeSettings(), relay, "r", "run", numbers, ignore, log)
        type(made).now = property(lambda self: now)  # type: ignore[method-assign,assignment]
        told: Found = {"document_us": timed(made.document, 2)}
        whole = json.dumps(made.document()).encode()
        told |= {"document_bytes": float(len(whole)), "bytes_a_destination": len(whole) / routes}
        told["nothing_new_bytes"] = float(len(json.dumps(made.document(made.version))))
        try:
            told["parse_us"] = timed(lambda: parse(whole))
        except ValueError as error:
            told["parse_us"] = f"refused: {error}"
        return told

    return asyncio.run(go())


SERIES = {
    "outage": Series("relays", (20, 60, 120, 240), (460,), outage, 1),
    "asks": Series("relays", (20, 60, 120, 240), (460,), asks, 1),
    "document": Series("destinations called", (1000, 2500, 5000, 10_000), (20_000, 40_000), document, 1),
}
