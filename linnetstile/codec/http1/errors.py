"""HTTP/1.1 errors: invalid bytes from a peer, and outgoing messages that can't be sent."""

from __future__ import annotations

from ... import errors


class Http1Error(errors.ProtocolError):
    """The bytes from the peer are not HTTP/1.1 that this codec accepts.

    Attributes:
        status: The status to respond with; 0 if no response is possible.
        text: The error text, for the response and the log.
    """

    def __init__(self, status: int, text: str, *, field: str = "", expected: str = "", found: str = "") -> None:
        super().__init__(text, field=field, expected=expected, found=found)
        self.status = status
        self.text = text

    def copy(self) -> Http1Error:
        """Return the same error without a traceback, which would keep what was being parsed in memory."""
        return Http1Error(self.status, self.text, field=self.field, expected=self.expected, found=self.found)


class UnsendableMessageError(errors.LinnetstileError, ValueError):
    """An outgoing message is not valid HTTP; for example, a line end in a header field would split it."""
