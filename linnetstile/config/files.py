"""Reads a YAML file into a model; reports all faults together, each with file, key path, value and expectation."""

from __future__ import annotations

import pathlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, ValidationError

from ..errors import ConfigError

MAX_FILE_BYTES = 4 * 1024 * 1024  # size of a settings file
MAX_SHOWN_VALUE_LENGTH = 80  # characters of a value in an error message
ELLIPSIS = "..."
WHOLE_FILE = "(whole file)"


class StrictModel(BaseModel):
    """A part of a settings file; unknown keys are faults, because a limit with a misspelt key would not take effect."""

    model_config = ConfigDict(extra="forbid", frozen=True)


M = TypeVar("M", bound=StrictModel)


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One fault in a settings file.

    Attributes:
        field: Path of the key in the file, joined by dots.
        expected: What would have been valid.
        found: The value, shortened if it is long; empty if the key is missing or the value is a mapping.
    """

    field: str
    expected: str
    found: str = ""

    def line(self, file: str) -> str:
        """Return the fault as a line of an error message."""
        value = f" = {self.found}" if self.found else ""
        return f"{file}: {self.field}{value}: {self.expected}"


class SettingsError(ConfigError):
    """A settings file can't be used.

    Attributes:
        lines: A line for each fault. `field`, `expected` and `found` are those of the first fault, if known.
    """

    def __init__(self, lines: list[str], *, field: str = "", expected: str = "", found: str = "") -> None:
        super().__init__("\n".join(lines), field=field, expected=expected, found=found)
        self.lines = lines

    @classmethod
    def from_faults(cls, faults: Iterable[SettingsFault], file: str) -> SettingsError:
        """Return the error for a file with these faults, of which there must be at least one."""
        first, *others = faults
        lines = [fault.line(file) for fault in (first, *others)]
        return cls(lines, field=first.field, expected=first.expected, found=first.found)


def faults_of(error: ValidationError) -> list[SettingsFault]:
    """Return the faults that validation found, in its order."""
    return [_fault(details) for details in error.errors(include_url=False)]


def _fault(details: Any) -> SettingsFault:
    # A missing key has no value, and a mapping that contains a fault is too long to be helpful.
    shows_value = details["type"] != "missing" and not isinstance(details["input"], dict)
    return SettingsFault(
        field=".".join(str(step) for step in details["loc"]) or WHOLE_FILE,
        expected=details["msg"].removeprefix("Value error, "),
        found=_shortened(details["input"]) if shows_value else "",
    )


def _shortened(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_VALUE_LENGTH else text[: MAX_SHOWN_VALUE_LENGTH - len(ELLIPSIS)] + ELLIPSIS


def load(path: pathlib.Path, model: type[M]) -> M:
    """Read and validate a file.

    Raises:
        SettingsError: The file can't be read, is not YAML in UTF-8, or does not fit the model.
    """
    raw = _read_yaml(path)
    try:
        return model.model_validate(raw if raw is not None else {})
    except ValidationError as error:
        raise SettingsError.from_faults(faults_of(error), str(path)) from error


def _read_yaml(path: pathlib.Path) -> Any:
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            raise SettingsError(
                [f"{path}: expected at most {MAX_FILE_BYTES} bytes"],
                expected=f"<= {MAX_FILE_BYTES} bytes",
                found=f"{size} bytes",
            )
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as error:
        message = f"{path}: can't be read: {error.strerror}"
        raise SettingsError([message], expected="a file that can be read", found=error.strerror or "") from error
    except UnicodeDecodeError as error:
        message = f"{path}: expected text in UTF-8, found an invalid byte at position {error.start}"
        found = f"an invalid byte at position {error.start}"
        raise SettingsError([message], expected="text in UTF-8", found=found) from error
    except yaml.YAMLError as error:
        problem = getattr(error, "problem", error)
        message = f"{path}: {_yaml_position(error)}: not YAML: {problem}"
        raise SettingsError([message], expected="YAML", found=str(problem)) from error


def _yaml_position(error: yaml.YAMLError) -> str:
    mark = getattr(error, "problem_mark", None)
    return f"line {mark.line + 1}, column {mark.column + 1}" if mark else "somewhere"
