"""linnetstile check"""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Any

import click

from ..emulators.record import RecordError
from ..testbed.rule_checker import Verdict, check
from .common import die


def table(verdicts: list[Verdict], figures: dict[str, Any]) -> str:
    """The verdict for people."""
    lines = [f"{'rule':<9} {'verdict':<8} {'looked at':>9}  {'broken':>6}  what it asks"]
    for v in verdicts:
        lines.append(f"{v.rule:<9} {'BROKEN' if v.broken else 'kept':<8} {v.looked_at:>9}  {v.broken:>6}  {v.text}")
        lines += [f"{'':<9} - {text}" for text in v.findings[:5]]
    answers = ", ".join(f"{count} {kind}" for kind, count in figures["by_answer"].items())
    worth = ", ".join(f"{name} {part:.3f}" for name, part in figures["worth"].items())
    lines += [
        "",
        f"{figures['messages']} messages: {answers}; {figures['attempts']} attempts, "
        f"{figures['refused_attempts']} of them refused",
        f"worth delivered of worth asked for: {figures['worth_all']:.3f} ({worth})",
        f"unsafe messages that took effect twice: {figures['unsafe_effects_twice']}",
    ]
    broken = sum(bool(v.broken) for v in verdicts)
    lines += ["", "Every rule was kept." if not broken else f"{broken} rule(s) broken."]
    return "\n".join(lines)


def show(folder: Path, as_json: bool) -> int:
    """Judges and prints; returns the exit code."""
    try:
        verdicts, figures = check(folder)
    except RecordError as error:
        die(2, str(error))
    if as_json:
        click.echo(
            json.dumps(
                {
                    "rules": [
                        {
                            "rule": v.rule,
                            "kept": not v.broken,
                            "looked_at": v.looked_at,
                            "broken": v.broken,
                            "findings": v.findings,
                        }
                        for v in verdicts
                    ],
                    **figures,
                },
                indent=1,
            )
        )
    else:
        click.echo(table(verdicts, figures))
    return int(any(v.broken for v in verdicts))


@click.command()
@click.argument("record", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="For scripts.")
def command(record: Path, as_json: bool) -> None:
    """Judge the RECORD of a run (a folder that `play` wrote) by the six rules and by one attempt at a time.

    Only what the stand-ins saw on their sockets and wrote into their ledgers counts, never a relay's own log.
    Exit code 0: every rule kept; 1: one broken; 2: the record can't be read.
    """
    sys.exit(show(record, as_json))
