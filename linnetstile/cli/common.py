"""Helpers that the sub-commands share: exit codes, settings files, errors."""

from __future__ import annotations

import sys
from enum import IntEnum
from pathlib import Path
from typing import NoReturn, TypeVar

import click

from ..config.files import SettingsError, StrictModel, load

Model = TypeVar("Model", bound=StrictModel)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


class ExitCode(IntEnum):
    """Exit codes of the sub-commands.

    Two more codes are defined elsewhere: 4 for a relay that stops with messages unanswered, and 128 plus the signal's
    number for a command that a signal ended.
    """

    OK = 0
    NEGATIVE = 1  # a rule is broken, or a message was not delivered
    BAD_INPUT = 2  # invalid arguments, settings or records
    NOT_STARTED = 3  # a process did not start, or a relay could not be reached


def die(code: int, *lines: str) -> NoReturn:
    """Write lines to standard error and exit with a code."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def load_settings(path: Path, model: type[Model]) -> Model:
    """Return the validated settings of a file, or exit with all of its errors on standard error."""
    try:
        return load(path, model)
    except SettingsError as error:
        die(ExitCode.BAD_INPUT, *error.lines)


def is_new_or_empty(folder: Path) -> bool:
    """Whether a folder is missing or empty, so that a run can write its files there."""
    return not folder.exists() or (folder.is_dir() and not any(folder.iterdir()))
