"""The exception hierarchy of the package: every error that users may see derives from `LinnetstileError`."""

from __future__ import annotations


class LinnetstileError(Exception):
    """Base class of all errors that this package raises on purpose.

    Attributes:
        field: Name of the offending field as the user wrote it; empty if the error concerns no single field.
        expected: What would have been valid; empty if the message says it.
        found: What came instead; empty if the message says it.
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
