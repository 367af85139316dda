"""The measured part of the report, and the forecast for the target size that is extrapolated from it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from ...as2_relay.gossip_document import MAX_CLAIMS
from ...engine.membership import POLL_INTERVAL_MS
from .discovery_model import ChangeKind
from .fleet import FleetResult
from .list_cost import ListCost
from .platform_model import PlatformModel
from .report_schema import ControlForecastJson, GossipForecastJson, MeasuredJson
from .report_statistics import extrapolate
from .scenarios import CHANGE_MIX, SECONDS_A_DAY
from .trace import RelayTrace, TurnKind
from .workload import (
    CHANGES_A_DAY,
    DISCOVERY_MACHINES,
    EVENTS_PER_DESTINATION_S,
    KEEPALIVE_BYTES_PER_S,
    REGIONS,
    TARGET_DESTINATIONS,
    TARGET_RELAYS,
    ZONES,
)

CONTROL_BYTES_BOUND = 3_000.0
"""The users' bound on the bytes a second that the control plane sends to one relay."""
RESTARTS_A_DAY = 84
"""Restarts in the whole fleet on an ordinary day."""
MAX_RECOVERED_MESSAGES = 1.1e9 / TARGET_RELAYS
"""Largest number of messages that one relay recovers after a restart."""
POLL_JITTER_FACTOR = 1.25
"""Mean time between two polls of an AS2 relay, as a multiple of `POLL_INTERVAL_MS`."""
NS_PER_MS = 1e6


def build_measured(platform: PlatformModel, fleet_result: FleetResult) -> MeasuredJson:
    """Return the measured section: processor time and memory of this run."""
    traces = fleet_result.traces
    cpu_ns: Counter[TurnKind] = sum((trace.cpu_ns for trace in traces), Counter())
    turns: Counter[TurnKind] = sum((trace.turns for trace in traces), Counter())
    seconds_up = sum(platform.seconds_up(trace.relay, 0.0, platform.end_ms) for trace in traces)
    recovered = sum(start.recovered for trace in traces for start in trace.starts)
    list_ns = cpu_ns[TurnKind.FULL_LIST] + cpu_ns[TurnKind.CHANGE]
    return {
        "resume_us_a_message": round(cpu_ns[TurnKind.RECOVERY] / 1e3 / recovered, 2) if recovered else None,
        "ms_a_turn": {kind.value: round(cpu_ns[kind] / 1e6 / n, 4) for kind, n in sorted(turns.items())},
        "turns": {kind.value: n for kind, n in sorted(turns.items())},
        "control_share_of_a_core": round(list_ns / 1e9 / max(1e-9, seconds_up), 6),
        "longest_turn_ms": {
            kind.value: round(_longest_ns(traces, kind) / NS_PER_MS, 2)
            for kind in (TurnKind.FULL_LIST, TurnKind.CHANGE)
        },
        "costs": [cost.to_json() for cost in sorted(fleet_result.costs, key=lambda cost: cost.destinations)],
        "peak_bytes": fleet_result.peak_memory,
        "peak_bytes_of_all": sum(fleet_result.peak_memory.values()),
    }


def _longest_ns(traces: list[RelayTrace], kind: TurnKind) -> int:
    return max((trace.longest_list_turn_ns[kind] for trace in traces), default=0)


def forecast_gossip(traces: list[RelayTrace]) -> GossipForecastJson:
    """Forecast the cost of gossip in one relay at the target size, with the protocol of the AS2 relay.

    In each round, a relay polls one peer for its new claims: one for each destination that the peer has called
    within the length of a round.
    """
    claims = sum(trace.gossip.claims for trace in traces)
    if not claims:
        return {}
    claim_bytes = sum(trace.gossip.bytes for trace in traces) / claims
    round_s = POLL_JITTER_FACTOR * POLL_INTERVAL_MS / 1000
    called_destinations = TARGET_DESTINATIONS * (1 - math.exp(-EVENTS_PER_DESTINATION_S / TARGET_RELAYS * round_s))
    return {
        "claim_bytes": round(claim_bytes, 1),
        "claims_a_round": round(called_destinations),
        "claims_most": MAX_CLAIMS,
        "bytes_a_second": round(called_destinations * claim_bytes / round_s),
    }


def forecast_control(costs: list[ListCost], recovery_us: float | None, resumes_by_version: bool) -> ControlForecastJson:
    """Forecast the cost of the control plane in one relay at the target size, by a straight line through these costs.

    Args:
        costs: Costs of lists of several sizes.
        recovery_us: Processor time that the engine needs to recover one message; the forecast for a backlog covers
            this part alone. None if no message was recovered.
        resumes_by_version: Whether reopened watches ask for the changes since a version instead of the full list.
    """
    accepted = [cost for cost in costs if cost.endpoint_count]
    if not accepted:
        return {}
    list_bytes = _at_target(accepted, lambda cost: cost.list_bytes)
    list_ms = _at_target(accepted, lambda cost: cost.list_ms)
    change_ms = _mean_change_ms(accepted)
    change_bytes = sum(cost.change_bytes for cost in accepted) / len(accepted)
    restarts_a_day = RESTARTS_A_DAY / TARGET_RELAYS
    day_bytes = CHANGES_A_DAY * change_bytes + restarts_a_day * list_bytes
    day_ms = CHANGES_A_DAY * change_ms + restarts_a_day * list_ms
    rejoin_bytes = 0 if resumes_by_version else round(list_bytes * TARGET_RELAYS / REGIONS / DISCOVERY_MACHINES)
    return {
        "memory_bytes": round(_at_target(accepted, lambda cost: cost.memory_bytes)),
        "list_bytes": round(list_bytes),
        "list_ms": round(list_ms, 1),
        "change_ms": round(change_ms, 4),
        "drain_ms": round(_at_target(accepted, lambda cost: cost.change_ms[ChangeKind.DRAINED]), 4),
        "bytes_a_second": round(day_bytes / SECONDS_A_DAY + KEEPALIVE_BYTES_PER_S, 2),
        "core_share": round(day_ms / 1000 / SECONDS_A_DAY, 7),
        "list_at_bound_s": round(list_bytes / CONTROL_BYTES_BOUND, 1),
        "machine_day_bytes_a_second": round(day_bytes / SECONDS_A_DAY * TARGET_RELAYS / DISCOVERY_MACHINES, 1),
        "machine_zone_back_bytes": round(list_bytes * TARGET_RELAYS / ZONES / DISCOVERY_MACHINES),
        "machine_joined_bytes": rejoin_bytes,
        "backlog_resume_s": round(MAX_RECOVERED_MESSAGES * (recovery_us or 0.0) / 1e6, 1),
    }


def _at_target(costs: list[ListCost], value: Callable[[ListCost], float]) -> float:
    """Extrapolate one value of the costs to `TARGET_DESTINATIONS`."""
    return extrapolate([(cost.destinations, value(cost)) for cost in costs], TARGET_DESTINATIONS)


def _mean_change_ms(costs: list[ListCost]) -> float:
    """Return the processor time of one change at the target size, weighted by how often each kind occurs."""
    return sum(_change_ms_at_target(costs, kind) for kind in CHANGE_MIX) / len(CHANGE_MIX)


def _change_ms_at_target(costs: list[ListCost], kind: ChangeKind) -> float:
    return _at_target(costs, lambda cost: cost.change_ms[kind])
