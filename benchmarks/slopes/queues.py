"""Destinations that are down and have a queue, beside many that are up: what a message and an idle turn cost.

One hollow relay with its part of the target's load (2,391 events a second over all destinations, by chance, so that
at 2,280 queues 1.9% of them are for those that are down); a call to one that is down is refused after 5 ms.
`beside_target`: with so many up that all are 120,000; `beside_few`: with 1,024 up, which take that much more each.
"""

from __future__ import annotations

import random

from benchmarks.slopes import inside
from benchmarks.slopes.harness import Found, Series, timed
from benchmarks.slopes.hollow import Fleet
from linnetstile.engine.events import Outcome

ALL = 120_000
PER_S = inside.EVERYWHERE / inside.RELAYS  # events a second of one relay
QUEUED = 3  # messages in each queue at the least
WARM_MS, RUN_MS = 12_000.0, 1_000.0
DEADLINE_MS = 600_000.0


def measure(queues: int, destinations: int) -> Found:
    """The first `queues` destinations are down."""
    relay = inside.relay(destinations, rate=inside.RATE * ALL / destinations, deadline_ms=DEADLINE_MS)
    rng = random.Random(queues)

    def answer(_: int, endpoint: int, now: float) -> tuple[Outcome, float]:
        return (Outcome.CONNECT_FAILED, 5.0) if endpoint <= queues else (Outcome.OK, 20.0)

    fleet = Fleet([relay], answer)
    for number in range(queues * QUEUED):  # as they come: not all in one moment
        fleet.message(rng.uniform(0.0, WARM_MS / 3), 0, number % queues, DEADLINE_MS)
    fleet.run(WARM_MS)
    inside.still()
    fleet.reset()
    count = int(PER_S * RUN_MS / 1000)
    for when in sorted(rng.uniform(WARM_MS, WARM_MS + RUN_MS) for _ in range(count)):
        down = rng.random() < queues / ALL  # also where there are fewer that are up
        fleet.message(when, 0, rng.randrange(queues) if down else rng.randrange(queues, destinations), DEADLINE_MS)
    fleet.run(WARM_MS + RUN_MS)
    told: Found = {
        "message_us": fleet.cpu_us("Message") / count,
        "answer_us": fleet.cpu_us("AttemptEnded") / fleet.spent["AttemptEnded"].turns,
        "timers_us_a_s": fleet.cpu_us("TimerFired") * 1000 / RUN_MS,
        "all_us_a_message": fleet.cpu_us() / count,
        "turns_a_message": sum(each.turns for each in fleet.spent.values()) / count,
        "delivered_share": fleet.ends.get("delivered", 0) / count,
    }
    now = fleet.now
    told["idle_turn_us"] = min(timed(lambda: relay.handle(now, [])) for _ in range(50))
    return told


POINTS, CHECKS = (20, 256, 512, 1024, 1600), (2280,)
SERIES = {
    "beside_target": Series("queues", POINTS, CHECKS, lambda queues: measure(queues, ALL), 1),
    "beside_few": Series("queues", POINTS, CHECKS, lambda queues: measure(queues, queues + 1024), 2),
}
