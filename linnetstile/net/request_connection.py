"""A server connection as its requests see it: the state of one connection, its requests, and how responses are written.

`server_connection.py` reads the requests of such a connection, `request_rejection.py` rejects them, `server_limits.py`
and `input_memory.py` judge it, `connection_registry.py` counts it, and `server.py` is its listener.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..codec import http1
from . import connection_phase
from .connection import BufferedConnection
from .connection_phase import ConnectionPhase
from .request_body import RequestBody
from .request_input import RequestInput
from .server_settings import ServerLimits

if TYPE_CHECKING:
    from .tls import TlsTransport

# Largest body that is read and dropped if its request was answered early; for a larger one the connection is closed.
# Bodies above this size are read into the large receive buffer.
SMALL_BODY_BYTES = 64 * 1024
# Maximum input dropped after the last response; a peer that sends more does not stop, and its connection is aborted.
MAX_DISCARDED_BYTES = 1024 * 1024


class Listener(Protocol):
    """What a connection needs of the server that accepted it; `Server` documents the attributes."""

    loop: asyncio.AbstractEventLoop
    limits: ServerLimits
    http_limits: http1.Limits
    handler: Handler
    on_head: Handler
    admit: AdmitCallback
    release: Handler
    on_error: ErrorCallback

    def count(self, event: str) -> None:
        """Count an event of this name."""

    def admit_connection(self, connection: RequestConnection) -> bool:
        """Return whether a new connection may stay open."""

    def register(self, connection: RequestConnection) -> None:
        """Add a connection that stays open."""

    def unregister(self, connection: RequestConnection) -> None:
        """Remove a connection that has ended."""

    def account_input(self, connection: RequestConnection) -> None:
        """Account for the received bytes that a connection holds now; may reject incomplete requests for them."""

    def input_dropped(self, connection: RequestConnection) -> None:
        """Account for a connection that holds no received bytes any more."""


@dataclass(slots=True, init=False, eq=False, repr=False)
class RequestContext:
    """One request and its one response."""

    connection: RequestConnection
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

    def __init__(self, connection: RequestConnection, head: http1.Request, started_at: float) -> None:
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
        return self.connection.write_response(self, status, headers, body, close)


Handler = Callable[[RequestContext], None]
# Called with a request and the number of body bytes that it needs capacity for. Returns True if there is capacity,
# False if the request was answered or waits for `RequestContext.resume_body`.
AdmitCallback = Callable[[RequestContext, int], bool]
# Called with the peer's address and the error in its bytes or its TLS handshake.
ErrorCallback = Callable[[str, http1.Http1Error], None]


class RequestConnection(BufferedConnection):
    """The state of a connection with a client, and its responses."""

    host = ""  # address of the peer without its port, once the connection is made

    def __init__(self, server: Listener) -> None:
        self.server = server
        self.input = RequestInput(server.http_limits)
        self.current_request: RequestContext | None = None
        self.request_complete = False  # there is a current request, and all of its body was read
        self.skipping_body = False  # the current request was answered before its body was read
        self.waiting_for_capacity = False  # the current body is not read further until `resume_body`
        self.body = RequestBody()  # body of the current request
        self.accounted_input_bytes = 0  # what `InputMemory` has counted of this connection
        self.request_count = 0  # number of requests begun on this connection
        self.opened_at = server.loop.time()
        self.phase_started_at = self.opened_at  # loop time (s) at which the current head or idle time began
        self.reading_paused = False  # back-pressure: nothing is read from the kernel
        self.processing_scheduled = False
        self.peer_half_closed = False
        self.finished = False  # the last response was written; further input is dropped
        self.linger_started_at: float | None = None  # loop time, s
        self.discarded_bytes = 0  # number of bytes received after the last response
        self.tls: TlsTransport | None = None
        limits = server.limits
        self.start_rate_meters(limits.min_body_rate, limits.min_response_rate, limits.rate_grace_s)

    # -- responses ---------------------------------------------------------------------------------------

    def write_response(
        self,
        request: RequestContext,
        status: int,
        headers: Iterable[tuple[str, str]],
        body: bytes,
        close: bool,
    ) -> bool:
        """Write the response to the current request.

        Returns:
            False if the client has disconnected, also if that shows only as the response is written.
        """
        if self.is_closing:
            return False
        early = not self.request_complete
        self.waiting_for_capacity = False
        close = close or self.peer_half_closed or not request.head.keep_alive
        if early:
            close = close or not self._can_skip_body(request)
        fields = [*headers, ("Connection", "close")] if close else headers
        self.write(*http1.encode_response_parts(status, fields, body, request.head.method == "HEAD"))
        was_written = not self.is_closing
        if early:
            self.skipping_body = True
            self.body.drop_pieces()
            self.uses_large_buffer = False
        else:
            self.request_complete, self.current_request = False, None
        if close:
            self.finish(linger=early)
        elif self.reading_paused or not self.input.is_exhausted:
            self.schedule_processing()
        return was_written

    @staticmethod
    def _can_skip_body(request: RequestContext) -> bool:
        """Whether the rest of a request that was answered early can be read and dropped.

        Its body must be known to be small, and the client must not wait for `100 Continue`.
        """
        small = request.content_length is not None and request.content_length <= SMALL_BODY_BYTES
        return small and not request.head.headers.get("expect")

    def write_final_response(self, status: int, text: str) -> None:
        """Write a plain-text response, and close the connection."""
        headers = [("Content-Type", "text/plain"), ("Connection", "close")]
        self.write(*http1.encode_response_parts(status, headers, f"{text}\n".encode()))
        self.finish(linger=True)

    def finish(self, linger: bool = False) -> None:
        """Write what is queued, then close the connection; further input is dropped.

        Args:
            linger: Whether the peer may continue to send for a while. Closing with unread bytes resets the connection,
                and the peer might never read the response.
        """
        self.finished = True
        self.drop_input()
        if self.is_closing:
            return
        transport = self.transport
        if linger and not self.peer_half_closed and not self.write_queue and transport.can_write_eof():
            self.linger_started_at = self.server.loop.time()
            try:
                transport.write_eof()
                transport.resume_reading()
            except OSError:  # reset by the peer, and the event loop has not reported it yet
                transport.abort()
        else:
            self.close_when_written()

    def discard_input(self, size_bytes: int) -> None:
        """Drop bytes received after the last response; abort the connection of a peer that does not stop sending."""
        self.discarded_bytes += size_bytes
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    # -- requests ----------------------------------------------------------------------------------------

    def resume_body(self, request: RequestContext) -> None:
        """Continue reading the body, because there is capacity for it or for its next step now."""
        raise NotImplementedError

    def schedule_processing(self) -> None:
        """Schedule the handling of received input for the next pass of the event loop."""
        raise NotImplementedError

    def release_incomplete(self) -> None:
        """Release the capacity of a request that did not become complete."""
        if self.current_request is not None and not self.current_request.answered and not self.response_pending:
            self.server.release(self.current_request)

    def drop_input(self) -> None:
        """Drop all received bytes: no further request is read."""
        self.input.clear()
        self.body.drop_pieces()
        self.server.input_dropped(self)

    # -- state -------------------------------------------------------------------------------------------

    @property
    def response_backlogged(self) -> bool:
        """Whether the client reads its responses too slowly for another request to be begun."""
        return self.write_paused and self.unsent_bytes > self.server.limits.max_unsent_bytes

    @property
    def response_pending(self) -> bool:
        """Whether the current request is complete and waits for its response."""
        return self.request_complete and self.current_request is not None

    @property
    def phase(self) -> ConnectionPhase:
        """The current phase of this connection."""
        if self.tls is not None and not self.tls.handshake_done:
            return connection_phase.HANDSHAKE
        if self.linger_started_at is not None or self.finished:
            return connection_phase.CLOSING
        if self.waiting_for_capacity:
            return connection_phase.WAITING_FOR_CAPACITY
        if self.response_pending:
            return connection_phase.RESPONSE_PENDING
        if self.unsent_bytes:
            return connection_phase.WRITING_RESPONSE
        if self.current_request is not None:
            return connection_phase.READING_BODY
        if not self.input.parser.is_idle or not self.request_count:
            return connection_phase.READING_HEAD
        return connection_phase.IDLE

    @property
    def is_lingering(self) -> bool:
        """Whether the last response was sent, and the connection only waits for the peer to close."""
        return self.linger_started_at is not None and not self.unsent_bytes

    @property
    def has_outstanding_response(self) -> bool:
        """Whether a request was accepted or a response is incomplete; an incomplete request does not count."""
        return self.phase in connection_phase.RESPONSE_PHASES and not self.is_lingering

    @property
    def had_complete_request(self) -> bool:
        """Whether at least one request on this connection was complete."""
        return self.request_count > 1 or (
            self.request_count == 1 and (self.current_request is None or self.request_complete)
        )
