"""The sub-command `linnetstile scale`: plays a fleet at size."""

from __future__ import annotations

import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

import click

from ..testbed.scale.errors import OptionError
from ..testbed.scale.options import OPTION_RANGES, SCENARIOS, ScaleOptions
from .common import ExitCode, die, is_new_or_empty

if TYPE_CHECKING:
    from ..testbed.scale.report_schema import ReportJson

SIGNAL_BASE = 128  # the exit code of a run that a signal ended is this and its number
SIGINT = 2

HELP = """Play a fleet at size: simulated relays (the shipped code on a simulated clock) beside a few real processes.
Loopback only; it ends by itself. The report (scale.json, scale.txt, plots) goes to the folder, its text to standard
output.

Exit code 0: played, and simulated and real relays did the same; 1: they did not; 2: a bad option; 3: a process of
the run did not start or ended by itself; 128 and the signal's number: ended.
"""
DEFAULT = ScaleOptions()
SIZE_HELP = {
    "seed": "Draw of world and chance.",
    "relays": "Relays of the fleet.",
    "destinations": "Destinations listed.",
    "real": "Real processes beside the simulated relays.",
    "played": "Simulated relays that are played; 0 = all.",
    "in_use": "Destinations that get their traffic, each of them all of it.",
    "workers": "Processes that play.",
    "minutes": "The run ends within so many.",
    "changes": "Changes of the list in the scenario day.",
    "failing": "Relays that fail in it.",
    "restarts": "Relays restarted or replaced in it.",
    "rack": "Relays of a rack.",
    "day_s": "Simulated seconds of the scenario day.",
    "zone_s": "A zone is unreachable for so long.",
    "parted_s": "The regions are partitioned for so long.",
    "held": "Pending messages for each destination in use in a full folder.",
    "cost_most": "Destinations of the longest list whose cost is measured.",
}


def _fail(code: int, reason: object) -> NoReturn:
    die(code, f"linnetstile scale: {reason}")


def parse_size(ctx: click.Context, param: click.Parameter, value: str) -> int:
    """Return a whole number; end with one line about anything else."""
    name = param.name or ""
    if not value.removeprefix("-").isdecimal():
        lowest, highest = OPTION_RANGES[name]
        expected = f"a whole number from {lowest} to {highest}"
        _fail(ExitCode.BAD_INPUT, OptionError(name.replace("_", "-"), expected, value))
    return int(value)


def _size_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add an option for each size, in the order of their help texts."""
    for name, text in reversed(SIZE_HELP.items()):
        add_option = click.option(
            f"--{name.replace('_', '-')}",
            name,
            metavar="N",
            default=str(getattr(DEFAULT, name)),
            show_default=True,
            help=text,
            callback=parse_size,
        )
        function = add_option(function)
    return function


@click.command(help=HELP)
@_size_options
@click.option("--scenes", default=",".join(SCENARIOS), show_default=True, help="Scenarios, in this order.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the report, new or empty.")
def command(scenes: str, out: Path | None, **numbers: int) -> None:
    """Play a fleet at size and show the report."""
    sizes = ScaleOptions(**numbers, scenes=tuple(scene for scene in scenes.split(",") if scene))
    try:
        sizes.check()
    except OptionError as error:
        _fail(ExitCode.BAD_INPUT, error)
    folder = out or Path(tempfile.mkdtemp(prefix="linnetstile-scale-"))
    if not is_new_or_empty(folder):
        _fail(ExitCode.BAD_INPUT, f"--out: expected a new or empty folder, found {str(folder)!r}")
    report = _run(sizes, folder)
    click.echo((folder / "scale.txt").read_text(encoding="utf-8"), nl=False)
    click.echo(f"report: {folder}", err=True)
    is_same = report["compared"] is None or report["compared"]["agrees"]
    sys.exit(ExitCode.OK if is_same else ExitCode.NO)


def _run(sizes: ScaleOptions, folder: Path) -> ReportJson:
    """Play the fleet; return the report, or end with an error."""
    from ..testbed.scale.errors import RelayStartError, RunFailedError
    from ..testbed.scale.run import RunInterrupted, run

    try:
        return run(sizes, folder, lambda line: click.echo(line, err=True))
    except (RunFailedError, RelayStartError, OSError) as error:
        _fail(ExitCode.NOT_STARTED, error)
    except KeyboardInterrupt as error:
        number = error.args[0] if isinstance(error, RunInterrupted) else SIGINT
        _fail(SIGNAL_BASE + number, "ended; no report")
