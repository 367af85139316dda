"""The users' bounds beside what was simulated, measured or forecast."""

from __future__ import annotations

from .options import DAY_SCENARIO
from .report_costs import CONTROL_BYTES_BOUND
from .report_scenarios import CHANGE_IN_FORCE_BOUND_MS
from .report_schema import BoundJson, ReportJson, ScenarioJson

MEMORY_BOUND_BYTES = 32e6
"""The users' bound on the memory of control in one relay."""
CORE_SHARE_BOUND = 0.021
"""The users' bound on the processor time of control in one relay, as a share of a core."""


def build_bounds(report: ReportJson) -> list[BoundJson]:
    """All bounds that the report has a figure for."""
    bounds = [bound for scenario in report["simulated"]["scenes"] for bound in _scenario_bounds(scenario)]
    bounds += [
        *_control_bound(report),
        *_process_memory_bound(report),
        *_gossip_bound(report),
        *_forecast_bounds(report),
    ]
    return bounds


def _bound(what: str, value: float, bound: float, unit: str, how: str) -> BoundJson:
    return {
        "what": what,
        "value": value,
        "bound": bound,
        "unit": unit,
        "ratio": round(value / bound, 3),
        "how": how,
    }


def _scenario_bounds(scenario: ScenarioJson) -> list[BoundJson]:
    name, bounds = scenario["scene"], []
    in_force_ms = scenario["changes"]["since_told_ms"].get("last")
    if in_force_ms is not None:
        what = f"{name}: change in force at the last relay, since it could be told"
        bounds.append(_bound(what, in_force_ms, CHANGE_IN_FORCE_BOUND_MS, "ms", "simulated"))
    most_bytes = scenario["control"]["bytes_a_second"].get("last")
    if name != DAY_SCENARIO and most_bytes is not None:  # changes of the day come within minutes: see the forecast
        what = f"{name}: control bytes of the relay that got most"
        how = "simulated, over the scene, at the size played"
        bounds.append(_bound(what, most_bytes, CONTROL_BYTES_BOUND, "bytes/s", how))
    cold = scenario["cold"]
    if cold["calls"] and cold["judged"]:
        what = f"{name}: calls to a cold destination, the worst window of all returns"
        how = "simulated, the whole fleet"
        bounds.append(_bound(what, cold["worst_of_allowed"], 1.0, "of N + 2*sqrt(N) + 2", how))
    return bounds


def _control_bound(report: ReportJson) -> list[BoundJson]:
    share = report["measured"]["control_share_of_a_core"]
    what = "control, share of a core over the run"
    return [_bound(what, share, CORE_SHARE_BOUND, "cores", "measured, changes of a day in short")]


def _process_memory_bound(report: ReportJson) -> list[BoundJson]:
    compared = report["compared"]
    if not compared or not compared["list_taken_by_hollow"]:
        return []
    what = f"memory of a real relay with {report['sizes']['destinations']} destinations, beyond one with few"
    grown = max(each["now"] for each in compared["memory"]) - compared["memory_small"]["now"]
    return [_bound(what, grown, MEMORY_BOUND_BYTES, "bytes", "measured")]


def _gossip_bound(report: ReportJson) -> list[BoundJson]:
    gossip = report["telling"]
    if not gossip:
        return []
    what, how = "telling others of destinations at the target", "forecast: not done on the platform"
    return [_bound(what, gossip["bytes_a_second"], CONTROL_BYTES_BOUND, "bytes/s", how)]


def _forecast_bounds(report: ReportJson) -> list[BoundJson]:
    forecast = report["forecast"]
    if not forecast:
        return []
    rows = (
        ("memory of directory and module at the target", "memory_bytes", MEMORY_BOUND_BYTES, "bytes"),
        ("control bytes at the target, an ordinary day", "bytes_a_second", CONTROL_BYTES_BOUND, "bytes/s"),
        ("control, share of a core at the target", "core_share", CORE_SHARE_BOUND, "cores"),
    )
    return [_bound(what, forecast[name], bound, unit, "forecast") for what, name, bound, unit in rows]
