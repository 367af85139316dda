"""Calls of the whole fleet to destinations that have just come back from an outage, against the rule for them.

A destination that comes back cold takes fewer calls until it is warm. One that gets too many within the window of the
rules falls; that breaks the rule if over two thirds of the first such window's calls came from relays that had met the
outage. A part of the fleet shows nothing of it: a few calls, times its share, are noise.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from ...engine.settings import SafetyLimits
from ..slow_start_budget import slow_start_call_budget
from .report_schema import ColdReturnJson, ColdReturnsJson
from .report_statistics import spread
from .trace import ColdCall, RelayTrace
from .world_model import Outage, World


@dataclass(frozen=True, slots=True, order=True)
class CallWindow:
    """Calls within one window of the rules.

    Attributes:
        ratio: Calls over what is allowed.
        calls: Calls within the window.
        budget: Calls that the destination takes, without what chance may add.
        informed_calls: Calls of relays that had met the outage.
    """

    ratio: float = 0.0
    calls: int = 0
    budget: float = 0.0
    informed_calls: int = 0

    @property
    def breaks_rule(self) -> bool:
        """Whether over two thirds of the calls came from relays that had met the outage."""
        return self.informed_calls > self.calls * 2 / 3


def judge_cold_returns(
    world: World, outages: list[Outage], traces: list[RelayTrace], is_whole_fleet: bool
) -> ColdReturnsJson:
    """Judge all cold returns among some outages, if the whole fleet was played."""
    safety = world.settings(0).safety
    calls: defaultdict[int, list[ColdCall]] = defaultdict(list)
    for trace in traces:
        for call in trace.cold_calls:
            calls[call.outage].append(call)
    rows = [
        _judge_return(world, outage, calls[outage.number], safety, traces)
        for outage in outages
        if outage.is_cold_return
    ]
    all_calls = sum(row["all"] for row in rows)
    if not is_whole_fleet:
        return {"returns": len(rows), "judged": False, "calls": all_calls}
    return {
        "returns": len(rows),
        "judged": True,
        "falls": sum(row["falls"] for row in rows),
        "breaks": sum(row["breaks"] for row in rows),
        "worst_of_allowed": max((row["ratio"] for row in rows), default=0.0),
        "calls": all_calls,
        "ratios": spread(row["ratio"] for row in rows),
        "worst": max(rows, key=lambda row: row["ratio"], default=None),
        "each": rows,
    }


def _judge_return(
    world: World, outage: Outage, calls: list[ColdCall], safety: SafetyLimits, traces: list[RelayTrace]
) -> ColdReturnJson:
    windows = _windows(world, outage, calls, safety)
    worst = max([CallWindow(), *windows])
    first_over = next((window for window in windows if window.ratio > 1), None)
    return {
        "ratio": round(worst.ratio, 3),
        "calls": worst.calls,
        "by_relays_that_met_it": worst.informed_calls,
        "budget": round(worst.budget, 1),
        "all": len(calls),
        "falls": first_over is not None,
        "breaks": first_over is not None and first_over.breaks_rule,
        "lasted_ms": round(outage.end_ms - outage.begin_ms),
        "met_by": sum(outage.number in trace.outages_met for trace in traces),
    }


def _windows(world: World, outage: Outage, calls: list[ColdCall], safety: SafetyLimits) -> list[CallWindow]:
    """The window that ends with each call."""
    ordered = sorted(calls, key=lambda call: (call.at_ms, call.had_met_outage))
    windows, first = [], 0
    for last, call in enumerate(ordered):
        while ordered[first].at_ms <= call.at_ms - safety.overload_window_ms:
            first += 1
        budget = slow_start_call_budget(
            world.discovery.rate(outage.destination, call.at_ms),
            call.at_ms - outage.end_ms,
            safety.slow_start_fraction,
            safety.slow_start_ms,
            safety.overload_multiple,
            safety.overload_window_ms,
        )
        count = last + 1 - first
        informed = sum(each.had_met_outage for each in ordered[first : last + 1])
        windows.append(CallWindow(count / (budget + 2 * math.sqrt(budget) + 2), count, budget, informed))
    return windows
