"""The sub-command `linnetstile check`: checks the record of a run."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click

from ..emulators.record import RecordError
from ..testbed.rule_checker import CheckedRun, Verdict, check
from ..testbed.run_figures import RunFigures
from .common import ExitCode, die

MAX_FINDINGS_SHOWN = 5  # for each rule

HELP = """Check the RECORD of a run (a folder that `play` wrote) against the six rules, and that each message has at
most one attempt in flight.

The evidence is what the emulators saw on their sockets and wrote into their ledgers; a relay's own log is not used.
Exit code 0: every rule kept; 1: at least one broken; 2: the record can't be read.
"""


def _verdict_lines(verdicts: list[Verdict]) -> list[str]:
    lines = [f"{'rule':<9} {'verdict':<8} {'looked at':>9}  {'broken':>6}  what it asks"]
    for verdict in verdicts:
        outcome = "BROKEN" if verdict.breach_count else "kept"
        lines.append(
            f"{verdict.rule:<9} {outcome:<8} {verdict.checked_count:>9}  {verdict.breach_count:>6}  "
            f"{verdict.requirement}"
        )
        lines += [f"{'':<9} - {text}" for text in verdict.findings[:MAX_FINDINGS_SHOWN]]
    return lines


def _figure_lines(figures: RunFigures) -> list[str]:
    answers = ", ".join(f"{count} {kind}" for kind, count in figures.by_answer.items())
    values = ", ".join(f"{name} {fraction:.3f}" for name, fraction in figures.value_by_class.items())
    return [
        f"{figures.messages} messages: {answers}; {figures.attempts} attempts, "
        f"{figures.refused_attempts} of them refused",
        f"worth delivered of worth asked for: {figures.value_of_all:.3f} ({values})",
        f"unsafe messages that took effect twice: {figures.unsafe_effects_twice}",
    ]


def format_text(checked: CheckedRun) -> str:
    """Return the verdicts and figures as text for people."""
    broken = sum(bool(verdict.breach_count) for verdict in checked.verdicts)
    conclusion = "Every rule was kept." if not broken else f"{broken} rule(s) broken."
    lines = [*_verdict_lines(checked.verdicts), "", *_figure_lines(checked.figures), "", conclusion]
    return "\n".join(lines)


def format_json(checked: CheckedRun) -> str:
    """Return the verdicts and figures as JSON for scripts."""
    rules = [
        {
            "rule": verdict.rule,
            "kept": not verdict.breach_count,
            "looked_at": verdict.checked_count,
            "broken": verdict.breach_count,
            "findings": verdict.findings,
        }
        for verdict in checked.verdicts
    ]
    return json.dumps({"rules": rules, **checked.figures.to_json()}, indent=1)


def check_and_show(folder: Path, as_json: bool) -> ExitCode:
    """Check the run in a folder and print its verdicts and figures; return the exit code."""
    try:
        checked = check(folder)
    except RecordError as error:
        die(ExitCode.BAD_INPUT, str(error))
    click.echo(format_json(checked) if as_json else format_text(checked))
    return ExitCode.NEGATIVE if any(verdict.breach_count for verdict in checked.verdicts) else ExitCode.OK


@click.command(help=HELP)
@click.argument("record", type=click.Path(exists=True, file_okay=False, path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON for scripts.")
def command(record: Path, as_json: bool) -> None:
    """Check the record of a run against the rules."""
    sys.exit(check_and_show(record, as_json))
