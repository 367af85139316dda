"""How and when a call to a simulated destination ends."""

from __future__ import annotations

import random
from dataclasses import dataclass

from ...engine.actions import Send
from ...engine.events import Outcome
from .platform_model import Outage, PlatformModel
from .workload import OUTAGE_ERRORS, OUTAGE_HANGS, OUTAGE_PACKETS_LOST, OUTAGE_REFUSED, region_of

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


def answer_call(platform: PlatformModel, call: Call, connect_timeout_ms: float, rng: random.Random) -> CallResult:
    """Play one call; draws its work."""
    round_trip_ms = SAME_REGION_MS if region_of(call.destination) == call.region else OTHER_REGION_MS
    work_ms = min(rng.expovariate(1 / MEAN_WORK_MS), LONGEST_WORK_MS)
    answered_at_ms = call.now_ms + (round_trip_ms + work_ms + call.send.last_byte_delay_ms)
    outage = platform.current_outage(call.destination, call.region, call.now_ms)
    endpoint_gone = False
    if outage:
        outcome, at_ms = _answer_in_outage(outage, call, round_trip_ms, answered_at_ms, connect_timeout_ms)
    elif not platform.discovery.is_reachable(call.endpoint, call.destination, call.now_ms):
        endpoint_gone = True
        outcome, at_ms = Outcome.CONNECT_FAILED, call.now_ms + round_trip_ms
    else:
        outcome, at_ms = Outcome.OK, answered_at_ms
        broken_at_ms = platform.next_outage_at(call.destination, call.region, call.now_ms)
        if broken_at_ms < at_ms:
            outcome, at_ms = Outcome.RESET, broken_at_ms
    outcome, at_ms = _apply_limits(call, outcome, at_ms)
    return CallResult(outcome, at_ms, outage, endpoint_gone)


def _answer_in_outage(
    outage: Outage, call: Call, round_trip_ms: float, answered_at_ms: float, connect_timeout_ms: float
) -> tuple[Outcome, float]:
    results = {
        OUTAGE_REFUSED: (Outcome.CONNECT_FAILED, call.now_ms + round_trip_ms),
        OUTAGE_PACKETS_LOST: (Outcome.CONNECT_FAILED, call.now_ms + connect_timeout_ms),
        OUTAGE_HANGS: (Outcome.TIMEOUT, call.send.timeout_at_ms),
        OUTAGE_ERRORS: (Outcome.ERROR, answered_at_ms),
    }
    return results[outage.kind]


def _apply_limits(call: Call, outcome: Outcome, at_ms: float) -> tuple[Outcome, float]:
    """A call that is too late to be sent is not sent; one that takes too long times out."""
    send = call.send
    if send.send_before_ms < call.now_ms + send.last_byte_delay_ms:
        outcome, at_ms = Outcome.NOT_SENT, call.now_ms
    if at_ms > send.timeout_at_ms:
        outcome, at_ms = Outcome.TIMEOUT, send.timeout_at_ms
    return outcome, at_ms
