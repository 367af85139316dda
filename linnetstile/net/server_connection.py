"""One connection of the server: reads requests one at a time and hands them to the server's callbacks.

Responses are written by `response_writer.py`; `server_limits.py` says which limit a connection is over.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from ..codec import http1
from . import connection_phase, server_limits
from .connection import BufferedConnection
from .connection_phase import ConnectionPhase
from .request_context import RequestContext
from .response_writer import SMALL_BODY_BYTES, discard_input, finish, write_final_response
from .tls import TlsTransport

if TYPE_CHECKING:
    from .server import Server

EVENTS_PER_PARSE = 8  # parsed at a time, so that what waits unparsed is bytes and not objects
REQUESTS_PER_TURN = 1  # begun in one turn of a connection: guards the others against a peer that pipelines without end
BODY_STEP_BYTES = 64 * 1024  # of capacity asked for at a time by a body that tells no length
BYTES_PER_EVENT = 512  # unparsed bytes that count as one waiting event


class ServerConnection(BufferedConnection):
    """A connection with a client: HTTP/1.1 with keep-alive and pipelining, one request at a time."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = http1.Parser(limits=server.http_limits)
        self.pending_events: deque[http1.Event] = deque()  # parsed, and not handled yet
        self.current_request: RequestContext | None = None
        self.request_complete = False  # its body has been read to its end
        self.skipping_body = False  # the current request was answered before its body was read
        self.waiting_for_capacity = False  # its body is not read on before `resume_body`
        self.body_pieces: list[bytes] = []
        self.body_size = 0  # bytes of the pieces
        self.request_count = 0  # begun on this connection
        self.opened_at = server.loop.time()
        self.phase_started_at = self.opened_at  # the start of the current head, or of being idle
        self.reading_paused = False  # back-pressure: nothing is read from the kernel
        self.processing_scheduled = False
        self.peer_half_closed = False
        self.finished = False  # the last response was written; what still comes is dropped
        self.linger_started_at: float | None = None  # loop time, s
        self.discarded_bytes = 0  # that came after the last response
        self.tls: TlsTransport | None = None
        limits = server.limits
        self.start_rate_meters(limits.min_body_rate, limits.min_response_rate, limits.rate_grace_s)

    # -- life cycle --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Join the server's connections if there is a place. Called by asyncio."""
        super().connection_made(transport)
        self.host = self.peer_host()
        if not self.server.make_room_for(self):
            self.server.count("refused_connections")
            self.transport.abort()  # guards descriptors and memory
            return
        self.server.registry.add(self)

    def handshake_ended(self, failure: str | None) -> None:
        """Report a TLS handshake that failed."""
        if failure is not None:
            self.server.count("handshakes_failed")
            self.server.on_error(self.peer_address(), http1.Http1Error(0, f"no TLS handshake: {failure}"))

    def eof_received(self) -> bool:
        """Keep the connection only for a response. Called by asyncio.

        A client may close its half and still read the response; an unfinished request is gone.
        """
        self.peer_half_closed = True
        if self.response_pending and self.current_request is not None and self.current_request.on_disconnect:
            self.current_request.on_disconnect()
        return self.response_pending or (self.unsent_bytes > 0 and self.linger_started_at is None)

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the server's connections, and tell the owner of a request. Called by asyncio."""
        super().connection_lost(exc)
        self.server.registry.remove(self)
        self.release_incomplete()
        request = self.current_request
        told_at_half_close = self.peer_half_closed and self.response_pending
        if request is not None and not request.answered and request.on_disconnect and not told_at_half_close:
            request.on_disconnect()

    def release_incomplete(self) -> None:
        """Give back the capacity of a request that was never taken."""
        if self.current_request is not None and not self.current_request.answered and not self.response_pending:
            self.server.release(self.current_request)

    # -- reading requests --------------------------------------------------------------------------------

    def received(self, data: memoryview) -> None:
        """Take bytes of requests."""
        self.bytes_read += len(data)
        if self.parser.is_idle:
            self.phase_started_at = self.server.loop.time()
        if self.finished:
            discard_input(self, len(data))
            return
        self._parse(data)
        self._process_events()

    def _parse(self, data: bytes | memoryview) -> None:
        try:
            self.pending_events.extend(self.parser.feed(data, EVENTS_PER_PARSE))
        except http1.Http1Error:
            return  # told by parser.failed, after what came before it

    def _process_events(self) -> None:
        """Handle what has been parsed until the current request waits for something."""
        self.processing_scheduled = False
        if self.is_lost:  # a turn that was scheduled before the end: nothing of it would be given back
            return
        requests_begun = 0
        while not (
            self.finished
            or self.waiting_for_capacity
            or (self.request_complete and self.current_request)
            or (self.write_paused and self.response_backlogged)
        ):
            if not self.pending_events:
                if not self.parser.buffered_bytes or self.parser.error:
                    break
                self._parse(b"")
                if not self.pending_events:
                    break
            if requests_begun >= REQUESTS_PER_TURN and isinstance(self.pending_events[0], http1.Request):
                self.schedule_processing()
                break
            event = self.pending_events.popleft()
            if isinstance(event, http1.Request):
                requests_begun += 1
                self._begin_request(event)
            elif isinstance(event, http1.Data):
                self._add_body_data(event.data)
            elif isinstance(event, http1.EndOfMessage):
                self._end_request()
        if not self.pending_events and self.parser.error and not self.finished and not self.response_pending:
            self._reject_malformed(self.parser.error)
        self._apply_back_pressure()

    def schedule_processing(self) -> None:
        """Handle what has been parsed in the next pass of the loop."""
        if not self.processing_scheduled:
            self.processing_scheduled = True
            self.server.loop.call_soon(self._process_events)

    def _apply_back_pressure(self) -> None:
        """Read on, or not: what waits behind this connection's own request, response or capacity is not taken in."""
        if self.finished:
            return
        events_waiting = len(self.pending_events) + self.parser.buffered_bytes // BYTES_PER_EVENT
        pause = (
            self.waiting_for_capacity
            or (self.write_paused and self.response_backlogged)
            or events_waiting > self.server.limits.max_pipelined_events
        )
        if pause != self.reading_paused and not self.is_closing:
            self.reading_paused = pause
            self.transport.pause_reading() if pause else self.transport.resume_reading()

    def resume_writing(self) -> None:
        """Write what is queued, and go on with the requests behind it. Called by asyncio."""
        super().resume_writing()
        if self.pending_events or self.reading_paused:
            self.schedule_processing()

    def _begin_request(self, head: http1.Request) -> None:
        self.current_request = request = RequestContext(self, head, self.phase_started_at)
        self.request_count += 1
        self.body_pieces.clear()
        self.body_size = 0
        self.read_meter.pause()
        self.server.on_head(request)
        if request.answered:
            return
        needed_bytes = request.content_length if request.content_length is not None else BODY_STEP_BYTES
        if needed_bytes and not self.server.admit(request, needed_bytes):
            self.waiting_for_capacity = not request.answered
            return
        request.granted_bytes = needed_bytes
        self._invite_body(request)

    def _invite_body(self, request: RequestContext) -> None:
        """Read large bodies by large buffers, and tell a client that waits for it to send its body."""
        self.uses_large_buffer = request.content_length is None or request.content_length > SMALL_BODY_BYTES
        if request.head.expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def resume_body(self, request: RequestContext) -> None:
        """Read the body on: there is capacity for it, or for its next step."""
        if request is not self.current_request or request.answered or self.is_closing:
            return
        self.waiting_for_capacity = False
        if not request.granted_bytes:
            self._invite_body(request)
        request.granted_bytes += request.content_length if request.content_length is not None else BODY_STEP_BYTES
        self._process_events()

    def _add_body_data(self, data: bytes) -> None:
        request = self.current_request
        if self.skipping_body or request is None:
            return
        self.body_pieces.append(data)
        if request.on_body_data is not None:
            request.on_body_data(data)
        self.body_size += len(data)
        while request.content_length is None and self.body_size > request.granted_bytes and not request.answered:
            if not self.server.admit(request, BODY_STEP_BYTES):
                self.waiting_for_capacity = not request.answered
                return
            request.granted_bytes += BODY_STEP_BYTES

    def _end_request(self) -> None:
        request = self.current_request
        if request is None:
            return
        self.phase_started_at = self.server.loop.time()
        self.uses_large_buffer = False
        if self.skipping_body:
            self.skipping_body, self.current_request = False, None
            return
        self.request_complete = True
        request.body = self.body_pieces[0] if len(self.body_pieces) == 1 else b"".join(self.body_pieces)
        self.body_pieces.clear()
        self.server.handler(request)

    # -- rejecting requests ------------------------------------------------------------------------------

    def _reject_malformed(self, error: http1.Http1Error) -> None:
        self.server.count("protocol_errors")
        self.server.on_error(self.peer_address(), error)
        write_final_response(self, error.status, error.text)

    def reject_incomplete(self, text: str) -> None:
        """Answer 503 to a request that has begun and is not complete; nothing if not a byte of it has come."""
        if (self.parser.is_idle and self.current_request is None) or self.skipping_body:
            return
        self._reject_never_taken(503, text)

    def _reject_never_taken(self, status: int, text: str) -> None:
        """Answer a request that is not complete, and close."""
        if self.current_request is not None and not self.current_request.answered:
            self.current_request.answered = True
            self.server.release(self.current_request)
        write_final_response(self, status, text)

    def close_for_limit(self, limit: str) -> None:
        """Close for the limit of this name, in the way that proves most to the client.

        A request that is not complete is told that it never was taken.
        """
        slow_request = limit in server_limits.SLOW_REQUEST_LIMITS and not self.parser.is_idle
        if slow_request and not self.is_closing and not self.peer_half_closed:
            self._reject_never_taken(408, "too slow: nothing of this request was taken")
        elif limit == server_limits.IDLE:
            if not self.has_unread_input:  # else its next request has arrived, and is read in a moment
                finish(self)
        else:
            self.transport.abort()

    # -- state -------------------------------------------------------------------------------------------

    @property
    def response_backlogged(self) -> bool:
        """Whether responses wait to be read: no further request is begun before they are."""
        return self.write_paused and self.unsent_bytes > self.server.limits.max_unsent_bytes

    @property
    def response_pending(self) -> bool:
        """Whether the current request is complete and waits for its response."""
        return self.current_request is not None and self.request_complete

    @property
    def phase(self) -> ConnectionPhase:
        """What this connection is at."""
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
        if not self.parser.is_idle or not self.request_count:
            return connection_phase.READING_HEAD
        return connection_phase.IDLE

    @property
    def has_obligation(self) -> bool:
        """Whether something was taken from it, or is owed to it: a request that is not complete never was taken."""
        return self.phase in connection_phase.OBLIGED_PHASES

    @property
    def had_complete_request(self) -> bool:
        """Whether a request of it was complete once."""
        return self.request_count > 1 or (
            self.request_count == 1 and (self.current_request is None or self.request_complete)
        )
