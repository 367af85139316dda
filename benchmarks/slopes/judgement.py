"""Fits the measured quantities of a series, and compares its check points with their forecasts. Pure functions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from benchmarks.slopes import fit
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.timing import REFERENCE_LOOP

MIN_FIT_POINTS = 3
"""Minimum number of points for a fit: a line passes exactly through any two points, so they can't show how it fits."""


def least_of_rounds(rounds: list[Measurements]) -> Measurements:
    """Return the minimum of all rounds for each quantity, or a text if no round has a number for it."""
    least: Measurements = {}
    for measurements in rounds:
        for name, value in measurements.items():
            before = least.get(name)
            if isinstance(value, str):
                least.setdefault(name, value)
            elif before is None or isinstance(before, str) or value < before:
                least[name] = value
    return least


def numeric_values(points: Mapping[int, Measurements], sizes: tuple[int, ...], name: str) -> dict[int, float]:
    """Return the values of a quantity by size, without those that are texts."""
    values = {}
    for size in sizes:
        value = points.get(size, {}).get(name)
        if isinstance(value, (int, float)):
            values[size] = float(value)
    return values


def fit_quantities(series: Series, points: Mapping[int, Measurements]) -> dict[str, Any]:
    """Fit each quantity over the points that have a number for it, and compare each check point with its forecast."""
    quantities: dict[str, Any] = {}
    for name in dict.fromkeys(name for measurements in points.values() for name in measurements):
        measured = numeric_values(points, series.points, name)
        if name == REFERENCE_LOOP or len(measured) < MIN_FIT_POINTS:
            continue
        best = fit.best_fit([float(size) for size in measured], list(measured.values()))
        checks = [
            describe_check(size, points.get(size, {}).get(name, "not measured"), best.forecast(size))
            for size in series.checks
        ]
        quantities[name] = describe_fit(best) | {"points": len(measured), "checks": checks}
    return quantities


def describe_fit(fitted: fit.Fit) -> dict[str, Any]:
    """Return a fit in the form of the result document."""
    return {
        "form": fitted.form,
        "a": round_significant(fitted.a),
        "b": round_significant(fitted.b),
        "residual": round(fitted.residual, 3),
    }


def describe_check(size: int, value: float | str, forecast: float) -> dict[str, Any]:
    """Return a check point and its forecast in the form of the result document."""
    row: dict[str, Any] = {"n": size, "measured": value, "forecast": round_significant(forecast)}
    if not isinstance(value, str):
        ratio = fit.ratio(value, forecast)
        row |= {"measured": round_significant(value), "ratio": None if ratio is None else round(ratio, 3)}
    return row


def add_reference_loops(quantities: dict[str, Any], loop_us: float) -> None:
    """Add to each fit of processor time the same fit in reference loops.

    `loop_us` is the time of the fastest reference loop of the run. A loop that shares its core with other load takes up
    to twice as long, so the loops measured with a single point may be too slow to compare with.
    """
    for name, quantity in quantities.items():
        words = name.split("_")
        if "us" in words and "wall" not in words:
            quantity["in_loops"] = {
                "a": round_significant(quantity["a"] / loop_us),
                "b": quantity["b"] if quantity["form"] == "power" else round_significant(quantity["b"] / loop_us),
            }


def round_significant(value: float) -> float:
    """Round to four significant digits."""
    return float(f"{value:.4g}")


def round_values(measurements: Measurements) -> Measurements:
    """Round the numbers of a point to four significant digits."""
    return {name: value if isinstance(value, str) else round_significant(value) for name, value in measurements.items()}
