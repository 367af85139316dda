"""The sub-command `linnetstile scale`: plays a large fleet, most of its relays simulated."""

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

HELP = """Play a large fleet: simulated relays (the shipped code on a simulated clock) beside a few real processes.
It uses loopback alone and ends by itself. The report (scale.json, scale.txt, plots) goes to the folder, its text to
standard output.

Exit code 0: played, and simulated and real relays behaved alike; 1: they did not; 2: an invalid option; 3: a process
of the run did not start or ended early; 128 plus the signal's number: ended by a signal.
"""
DEFAULT = ScaleOptions()
SIZE_HELP = {
    "seed": "Seed of all random numbers.",
    "relays": "Relays in the fleet.",
    "destinations": "Destinations on the endpoint list.",
    "real": "Real relay processes beside the simulated relays.",
    "played": "Relays of the fleet that are simulated; 0 = all.",
    "in_use": "Destinations that get traffic; each of them gets its full traffic.",
    "workers": "Processes that simulate relays.",
    "minutes": "Time limit of the run in minutes.",
    "changes": "Changes of the endpoint list in the scenario day.",
    "failing": "Relays that fail permanently in the scenario day.",
    "restarts": "Relays restarted or replaced in the scenario day.",
    "rack": "Relays in the rack that fails.",
    "day_s": "Length of the scenario day in simulated seconds.",
    "zone_s": "Simulated seconds for which a zone is unreachable.",
    "parted_s": "Simulated seconds for which the regions are partitioned.",
    "held": "Messages for each destination in use that a restarted relay recovers from its state folder.",
    "cost_most": "Destinations on the longest list whose cost is measured.",
}


def _fail(code: int, reason: object) -> NoReturn:
    """Write an error line to standard error and exit with a code."""
    die(code, f"linnetstile scale: {reason}")


def parse_size(context: click.Context, parameter: click.Parameter, value: str) -> int:
    """Parse the value of a size option; exit with an error line if it is not a whole number."""
    name = parameter.name or ""
    if not value.removeprefix("-").isdecimal():
        lowest, highest = OPTION_RANGES[name]
        expected = f"a whole number from {lowest} to {highest}"
        _fail(ExitCode.BAD_INPUT, OptionError(name.replace("_", "-"), expected, value))
    return int(value)


def _size_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add one option with an integer value for each entry of `SIZE_HELP`, in the same order."""
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
    help="Scenarios to run, separated by commas, in this order.",
)
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the report, new or empty.")
def command(scenario_list: str, out: Path | None, **sizes: int) -> None:
    """Play a large fleet and show the report."""
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
    sys.exit(ExitCode.OK if agrees else ExitCode.NEGATIVE)


def _run(options: ScaleOptions, folder: Path) -> ReportJson:
    """Play the fleet; return the report, or exit with an error."""
    from ..testbed.scale.errors import RelayStartError, RunFailedError
    from ..testbed.scale.run import RunInterrupted, run

    try:
        return run(options, folder, lambda line: click.echo(line, err=True))
    except (RunFailedError, RelayStartError, OSError) as error:
        _fail(ExitCode.NOT_STARTED, error)
    except KeyboardInterrupt as error:
        signal_number = error.args[0] if isinstance(error, RunInterrupted) else signal.SIGINT
        _fail(SIGNAL_EXIT_BASE + signal_number, "ended; no report")
