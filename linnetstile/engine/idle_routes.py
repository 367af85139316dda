"""Eviction of idle routes: which state of a destination not in use is kept, and for how long. No I/O and no clock.

A route in use takes about 2 kB with its endpoints. Of 120,000 destinations, a relay uses a few thousand in a second.
Routes without messages beyond `MAX_RESIDENT_ROUTES` are therefore evicted, the least recently used first. State that a
delivery rule still needs is kept in one record of about 200 bytes, from which the route is restored: a Retry-After, an
outage or a slow start, a recent rejection, and the time in which a new endpoint counts as a recovery. A route without
such state leaves no record: when its destination is used again, it starts like one that was never used.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import Any, NamedTuple

from .route_state import (
    EVIDENCE_TTL_MS,
    DecayingCounter,
    HealthState,
    LatencyEstimate,
    RateState,
    RouteState,
)
from .time_points import NEVER

# Idle routes above this number are evicted; this many take about 4 MB. A relay with 1,024 destinations never evicts a
# route. Steps that visit all resident routes take at most twice as long as with the routes of 1,024 destinations.
MAX_RESIDENT_ROUTES = 2048
VISITS_PER_EVENT = 2  # routes and records checked per event; an event creates at most one, so eviction keeps up

# Fields of a record with their struct codes: doubles for times and for values that the settings do not bound, floats
# where six digits are enough.
LATENCY_FIELDS = {
    "mean_ms": "f",
    "deviation_ms": "f",
    "answers": "I",
    "timeout_multiplier": "f",
    "mean_call_ms": "f",
}
RATE_FIELDS = {
    "fleet_rate": "d",
    "own_rate": "d",
    "tokens": "d",
    "tokens_at": "d",
    "initial_tokens": "f",
    "is_advertised": "?",
    "throttle_ms": "f",
    "throttled_until": "d",
}
HEALTH_FIELDS = {
    "last_success_at": "d",
    "failure_score": "f",
    "ejected": "?",
    "failed_at": "d",
    "last_failure_had_no_effect": "?",
    "last_failure_was_connect": "?",
    "slow_start_since": "d",
    "endpoints_left_at": "d",
    "aware_relays": "f",
    "notified_relays": "f",
    "from_gossip": "?",
    "next_trial_at": "d",
}
ROUTE_FIELDS = {"max_batch": "I", "kind": "I", "retry_after_until": "d"}
RECORD_HEAD = "dqddd?"  # see `RecordHead`
RECORD = struct.Struct(
    "<"
    + RECORD_HEAD
    + "".join([*LATENCY_FIELDS.values(), *RATE_FIELDS.values(), *HEALTH_FIELDS.values(), *ROUTE_FIELDS.values()])
)
EXPIRY = struct.Struct("<d")  # the first field of a record, `RecordHead.expires_at`


class RecordHead(NamedTuple):
    """First fields of a record.

    Attributes:
        expires_at: Until when the record is needed.
        route_id: Id of the route.
        outage_since: Start of the route's outage; NEVER = no outage.
        answer_total: Total of the answer counter.
        answers_updated_at: When the answer counter was last updated.
        had_no_endpoints: Whether the route had no endpoints when it was evicted.
    """

    expires_at: float
    route_id: int
    outage_since: float
    answer_total: float
    answers_updated_at: float
    had_no_endpoints: bool


class RestoredRoutes(NamedTuple):
    """Routes of one destination, restored from its record.

    Attributes:
        routes: The routes by id, without their endpoints.
        without_endpoints: Ids of the routes that had no endpoints when they were evicted.
    """

    routes: dict[int, RouteState]
    without_endpoints: set[int]


def needed_until(route: RouteState, has_endpoints: bool, slow_start_ms: float) -> float:
    """Return until when a delivery rule may still need the state of a route.

    Rules need a Retry-After, a slow start, an ongoing outage (the route may recover at any moment), and a recent
    rejection or failure. For a route without endpoints, rules need to know if a new endpoint counts as its recovery.
    """
    health = route.health
    until = max(route.retry_after_until, health.slow_start_since + slow_start_ms)
    if not has_endpoints:
        if health.outage_since is None:
            return until
        return max(until, health.endpoints_left_at + EVIDENCE_TTL_MS, health.outage_since + EVIDENCE_TTL_MS)
    if health.outage_since is not None or health.ejected:
        return float("inf")
    return max(until, route.rate.throttled_until, health.failed_at + EVIDENCE_TTL_MS)


def pack_routes(routes: Mapping[int, RouteState], now: float, slow_start_ms: float) -> bytes | None:
    """Return the record of a destination's routes: empty if no rule needs one, None if a call is in flight."""
    if any(route.calls for route in routes.values()):
        return None
    record = b""
    for route_id, route in routes.items():
        expires_at = needed_until(route, bool(route.endpoints), slow_start_ms)
        if now <= expires_at:
            record += _pack(route_id, route, expires_at)
    return record


def _pack(route_id: int, route: RouteState, expires_at: float) -> bytes:
    health = route.health
    head = RecordHead(
        expires_at=expires_at,
        route_id=route_id,
        outage_since=NEVER if health.outage_since is None else health.outage_since,
        answer_total=route.rate.answer_counter.total,
        answers_updated_at=route.rate.answer_counter.updated_at,
        had_no_endpoints=not route.endpoints,
    )
    return RECORD.pack(
        *head,
        *(getattr(route.latency, name) for name in LATENCY_FIELDS),
        *(getattr(route.rate, name) for name in RATE_FIELDS),
        *(getattr(health, name) for name in HEALTH_FIELDS),
        *(getattr(route, name) for name in ROUTE_FIELDS),
    )


def restore_routes(record: bytes) -> RestoredRoutes:
    """Return the routes of a destination in the state in which they were evicted, without their endpoints."""
    restored = RestoredRoutes(routes={}, without_endpoints=set())
    for values in RECORD.iter_unpack(record):
        head = RecordHead(*values[: len(RecordHead._fields)])
        restored.routes[head.route_id] = _unpack_route(head, values[len(RecordHead._fields) :])
        if head.had_no_endpoints:
            restored.without_endpoints.add(head.route_id)
    return restored


def _unpack_route(head: RecordHead, values: tuple[Any, ...]) -> RouteState:
    """Build a route from the head of its record and the values of the other fields."""
    fields = iter(values)
    latency = LatencyEstimate(**dict(zip(LATENCY_FIELDS, fields, strict=False)))
    rate = RateState(**dict(zip(RATE_FIELDS, fields, strict=False)))
    rate.answer_counter = DecayingCounter(head.answer_total, head.answers_updated_at)
    health = HealthState(**dict(zip(HEALTH_FIELDS, fields, strict=False)))
    health.outage_since = None if head.outage_since == NEVER else head.outage_since
    others = dict(zip(ROUTE_FIELDS, fields, strict=True))
    return RouteState(latency, rate, health, **others)


def has_expired(record: bytes, now: float) -> bool:
    """Return whether all routes of a record have expired. A route in an outage that has endpoints never expires."""
    offsets = range(0, len(record), RECORD.size)
    return all(now > EXPIRY.unpack_from(record, offset)[0] for offset in offsets)
