"""Simulated relays: how they learn of an outage, how much they call destinations in slow start, and their gossip.

`outage`: a number of engines on one simulated clock share the same load (9.2 events a second for each destination, over
all relays). 6 of 24 destinations are out for 100 s and return in slow start. The calls of each second in slow start are
compared with the budget of N calls for that time; up to 2 * sqrt(N) + 2 calls beyond it are attributed to chance. The
engines exchange no gossip, as platform relays (linnetstile.platform_relay) have none.

`asks`: membership alone on a simulated clock, as AS2 relays poll each other (as2_relay/gossip_polling.py). Measured are
the polls a second, and the time until a relay has polled one of the 1% of relays that know of an outage.

`document`: bytes and processor time of an AS2 relay's gossip document, by the number of destinations that the relay has
called.
"""

from __future__ import annotations

import asyncio
import heapq
import json
import math
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from benchmarks.slopes import inside
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.simulated_fleet import SimulatedFleet
from benchmarks.slopes.timing import processor_time_us
from linnetstile.engine.events import Outcome
from linnetstile.engine.membership import Membership

if TYPE_CHECKING:
    from linnetstile.as2_relay.gossip_service import GossipService

DESTINATIONS = 24
OUTAGE_DESTINATIONS = 6
"""Number of destinations that have an outage; they are the first ones."""
EVENTS_PER_DESTINATION_S = 9.2
"""Messages a second for one destination, from all relays together."""
OUTAGE_BEGIN_MS = 60_000.0
OUTAGE_END_MS = 160_000.0
RUN_MS = 175_000.0
SLOW_START_MS = 5000.0
LATE_OUTAGE_MS = 50_000.0
"""Length of the last part of the outage, whose calls count as late."""
DEADLINE_MS = 30_000.0
REFUSED_MS = 5.0
ANSWERED_MS = 20.0

POLL_MS = 5.0
FIRST_POLL_MS = 500.0
"""Each relay begins to poll at a random time up to this one."""
POLLS_BEGIN_MS = 60_000.0
"""Polls are counted separately until this time, because members first poll all that they don't know yet."""
POLLS_END_MS = 7_260_000.0
PEERS_SENT = 4


def slow_start_budget(since_ms: float) -> float:
    """Return the calls that a destination accepts in one second in slow start, `since_ms` after its return."""
    safety = inside.SAFETY
    progress = min(1.0, since_ms / safety.slow_start_ms)
    share = safety.slow_start_fraction + (1 - safety.slow_start_fraction) * progress
    return safety.overload_multiple * share * inside.LISTED_RATE * safety.overload_window_ms / 1000


class BudgetUse(NamedTuple):
    """The largest ratio of the calls in a second to the budget of that second.

    Attributes:
        worst: Ratio to the budget alone.
        with_chance: Ratio to the budget plus the calls that are attributed to chance.
    """

    worst: float
    with_chance: float


def worst_budget_use(call_times_ms: list[float]) -> BudgetUse:
    """Return the largest budget use of any second; `call_times_ms` are sorted times since the destination's return."""
    worst = 0.0
    with_chance = 0.0
    first = 0
    for last, at_ms in enumerate(call_times_ms):
        while call_times_ms[first] <= at_ms - 1000.0:
            first += 1
        budget = slow_start_budget(at_ms)
        calls = last - first + 1
        worst = max(worst, calls / budget)
        with_chance = max(with_chance, calls / (budget + 2 * math.sqrt(budget) + 2))
    return BudgetUse(worst, with_chance)


@dataclass(frozen=True, slots=True)
class OutageCall:
    """A call to a destination during its outage or after it."""

    at_ms: float
    relay: int
    destination: int


@dataclass(slots=True)
class OutageEndpoints:
    """The endpoints of the series `outage`: the first `OUTAGE_DESTINATIONS` have an outage."""

    calls: list[OutageCall] = field(default_factory=list)

    def answer(self, relay: int, endpoint: int, now_ms: float) -> tuple[Outcome, float]:
        """Answer a call, and record it if it is to one of these since the outage began."""
        if endpoint <= OUTAGE_DESTINATIONS and now_ms >= OUTAGE_BEGIN_MS:
            self.calls.append(OutageCall(now_ms, relay, endpoint - 1))
            if now_ms < OUTAGE_END_MS:
                return Outcome.CONNECT_FAILED, REFUSED_MS
        return Outcome.OK, ANSWERED_MS


def measure_outage(relays: int) -> Measurements:
    """Measure a number of relays that each learn of an outage only by their own calls."""
    rng = random.Random(relays)
    endpoints = OutageEndpoints()
    engines = [
        inside.create_engine(DESTINATIONS, seed=seed, relays=relays, deadline_ms=DEADLINE_MS) for seed in range(relays)
    ]
    fleet = SimulatedFleet(engines, endpoints.answer)
    rate_per_ms = EVENTS_PER_DESTINATION_S * DESTINATIONS / 1000
    at_ms = 0.0
    messages = 0
    while (at_ms := at_ms + rng.expovariate(rate_per_ms)) < RUN_MS:
        messages += 1
        fleet.submit(at_ms, rng.randrange(relays), rng.randrange(DESTINATIONS), DEADLINE_MS)
    fleet.run(RUN_MS)
    return (
        _during_outage(endpoints.calls, relays)
        | _after_return(endpoints.calls)
        | {
            "us_a_message": fleet.cpu_us() / messages,
            "delivered_share": fleet.outcomes.get("delivered", 0) / messages,
        }
    )


def _during_outage(calls: list[OutageCall], relays: int) -> Measurements:
    """Measure when relays learned of the outage, and their calls during it."""
    outage_calls = [call for call in calls if call.at_ms < OUTAGE_END_MS]
    learned_after_ms: dict[tuple[int, int], float] = {}
    for call in outage_calls:
        learned_after_ms.setdefault((call.relay, call.destination), call.at_ms - OUTAGE_BEGIN_MS)
    late_calls = sum(call.at_ms >= OUTAGE_END_MS - LATE_OUTAGE_MS for call in outage_calls)
    never_learned = relays * OUTAGE_DESTINATIONS - len(learned_after_ms)
    times = sorted([*learned_after_ms.values(), *[math.inf] * never_learned])
    median_ms = times[len(times) // 2]
    return {
        "learned_median_s": median_ms / 1000 if median_ms < math.inf else "not within 100 s",
        "never_learned_share": never_learned / (relays * OUTAGE_DESTINATIONS),
        "calls_while_out": len(outage_calls) / OUTAGE_DESTINATIONS,
        "calls_while_out_a_s_late": late_calls / OUTAGE_DESTINATIONS / (LATE_OUTAGE_MS / 1000),
    }


def _after_return(calls: list[OutageCall]) -> Measurements:
    """Measure the calls to the destinations in slow start, and compare them with the budget."""
    by_destination = [
        sorted(
            call.at_ms - OUTAGE_END_MS
            for call in calls
            if call.destination == destination and OUTAGE_END_MS <= call.at_ms < OUTAGE_END_MS + SLOW_START_MS
        )
        for destination in range(OUTAGE_DESTINATIONS)
    ]
    uses = [worst_budget_use(call_times_ms) for call_times_ms in by_destination if call_times_ms]
    return {
        "cold_calls": sum(map(len, by_destination)) / OUTAGE_DESTINATIONS,
        "cold_budget_worst": max(use.worst for use in uses),
        "cold_budget_mean": sum(use.worst for use in uses) / len(uses),
        "cold_with_chance_worst": max(use.with_chance for use in uses),
    }


class PollSimulation:
    """Members that all know each other's address, on a simulated clock; a poll takes 5 ms.

    Attributes:
        names: Addresses of the members.
        informed: Addresses of the members that know of an outage.
        first_polls: Number of polls in the first minute.
        polls: Number of polls after the first minute.
        heard_s: By member, seconds from the end of the first minute until it has polled an informed member.
    """

    def __init__(self, relays: int) -> None:
        """Create `relays` members, 1% of which (at least one) are informed."""
        rng = random.Random(relays)
        self.names = [f"10.0.{number >> 8}.{number & 255}:80" for number in range(relays)]
        self.informed = set(rng.sample(self.names, max(1, relays // 100)))
        self.first_polls = 0
        self.polls = 0
        self.heard_s: dict[str, float] = {}
        self._members = {name: Membership(name, self.names, 0.0, seed) for seed, name in enumerate(self.names)}
        self._queue = [(rng.uniform(0.0, FIRST_POLL_MS), name) for name in self.names]
        heapq.heapify(self._queue)

    def run(self) -> None:
        """Simulate polls until `POLLS_END_MS`."""
        while self._queue[0][0] < POLLS_END_MS:
            now_ms, name = heapq.heappop(self._queue)
            member = self._members[name]
            peer = member.next_peer(now_ms)
            if peer is not None:
                member.poll_answered(now_ms + POLL_MS, peer, "run", self._members[peer].alive_peers()[:PEERS_SENT])
                self._count(now_ms, name, peer)
            heapq.heappush(self._queue, (max(now_ms + POLL_MS, member.next_poll_at), name))

    def _count(self, now_ms: float, name: str, peer: str) -> None:
        if now_ms < POLLS_BEGIN_MS:
            self.first_polls += 1
            return
        self.polls += 1
        if peer in self.informed:
            self.heard_s.setdefault(name, (now_ms - POLLS_BEGIN_MS) / 1000)


def measure_polls(relays: int) -> Measurements:
    """Measure the polls of a number of members in the first minute, and in the two hours after it."""
    simulation = PollSimulation(relays)
    simulation.run()
    uninformed = [name for name in simulation.names if name not in simulation.informed]
    times = sorted(simulation.heard_s.get(name, math.inf) for name in uninformed)
    length_ms = POLLS_END_MS - POLLS_BEGIN_MS
    measurements: Measurements = {
        "asks_a_s": simulation.polls / relays / length_ms * 1000,
        "first_minute_asks": simulation.first_polls / relays,
    }
    for quantity, at_s in (("heard_median_s", times[len(times) // 2]), ("heard_last_s", times[-1])):
        measurements[quantity] = at_s if at_s < math.inf else f"not within {length_ms / 1000:g} s"
    return measurements


def measure_gossip_document(routes: int) -> Measurements:
    """Measure encoding and parsing a gossip document."""
    from linnetstile.as2_relay.gossip_document import parse

    async def measure() -> Measurements:
        gossip = _gossip_of_engine(routes)
        measurements: Measurements = {"document_us": processor_time_us(gossip.document, 2)}
        document = json.dumps(gossip.document()).encode()
        measurements |= {"document_bytes": float(len(document)), "bytes_a_destination": len(document) / routes}
        measurements["nothing_new_bytes"] = float(len(json.dumps(gossip.document(gossip.version))))
        try:
            measurements["parse_us"] = processor_time_us(lambda: parse(document))
        except ValueError as error:
            measurements["parse_us"] = f"refused: {error}"
        return measurements

    return asyncio.run(measure())


class _NullLogger:
    """A logger that drops all events."""

    def info(self, event: str, **fields: object) -> None:
        pass

    debug = info
    warning = info
    error = info


def _gossip_of_engine(routes: int) -> GossipService:
    """Return the gossip service of a relay that has called `routes` destinations. Uses as2_relay/gossip_service.py."""
    from linnetstile.as2_relay.gossip_service import GossipService
    from linnetstile.config.relay import KnowledgeSettings

    engine = inside.create_engine(routes)
    now_ms = 0.0
    for number in range(routes):
        now_ms += 0.4
        inside.delivered(engine, number, number, now_ms)
    numbers = {f"partner-{number}": number for number in range(routes)}

    def ignore(*_: object) -> None:
        pass

    log: Any = _NullLogger()
    gossip = GossipService(KnowledgeSettings(), engine, "r", "run", numbers, ignore, log)
    type(gossip).now_ms = property(lambda self: now_ms)  # type: ignore[method-assign,assignment]
    return gossip


SERIES = {
    "outage": Series("relays", (20, 60, 120, 240), (460,), measure_outage, 1),
    "asks": Series("relays", (20, 60, 120, 240), (460,), measure_polls, 1),
    "document": Series("destinations called", (1000, 2500, 5000, 10_000), (20_000, 40_000), measure_gossip_document, 1),
}
