"""What a relay keeps of a destination that it is not using, and when that may be forgotten. No I/O, no clock.

A lane is rich: some 2 kB with its endpoints. Of 120,000 destinations a relay uses a few thousand in a second, so that
lanes beyond `IN_USE` that carry nothing are laid to rest, the one that was used longest ago first. What a rule still
needs of a lane goes into one record of some 200 bytes, and is the same when it wakes: a told wait, an outage or a
return from one, a limit that was met, the time in which a replaced endpoint counts as cold. A lane of which nothing
binds any more keeps no record: the next one of its destination begins as one that was never seen does."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from .route_state import DecayingCounter, RouteState
from .time_points import NEVER

# Above it lanes that carry nothing rest: some 4 MB. No relay with 1,024 destinations ever lays one to rest, and twice
# as many in use make a turn that looks at all of them no dearer than twice.
MAX_RESIDENT_ROUTES = 2048
VISITS_PER_EVENT = (
    2  # lanes and records looked at in a turn, for each event of it: at most one lane is made by an event
)

# Times to the ms, and what settings may make as large as they like.
DOUBLE_FIELDS = (
    "tokens_at",
    "last_success_at",
    "throttled_until",
    "retry_after_until",
    "failed_at",
    "slow_start_since",
    "endpoints_left_at",
    "next_trial_at",
    "fleet_rate",
    "rate",
    "tokens",
)
# Six digits are enough for these.
FLOAT_FIELDS = (
    "latency_mean",
    "latency_deviation",
    "initial_tokens",
    "mean_call_ms",
    "timeout_multiplier",
    "throttle_ms",
    "failure_score",
    "aware_relays",
    "notified_relays",
)
COUNT_FIELDS = ("answers", "max_batch", "kind")
FLAG_FIELDS = ("rate_advertised", "ejected", "last_failure_had_no_effect", "last_failure_was_connect", "from_gossip")
# Until when it binds, a lane's route, `bad_since`, its flow, whether it had no endpoints, and the above.
RECORD = struct.Struct(f"<dq3d?{len(DOUBLE_FIELDS)}d{len(FLOAT_FIELDS)}f{len(COUNT_FIELDS)}I{len(FLAG_FIELDS)}?")
EXPIRY = struct.Struct("<d")
PACKED_FIELDS = (*DOUBLE_FIELDS, *FLOAT_FIELDS, *COUNT_FIELDS, *FLAG_FIELDS)


def binds_until(route: RouteState, bare: bool, fade_ms: float, cold_ms: float) -> float:
    """Until when a rule may still need what is known of it: a told wait, a cold return, an outage that has not ended (a
    return may come at any moment), a refusal or a failure of late; of a `bare` one, which has no endpoints, whether a
    new one would still be taken for its return."""
    until = max(route.retry_after_until, route.slow_start_since + cold_ms)
    if bare:
        return (
            until
            if route.outage_since is None
            else max(until, route.endpoints_left_at + fade_ms, route.outage_since + fade_ms)
        )
    if route.outage_since is not None or route.ejected:
        return float("inf")
    return max(until, route.throttled_until, route.failed_at + fade_ms)


def pack_routes(routes: Mapping[int, RouteState], now: float, fade_ms: float, cold_ms: float) -> bytes | None:
    """What is to be kept of a destination, by route; empty = nothing; None: a call is out, and it may not rest."""
    if any(lane.calls for lane in routes.values()):
        return None
    kept = b""
    for route, lane in routes.items():
        bare = not lane.endpoints
        until = binds_until(lane, bare, fade_ms, cold_ms)
        if now <= until:
            kept += RECORD.pack(
                until,
                route,
                NEVER if lane.outage_since is None else lane.outage_since,
                lane.answer_counter.total,
                lane.answer_counter.updated_at,
                bare,
                *(getattr(lane, name) for name in PACKED_FIELDS),
            )
    return kept


def restore_routes(kept: bytes) -> tuple[dict[int, RouteState], set[int]]:
    """The lanes of a destination as they went to rest, without their endpoints, and the routes that had none."""
    routes: dict[int, RouteState] = {}
    bare: set[int] = set()
    for _, route, bad_since, events, at, left, *rest in RECORD.iter_unpack(kept):
        told = dict(zip(PACKED_FIELDS, rest, strict=True))
        routes[route] = RouteState(
            **told, outage_since=None if bad_since == NEVER else bad_since, answer_counter=DecayingCounter(events, at)
        )
        if left:
            bare.add(route)
    return routes, bare


def has_expired(kept: bytes, now: float) -> bool:
    """Whether nothing of a record binds any more. What is kept of an outage never lapses while there are endpoints."""
    return all(now > EXPIRY.unpack_from(kept, at)[0] for at in range(0, len(kept), RECORD.size))
