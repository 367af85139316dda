"""Fits of a measured quantity over a size, and forecasts from them. Pure functions; any unit."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

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

    def at(self, n: float) -> float:
        """The forecast for a size, in the unit of what was fitted."""
        if self.form == "power":
            return float(self.a * n**self.b)
        return self.a + self.b * n


def fit_line(xs: Sequence[float], ys: Sequence[float], weights: Sequence[float] = ()) -> tuple[float, float]:
    """Least squares of y = a + b * x, weighted if weights are given.

    Returns:
        a and b.

    Raises:
        ValueError: No line is determined.
    """
    if len(xs) != len(ys) or len(set(xs)) < 2:
        raise ValueError("a line needs two different sizes or more, each with its value")
    parts = weights or [1.0] * len(xs)
    total = math.fsum(parts)
    mean_x = math.fsum(w * x for w, x in zip(parts, xs, strict=True)) / total
    mean_y = math.fsum(w * y for w, y in zip(parts, ys, strict=True)) / total
    rows = list(zip(parts, xs, ys, strict=True))
    b = math.fsum(w * (x - mean_x) * (y - mean_y) for w, x, y in rows) / math.fsum(
        w * (x - mean_x) ** 2 for w, x, _ in rows
    )
    return mean_y - b * mean_x, b


def largest_residual(fit: Fit, xs: Sequence[float], ys: Sequence[float]) -> float:
    """The largest relative deviation, as a share of the measured value; of a value of 0, as a share of the largest."""
    largest = max(abs(y) for y in ys) or 1.0
    return max(abs(y - fit.at(x)) / (abs(y) or largest) for x, y in zip(xs, ys, strict=True))


def fit_form(form: str, xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """The fit of one form.

    Raises:
        ValueError: The form is unknown, or the values don't allow it (a power needs all above 0).
    """
    if form == "constant":
        a, b = math.fsum(ys) / len(ys), 0.0
    elif form == "linear":
        # Deviations count relative to the value, as the residual does.
        a, b = fit_line(xs, ys, [1 / y**2 for y in ys] if all(ys) else ())
    elif form == "power":
        if min(*xs, *ys) <= 0:
            raise ValueError("a power needs sizes and values above 0")
        low, b = fit_line([math.log(x) for x in xs], [math.log(y) for y in ys])
        a = math.exp(low)
    else:
        raise ValueError(f"form: expected one of {', '.join(FORMS)}, found {form!r}")
    return Fit(form, a, b, largest_residual(Fit(form, a, b, 0.0), xs, ys))


def best_fit(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """The simplest form that fits.

    A less simple one is taken only where the one before has no good residual and the new one has less than half of it.
    That guards forecasts from slopes that are noise.
    """
    found = fit_form(FORMS[0], xs, ys)
    for form in FORMS[1:]:
        if found.residual <= GOOD_RESIDUAL:
            break
        try:
            other = fit_form(form, xs, ys)
        except (ValueError, OverflowError):
            continue
        found = other if other.residual < found.residual / 2 else found
    return found


def ratio(measured: float, forecast: float) -> float | None:
    """Measured over forecast; None where the forecast is 0."""
    return None if forecast == 0 else measured / forecast
