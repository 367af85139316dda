"""The fits and forecasts of benchmarks/slopes, and how a series is judged by them."""

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


def test_a_line_is_found_and_carried_on() -> None:
    made = fit.best_fit(SIZES, [5 + 3 * n for n in SIZES])
    assert made.form == "linear"
    assert made.residual < 1e-9
    assert made.forecast(120_000) == pytest.approx(5 + 3 * 120_000)


def test_the_simplest_form_that_fits_is_taken() -> None:
    assert fit.best_fit(SIZES, [7.0, 7.1, 6.9, 7.05]).form == "constant"
    made = fit.best_fit(SIZES, [2 * n**1.5 for n in SIZES])
    assert (made.form, round(made.b, 6)) == ("power", 1.5)


def test_a_slope_that_is_noise_is_not_taken() -> None:
    made = fit.best_fit(SIZES, [40.0, 52.0, 36.0, 47.0])
    assert made.form == "constant"
    assert made.residual > fit.GOOD_RESIDUAL
    assert fit.fit_form("linear", SIZES, [40.0, 52.0, 36.0, 47.0]).residual > made.residual / 2


def test_deviations_of_a_line_count_relative_to_the_value() -> None:
    made = fit.fit_form("linear", SIZES, [1.1 * 20, 256.0, 1024.0, 1.1 * 4096])
    assert made.residual < 0.1  # unweighted, the largest value would pull the line off the least by half


def test_values_of_zero_are_fitted_by_forms_that_allow_it() -> None:
    assert fit.best_fit(SIZES, [0.0] * 4) == fit.Fit("constant", 0.0, 0.0, 0.0)
    with pytest.raises(ValueError, match="above 0"):
        fit.fit_form("power", SIZES, [0.0, 1.0, 2.0, 3.0])


@pytest.mark.parametrize(("xs", "ys"), [([1.0], [1.0]), ([2.0, 2.0], [1.0, 3.0]), ([1.0, 2.0], [1.0])])
def test_a_line_needs_two_sizes(xs: list[float], ys: list[float]) -> None:
    with pytest.raises(ValueError, match="two different sizes"):
        fit.fit_line(xs, ys)


def test_an_unknown_form_is_an_error() -> None:
    with pytest.raises(ValueError, match="form: expected one of constant, linear, power"):
        fit.fit_form("cubic", SIZES, SIZES)


@given(st.floats(-1e6, 1e6), st.floats(-1e3, 1e3), st.lists(st.integers(1, 10**6), min_size=2, unique=True))
def test_any_line_is_recovered(a: float, b: float, sizes: list[int]) -> None:
    xs = [float(size) for size in sizes]
    found = fit.fit_line(xs, [a + b * x for x in xs])
    most = max(abs(a), abs(b) * max(xs), 1.0)
    assert abs(found[0] + found[1] * xs[0] - (a + b * xs[0])) <= 1e-6 * most


def test_of_rounds_the_least_counts_and_a_text_only_without_a_number() -> None:
    assert least_of_rounds([{"a_us": 3.0, "b": "refused"}, {"a_us": 2.0, "b": 4.0}, {"a_us": 5.0, "c": "refused"}]) == {
        "a_us": 2.0,
        "b": 4.0,
        "c": "refused",
    }


def test_a_check_is_no_part_of_the_fit_and_stands_beside_its_forecast() -> None:
    points: dict[int, Measurements] = {n: {"x_us": 2.0 * n} for n in (10, 20, 40, 80)}
    points[1000] = {"x_us": 4000.0}
    points[2000] = {"x_us": "refused: over 8 bytes"}
    series = Series("things", (10, 20, 40, 80), (1000, 2000), lambda n: {})
    made = fit_quantities(series, points)["x_us"]
    assert (made["form"], made["b"], made["points"]) == ("linear", 2.0, 4)
    assert made["checks"] == [
        {"n": 1000, "measured": 4000.0, "forecast": 2000.0, "ratio": 2.0},
        {"n": 2000, "measured": "refused: over 8 bytes", "forecast": 4000.0},
    ]


def test_processor_time_is_given_in_calibration_loops_too() -> None:
    points: dict[int, Measurements] = {
        n: {"x_us": 100.0 + 2.0 * n, "y_us_a_z": n**1.5, "z_bytes": 1.0 * n, REFERENCE_LOOP: 50.0}
        for n in (10, 20, 40, 80)
    }
    made = fit_quantities(Series("things", (10, 20, 40, 80), (), lambda n: {}), points)
    add_reference_loops(made, 50.0)
    assert made["x_us"]["in_loops"] == {"a": 2.0, "b": 0.04}
    assert made["y_us_a_z"]["in_loops"] == {"a": 0.02, "b": 1.5}  # the power is no time
    assert "in_loops" not in made["z_bytes"]
    assert REFERENCE_LOOP not in made


def test_points_that_were_refused_are_left_out_and_two_make_no_fit() -> None:
    series = Series("things", (10, 20, 40, 80), (), lambda n: {})
    points: dict[int, Measurements] = {10: {"x": 1.0}, 20: {"x": 2.0}, 40: {"x": "refused"}, 80: {"x": "refused"}}
    assert fit_quantities(series, points) == {}
    points[40] = {"x": 4.0}
    assert fit_quantities(series, points)["x"]["points"] == 3


def test_cold_calls_are_held_against_the_budget_of_their_second() -> None:
    assert slow_start_budget(0.0) == pytest.approx(8.0)  # 2 * 0.2 * 20 a second
    assert slow_start_budget(5000.0) == pytest.approx(40.0)
    worst, chance = worst_budget_use([0.0] * 16)
    assert worst == pytest.approx(2.0)
    assert chance == pytest.approx(16 / (8 + 2 * 8**0.5 + 2))
    assert worst_budget_use([0.0, 1000.0])[0] == pytest.approx(1 / 8)  # a second later is another span
