"""How and when a call to a simulated destination ends."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import NamedTuple

from ...engine.actions import Send
from ...engine.events import Outcome
from .platform_model import Outage, PlatformModel
from .workload import OutageKind, region_of

SAME_REGION_MS = 2.0
"""Round trip within a region."""
OTHER_REGION_MS = 30.0
"""Round trip between the regions."""
MEAN_WORK_MS = 40.0
"""Work of a call: exponentially distributed, up to `LONGEST_WORK_MS`."""
LONGEST_WORK_MS = 400.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """The end of a call.

    Attributes:
        outcome: How it ends.
        at_ms: When it ends.
        outage: The outage that it met.
        endpoint_gone: The endpoint has left the list and accepts no calls any more.
    """

    outcome: Outcome
    at_ms: float
    outage: Outage | None = None
    endpoint_gone: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A call as it begins.

    Attributes:
        send: The engine's action.
        destination: Its destination.
        endpoint: Name of its endpoint.
        region: Region of the relay.
        now_ms: When it begins.
    """

    send: Send
    destination: int
    endpoint: str
    region: int
    now_ms: float


class _CallEnd(NamedTuple):
    """How and when a call ends."""

    outcome: Outcome
    at_ms: float


def answer_call(platform: PlatformModel, call: Call, connect_timeout_ms: float, rng: random.Random) -> CallResult:
    """Simulate one call; draws its work."""
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
    ends = {
        OutageKind.CONNECTIONS_REFUSED: _CallEnd(Outcome.CONNECT_FAILED, call.now_ms + round_trip_ms),
        OutageKind.PACKETS_LOST: _CallEnd(Outcome.CONNECT_FAILED, call.now_ms + connect_timeout_ms),
        OutageKind.NO_ANSWER: _CallEnd(Outcome.TIMEOUT, call.send.timeout_at_ms),
        OutageKind.ERROR_ANSWERS: _CallEnd(Outcome.ERROR, answered_at_ms),
    }
    return ends[outage.kind]


def _end_without_outage(platform: PlatformModel, call: Call, answered_at_ms: float) -> _CallEnd:
    """Return the answer of the destination, unless an outage begins before it."""
    outage_begins_ms = platform.next_outage_at(call.destination, call.region, call.now_ms)
    if outage_begins_ms < answered_at_ms:
        return _CallEnd(Outcome.RESET, outage_begins_ms)
    return _CallEnd(Outcome.OK, answered_at_ms)


def _apply_limits(call: Call, end: _CallEnd) -> _CallEnd:
    """Do not send a call that is too late to be sent, and time out one that takes too long."""
    send = call.send
    if send.send_before_ms < call.now_ms + send.last_byte_delay_ms:
        end = _CallEnd(Outcome.NOT_SENT, call.now_ms)
    if end.at_ms > send.timeout_at_ms:
        end = _CallEnd(Outcome.TIMEOUT, send.timeout_at_ms)
    return end
