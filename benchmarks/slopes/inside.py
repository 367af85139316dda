"""The module in one process: settings, lists, and what a step of it costs. No I/O."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from linnetstile.engine.actions import Send
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Endpoint, EndpointList, EndpointStatus, ListKind, Message, Outcome
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, SafetyLimits, Settings

RATE = 20.0  # calls a second that a destination takes, as listed
EVERYWHERE = 1_100_000.0  # events a second at the target, all relays together
RELAYS = 460
SAFETY = SafetyLimits(
    answer_slack_ms=50.0, drain_grace_ms=250.0, slow_start_fraction=0.2, slow_start_ms=5000.0, overload_multiple=2.0
)
CLASS = MessageClass("state", Effect.IDEMPOTENT, 10_000.0, 3_600_000.0)


def settings(relays: int = RELAYS, slots: int = 256, deadline_ms: float = CLASS.deadline_ms) -> Settings:
    """One relay of so many, with room for a million messages."""
    message_class = MessageClass(CLASS.name, CLASS.effect, CLASS.latency_objective_ms, deadline_ms)
    return Settings(
        (message_class,),
        (DestinationKind("k"),),
        slots,
        1_000_000,
        40,
        relay_count=relays,
        rate_trust=RateTrust.NOMINAL,
        idle_timeout_ms=10_000.0,
        connect_timeout_ms=500.0,
        safety=SAFETY,
    )


def servers(count: int, endpoints: int = 1, addr: str = "", rate: float = RATE) -> Iterator[dict[str, Any]]:
    """Discovery's entries of `count` destinations, so many endpoints of each."""
    for number in range(count * endpoints):
        yield server(number, number // endpoints, addr, rate=rate)


def server(number: int, cell: int, addr: str = "", state: str = "SERVING", rate: float = RATE) -> dict[str, Any]:
    """One entry as discovery tells it."""
    where = addr or f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:3000"
    return {
        "id": f"s-{number:08x}",
        "addr": where,
        "zone": "z",
        "kind": "k",
        "cell": cell,
        "state": state,
        "weight": rate,
        "started_ms": 0,
    }


def entries(
    count: int, endpoints: int = 1, listing: EndpointStatus = EndpointStatus.READY, rate: float = RATE
) -> tuple[Endpoint, ...]:
    """The same as the module is told them; numbers of endpoints begin at 1."""
    return tuple(Endpoint(number + 1, number // endpoints, listing, 0, 0, rate) for number in range(count * endpoints))


def relay(count: int, endpoints: int = 1, rate: float = RATE, seed: int = 1, **more: Any) -> DeliveryEngine:
    """A module that knows of so many destinations, all at rest."""
    made = DeliveryEngine(settings(**more), seed)
    made.handle(0.0, [EndpointList(ListKind.FULL, entries(count, endpoints, rate=rate))])
    return made


def still() -> None:
    """As a node does once it has started: what there is, is not looked at by collections."""
    gc.collect()
    gc.freeze()


def traced(step: Callable[[], Any]) -> tuple[int, Any]:
    """Bytes that a step leaves allocated (tracemalloc), and what it returned."""
    gc.collect()
    if not tracemalloc.is_tracing():
        tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    found = step()
    gc.collect()
    return tracemalloc.get_traced_memory()[0] - before, found


def delivered(relay: DeliveryEngine, ident: int, destination: int, now: float, left_ms: float = 5000.0) -> None:
    """One message with its answer 20 ms later: two turns and no more."""
    for action in relay.handle(now, [Message(ident, destination, 0, left_ms)]):
        if isinstance(action, Send):
            relay.handle(now + 20.0, [AttemptEnded(action.id, 0, action.endpoint, Outcome.OK, 20.0, True)])
