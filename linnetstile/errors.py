"""The exception hierarchy of the package: every error that users may see derives from `LinnetstileError`."""

from __future__ import annotations


class LinnetstileError(Exception):
    """Base class of the errors that this package defines.

    Attributes:
        field: Name of the invalid field as the user wrote it; empty if the error is not about a single field.
        expected: What would have been valid; empty if the message already says it.
        found: What was found instead; empty if the message already says it.
    """

    def __init__(self, message: str, *, field: str = "", expected: str = "", found: str = "") -> None:
        super().__init__(message)
        self.field = field
        self.expected = expected
        self.found = found


class ConfigError(LinnetstileError, ValueError):
    """A configuration file or settings object cannot be used."""


class ProtocolError(LinnetstileError, ValueError):
    """A peer sent bytes that do not follow the protocol."""


class JournalError(LinnetstileError):
    """A journal, snapshot or other durable file cannot be read or written."""
