"""Compares the values that were simulated, measured or forecast with the bounds that the users state."""

from __future__ import annotations

from .options import DAY_SCENARIO
from .report_costs import CONTROL_BYTES_BOUND
from .report_scenarios import CHANGE_IN_FORCE_BOUND_MS
from .report_schema import BoundJson, ReportJson, ScenarioJson

MEMORY_BOUND_BYTES = 32e6
"""The users' bound on the memory of the control plane in one relay."""
CORE_SHARE_BOUND = 0.021
"""The users' bound on the processor time of the control plane in one relay, as a share of a core."""


def build_bounds(report: ReportJson) -> list[BoundJson]:
    """Return all bounds for which the report has a value."""
    bounds = [bound for scenario in report["simulated"]["scenes"] for bound in _scenario_bounds(scenario)]
    bounds += [
        *_control_bound(report),
        *_process_memory_bound(report),
        *_gossip_bound(report),
        *_forecast_bounds(report),
    ]
    return bounds


def _bound(subject: str, value: float, bound: float, unit: str, source: str) -> BoundJson:
    return {
        "what": subject,
        "value": value,
        "bound": bound,
        "unit": unit,
        "ratio": round(value / bound, 3),
        "how": source,
    }


def _scenario_bounds(scenario: ScenarioJson) -> list[BoundJson]:
    name = scenario["scene"]
    bounds = []
    in_force_ms = scenario["changes"]["since_told_ms"].get("last")
    if in_force_ms is not None:
        subject = f"{name}: change in force at the last relay, since it could be told"
        bounds.append(_bound(subject, in_force_ms, CHANGE_IN_FORCE_BOUND_MS, "ms", "simulated"))
    largest_bytes = scenario["control"]["bytes_a_second"].get("last")
    # The day scenario is not judged here, as it has the changes of a whole day within minutes: the rate of an ordinary
    # day is judged in the forecast.
    if name != DAY_SCENARIO and largest_bytes is not None:
        subject = f"{name}: control bytes of the relay that got most"
        source = "simulated, over the scene, at the size played"
        bounds.append(_bound(subject, largest_bytes, CONTROL_BYTES_BOUND, "bytes/s", source))
    slow_starts = scenario["cold"]
    if slow_starts["calls"] and slow_starts["judged"]:
        subject = f"{name}: calls to a cold destination, the worst window of all returns"
        source = "simulated, the whole fleet"
        bounds.append(_bound(subject, slow_starts["worst_of_allowed"], 1.0, "of N + 2*sqrt(N) + 2", source))
    return bounds


def _control_bound(report: ReportJson) -> list[BoundJson]:
    share = report["measured"]["control_share_of_a_core"]
    subject = "control, share of a core over the run"
    return [_bound(subject, share, CORE_SHARE_BOUND, "cores", "measured, changes of a day in short")]


def _process_memory_bound(report: ReportJson) -> list[BoundJson]:
    compared = report["compared"]
    if not compared or not compared["list_taken_by_hollow"]:
        return []
    subject = f"memory of a real relay with {report['sizes']['destinations']} destinations, beyond one with few"
    growth_bytes = max(memory["now"] for memory in compared["memory"]) - compared["memory_small"]["now"]
    return [_bound(subject, growth_bytes, MEMORY_BOUND_BYTES, "bytes", "measured")]


def _gossip_bound(report: ReportJson) -> list[BoundJson]:
    gossip = report["telling"]
    if not gossip:
        return []
    subject = "telling others of destinations at the target"
    source = "forecast: not done on the platform"
    return [_bound(subject, gossip["bytes_a_second"], CONTROL_BYTES_BOUND, "bytes/s", source)]


def _forecast_bounds(report: ReportJson) -> list[BoundJson]:
    forecast = report["forecast"]
    if not forecast:
        return []
    memory = "memory of directory and module at the target"
    control = "control bytes at the target, an ordinary day"
    core_share = "control, share of a core at the target"
    return [
        _bound(memory, forecast["memory_bytes"], MEMORY_BOUND_BYTES, "bytes", "forecast"),
        _bound(control, forecast["bytes_a_second"], CONTROL_BYTES_BOUND, "bytes/s", "forecast"),
        _bound(core_share, forecast["core_share"], CORE_SHARE_BOUND, "cores", "forecast"),
    ]
