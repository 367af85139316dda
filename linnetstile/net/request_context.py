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
    on_disconnect: Callable[[], None] | None  # called if the client disconnects before the response
    content_length: int | None  # length of the body; None = unknown, because the body is chunked
    granted_bytes: int  # number of body bytes for which capacity was granted
    reservation: object  # record of the granted capacity, which the server's `release` frees
    body_deadline: float | None  # loop time (s) by which the body must be complete; None = no deadline
    on_body_data: Callable[[bytes], object] | None  # called with each piece of the body
    submission: object  # what the owner of the server has parsed from the head

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

    @property
    def has_successor(self) -> bool:
        """Whether bytes of a further request have arrived on its connection."""
        return not self.connection.input.is_exhausted or self.connection.has_unread_input

    def resume_body(self) -> None:
        """Continue reading the body, because there is capacity for it now."""
        self.connection.resume_body(self)

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> bool:
        """Write the response. Must not be called twice.

        Args:
            status: The status code.
            headers: Header fields; the fields for the body's length and the connection are added to them.
            body: The body.
            close: Whether to close the connection afterwards.

        Returns:
            False if the client has disconnected.
        """
        assert not self.answered, "the request was already answered"
        self.answered = True
        if self.reservation is not None:
            self.connection.server.release(self)
        return write_response(self.connection, self, status, headers, body, close)


Handler = Callable[[RequestContext], None]
