"""Errors that end a scale run."""

from __future__ import annotations

from ...errors import ConfigError, LinnetstileError


class OptionError(ConfigError):
    """An option of `linnetstile scale` has a value that cannot be used; the message is one line."""

    def __init__(self, option: str, expected: str, found: object) -> None:
        """Make the error of an option, which is given without its dashes."""
        super().__init__(
            f"--{option}: expected {expected}, found {found!r}", field=option, expected=expected, found=repr(found)
        )


class RunFailedError(LinnetstileError):
    """A worker process failed, exited early, did not end in time or simulated a different platform."""


class RelayStartError(LinnetstileError):
    """A relay process of the comparison did not become ready in time, or exited before the comparison ended."""
