"""One request of a server connection, from its complete head to its response."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..codec import http1
from .response_writer import write_response

if TYPE_CHECKING:
    from .server_connection import Connection


@dataclass(slots=True, init=False, eq=False, repr=False)
class RequestContext:
    """One request and its one response."""

    conn: Connection
    head: http1.Request
    body: bytes  # empty until the request is complete
    began: float  # loop time, s
    answered: bool
    on_gone: Callable[[], None] | None  # called if the client leaves before it was answered
    length: int | None  # of the body in bytes; None = chunked, and not known
    room: int  # bytes of the body that capacity was granted for
    charge: object  # what was recorded with the capacity granted; given back by the server's `release`
    until: float | None  # loop time from which on it is too late for the body to be complete
    sink: Callable[[bytes], object] | None  # gets each piece of the body as it comes
    who: object  # what the owner of the server has read from the head already

    def __init__(self, connection: Connection, head: http1.Request, started_at: float) -> None:
        self.conn = connection
        self.head = head
        self.body = b""
        self.began = started_at
        self.answered = False
        self.on_gone = None
        chunked = "transfer-encoding" in head.headers
        self.length = None if chunked else int(head.headers.get("content-length") or 0)
        self.room = 0
        self.charge = None
        self.until = None
        self.sink = None
        self.who = None

    def go(self) -> None:
        """Read the body on: there is capacity for it."""
        self.conn.resume_body(self)

    def reply(
        self, status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"", close: bool = False
    ) -> bool:
        """Write the response. A second call is a fault of ours.

        Args:
            status: The status code.
            headers: Header fields; those for the body's length and the connection are added.
            body: The body.
            close: Whether to close the connection afterwards.

        Returns:
            False if the client has gone.
        """
        assert not self.answered, "a second answer to one request"
        self.answered = True
        if self.charge is not None:
            self.conn.server.release(self)
        return write_response(self.conn, self, status, headers, body, close)


Handler = Callable[[RequestContext], None]
