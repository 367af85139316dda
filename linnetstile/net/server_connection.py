"""One connection of the server: reads requests one at a time and passes them to the server's callbacks.

The modules: `request_connection.py` has its state and writes responses, `request_input.py` parses received bytes,
`request_body.py` collects a body, and `request_rejection.py` rejects requests.
"""

from __future__ import annotations

import asyncio

from ..codec import http1
from .request_connection import SMALL_BODY_BYTES, RequestConnection, RequestContext
from .request_rejection import reject_malformed

# Requests that a connection starts in one pass, so that a peer that pipelines many can't delay other connections.
REQUESTS_PER_PASS = 1
# Events that a connection handles in one pass, so that neither can a body in very many small chunks.
EVENTS_PER_PASS = 64
NO_RESPONSE_STATUS = 0  # status of an error that can't be reported in a response
BODY_STEP_BYTES = 64 * 1024  # capacity requested at once for a body of unknown length


class ServerConnection(RequestConnection):
    """A connection with a client: HTTP/1.1 with keep-alive and pipelining, one request at a time."""

    # -- life cycle --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or close it if the server is full. Called by asyncio."""
        super().connection_made(transport)
        self.run_or_abort("a new connection", self._register)

    def _register(self) -> None:
        self.host = self.peer_host()
        if not self.server.admit_connection(self):
            self.server.count("refused_connections")
            self.transport.abort()  # limits the use of file descriptors and memory
            return
        self.server.register(self)

    def handshake_ended(self, failure: str | None) -> None:
        """Report the TLS handshake if it failed."""
        if failure is not None:
            self.server.count("handshakes_failed")
            error = http1.Http1Error(
                NO_RESPONSE_STATUS, f"no TLS handshake: {failure}", expected="a TLS handshake", found=failure
            )
            self.server.on_error(self.peer_address(), error)

    def eof_received(self) -> bool:
        """Return whether to keep the connection open, which is done only for a response. Called by asyncio.

        A client may close its sending half and still read the response; an incomplete request is lost.
        """
        self.peer_half_closed = True
        request = self.current_request
        if self.response_pending and request is not None and request.on_disconnect:
            request.on_disconnect()
        writing_response = self.unsent_bytes > 0 and self.linger_started_at is None
        return self.response_pending or writing_response

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection, and notify the owner of its request. Called by asyncio."""
        super().connection_lost(exc)
        self.server.unregister(self)
        self.drop_input()  # others may still refer to the connection, and need none of this
        self.release_incomplete()
        request, self.current_request = self.current_request, None  # they refer to each other
        was_pending = self.request_complete and request is not None
        if request is None or request.answered or not request.on_disconnect:
            return
        notified_at_half_close = self.peer_half_closed and was_pending
        if not notified_at_half_close:
            request.on_disconnect()

    # -- reading requests --------------------------------------------------------------------------------

    def received(self, data: memoryview) -> None:
        """Handle received bytes of requests."""
        self.bytes_read += len(data)
        if self.input.parser.is_idle:
            self.phase_started_at = self.server.loop.time()
        if self.finished:
            self.discard_input(len(data))
            return
        self.input.feed(data)
        if self.processing_scheduled:  # handled there: a connection has its turn once a pass
            self._apply_back_pressure()
            self.server.account_input(self)
        else:
            self._process_events()

    def _process_events(self) -> None:
        """Handle received events until the current request has to wait."""
        self.processing_scheduled = False
        if self.is_closing:  # scheduled before the connection ended; capacity granted now would never be released
            return
        requests_begun = 0
        events_handled = 0
        while self._can_process and (event := self.input.take_event()):
            if events_handled >= EVENTS_PER_PASS:
                self.input.put_back(event)
                self.schedule_processing()
                break
            events_handled += 1
            if isinstance(event, http1.Data):
                self._add_body_data(event.data)
            elif isinstance(event, http1.EndOfMessage):
                self._end_request()
            elif isinstance(event, http1.Request):
                if requests_begun >= REQUESTS_PER_PASS:
                    self.input.put_back(event)
                    self.schedule_processing()
                    break
                requests_begun += 1
                self._begin_request(event)
        error = self.input.parser.error
        if error and not self.input.event_count and not self.finished and not self.response_pending:
            reject_malformed(self, error)
        self._apply_back_pressure()
        self.server.account_input(self)

    @property
    def _can_process(self) -> bool:
        """Whether the next event may be handled now."""
        # `response_pending` and `response_backlogged` are inlined because this is evaluated for each event.
        return not (
            self.finished
            or self.waiting_for_capacity
            or self.request_complete
            or (self.write_paused and self.response_backlogged)
        )

    def schedule_processing(self) -> None:
        """Schedule the handling of received input for the next pass of the event loop."""
        if not self.processing_scheduled:
            self.processing_scheduled = True
            self.server.loop.call_soon(self._process_scheduled)

    def _process_scheduled(self) -> None:
        """Handle received events; the connection is aborted if that raises an unexpected exception.

        The event loop does the same for an exception in `received`.
        """
        if self._has_left_requests_behind:
            self.transport.abort()
        self.run_or_abort("a request", self._process_events)

    @property
    def _has_left_requests_behind(self) -> bool:
        """Whether the next request was sent ahead by a client that has closed: nobody waits for its response."""
        waits_behind_another = bool(self.request_count) and self.current_request is None and not self.input.is_exhausted
        return waits_behind_another and not self.is_closing and self.has_peer_closed

    def _apply_back_pressure(self) -> None:
        """Pause or resume reading, so that input behind a waiting request stays in the kernel."""
        if self.finished:
            return
        pause = (
            self.waiting_for_capacity
            or (self.write_paused and self.response_backlogged)
            or self.input.waiting_events > self.server.limits.max_pipelined_events
        )
        if pause != self.reading_paused and not self.is_closing:
            self.reading_paused = pause
            self.transport.pause_reading() if pause else self.transport.resume_reading()

    def resume_writing(self) -> None:
        """Write what is queued, and continue with the next requests. Called by asyncio."""
        super().resume_writing()
        if self.input.event_count or self.reading_paused:
            self.schedule_processing()

    def _begin_request(self, head: http1.Request) -> None:
        self.current_request = request = RequestContext(self, head, self.phase_started_at)
        self.request_count += 1
        self.body.reset()
        self.read_meter.pause()
        self.server.on_head(request)
        if request.answered:
            return
        needed_bytes = _next_grant_bytes(request)
        if needed_bytes and not self.server.admit(request, needed_bytes):
            self.waiting_for_capacity = not request.answered
            return
        request.granted_bytes = needed_bytes
        self._start_body(request)

    def _start_body(self, request: RequestContext) -> None:
        """Select the receive buffer for the body, and send `100 Continue` to a client that waits for it."""
        self.uses_large_buffer = request.content_length is None or request.content_length > SMALL_BODY_BYTES
        if request.head.expects_continue:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def resume_body(self, request: RequestContext) -> None:
        """Continue reading the body, because there is capacity for it or for its next step now."""
        if request is not self.current_request or request.answered or self.is_closing:
            return
        self.waiting_for_capacity = False
        if not request.granted_bytes:
            self._start_body(request)
        request.granted_bytes += _next_grant_bytes(request)
        self._process_events()

    def _add_body_data(self, data: bytes) -> None:
        request = self.current_request
        if self.skipping_body or request is None:
            return
        self.body.add(data)
        if request.on_body_data is not None:
            request.on_body_data(data)
        if request.content_length is None:
            self._request_capacity(request)

    def _request_capacity(self, request: RequestContext) -> None:
        """Request capacity, step by step, for the received bytes of a body of unknown length."""
        while self.body.size > request.granted_bytes and not request.answered:
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
        request.body = self.body.take()
        self.server.handler(request)


def _next_grant_bytes(request: RequestContext) -> int:
    """Return the body bytes to request capacity for next: the whole body, or one step if its length is unknown."""
    return request.content_length if request.content_length is not None else BODY_STEP_BYTES
