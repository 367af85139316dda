"""The engine in one process: settings, endpoint lists, and what a step of it costs. No I/O.

docs/CAPACITY.md cites this file and `delivered` by name.
"""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any, Generic, NamedTuple, TypeVar

from linnetstile.engine.actions import Send
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Message, Outcome
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, SafetyLimits, Settings

Result = TypeVar("Result")

LISTED_RATE = 20.0
"""Calls a second that a destination advertises."""
FLEET_EVENTS_PER_S = 1_100_000.0
"""Messages a second at the target, all relays together."""
TARGET_RELAYS = 460
ANSWER_MS = 20.0
"""Time of a call that succeeds."""
SAFETY = SafetyLimits(
    answer_slack_ms=50.0, drain_grace_ms=250.0, slow_start_fraction=0.2, slow_start_ms=5000.0, overload_multiple=2.0
)
MESSAGE_CLASS = MessageClass("state", Effect.IDEMPOTENT, 10_000.0, 3_600_000.0)


def settings(
    relays: int = TARGET_RELAYS, max_in_flight: int = 256, deadline_ms: float = MESSAGE_CLASS.deadline_ms
) -> Settings:
    """Settings of one relay of so many, with capacity for a million messages."""
    message_class = MessageClass(
        MESSAGE_CLASS.name, MESSAGE_CLASS.effect, MESSAGE_CLASS.latency_objective_ms, deadline_ms
    )
    return Settings(
        (message_class,),
        (DestinationKind("k"),),
        max_in_flight,
        1_000_000,
        40,
        relay_count=relays,
        rate_trust=RateTrust.NOMINAL,
        idle_timeout_ms=10_000.0,
        connect_timeout_ms=500.0,
        safety=SAFETY,
    )


def discovery_entries(
    count: int, endpoints_per_destination: int = 1, address: str = "", rate: float = LISTED_RATE
) -> Iterator[dict[str, Any]]:
    """Discovery's entries of `count` destinations, so many endpoints of each."""
    for number in range(count * endpoints_per_destination):
        yield discovery_entry(number, number // endpoints_per_destination, address, rate=rate)


def discovery_entry(
    number: int, destination: int, address: str = "", state: str = "SERVING", rate: float = LISTED_RATE
) -> dict[str, Any]:
    """One entry as discovery sends it; without an address, one that nobody calls."""
    return {
        "id": f"s-{number:08x}",
        "addr": address or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:3000",
        "zone": "z",
        "kind": "k",
        "cell": destination,
        "state": state,
        "weight": rate,
        "started_ms": 0,
    }


def endpoints(
    count: int,
    endpoints_per_destination: int = 1,
    status: EndpointStatus = EndpointStatus.READY,
    rate: float = LISTED_RATE,
) -> tuple[Endpoint, ...]:
    """The same as the engine gets them; numbers of endpoints begin at 1."""
    return tuple(
        Endpoint(number + 1, number // endpoints_per_destination, status, 0, 0, rate)
        for number in range(count * endpoints_per_destination)
    )


def create_engine(
    count: int, endpoints_per_destination: int = 1, rate: float = LISTED_RATE, seed: int = 1, **options: Any
) -> DeliveryEngine:
    """An engine that knows so many destinations, all of them idle; `options` are those of `settings`."""
    engine = DeliveryEngine(settings(**options), seed)
    engine.handle(0.0, [EndpointList(ListKind.FULL, endpoints(count, endpoints_per_destination, rate=rate))])
    return engine


def freeze_garbage() -> None:
    """Exclude what there is from garbage collection, as a relay does once it has started."""
    gc.collect()
    gc.freeze()


class Allocation(NamedTuple, Generic[Result]):
    """Bytes that a step left allocated, negative if it freed more, and what it returned."""

    size_bytes: int
    result: Result


def measure_allocation(step: Callable[[], Result]) -> Allocation[Result]:
    """Run a step, and measure by tracemalloc what it leaves allocated."""
    gc.collect()
    if not tracemalloc.is_tracing():
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = step()
    gc.collect()
    return Allocation(tracemalloc.get_traced_memory()[0] - before, result)


def delivered(
    engine: DeliveryEngine, message_id: int, destination: int, now_ms: float, remaining_ms: float = 5000.0
) -> None:
    """One message with its answer `ANSWER_MS` later: two turns and no more."""
    for action in engine.handle(now_ms, [Message(message_id, destination, 0, remaining_ms)]):
        if isinstance(action, Send):
            ended = AttemptEnded(action.id, 0, action.endpoint, Outcome.OK, ANSWER_MS, True)
            engine.handle(now_ms + ANSWER_MS, [ended])
