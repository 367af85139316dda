"""Simulates calls to destinations: computes the outcome of each call and the time at which it ends."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from ...engine.actions import Send
from ...engine.events import Outcome
from .platform_model import Outage, PlatformModel
from .workload import OutageKind, region_of

SAME_REGION_MS = 2.0
"""Round-trip time within a region."""
OTHER_REGION_MS = 30.0
"""Round-trip time between the regions."""
MEAN_WORK_MS = 40.0
"""Mean time that a destination works on a call; exponentially distributed, capped at `LONGEST_WORK_MS`."""
LONGEST_WORK_MS = 400.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """The end of a call.

    Attributes:
        outcome: Outcome of the call.
        at_ms: Time at which the call ends.
        outage: The outage in which the call was made; None if there was none.
        endpoint_gone: Whether the endpoint has left the list and no longer accepts calls.
    """

    outcome: Outcome
    at_ms: float
    outage: Outage | None = None
    endpoint_gone: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A call at the moment at which it begins.

    Attributes:
        send: The action of the engine that started the call.
        destination: The destination that is called.
        endpoint: Name of the endpoint that is called.
        region: Region of the relay.
        now_ms: Time at which the call begins.
    """

    send: Send
    destination: int
    endpoint: str
    region: int
    now_ms: float


class _CallEnd(NamedTuple):
    """The outcome of a call and the time at which it ends."""

    outcome: Outcome
    at_ms: float


def answer_call(platform: PlatformModel, call: Call, connect_timeout_ms: float, rng: random.Random) -> CallResult:
    """Simulate one call; `rng` draws the time that the destination works on it."""
    round_trip_ms = SAME_REGION_MS if region_of(call.destination) == call.region else OTHER_REGION_MS
    work_ms = min(rng.expovariate(1 / MEAN_WORK_MS), LONGEST_WORK_MS)
    answered_at_ms = call.now_ms + (round_trip_ms + work_ms + call.send.last_byte_delay_ms)
    outage = platform.current_outage(call.destination, call.region, call.now_ms)
    endpoint_gone = outage is None and not platform.discovery.is_reachable(call.endpoint, call.destination, call.now_ms)
    if outage:
        end = _end_in_outage(outage, call, round_trip_ms, answered_at_ms, connect_timeout_ms)
    elif endpoint_gone:
        end = _CallEnd(Outcome.CONNECT_FAILED, call.now_ms + round_trip_ms)
    else:
        end = _end_without_outage(platform, call, answered_at_ms)
    end = _apply_limits(call, end)
    return CallResult(end.outcome, end.at_ms, outage, endpoint_gone)


def _end_in_outage(
    outage: Outage, call: Call, round_trip_ms: float, answered_at_ms: float, connect_timeout_ms: float
) -> _CallEnd:
    end_by_kind = {
        OutageKind.CONNECTIONS_REFUSED: _CallEnd(Outcome.CONNECT_FAILED, call.now_ms + round_trip_ms),
        OutageKind.PACKETS_LOST: _CallEnd(Outcome.CONNECT_FAILED, call.now_ms + connect_timeout_ms),
        OutageKind.NO_ANSWER: _CallEnd(Outcome.TIMEOUT, call.send.timeout_at_ms),
        OutageKind.ERROR_ANSWERS: _CallEnd(Outcome.ERROR, answered_at_ms),
    }
    return end_by_kind[outage.kind]


def _end_without_outage(platform: PlatformModel, call: Call, answered_at_ms: float) -> _CallEnd:
    """Return a success at the time of the answer, or a reset if an outage begins before then."""
    outage_begins_ms = platform.next_outage_at(call.destination, call.region, call.now_ms)
    if outage_begins_ms < answered_at_ms:
        return _CallEnd(Outcome.RESET, outage_begins_ms)
    return _CallEnd(Outcome.OK, answered_at_ms)


def _apply_limits(call: Call, end: _CallEnd) -> _CallEnd:
    """Apply the time limits of the action: a call that would start too late is not sent, a long one times out."""
    send = call.send
    if send.send_before_ms < call.now_ms + send.last_byte_delay_ms:
        end = _CallEnd(Outcome.NOT_SENT, call.now_ms)
    if end.at_ms > send.timeout_at_ms:
        end = _CallEnd(Outcome.TIMEOUT, send.timeout_at_ms)
    return end
