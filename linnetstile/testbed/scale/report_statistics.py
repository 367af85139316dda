"""Statistics that the report uses."""

from __future__ import annotations

import math
from collections.abc import Iterable

from .report_schema import SpreadJson


def spread(values: Iterable[float]) -> SpreadJson:
    """Return the number of values and, if there are any, their median, 99th percentile, largest and mean."""
    ordered = sorted(values)
    if not ordered:
        return {"n": 0}

    def percentile(share: float) -> float:
        """Return the nearest-rank percentile."""
        return round(ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)], 1)

    return {
        "n": len(ordered),
        "median": percentile(0.5),
        "p99": percentile(0.99),
        "last": percentile(1.0),
        "mean": round(math.fsum(ordered) / len(ordered), 1),
    }


def extrapolate(points: list[tuple[float, float]], target_x: float) -> float:
    """Return the value at `target_x` of the least-squares line through the points, or 0 if it is negative."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    variance_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / variance_x if variance_x else 0.0
    return max(0.0, mean_y + slope * (target_x - mean_x))
