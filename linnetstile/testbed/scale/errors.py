"""Errors that end a scale run."""

from __future__ import annotations

from ...errors import ConfigError, LinnetstileError


class OptionError(ConfigError):
    """An option of `linnetstile scale` has a value that cannot be used; the message is one line."""

    def __init__(self, option: str, expected: str, found: object) -> None:
        """Name the option without its dashes, what was expected and what was found."""
        super().__init__(
            f"--{option}: expected {expected}, found {found!r}", field=option, expected=expected, found=repr(found)
        )


class RunFailedError(LinnetstileError):
    """A process of the run ended by itself, or did not end in time."""


class RelayStartError(LinnetstileError):
    """A relay process of the comparison did not start, or ended by itself."""
