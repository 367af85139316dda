"""One request of a server connection, from its complete head to its response."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..codec import http1
from .response_writer import write_response

if TYPE_CHECKING:
    from .server_connection import ServerConnection


@dataclass(slots=True, init=False, eq=False, repr=False)
class RequestContext:
    """One request and its one response."""

    connection: ServerConnection
    head: http1.Request
    body: bytes  # empty until the request is complete
    started_at: float  # loop time, s
    answered: bool
    on_disconnect: Callable[[], None] | None  # called if the client disconnects before it was answered
    content_length: int | None  # of the body in bytes; None = chunked, and not known
    granted_bytes: int  # bytes of the body that capacity was granted for
    reservation: object  # what was recorded with the capacity granted; given back by the server's `release`
    body_deadline: float | None  # loop time from which on it is too late for the body to be complete
    on_body_data: Callable[[bytes], object] | None  # called with each piece of the body
    submission: object  # what the owner of the server has read from the head already

    def __init__(self, connection: ServerConnection, head: http1.Request, started_at: float) -> None:
        self.connection = connection
        self.head = head
        self.body = b""
        self.started_at = started_at
        self.answered = False
        self.on_disconnect = None
        chunked = "transfer-encoding" in head.headers
        self.content_length = None if chunked else int(head.headers.get("content-length") or 0)
        self.granted_bytes = 0
        self.reservation = None
        self.body_deadline = None
        self.on_body_data = None
        self.submission = None

    def resume_body(self) -> None:
        """Read the body on: there is capacity for it."""
        self.connection.resume_body(self)

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> bool:
        """Write the response. It must not be called twice.

        Args:
            status: The status code.
            headers: Header fields; those for the body's length and the connection are added.
            body: The body.
            close: Whether to close the connection afterwards.

        Returns:
            False if the client has disconnected.
        """
        assert not self.answered, "a second answer to one request"
        self.answered = True
        if self.reservation is not None:
            self.connection.server.release(self)
        return write_response(self.connection, self, status, headers, body, close)


Handler = Callable[[RequestContext], None]
