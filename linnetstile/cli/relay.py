"""The sub-command `linnetstile relay`: runs one relay."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import click

from .common import FILE, ExitCode, die, load_settings

HELP = """Run one relay with the settings in FILE (YAML).

Once it listens, one JSON line with its address goes to standard output; the log goes to standard error. SIGTERM
starts a graceful shutdown: the relay accepts no more messages, answers the pending ones and exits with 0, or exits
with 4 when limits.stop_ms has passed. A second SIGTERM ends it at once.
"""


@click.command(help=HELP)
@click.argument("file", type=FILE)
@click.option(
    "--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info", show_default=True
)
@click.option("--check", is_flag=True, help="Validate the file and exit.")
@click.option(
    "--ready-file",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write the line with the address to this file, once the relay listens.",
)
def command(file: Path, log_level: str, check: bool, ready_file: Path | None) -> None:
    """Run one relay until SIGTERM, or validate its settings."""
    from ..as2_relay.process import load_key_files, run
    from ..config.relay import RelaySettings
    from ..telemetry.log import create_logger

    relay = load_settings(file, RelaySettings)
    if check:
        try:
            load_key_files(relay)
        except (OSError, ValueError) as error:
            die(ExitCode.BAD_INPUT, f"{file}: {error}")
        click.echo(f"{file}: valid")
        return
    sys.exit(asyncio.run(run(relay, create_logger(log_level, relay=relay.name), ready_file)))
