"""Runs one axis: measures each point in a fresh process, then fits and checks all series."""

from __future__ import annotations

import contextlib
import json
import os
import platform
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from statistics import median
from typing import Any

from benchmarks.slopes.judgement import (
    add_reference_loops,
    fit_quantities,
    least_of_rounds,
    numeric_values,
    round_significant,
    round_values,
)
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.timing import REFERENCE_LOOP, reference_loop_us

POINT_TIMEOUT_S = 150.0
"""A point that takes longer is killed and reported as not measured."""
EXIT_TIMEOUT_S = 20


def run_axis(axis: str, all_series: Mapping[str, Series], only: str = "", rounds: int = 0) -> dict[str, Any]:
    """Measure every series of an axis, one point at a time, and print progress to standard error.

    Args:
        axis: Name of the axis.
        all_series: Series of the axis, by name.
        only: Name of the only series to measure; empty = all.
        rounds: Measurements of each point; 0 = the number that the series defines.
    """
    started_at = time.monotonic()
    load_at_start = os.getloadavg()[0]
    loops = [reference_loop_us()]
    result: dict[str, Any] = {}
    for name, series in all_series.items():
        if only and name != only:
            continue
        points = _measure_series(axis, name, series, rounds or series.rounds, started_at)
        loops += numeric_values(points, tuple(points), REFERENCE_LOOP).values()
        result[name] = _describe_series(series, rounds or series.rounds, points)
    for described in result.values():
        add_reference_loops(described["fits"], min(loops))
    return {
        "axis": axis,
        REFERENCE_LOOP: _describe_loops(loops),
        "conditions": {"cores": os.cpu_count(), "python": platform.python_version(), "load_at_start": load_at_start},
        "series": result,
        "took_s": round(time.monotonic() - started_at, 1),
    }


def _describe_series(series: Series, rounds: int, points: Mapping[int, Measurements]) -> dict[str, Any]:
    """Return a series in the form of the result document."""
    return {
        "unit": series.unit,
        "note": series.note,
        "rounds": rounds,
        "points": {size: round_values(measurements) for size, measurements in points.items()},
        "fits": fit_quantities(series, points),
    }


def _describe_loops(loops: list[float]) -> dict[str, float]:
    """Return the reference loops of a run in the form of the result document."""
    return {
        "least": round_significant(min(loops)),
        "median": round_significant(median(loops)),
        "most": round_significant(max(loops)),
    }


def _measure_series(axis: str, name: str, series: Series, rounds: int, started_at: float) -> dict[int, Measurements]:
    points: dict[int, Measurements] = {}
    for size in (*series.points, *series.checks):
        points[size] = least_of_rounds([measure_point(axis, name, size) for _ in range(rounds)])
        values = ", ".join(f"{quantity} {value}" for quantity, value in round_values(points[size]).items())
        print(f"[{time.monotonic() - started_at:6.1f} s] {name} {size}: {values}", file=sys.stderr, flush=True)
    return points


def measure_point(axis: str, name: str, size: int) -> Measurements:
    """Measure one point in a separate process; all processes that it has started are killed when it ends."""
    command = [sys.executable, "-m", "benchmarks.slopes", axis, "--point", f"{name}:{size}"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True
    )
    try:
        output, errors = process.communicate(timeout=POINT_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        return {"not measured": f"took longer than {POINT_TIMEOUT_S:g} s"}
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait(EXIT_TIMEOUT_S)
    if process.returncode:
        return {"not measured": (errors.strip().splitlines() or [f"exit code {process.returncode}"])[-1]}
    measurements: Measurements = json.loads(output.splitlines()[-1])
    return measurements
