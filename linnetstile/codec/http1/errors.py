"""The errors of HTTP/1.1: faults in a peer's bytes, and messages of our own that can't be sent."""

from __future__ import annotations

from ... import errors


class Http1Error(errors.ProtocolError):
    """The peer's bytes are not HTTP/1.1 as this codec accepts it.

    Attributes:
        status: The status to answer; 0 where no answer is possible.
        text: The message, for the answer and the log.
    """

    def __init__(self, status: int, text: str, *, field: str = "", expected: str = "", found: str = "") -> None:
        super().__init__(text, field=field, expected=expected, found=found)
        self.status = status
        self.text = text


class UnsendableMessageError(errors.LinnetstileError, ValueError):
    """A message of our own would not be valid HTTP, for example a header field that would split it."""
