"""One axis: its series of points, each measured in a fresh process, their fits, checks, JSON and plot."""

from __future__ import annotations

import contextlib
import io
import json
import os
import platform
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from statistics import median
from typing import Any

from benchmarks.slopes import fit

Found = dict[str, float | str]  # by quantity, its unit at the end of its name; a text says why there is no number
POINT_S = 150.0  # a point that takes longer is ended, and told as not measured
REFERENCE_ROUNDS = 25
LOOP = "reference_loop_us"
UNDRAWN = ("a", "an", "share", "refused", "waited", "p99", "delivered")  # words in names: quotients, and sideshows


@dataclass(frozen=True, slots=True)
class Series:
    """`points` are fitted, `checks` are not: they are told beside their forecast."""

    unit: str  # what a size counts
    points: tuple[int, ...]
    checks: tuple[int, ...]
    measure: Callable[[int], Found]
    rounds: int = 2  # the least of them counts: other load only adds
    note: str = ""


class _Item:
    def __init__(self) -> None:
        self.value = 0.0

    def add(self, by: float) -> None:
        self.value += by


def reference() -> float:
    """Microseconds of processor time of one calibration loop, the best of some: attribute and dict work in Python, as
    the program's is. It measures the machine, not the program."""
    best = float("inf")
    for _ in range(REFERENCE_ROUNDS):
        began = time.process_time()
        items = {number: _Item() for number in range(2000)}
        for number in range(20_000):
            items[number % 2000].add(number * 0.5)
        best = min(best, time.process_time() - began)
    return best * 1e6


def referenced(measure: Callable[[], Found]) -> Found:
    """A point with the calibration loop right before and after it."""
    before = reference()
    found = measure()
    return found | {LOOP: min(before, reference())}


def timed(step: Callable[[], Any], rounds: int = 1) -> float:
    """Microseconds of processor time of a step, the best of some rounds."""
    best = float("inf")
    for _ in range(rounds):
        began = time.process_time()
        step()
        best = min(best, time.process_time() - began)
    return best * 1e6


def point(axis: str, name: str, size: int) -> Found:
    """Measures one point in a process of its own; whatever that has started ends with it."""
    command = [sys.executable, "-m", "benchmarks.slopes", axis, "--point", f"{name}:{size}"]
    made = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True, start_new_session=True)
    try:
        out, error = made.communicate(timeout=POINT_S)
    except subprocess.TimeoutExpired:
        return {"not measured": f"took longer than {POINT_S:g} s"}
    finally:
        with contextlib.suppress(ProcessLookupError):
            os.killpg(made.pid, signal.SIGKILL)
        made.wait(20)
    if made.returncode:
        return {"not measured": (error.strip().splitlines() or [f"exit code {made.returncode}"])[-1]}
    found: Found = json.loads(out.splitlines()[-1])
    return found


def least(rounds: list[Found]) -> Found:
    """By quantity the least number of all rounds; a text where there is none."""
    found: Found = {}
    for each in rounds:
        for name, value in each.items():
            before = found.get(name)
            if isinstance(value, str):
                found.setdefault(name, value)
            elif before is None or isinstance(before, str) or value < before:
                found[name] = value
    return found


def numbers(points: Mapping[int, Found], sizes: tuple[int, ...], name: str) -> dict[int, float]:
    found = {}
    for size in sizes:
        value = points.get(size, {}).get(name)
        if isinstance(value, (int, float)):
            found[size] = float(value)
    return found


def judged(series: Series, points: Mapping[int, Found]) -> dict[str, Any]:
    """By quantity: the fit over the points that were measured, and each check beside its forecast."""
    quantities: dict[str, Any] = {}
    for name in dict.fromkeys(name for found in points.values() for name in found):
        measured = numbers(points, series.points, name)
        if name == LOOP or len(measured) < 3:
            continue
        made = fit.best([float(size) for size in measured], list(measured.values()))
        quantities[name] = told(made) | {
            "points": len(measured),
            "checks": [
                checked(size, points.get(size, {}).get(name, "not measured"), made.at(size)) for size in series.checks
            ],
        }
    return quantities


def told(made: fit.Fit) -> dict[str, Any]:
    return {"form": made.form, "a": sig(made.a), "b": sig(made.b), "residual": round(made.residual, 3)}


def checked(size: int, value: float | str, forecast: float) -> dict[str, Any]:
    row: dict[str, Any] = {"n": size, "measured": value, "forecast": sig(forecast)}
    if not isinstance(value, str):
        part = fit.ratio(value, forecast)
        row |= {"measured": sig(value), "ratio": None if part is None else round(part, 3)}
    return row


def in_loops(quantities: dict[str, Any], loop: float) -> None:
    """Adds to each fit of processor time the same in calibration loops of `loop` us, the least of the run: a loop that
    shares its core with other load takes up to twice as long, and a point's own loops tell the one or the other."""
    for name, made in quantities.items():
        words = name.split("_")
        if "us" in words and "wall" not in words:
            made["in_loops"] = {
                "a": sig(made["a"] / loop),
                "b": made["b"] if made["form"] == "power" else sig(made["b"] / loop),
            }


def sig(value: float) -> float:
    """Four significant digits."""
    return float(f"{value:.4g}")


def rounded(found: Found) -> Found:
    return {name: value if isinstance(value, str) else sig(value) for name, value in found.items()}


def run(axis: str, all_series: Mapping[str, Series], only: str = "", rounds: int = 0) -> dict[str, Any]:
    """Every series of an axis, one measurement at a time; progress goes to standard error."""
    began, load, loops = time.monotonic(), os.getloadavg()[0], [reference()]
    result: dict[str, Any] = {}
    for name, series in all_series.items():
        if only and name != only:
            continue
        points: dict[int, Found] = {}
        for size in (*series.points, *series.checks):
            points[size] = least([point(axis, name, size) for _ in range(rounds or series.rounds)])
            told = ", ".join(f"{q} {v if isinstance(v, str) else sig(v)}" for q, v in points[size].items())
            print(f"[{time.monotonic() - began:6.1f} s] {name} {size}: {told}", file=sys.stderr, flush=True)
        loops += numbers(points, tuple(points), LOOP).values()
        result[name] = {
            "unit": series.unit,
            "note": series.note,
            "rounds": rounds or series.rounds,
            "points": {size: rounded(found) for size, found in points.items()},
            "fits": judged(series, points),
        }
    for each in result.values():
        in_loops(each["fits"], min(loops))
    return {
        "axis": axis,
        LOOP: {"least": sig(min(loops)), "median": sig(median(loops)), "most": sig(max(loops))},
        "conditions": {"cores": os.cpu_count(), "python": platform.python_version(), "load_at_start": load},
        "series": result,
        "took_s": round(time.monotonic() - began, 1),
    }


def plot(result: dict[str, Any], file: str) -> None:
    """One small picture for each quantity of each series: points, fit, checks."""
    import matplotlib
    from PIL import Image

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = [
        (name, series, quantity, made)
        for name, series in result["series"].items()
        for quantity, made in series["fits"].items()
        if not {*UNDRAWN} & {*quantity.split("_")}
    ]
    if not shown:
        return
    columns = min(4, len(shown))
    rows = -(-len(shown) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(3.4 * columns, 2.5 * rows), squeeze=False)
    for each in axes.flat[len(shown) :]:
        each.axis("off")
    for each, (name, series, quantity, made) in zip(axes.flat, shown, strict=False):
        curve = fit.Fit(made["form"], made["a"], made["b"], made["residual"])
        values = {
            int(n): found[quantity]
            for n, found in series["points"].items()
            if isinstance(found.get(quantity), (int, float))
        }
        checks = {row["n"] for row in made["checks"]}
        sizes = sorted(int(n) for n in series["points"])
        steps = [sizes[0] + (sizes[-1] - sizes[0]) * k / 50 for k in range(51)]
        each.plot(steps, [curve.at(n) for n in steps], "-", color="tab:gray", linewidth=1)
        each.plot(
            *zip(*[(n, v) for n, v in values.items() if n not in checks], strict=True),
            "o",
            color="tab:blue",
            markersize=4,
        )
        seen = [(n, v) for n, v in values.items() if n in checks]
        if seen:
            each.plot(*zip(*seen, strict=True), "x", color="tab:red", markersize=7)
        each.set_title(f"{name}\n{quantity} ({made['form']})", fontsize=7)
        each.set_xlabel(series["unit"], fontsize=7)
        each.tick_params(labelsize=6)
        each.set_ylim(bottom=0)
    figure.tight_layout()
    drawn = io.BytesIO()
    figure.savefig(drawn, dpi=55)
    pyplot.close(figure)
    Image.open(drawn).convert("RGB").quantize(12).save(file, optimize=True)  # few colours: it is kept with the code
