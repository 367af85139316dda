"""Reads a YAML file into a model. All faults are told at once: file, path in it, value, what was expected."""

from __future__ import annotations

import pathlib
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

M = TypeVar("M", bound="Strict")
SIZE_MAX = 4 * 1024 * 1024


class Strict(BaseModel):
    """A part of a settings file: unknown keys are faults, as a misspelt bound is no bound."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class SettingsError(Exception):
    """A settings file can't be used; `lines` has a line for each fault."""

    def __init__(self, lines: list[str]) -> None:
        super().__init__("\n".join(lines))
        self.lines = lines


def _value(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 80 else text[:77] + "..."


def faults(error: ValidationError, file: str) -> list[str]:
    lines = []
    for fault in error.errors(include_url=False):
        path = ".".join(str(step) for step in fault["loc"]) or "(whole file)"
        whole = fault["type"] == "missing" or isinstance(fault["input"], dict)
        given = "" if whole else f" = {_value(fault['input'])}"
        expected = fault["msg"].removeprefix("Value error, ")
        lines.append(f"{file}: {path}{given}: {expected}")
    return lines


def load(path: pathlib.Path, model: type[M]) -> M:
    """Raises `SettingsError`."""
    try:
        if path.stat().st_size > SIZE_MAX:
            raise SettingsError([f"{path}: expected at most {SIZE_MAX} bytes"])
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: can't be read: {error.strerror}"]) from error
    except UnicodeDecodeError as error:
        raise SettingsError([f"{path}: expected text in UTF-8, byte {error.start} is not"]) from error
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}, column {mark.column + 1}" if mark else "somewhere"
        raise SettingsError([f"{path}: {where}: not YAML: {getattr(error, 'problem', error)}"]) from error
    try:
        return model.model_validate(raw if raw is not None else {})
    except ValidationError as error:
        raise SettingsError(faults(error, str(path))) from error
