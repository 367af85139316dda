"""What a relay keeps of a destination that it is not using, and when that may be forgotten. No I/O, no clock.

A route in use is rich: some 2 kB with its endpoints. Of 120,000 destinations a relay uses a few thousand in a second,
so routes beyond `MAX_RESIDENT_ROUTES` that carry no message are evicted, the least recently used first. What a rule
still needs of a route goes into one record of some 200 bytes and is the same when the route is restored: a Retry-After,
an outage or a slow start, a limit that was met, the time in which a replaced endpoint counts as a return. A route of
which nothing binds any more keeps no record: the next one of its destination begins like one that was never used.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping
from typing import NamedTuple

from .route_state import (
    EVIDENCE_TTL_MS,
    DecayingCounter,
    HealthState,
    LatencyEstimate,
    RateState,
    RouteState,
)
from .time_points import NEVER

# Above it idle routes are evicted: some 4 MB. No relay with 1,024 destinations ever evicts one, and twice as many in
# use make a turn that looks at all of them no dearer than twice.
MAX_RESIDENT_ROUTES = 2048
VISITS_PER_EVENT = 2  # routes and records looked at in a turn for each event of it: an event makes one route at most

# Fields of a record with their struct codes: doubles for times and for what settings may make as large as they like,
# floats where six digits are enough.
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
# Before the fields: until when the record binds, the route's id, `outage_since` (NEVER for none), total and time of the
# answer counter, and whether the route had no endpoints.
RECORD_HEAD = "dqddd?"
RECORD = struct.Struct(
    "<"
    + RECORD_HEAD
    + "".join([*LATENCY_FIELDS.values(), *RATE_FIELDS.values(), *HEALTH_FIELDS.values(), *ROUTE_FIELDS.values()])
)
EXPIRY = struct.Struct("<d")  # the first field of a record


class RestoredRoutes(NamedTuple):
    """Routes of one destination, restored from its record.

    Attributes:
        routes: By route id, without their endpoints.
        without_endpoints: Ids of those that had no endpoints.
    """

    routes: dict[int, RouteState]
    without_endpoints: set[int]


def binds_until(route: RouteState, has_endpoints: bool, slow_start_ms: float) -> float:
    """Return until when a rule may still need what is known of a route.

    That is a Retry-After, a slow start, an outage that has not ended (a return may come at any moment), a rejection or
    a failure of late; of a route without endpoints, whether a new endpoint would still count as its return.
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
    """Return the record of a destination's routes; empty if nothing binds, None if a call is in flight."""
    if any(route.calls for route in routes.values()):
        return None
    record = b""
    for route_id, route in routes.items():
        until = binds_until(route, bool(route.endpoints), slow_start_ms)
        if now <= until:
            record += _pack(route_id, route, until)
    return record


def _pack(route_id: int, route: RouteState, until: float) -> bytes:
    health, counter = route.health, route.rate.answer_counter
    return RECORD.pack(
        until,
        route_id,
        NEVER if health.outage_since is None else health.outage_since,
        counter.total,
        counter.updated_at,
        not route.endpoints,
        *(getattr(route.latency, name) for name in LATENCY_FIELDS),
        *(getattr(route.rate, name) for name in RATE_FIELDS),
        *(getattr(health, name) for name in HEALTH_FIELDS),
        *(getattr(route, name) for name in ROUTE_FIELDS),
    )


def restore_routes(record: bytes) -> RestoredRoutes:
    """Return the routes of a destination as they were evicted, without their endpoints."""
    restored = RestoredRoutes({}, set())
    for _, route_id, outage_since, total, updated_at, had_no_endpoints, *values in RECORD.iter_unpack(record):
        fields = iter(values)
        latency = LatencyEstimate(**dict(zip(LATENCY_FIELDS, fields, strict=False)))
        rate = RateState(**dict(zip(RATE_FIELDS, fields, strict=False)))
        rate.answer_counter = DecayingCounter(total, updated_at)
        health = HealthState(**dict(zip(HEALTH_FIELDS, fields, strict=False)))
        health.outage_since = None if outage_since == NEVER else outage_since
        others = dict(zip(ROUTE_FIELDS, fields, strict=True))
        restored.routes[route_id] = RouteState(latency, rate, health, **others)
        if had_no_endpoints:
            restored.without_endpoints.add(route_id)
    return restored


def has_expired(record: bytes, now: float) -> bool:
    """Return whether nothing of a record binds any more; an outage binds as long as there are endpoints."""
    return all(now > EXPIRY.unpack_from(record, at)[0] for at in range(0, len(record), RECORD.size))
