"""The report of a scale run: scale.json, scale.txt and plots.

The section `simulated` depends on the options and the program alone. The section `measured` (processor time, memory)
differs from run to run. The section `forecast` is extrapolated from both and was not simulated.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

from .comparison_result import Comparison
from .fleet import FleetResult
from .platform_model import PlatformModel
from .report_bounds import build_bounds
from .report_costs import build_measured, forecast_control, forecast_gossip
from .report_plots import write_plots
from .report_scenarios import ScenarioSamples, build_simulated
from .report_schema import ReportJson
from .report_text import format_report
from .workload import TARGET_DESTINATIONS, TARGET_RELAYS

Samples = dict[str, ScenarioSamples]


def build(
    platform: PlatformModel, fleet_result: FleetResult, comparison: Comparison | None
) -> tuple[ReportJson, Samples]:
    """Return the whole report, and the samples for the plots by scenario."""
    simulated, samples = build_simulated(platform, fleet_result)
    measured = build_measured(platform, fleet_result)
    resumes_by_version = bool(comparison and comparison.resumes_by_version)
    report: ReportJson = {
        "sizes": asdict(platform.options),
        "target": {"relays": TARGET_RELAYS, "destinations": TARGET_DESTINATIONS},
        "simulated": simulated,
        "measured": measured,
        "telling": forecast_gossip(fleet_result.traces),
        "compared": comparison.to_json() if comparison else None,
        "left_out": {"relays": len(platform.options.simulated_relays) - simulated["relays_played"]},
        "forecast": forecast_control(fleet_result.costs, measured["resume_us_a_message"], resumes_by_version),
        "bounds": [],
    }
    report["bounds"] = build_bounds(report)
    return report, samples


def write(report: ReportJson, samples: Samples, folder: Path, report_progress: Callable[[str], None]) -> None:
    """Write the report into the folder; without matplotlib, plots are left out and a progress line reports it."""
    (folder / "scale.json").write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")
    (folder / "scale.txt").write_text(format_report(report), encoding="utf-8")
    try:
        write_plots(report["bounds"], samples, folder)
    except ImportError:
        report_progress("no plots: they need matplotlib (the extra `plots`)")
