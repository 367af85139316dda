"""What the sub-commands share: exit codes, settings files, errors."""

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
    """How a command ends.

    A relay that stops with messages unanswered ends with 4, and a command that a signal ended with 128 and its number.
    """

    OK = 0
    NO = 1  # the answer is no: a rule broken, a message not delivered
    BAD_INPUT = 2  # arguments, settings or records
    NOT_STARTED = 3  # something could not start or was not reached


def die(code: int, *lines: str) -> NoReturn:
    """Write lines to standard error and end with a code."""
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def load_settings(path: Path, model: type[Model]) -> Model:
    """Return the validated file, or end with every error in it on standard error."""
    try:
        return load(path, model)
    except SettingsError as error:
        die(ExitCode.BAD_INPUT, *error.lines)


def is_new_or_empty(folder: Path) -> bool:
    """Whether a folder can take the files of a run."""
    return not folder.exists() or (folder.is_dir() and not any(folder.iterdir()))
