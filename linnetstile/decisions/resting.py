"""What a relay keeps of a destination that it is not using, and when that may be forgotten. No I/O, no clock.

A lane is rich: some 2 kB with its endpoints. Of 120,000 destinations a relay uses a few thousand in a second, so that
lanes beyond `IN_USE` that carry nothing are laid to rest, the one that was used longest ago first. What a rule still
needs of a lane goes into one record of some 200 bytes, and is the same when it wakes: a told wait, an outage or a
return from one, a limit that was met, the time in which a replaced endpoint counts as cold. A lane of which nothing
binds any more keeps no record: the next one of its destination begins as one that was never seen does."""

from __future__ import annotations

import struct
from collections.abc import Mapping

from .state import NEVER, Flow, Lane

# Above it lanes that carry nothing rest: some 4 MB. No relay with 1,024 destinations ever lays one to rest, and twice
# as many in use make a turn that looks at all of them no dearer than twice.
IN_USE = 2048
LOOKS = 2  # lanes and records looked at in a turn, for each event of it: at most one lane is made by an event

WHOLE = (
    "credit_at",
    "last_ok",
    "free_at",
    "wait_until",
    "failed_at",
    "cold_since",
    "left_at",
    "next_trickle",
    "total",
    "pace",
    "credit",
)  # times to the ms and what settings may make as large as they like
SHORT = ("mean", "dev", "lot", "slot_ms", "stretch", "hold", "blame", "knowers", "told_on")  # six digits will do
COUNTS = ("answers", "room", "kind")
FLAGS = ("told", "sick", "no_effect", "missed", "hearsay")
# Until when it binds, a lane's route, `bad_since`, its flow, whether it had no endpoints, and the above.
RECORD = struct.Struct(f"<dq3d?{len(WHOLE)}d{len(SHORT)}f{len(COUNTS)}I{len(FLAGS)}?")
UNTIL = struct.Struct("<d")
KEPT = (*WHOLE, *SHORT, *COUNTS, *FLAGS)


def binds_until(lane: Lane, bare: bool, fade_ms: float, cold_ms: float) -> float:
    """Until when a rule may still need what is known of it: a told wait, a cold return, an outage that has not ended (a
    return may come at any moment), a refusal or a failure of late; of a `bare` one, which has no endpoints, whether a
    new one would still be taken for its return."""
    until = max(lane.wait_until, lane.cold_since + cold_ms)
    if bare:
        return until if lane.bad_since is None else max(until, lane.left_at + fade_ms, lane.bad_since + fade_ms)
    if lane.bad_since is not None or lane.sick:
        return float("inf")
    return max(until, lane.free_at, lane.failed_at + fade_ms)


def keep(lanes: Mapping[int, Lane], now: float, fade_ms: float, cold_ms: float) -> bytes | None:
    """What is to be kept of a destination, by route; empty = nothing; None: a call is out, and it may not rest."""
    if any(lane.out for lane in lanes.values()):
        return None
    kept = b""
    for route, lane in lanes.items():
        bare = not lane.doors
        until = binds_until(lane, bare, fade_ms, cold_ms)
        if now <= until:
            kept += RECORD.pack(
                until,
                route,
                NEVER if lane.bad_since is None else lane.bad_since,
                lane.flow.events,
                lane.flow.at,
                bare,
                *(getattr(lane, name) for name in KEPT),
            )
    return kept


def wake(kept: bytes) -> tuple[dict[int, Lane], set[int]]:
    """The lanes of a destination as they went to rest, without their endpoints, and the routes that had none."""
    lanes: dict[int, Lane] = {}
    bare: set[int] = set()
    for _, route, bad_since, events, at, left, *rest in RECORD.iter_unpack(kept):
        told = dict(zip(KEPT, rest, strict=True))
        lanes[route] = Lane(**told, bad_since=None if bad_since == NEVER else bad_since, flow=Flow(events, at))
        if left:
            bare.add(route)
    return lanes, bare


def lapsed(kept: bytes, now: float) -> bool:
    """Whether nothing of a record binds any more. What is kept of an outage never lapses while there are endpoints."""
    return all(now > UNTIL.unpack_from(kept, at)[0] for at in range(0, len(kept), RECORD.size))
