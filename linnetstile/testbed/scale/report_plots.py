"""The plots of the report; they need matplotlib (the extra `plots`)."""

from __future__ import annotations

from pathlib import Path

from .report_scenarios import ScenarioSamples
from .report_schema import BoundJson

DOTS_PER_INCH = 100
SMALLEST_RATIO = 1e-4
"""Ratios below this value are drawn with this value, because a logarithmic scale has no zero."""


def write_plots(bounds: list[BoundJson], samples: dict[str, ScenarioSamples], folder: Path) -> None:
    """Write the PNG files into the folder.

    Raises:
        ImportError: matplotlib is not installed.
    """
    import matplotlib

    matplotlib.use("Agg")
    _plot_distribution(
        {name: scenario.notified_ms for name, scenario in samples.items()},
        "a change is in force, since it could be told",
        folder / "in-force.png",
    )
    _plot_distribution(
        {name: scenario.believed_down_ms for name, scenario in samples.items()},
        "a relay alone takes a destination as out",
        folder / "learned.png",
    )
    _plot_bounds(bounds, folder / "bounds.png")


def _plot_distribution(samples_ms: dict[str, list[float]], title: str, file: Path) -> None:
    """Plot the cumulative distribution of the samples of each scenario."""
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(8, 4.5))
    for scenario, values_ms in samples_ms.items():
        ordered = sorted(values_ms)
        if ordered:
            axes.step(
                [value / 1000 for value in ordered],
                [(n + 1) / len(ordered) for n in range(len(ordered))],
                where="post",
                label=f"{scenario} ({len(ordered)})",
            )
    axes.set(xlabel="seconds (simulated)", ylabel="part of the pairs", title=title)
    if axes.has_data():
        axes.legend()
    figure.savefig(file, dpi=DOTS_PER_INCH)
    plt.close(figure)


def _plot_bounds(bounds: list[BoundJson], file: Path) -> None:
    """Plot each value relative to its bound; red if it exceeds it."""
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(figsize=(10, 0.5 * len(bounds) + 1.5))
    axes.barh(
        [row["what"] for row in bounds],
        [max(row["ratio"], SMALLEST_RATIO) for row in bounds],
        color=["firebrick" if row["ratio"] > 1 else "steelblue" for row in bounds],
    )
    axes.axvline(1.0, color="black")
    axes.set(xscale="log", xlabel="need over bound")
    figure.tight_layout()
    figure.savefig(file, dpi=DOTS_PER_INCH)
    plt.close(figure)
