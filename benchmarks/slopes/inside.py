"""The engine in one process, without I/O: settings, endpoint lists, and the memory that a step takes.

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
"""Messages a second of all relays together at the target."""
TARGET_RELAYS = 460
ANSWER_MS = 20.0
"""Duration of a successful call."""
SAFETY = SafetyLimits(
    answer_slack_ms=50.0, drain_grace_ms=250.0, slow_start_fraction=0.2, slow_start_ms=5000.0, overload_multiple=2.0
)
MESSAGE_CLASS = MessageClass("state", Effect.IDEMPOTENT, 10_000.0, 3_600_000.0)


def settings(
    relays: int = TARGET_RELAYS, max_in_flight: int = 256, deadline_ms: float = MESSAGE_CLASS.deadline_ms
) -> Settings:
    """Settings of one of `relays` relays, with capacity for a million messages."""
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
    """Generate discovery's entries for `count` destinations with `endpoints_per_destination` endpoints each."""
    for number in range(count * endpoints_per_destination):
        yield discovery_entry(number, number // endpoints_per_destination, address, rate=rate)


def discovery_entry(
    number: int, destination: int, address: str = "", state: str = "SERVING", rate: float = LISTED_RATE
) -> dict[str, Any]:
    """Return one entry as discovery sends it; by default, with an address that no relay calls."""
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
    """Return the endpoints of `discovery_entries` as the engine gets them; their numbers begin at 1."""
    return tuple(
        Endpoint(number + 1, number // endpoints_per_destination, status, 0, 0, rate)
        for number in range(count * endpoints_per_destination)
    )


def create_engine(
    count: int, endpoints_per_destination: int = 1, rate: float = LISTED_RATE, seed: int = 1, **options: Any
) -> DeliveryEngine:
    """Return an engine that knows `count` idle destinations; `options` are passed to `settings`."""
    engine = DeliveryEngine(settings(**options), seed)
    engine.handle(0.0, [EndpointList(ListKind.FULL, endpoints(count, endpoints_per_destination, rate=rate))])
    return engine


def freeze_live_objects() -> None:
    """Exclude all live objects from garbage collection, as a relay does once it has started."""
    gc.collect()
    gc.freeze()


class Allocation(NamedTuple, Generic[Result]):
    """The result of a step, and the bytes that it left allocated; negative if it freed more than it allocated."""

    size_bytes: int
    result: Result


def measure_allocation(step: Callable[[], Result]) -> Allocation[Result]:
    """Run a step, and measure by tracemalloc the bytes that it leaves allocated."""
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
    """Deliver one message, with its answer `ANSWER_MS` later, in exactly two turns of the engine."""
    for action in engine.handle(now_ms, [Message(message_id, destination, 0, remaining_ms)]):
        if isinstance(action, Send):
            ended = AttemptEnded(action.id, 0, action.endpoint, Outcome.OK, ANSWER_MS, True)
            engine.handle(now_ms + ANSWER_MS, [ended])
