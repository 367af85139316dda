"""The sub-command `linnetstile scale`: plays a fleet at size."""

from __future__ import annotations

import signal
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

SIGNAL_EXIT_BASE = 128  # the exit code of a run that a signal ended is this plus the signal's number

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
    """End with an error line on standard error and an exit code."""
    die(code, f"linnetstile scale: {reason}")


def parse_size(context: click.Context, parameter: click.Parameter, value: str) -> int:
    """Parse the value of a size option; end with an error line if it is not a whole number."""
    name = parameter.name or ""
    if not value.removeprefix("-").isdecimal():
        lowest, highest = OPTION_RANGES[name]
        expected = f"a whole number from {lowest} to {highest}"
        _fail(ExitCode.BAD_INPUT, OptionError(name.replace("_", "-"), expected, value))
    return int(value)


def _size_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add an option for each size, in the order of their help texts."""
    for name, help_text in reversed(SIZE_HELP.items()):
        add_option = click.option(
            f"--{name.replace('_', '-')}",
            name,
            metavar="N",
            default=str(getattr(DEFAULT, name)),
            show_default=True,
            help=help_text,
            callback=parse_size,
        )
        function = add_option(function)
    return function


@click.command(help=HELP)
@_size_options
@click.option(
    "--scenes",
    "scenario_list",
    default=",".join(SCENARIOS),
    show_default=True,
    help="Scenarios, in this order.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the report, new or empty.")
def command(scenario_list: str, out: Path | None, **sizes: int) -> None:
    """Play a fleet at size and show the report."""
    scenarios = tuple(scenario for scenario in scenario_list.split(",") if scenario)
    options = ScaleOptions(**sizes, scenes=scenarios)
    try:
        options.check()
    except OptionError as error:
        _fail(ExitCode.BAD_INPUT, error)
    folder = out or Path(tempfile.mkdtemp(prefix="linnetstile-scale-"))
    if not is_new_or_empty(folder):
        _fail(ExitCode.BAD_INPUT, f"--out: expected a new or empty folder, found {str(folder)!r}")
    report = _run(options, folder)
    click.echo((folder / "scale.txt").read_text(encoding="utf-8"), nl=False)
    click.echo(f"report: {folder}", err=True)
    comparison = report["compared"]
    agrees = comparison is None or comparison["agrees"]
    sys.exit(ExitCode.OK if agrees else ExitCode.NO)


def _run(options: ScaleOptions, folder: Path) -> ReportJson:
    """Play the fleet; return the report, or end with an error."""
    from ..testbed.scale.errors import RelayStartError, RunFailedError
    from ..testbed.scale.run import RunInterrupted, run

    try:
        return run(options, folder, lambda line: click.echo(line, err=True))
    except (RunFailedError, RelayStartError, OSError) as error:
        _fail(ExitCode.NOT_STARTED, error)
    except KeyboardInterrupt as error:
        signal_number = error.args[0] if isinstance(error, RunInterrupted) else signal.SIGINT
        _fail(SIGNAL_EXIT_BASE + signal_number, "ended; no report")
