"""The sub-command `linnetstile play`: plays a day and checks it."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import click

from .common import FILE, ExitCode, die, load_settings

HELP = """Play DAY (YAML): the registry, partners, relays and clients run as separate processes on loopback, faults
begin at their scripted times, and the traffic record is checked against the rules. The command ends by itself.

Exit code 0: every rule kept; 1: at least one broken; 2: an invalid file; 3: a process did not start or ended early.
"""


@click.command(help=HELP)
@click.argument("day", type=FILE)
@click.option(
    "--record",
    type=click.Path(file_okay=False, path_type=Path),
    help="Folder for the records, new or empty; default: a new one in the temporary directory.",
)
@click.option("--seed", type=int, help="Seed to draw the day with, in place of the one in DAY.")
@click.option("--json", "as_json", is_flag=True, help="Print the verdicts as JSON for scripts.")
def command(day: Path, record: Path | None, seed: int | None, as_json: bool) -> None:
    """Play a day through real relays and check its record."""
    from ..testbed.day import Day
    from ..testbed.play import play
    from ..testbed.processes import PlayError
    from .check import check_and_show

    script = load_settings(day, Day)
    if seed is not None:
        script = script.model_copy(update={"seed": seed})
    folder = record or Path(tempfile.mkdtemp(prefix=f"linnetstile-{script.name}-"))
    if folder.exists() and any(folder.iterdir()):
        die(ExitCode.BAD_INPUT, f"{folder}: expected a new or empty folder, found one that is not empty")
    try:
        play(script, folder, lambda text: click.echo(text, err=True))
    except PlayError as error:
        die(ExitCode.NOT_STARTED, f"linnetstile play: {error}")
    click.echo(f"record: {folder}\n", err=True)
    sys.exit(check_and_show(folder, as_json))
