"""Plots an axis: points, fit and check points of each quantity."""

from __future__ import annotations

import io
from dataclasses import dataclass
from typing import Any

from benchmarks.slopes import fit

UNPLOTTED_WORDS = ("a", "an", "share", "refused", "waited", "p99", "delivered")
"""Quantities with one of these words in their name are not plotted: they are quotients or of little interest."""
MAX_COLUMNS = 4
CURVE_STEPS = 50
DOTS_PER_INCH = 55
COLOURS = 12
"""Number of colours in the image; it is small because the file is committed with the code."""


@dataclass(frozen=True, slots=True)
class Panel:
    """One small plot: a quantity of a series, with the series and the fit in the form of the result document."""

    series_name: str
    series: dict[str, Any]
    quantity: str
    fit: dict[str, Any]


def plot_axis(result: dict[str, Any], file: str) -> None:
    """Draw one small plot for each quantity of each series into a PNG file; without quantities, no file is written."""
    import matplotlib
    from PIL import Image

    matplotlib.use("Agg")
    from matplotlib import pyplot

    panels = _panels(result)
    if not panels:
        return
    columns = min(MAX_COLUMNS, len(panels))
    rows = -(-len(panels) // columns)
    figure, axes = pyplot.subplots(rows, columns, figsize=(3.4 * columns, 2.5 * rows), squeeze=False)
    for unused_axes in axes.flat[len(panels) :]:
        unused_axes.axis("off")
    for panel_axes, panel in zip(axes.flat, panels, strict=False):
        _draw_panel(panel_axes, panel)
    figure.tight_layout()
    drawn = io.BytesIO()
    figure.savefig(drawn, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    Image.open(drawn).convert("RGB").quantize(COLOURS).save(file, optimize=True)


def _panels(result: dict[str, Any]) -> list[Panel]:
    return [
        Panel(name, series, quantity, quantity_fit)
        for name, series in result["series"].items()
        for quantity, quantity_fit in series["fits"].items()
        if not {*UNPLOTTED_WORDS} & {*quantity.split("_")}
    ]


def _draw_panel(axes: Any, panel: Panel) -> None:
    quantity_fit = panel.fit
    curve = fit.Fit(quantity_fit["form"], quantity_fit["a"], quantity_fit["b"], quantity_fit["residual"])
    values = {
        int(size): measurements[panel.quantity]
        for size, measurements in panel.series["points"].items()
        if isinstance(measurements.get(panel.quantity), (int, float))
    }
    checks = {row["n"] for row in quantity_fit["checks"]}
    sizes = sorted(int(size) for size in panel.series["points"])
    steps = [sizes[0] + (sizes[-1] - sizes[0]) * step / CURVE_STEPS for step in range(CURVE_STEPS + 1)]
    axes.plot(steps, [curve.forecast(size) for size in steps], "-", color="tab:gray", linewidth=1)
    fitted = [(size, value) for size, value in values.items() if size not in checks]
    axes.plot(*zip(*fitted, strict=True), "o", color="tab:blue", markersize=4)
    checked = [(size, value) for size, value in values.items() if size in checks]
    if checked:
        axes.plot(*zip(*checked, strict=True), "x", color="tab:red", markersize=7)
    axes.set_title(f"{panel.series_name}\n{panel.quantity} ({quantity_fit['form']})", fontsize=7)
    axes.set_xlabel(panel.series["unit"], fontsize=7)
    axes.tick_params(labelsize=6)
    axes.set_ylim(bottom=0)
