"""Destinations that are down and have a queue, beside many that are up: processor time of a message and an idle turn.

One simulated relay gets its share of the target's load: 2,391 events a second over all destinations at random, so that
with 2,280 queues 1.9% of the events are for destinations that are down. A call to one of these is refused after 5 ms.

`beside_target`: the destinations that are up and those that are down are 120,000 together.

`beside_few`: 1,024 destinations are up. The load is the same, so that each of them gets and accepts more of it.
"""

from __future__ import annotations

import random

from benchmarks.slopes import inside
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.simulated_fleet import SimulatedFleet
from benchmarks.slopes.timing import processor_time_us
from linnetstile.engine.events import Outcome

TARGET_DESTINATIONS = 120_000
EVENTS_PER_S = inside.FLEET_EVENTS_PER_S / inside.TARGET_RELAYS
"""Messages a second of one relay."""
MESSAGES_A_QUEUE = 3
"""Number of messages that are submitted for each queue before the measurement."""
WARM_UP_MS = 12_000.0
RUN_MS = 1_000.0
DEADLINE_MS = 600_000.0
REFUSED_MS = 5.0
ANSWERED_MS = 20.0
IDLE_TURNS = 50


def measure(queues: int, destinations: int) -> Measurements:
    """Measure the engine with `destinations` destinations, the first `queues` of which are down."""
    rng = random.Random(queues)
    fleet = _warmed_up_fleet(queues, destinations, rng)
    inside.freeze_live_objects()
    fleet.reset()
    count = _submit_load(fleet, queues, destinations, rng)
    fleet.run(WARM_UP_MS + RUN_MS)
    measurements: Measurements = {
        "message_us": fleet.cpu_us("Message") / count,
        "answer_us": fleet.cpu_us("AttemptEnded") / fleet.costs["AttemptEnded"].turns,
        "timers_us_a_s": fleet.cpu_us("TimerFired") * 1000 / RUN_MS,
        "all_us_a_message": fleet.cpu_us() / count,
        "turns_a_message": sum(cost.turns for cost in fleet.costs.values()) / count,
        "delivered_share": fleet.outcomes.get("delivered", 0) / count,
    }
    engine = fleet.relays[0]
    now_ms = fleet.now_ms
    measurements["idle_turn_us"] = min(processor_time_us(lambda: engine.handle(now_ms, [])) for _ in range(IDLE_TURNS))
    return measurements


def _warmed_up_fleet(queues: int, destinations: int, rng: random.Random) -> SimulatedFleet:
    """Return a fleet of one relay whose destinations that are down have their queues filled."""
    rate = inside.LISTED_RATE * TARGET_DESTINATIONS / destinations
    engine = inside.create_engine(destinations, rate=rate, deadline_ms=DEADLINE_MS)

    def answer(_: int, endpoint: int, now_ms: float) -> tuple[Outcome, float]:
        return (Outcome.CONNECT_FAILED, REFUSED_MS) if endpoint <= queues else (Outcome.OK, ANSWERED_MS)

    fleet = SimulatedFleet([engine], answer)
    for number in range(queues * MESSAGES_A_QUEUE):  # spread over time, as messages arrive
        fleet.submit(rng.uniform(0.0, WARM_UP_MS / 3), 0, number % queues, DEADLINE_MS)
    fleet.run(WARM_UP_MS)
    return fleet


def _submit_load(fleet: SimulatedFleet, queues: int, destinations: int, rng: random.Random) -> int:
    """Submit the messages of the measured time, each for a random destination; returns their number."""
    count = int(EVENTS_PER_S * RUN_MS / 1000)
    for at_ms in sorted(rng.uniform(WARM_UP_MS, WARM_UP_MS + RUN_MS) for _ in range(count)):
        is_down = rng.random() < queues / TARGET_DESTINATIONS  # the target's share, whatever `destinations` is
        destination = rng.randrange(queues) if is_down else rng.randrange(queues, destinations)
        fleet.submit(at_ms, 0, destination, DEADLINE_MS)
    return count


POINTS = (20, 256, 512, 1024, 1600)
CHECKS = (2280,)
SERIES = {
    "beside_target": Series("queues", POINTS, CHECKS, lambda queues: measure(queues, TARGET_DESTINATIONS), 1),
    "beside_few": Series("queues", POINTS, CHECKS, lambda queues: measure(queues, queues + 1024), 2),
}
