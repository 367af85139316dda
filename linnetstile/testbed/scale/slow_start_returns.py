"""Checks that the fleet does not overload destinations in slow start, right after their outages.

A destination that returns from an outage has less capacity until its slow start ends. It is overloaded if the calls
within one window of the safety settings exceed its budget and an allowance for random variation. The rule is broken if
more than two thirds of the calls in the first such window came from relays that had met the outage: a call of theirs
had failed in it. The calls of all relays count, so the rule is judged only if the whole fleet was simulated.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from ...engine.settings import SafetyLimits
from ..slow_start_budget import slow_start_call_budget
from .platform_model import Outage, PlatformModel
from .report_schema import SlowStartJson, SlowStartsJson
from .report_statistics import spread
from .trace import RelayTrace, SlowStartCall


@dataclass(frozen=True, slots=True, order=True)
class CallWindow:
    """Calls to one destination within one window of the safety settings.

    Attributes:
        ratio: Calls divided by the allowed number of calls: the budget and an allowance for random variation.
        calls: Number of calls within the window.
        budget: Number of calls that the destination can take, without the allowance.
        informed_calls: Number of calls from relays that had met the outage.
    """

    ratio: float = 0.0
    calls: int = 0
    budget: float = 0.0
    informed_calls: int = 0

    @property
    def breaks_rule(self) -> bool:
        """Whether more than two thirds of the calls came from relays that had met the outage."""
        return self.informed_calls > self.calls * 2 / 3


def evaluate_slow_starts(
    platform: PlatformModel, outages: list[Outage], traces: list[RelayTrace], is_whole_fleet: bool
) -> SlowStartsJson:
    """Return the report on the slow starts after these outages; the rule is judged only for the whole fleet."""
    safety = platform.settings(0).safety
    calls: defaultdict[int, list[SlowStartCall]] = defaultdict(list)
    for trace in traces:
        for call in trace.slow_start_calls:
            calls[call.outage].append(call)
    rows = [
        _judge_return(platform, outage, calls[outage.number], safety, traces)
        for outage in outages
        if outage.has_slow_start
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
    platform: PlatformModel, outage: Outage, calls: list[SlowStartCall], safety: SafetyLimits, traces: list[RelayTrace]
) -> SlowStartJson:
    windows = _windows(platform, outage, calls, safety)
    worst = max([CallWindow(), *windows])
    first_overload = next((window for window in windows if window.ratio > 1), None)
    return {
        "ratio": round(worst.ratio, 3),
        "calls": worst.calls,
        "by_relays_that_met_it": worst.informed_calls,
        "budget": round(worst.budget, 1),
        "all": len(calls),
        "falls": first_overload is not None,
        "breaks": first_overload is not None and first_overload.breaks_rule,
        "lasted_ms": round(outage.end_ms - outage.begin_ms),
        "met_by": sum(outage.number in trace.outages_met for trace in traces),
    }


def _windows(
    platform: PlatformModel, outage: Outage, calls: list[SlowStartCall], safety: SafetyLimits
) -> list[CallWindow]:
    """Return one window for each call: the window that ends with that call."""
    ordered = sorted(calls, key=lambda call: (call.at_ms, call.had_met_outage))
    windows = []
    first = 0
    for last, call in enumerate(ordered):
        while ordered[first].at_ms <= call.at_ms - safety.overload_window_ms:
            first += 1
        budget = slow_start_call_budget(
            platform.discovery.rate(outage.destination, call.at_ms),
            call.at_ms - outage.end_ms,
            safety.slow_start_fraction,
            safety.slow_start_ms,
            safety.overload_multiple,
            safety.overload_window_ms,
        )
        count = last + 1 - first
        informed = sum(counted.had_met_outage for counted in ordered[first : last + 1])
        ratio = count / (budget + 2 * math.sqrt(budget) + 2)
        windows.append(CallWindow(ratio, count, budget, informed))
    return windows
