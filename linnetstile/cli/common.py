"""What the sub-commands share."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import NoReturn, TypeVar

import click

from ..config.files import SettingsError, Strict, load

M = TypeVar("M", bound=Strict)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def die(code: int, *lines: str) -> NoReturn:
    for line in lines:
        click.echo(line, err=True)
    sys.exit(code)


def settings(path: Path, model: type[M]) -> M:
    """The validated file, or every fault on standard error and exit code 2."""
    try:
        return load(path, model)
    except SettingsError as error:
        die(2, *error.lines)
