"""benchmarks/slopes: fits of curves, forecasts from them, and the evaluation of a series."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.slopes import fit
from benchmarks.slopes.judgement import add_reference_loops, fit_quantities, least_of_rounds
from benchmarks.slopes.relays import slow_start_budget, worst_budget_use
from benchmarks.slopes.series import Measurements, Series
from benchmarks.slopes.timing import REFERENCE_LOOP

SIZES = [20.0, 256.0, 1024.0, 4096.0]
FITTED_SIZES = (10, 20, 40, 80)


def test_line_is_fitted_and_extrapolated() -> None:
    line = fit.best_fit(SIZES, [5 + 3 * size for size in SIZES])
    assert line.form == "linear"
    assert line.residual < 1e-9
    assert line.forecast(120_000) == pytest.approx(5 + 3 * 120_000)


def test_simplest_form_that_fits_is_chosen() -> None:
    assert fit.best_fit(SIZES, [7.0, 7.1, 6.9, 7.05]).form == "constant"
    power = fit.best_fit(SIZES, [2 * size**1.5 for size in SIZES])
    assert (power.form, round(power.b, 6)) == ("power", 1.5)


def test_slope_of_noise_is_not_chosen() -> None:
    noise = [40.0, 52.0, 36.0, 47.0]
    constant = fit.best_fit(SIZES, noise)
    assert constant.form == "constant"
    assert constant.residual > fit.MAX_GOOD_RESIDUAL
    assert fit.fit_form("linear", SIZES, noise).residual > constant.residual / 2


def test_deviations_are_weighted_relative_to_the_value() -> None:
    line = fit.fit_form("linear", SIZES, [1.1 * 20, 256.0, 1024.0, 1.1 * 4096])
    assert line.residual < 0.1  # without weights, the line would miss the smallest value by half


def test_zeros_are_fitted_by_a_constant_and_rejected_for_a_power() -> None:
    assert fit.best_fit(SIZES, [0.0] * 4) == fit.Fit("constant", 0.0, 0.0, 0.0)
    with pytest.raises(ValueError, match="above 0"):
        fit.fit_form("power", SIZES, [0.0, 1.0, 2.0, 3.0])


@pytest.mark.parametrize(("xs", "ys"), [([1.0], [1.0]), ([2.0, 2.0], [1.0, 3.0]), ([1.0, 2.0], [1.0])])
def test_line_needs_two_different_sizes(xs: list[float], ys: list[float]) -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit.fit_line(xs, ys)


def test_unknown_form_is_an_error() -> None:
    with pytest.raises(ValueError, match="form: expected one of constant, linear, power"):
        fit.fit_form("cubic", SIZES, SIZES)


@given(st.floats(-1e6, 1e6), st.floats(-1e3, 1e3), st.lists(st.integers(1, 10**6), min_size=2, unique=True))
def test_any_line_is_recovered(intercept: float, slope: float, sizes: list[int]) -> None:
    xs = [float(size) for size in sizes]
    fitted_intercept, fitted_slope = fit.fit_line(xs, [intercept + slope * x for x in xs])
    magnitude = max(abs(intercept), abs(slope) * max(xs), 1.0)
    assert abs(fitted_intercept + fitted_slope * xs[0] - (intercept + slope * xs[0])) <= 1e-6 * magnitude


def test_minimum_of_the_rounds_is_used_and_a_text_only_without_any_number() -> None:
    assert least_of_rounds([{"a_us": 3.0, "b": "refused"}, {"a_us": 2.0, "b": 4.0}, {"a_us": 5.0, "c": "refused"}]) == {
        "a_us": 2.0,
        "b": 4.0,
        "c": "refused",
    }


def make_series(check_sizes: tuple[int, ...] = ()) -> Series:
    """Return a series that is fitted over `FITTED_SIZES`; tests supply the measurements themselves."""
    return Series("things", FITTED_SIZES, check_sizes, lambda size: {})


def test_check_point_is_compared_with_the_forecast_and_not_fitted() -> None:
    points: dict[int, Measurements] = {size: {"x_us": 2.0 * size} for size in FITTED_SIZES}
    points[1000] = {"x_us": 4000.0}
    points[2000] = {"x_us": "refused: over 8 bytes"}
    series = make_series(check_sizes=(1000, 2000))
    fitted = fit_quantities(series, points)["x_us"]
    assert (fitted["form"], fitted["b"], fitted["points"]) == ("linear", 2.0, 4)
    assert fitted["checks"] == [
        {"n": 1000, "measured": 4000.0, "forecast": 2000.0, "ratio": 2.0},
        {"n": 2000, "measured": "refused: over 8 bytes", "forecast": 4000.0},
    ]


def test_processor_time_is_also_given_in_reference_loops() -> None:
    points: dict[int, Measurements] = {
        size: {"x_us": 100.0 + 2.0 * size, "y_us_a_z": size**1.5, "z_bytes": 1.0 * size, REFERENCE_LOOP: 50.0}
        for size in FITTED_SIZES
    }
    fitted = fit_quantities(make_series(), points)
    add_reference_loops(fitted, 50.0)
    assert fitted["x_us"]["in_loops"] == {"a": 2.0, "b": 0.04}
    assert fitted["y_us_a_z"]["in_loops"] == {"a": 0.02, "b": 1.5}  # the exponent b has no unit of time
    assert "in_loops" not in fitted["z_bytes"]
    assert REFERENCE_LOOP not in fitted


def test_points_without_a_number_are_left_out_and_two_points_are_not_fitted() -> None:
    series = make_series()
    points: dict[int, Measurements] = {10: {"x": 1.0}, 20: {"x": 2.0}, 40: {"x": "refused"}, 80: {"x": "refused"}}
    assert fit_quantities(series, points) == {}
    points[40] = {"x": 4.0}
    assert fit_quantities(series, points)["x"]["points"] == 3


def test_calls_in_slow_start_are_compared_with_the_budget_of_their_second() -> None:
    assert slow_start_budget(0.0) == pytest.approx(8.0)  # 2 * 0.2 * 20 a second
    assert slow_start_budget(5000.0) == pytest.approx(40.0)
    worst_ratio, ratio_with_chance = worst_budget_use([0.0] * 16)
    assert worst_ratio == pytest.approx(2.0)
    assert ratio_with_chance == pytest.approx(16 / (8 + 2 * 8**0.5 + 2))
    assert worst_budget_use([0.0, 1000.0])[0] == pytest.approx(1 / 8)  # one second apart: different windows
