"""Types of an axis: series of points, and the quantities that are measured at a point."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

Measurements = dict[str, float | str]
"""Value by name of the quantity, which ends with the unit; a text says why there is no number."""


@dataclass(frozen=True, slots=True)
class Series:
    """Measurements at several sizes of one variable.

    Attributes:
        unit: What a size counts.
        points: Sizes that are fitted.
        checks: Sizes that are left out of the fit and compared with its forecast.
        measure: Function that measures one size.
        rounds: Measurements of each size; the minimum is used, as other load on the machine only adds to a value.
        note: Remark for the result document.
    """

    unit: str
    points: tuple[int, ...]
    checks: tuple[int, ...]
    measure: Callable[[int], Measurements]
    rounds: int = 2
    note: str = ""
