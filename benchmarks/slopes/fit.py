"""Fits of a measured quantity over a size, and forecasts from them. Pure functions; any unit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

GOOD_RESIDUAL = 0.10
"""Largest relative residual up to which a simpler form is kept."""
FORMS = ("constant", "linear", "power")
"""From the simplest to the least simple."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted form: constant: y = a; linear: y = a + b * n; power: y = a * n ** b.

    Attributes:
        form: One of `FORMS`.
        a: Coefficient, in the unit of what was fitted.
        b: Slope or exponent; 0 for a constant.
        residual: Largest |measured - fitted| / |measured| over the points of the fit, as a share.
    """

    form: str
    a: float
    b: float
    residual: float

    def forecast(self, size: float) -> float:
        """The forecast for a size, in the unit of what was fitted."""
        if self.form == "power":
            return float(self.a * size**self.b)
        return self.a + self.b * size


class Line(NamedTuple):
    """A line: y = intercept + slope * x."""

    intercept: float
    slope: float


def fit_line(sizes: Sequence[float], values: Sequence[float], weights: Sequence[float] = ()) -> Line:
    """Least squares of values over sizes, weighted if weights are given.

    Raises:
        ValueError: No line is determined.
    """
    if len(sizes) != len(values) or len(set(sizes)) < 2:
        raise ValueError("a line needs two different sizes or more, each with its value")
    weights = weights or [1.0] * len(sizes)
    rows = list(zip(weights, sizes, values, strict=True))
    total = math.fsum(weights)
    mean_size = math.fsum(weight * size for weight, size, _ in rows) / total
    mean_value = math.fsum(weight * value for weight, _, value in rows) / total
    covariance = math.fsum(weight * (size - mean_size) * (value - mean_value) for weight, size, value in rows)
    variance = math.fsum(weight * (size - mean_size) ** 2 for weight, size, _ in rows)
    slope = covariance / variance
    return Line(mean_value - slope * mean_size, slope)


def largest_residual(fit: Fit, sizes: Sequence[float], values: Sequence[float]) -> float:
    """The largest relative deviation, as a share of the measured value; of a value of 0, as a share of the largest."""
    largest = max(abs(value) for value in values) or 1.0
    return max(
        abs(value - fit.forecast(size)) / (abs(value) or largest) for size, value in zip(sizes, values, strict=True)
    )


def fit_form(form: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The fit of one form.

    Raises:
        ValueError: The form is unknown, or the values don't allow it (a power needs all above 0).
    """
    match form:
        case "constant":
            a = math.fsum(values) / len(values)
            b = 0.0
        case "linear":
            # Deviations count relative to the value, as the residual does.
            weights = [1 / value**2 for value in values] if all(values) else ()
            a, b = fit_line(sizes, values, weights)
        case "power":
            if min(*sizes, *values) <= 0:
                raise ValueError("a power needs sizes and values above 0")
            logarithm, b = fit_line([math.log(size) for size in sizes], [math.log(value) for value in values])
            a = math.exp(logarithm)
        case _:
            raise ValueError(f"form: expected one of {', '.join(FORMS)}, found {form!r}")
    return Fit(form, a, b, largest_residual(Fit(form, a, b, 0.0), sizes, values))


def best_fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The simplest form that fits.

    A less simple one is taken only where the one before has no good residual and the new one has less than half of it.
    That guards forecasts from slopes that are noise.
    """
    found = fit_form(FORMS[0], sizes, values)
    for form in FORMS[1:]:
        if found.residual <= GOOD_RESIDUAL:
            break
        try:
            other = fit_form(form, sizes, values)
        except (ValueError, OverflowError):
            continue
        found = other if other.residual < found.residual / 2 else found
    return found


def ratio(measured: float, forecast: float) -> float | None:
    """Measured over forecast; None where the forecast is 0."""
    return None if forecast == 0 else measured / forecast
