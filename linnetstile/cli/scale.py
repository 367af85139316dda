"""linnetstile scale"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Any

import click

from ..testbed.scale.world_model import RANGES, SCENES, OptionError, Sizes
from .common import die


def whole(ctx: click.Context, param: click.Parameter, value: str) -> int:
    """A whole number; anything else is told in one line."""
    name = param.name or ""
    if not value.removeprefix("-").isdecimal():
        least, most = RANGES[name]
        die(
            2,
            "linnetstile scale: "
            + str(OptionError(name.replace("_", "-"), f"a whole number from {least} to {most}", value)),
        )
    return int(value)


DEFAULT = Sizes()
HELP = {
    "seed": "Draw of world and chance.",
    "relays": "Relays of the fleet.",
    "destinations": "Destinations listed.",
    "real": "Real processes beside the hollow relays.",
    "played": "Hollow relays that are played; 0 = all.",
    "in_use": "Destinations that get their traffic, each of them all of it.",
    "workers": "Processes that play.",
    "minutes": "The run ends within so many.",
    "changes": "Changes in the scene day.",
    "failing": "Relays that fail in it.",
    "restarts": "Relays restarted or replaced in it.",
    "rack": "Relays of a rack.",
    "day_s": "Simulated seconds of the scene day.",
    "zone_s": "A zone is away for so long.",
    "parted_s": "The regions are parted for so long.",
    "held": "Messages for each destination in use in a full folder.",
    "cost_most": "Destinations of the longest list whose cost is measured.",
}


def _options(function: Any) -> Any:
    for name, text in reversed(HELP.items()):
        function = click.option(
            f"--{name.replace('_', '-')}",
            name,
            metavar="N",
            default=str(getattr(DEFAULT, name)),
            show_default=True,
            help=text,
            callback=whole,
        )(function)
    return function


@click.command()
@_options
@click.option("--scenes", default=",".join(SCENES), show_default=True, help="Scenes, in this order.")
@click.option("--out", type=click.Path(path_type=Path), help="Folder of the report, new or empty.")
def command(scenes: str, out: Path | None, **sizes: int) -> None:
    """Play a fleet at size: hollow relays (the shipped code on a simulated clock) beside a few real processes. Loopback
    only; it ends by itself. The report (scale.json, scale.txt, plots) goes to the folder, its text to standard output.

    Exit code 0: played, and hollow and real did the same; 1: they did not; 2: a bad option; 3: a process of the run did
    not start or ended by itself; 128 and the signal's number: ended.
    """
    from ..testbed.scale.run import Ended, Failed, NotStarted, run

    found = Sizes(**sizes, scenes=tuple(each for each in scenes.split(",") if each))
    try:
        found.check()
    except OptionError as error:
        die(2, f"linnetstile scale: {error}")
    folder = out or Path(tempfile.mkdtemp(prefix="linnetstile-scale-"))
    if folder.exists() and (not folder.is_dir() or any(folder.iterdir())):
        die(2, f"linnetstile scale: --out: expected a new or empty folder, found {str(folder)!r}")
    try:
        told = run(found, folder, lambda line: click.echo(line, err=True))
    except (Failed, NotStarted, OSError) as error:
        die(3, f"linnetstile scale: {error}")
    except KeyboardInterrupt as error:
        number = error.args[0] if isinstance(error, Ended) else 2
        die(128 + number, "linnetstile scale: ended; no report")
    click.echo((folder / "scale.txt").read_text(encoding="utf-8"), nl=False)
    click.echo(f"report: {folder}", err=True)
    sys.exit(0 if told["compared"] is None or told["compared"]["agrees"] else 1)
