"""What one axis consists of: series of points, and the quantities that a point measures."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

Measurements = dict[str, float | str]
"""By quantity, with its unit at the end of the name; a text says why there is no number."""


@dataclass(frozen=True, slots=True)
class Series:
    """One thing that grows, and what is measured as it does.

    Attributes:
        unit: What a size counts.
        points: Sizes that are fitted.
        checks: Sizes that are not fitted: their values stand beside the forecast.
        measure: Measures one size.
        rounds: Measurements of each size; the least counts, as other load only adds.
        note: Remark for the result.
    """

    unit: str
    points: tuple[int, ...]
    checks: tuple[int, ...]
    measure: Callable[[int], Measurements]
    rounds: int = 2
    note: str = ""
