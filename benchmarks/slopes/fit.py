"""Fits of a measured quantity over a size, and forecasts from them. Pure functions, for values of any unit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

MAX_GOOD_RESIDUAL = 0.10
"""Relative residual up to which a form is kept without trying the next one."""
FORMS = ("constant", "linear", "power")
"""Forms of a fit, from the simplest to the most complex."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted form: constant (y = a), linear (y = a + b * n) or power (y = a * n ** b).

    Attributes:
        form: One of `FORMS`.
        a: Coefficient, in the unit of what was fitted.
        b: Slope or exponent; 0 for a constant.
        residual: Largest |measured - fitted| / |measured| over the points of the fit.
    """

    form: str
    a: float
    b: float
    residual: float

    def forecast(self, size: float) -> float:
        """Return the forecast for a size, in the unit of what was fitted."""
        if self.form == "power":
            return float(self.a * size**self.b)
        return self.a + self.b * size


class Line(NamedTuple):
    """A line: y = intercept + slope * x."""

    intercept: float
    slope: float


def fit_line(sizes: Sequence[float], values: Sequence[float], weights: Sequence[float] = ()) -> Line:
    """Fit a line by least squares, weighted if weights are given.

    Raises:
        ValueError: There are fewer than two different sizes, or not as many values as sizes.
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
    """Return the largest deviation relative to the measured value; for a value of 0, relative to the largest value."""
    largest = max(abs(value) for value in values) or 1.0
    return max(
        abs(value - fit.forecast(size)) / (abs(value) or largest) for size, value in zip(sizes, values, strict=True)
    )


def fit_form(form: str, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit one form.

    Raises:
        ValueError: The form is unknown, or can't be fitted (a power law needs sizes and values above 0).
    """
    match form:
        case "constant":
            a = math.fsum(values) / len(values)
            b = 0.0
        case "linear":
            # Deviations are weighted relative to the value, as in the residual.
            weights = [1 / value**2 for value in values] if all(values) else ()
            a, b = fit_line(sizes, values, weights)
        case "power":
            if min(*sizes, *values) <= 0:
                raise ValueError("a power law needs sizes and values above 0")
            logarithm, b = fit_line([math.log(size) for size in sizes], [math.log(value) for value in values])
            a = math.exp(logarithm)
        case _:
            raise ValueError(f"form: expected one of {', '.join(FORMS)}, found {form!r}")
    return Fit(form, a, b, largest_residual(Fit(form, a, b, 0.0), sizes, values))


def best_fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the fit of the simplest form that is adequate.

    A more complex form is chosen only if the residual of the current one is above `MAX_GOOD_RESIDUAL` and its own is
    less than half of that. This keeps slopes that are only noise out of forecasts.
    """
    best = fit_form(FORMS[0], sizes, values)
    for form in FORMS[1:]:
        if best.residual <= MAX_GOOD_RESIDUAL:
            break
        try:
            candidate = fit_form(form, sizes, values)
        except (ValueError, OverflowError):
            continue
        best = candidate if candidate.residual < best.residual / 2 else best
    return best


def ratio(measured: float, forecast: float) -> float | None:
    """Return measured / forecast, or None if the forecast is 0."""
    return None if forecast == 0 else measured / forecast
