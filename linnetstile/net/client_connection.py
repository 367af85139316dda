"""One connection of the client pool: one request at a time, with its response."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from ..codec import http1
from ..engine.attempt_outcome import WireResult
from .client_call import Address, Call, RequestBytes
from .connection import BufferedConnection
from .receive_buffer import HEAD_BUFFER

if TYPE_CHECKING:
    from .client_pool import ConnectionPool

# Time to receive the rest of a response whose call was finished at its status line; then the connection is closed.
RESPONSE_TAIL_TIMEOUT_S = 1.0


class ClientConnection(BufferedConnection):
    """A connection to a peer, in use by one call or idle in its pool."""

    def __init__(self, pool: ConnectionPool, address: Address) -> None:
        self.pool = pool
        self.address = address
        self.parser = http1.Parser(client=True, limits=pool.limits)
        self.call: Call | None = None
        self.head: http1.Response | None = None
        self.body_pieces: list[bytes] = []
        self.idle_since = 0.0  # loop time, s
        self.delayed_last_byte = b""  # the last byte of the request while it is delayed, otherwise empty
        self.call_started_at = pool.loop.time()  # loop time (s) at which the latest call was sent
        self.start_rate_meters(pool.rates.response_rate, pool.rates.request_rate, pool.rates.grace_s)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the pool's set of open connections. Called by asyncio."""
        super().connection_made(transport)
        self.pool.connections.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into. Called by asyncio."""
        return super().get_buffer(sizehint) if self.pool.keeps_bodies else HEAD_BUFFER

    @property
    def request_incomplete(self) -> bool:
        """Whether some bytes of the request have not been sent.

        A peer can't act on such a request: it is incomplete by RFC 9112, section 8, and the digest of an AS2 message
        covers the complete message.
        """
        return self.write_paused or self.queued_bytes > 0 or bool(self.delayed_last_byte)

    def abort_if_unsolicited_input(self) -> bool:
        """Close an idle connection whose peer has sent something, or has closed it.

        Otherwise the next request could be matched with surplus bytes of an earlier response, or be sent on a
        connection that the peer has closed.

        Returns:
            Whether it was closed.
        """
        if self.has_unread_input:
            self.transport.abort()
            return True
        return False

    def send(self, call: Call, method: str, data: RequestBytes) -> bool:
        """Send the request of a call.

        Returns:
            False if no byte was sent: the connection had ended before or at the first write, or `call.send_before` has
            passed.
        """
        if self.is_closing or self.pool.loop.time() > call.send_before:
            return False
        self.call, call.connection = call, self
        self.call_started_at = self.pool.loop.time()
        self.bytes_read = self.metered_read_bytes = 0
        self.read_meter.pause()
        self.parser.expect_response(method)
        if call.last_byte_delay_s > 0:
            self._write_all_but_last_byte(call, data)
        else:
            self.write(data) if isinstance(data, bytes) else self.write(*data)
        if self.transport.is_closing():  # the first write, into an empty buffer, failed as a whole
            self.call = call.connection = None
            return False
        if self.request_incomplete and call.send_before < math.inf:
            self.pool.loop.call_at(call.send_before, self._abort_if_partial, call)
        return True

    def _write_all_but_last_byte(self, call: Call, data: RequestBytes) -> None:
        joined = data if isinstance(data, bytes) else b"".join(data)
        self.delayed_last_byte = joined[-1:]
        self.write(joined[:-1])
        self.pool.loop.call_later(call.last_byte_delay_s, self._write_last_byte, call)

    def _write_last_byte(self, call: Call) -> None:
        if self.call is call and self.delayed_last_byte:
            delayed_last_byte, self.delayed_last_byte = self.delayed_last_byte, b""
            self.write(delayed_last_byte)

    def _abort_if_partial(self, call: Call) -> None:
        """Abort a call that is still incomplete at its `send_before`, so that the peer never receives all of it."""
        if self.call is call and self.request_incomplete:
            call.abort(WireResult.REQUEST_INCOMPLETE)

    def violated_rate(self, now_ms: float) -> str:
        """Update the rate meters; return the name of the minimum rate that the peer violates, or an empty string."""
        if self.call is None:
            return ""
        written = self.take_written_bytes()
        if self.request_incomplete:
            return "request_rate" if self.write_meter.tick(now_ms, written) else ""
        self.write_meter.pause()
        read = self.take_read_bytes()
        # Before the first byte of the response the peer processes the request, which only the caller's timeout limits.
        return "response_rate" if self.bytes_read and self.read_meter.tick(now_ms, read) else ""

    def received(self, data: memoryview) -> None:
        """Handle received bytes of a response."""
        self.bytes_read += len(data)
        if self.call is None:  # a connection with unsolicited bytes is not reused
            self.transport.abort()
            return
        try:
            events = self.parser.feed(data)
        except http1.Http1Error:
            events = []
        self._handle_events(events)
        call = self.call
        if call is None:
            return
        if self.pool.finish_at_status_line and call.on_done is not None and self.parser.first_line_status == 200:
            # The status is final whatever follows, and the peer's call slot is free. The rest of the response is read
            # only to find out whether the connection can be reused.
            call.finish(
                WireResult.ANSWERED, self.head, request_complete=not self.request_incomplete, first_line_status=200
            )
            call.timer = self.pool.loop.call_later(RESPONSE_TAIL_TIMEOUT_S, call.abort, WireResult.TIMED_OUT)
        if self.parser.error:
            call.abort(WireResult.MALFORMED)

    def _handle_events(self, events: list[http1.Event]) -> None:
        for event in events:
            if isinstance(event, http1.Response):
                self.head = event
            elif isinstance(event, http1.Data):
                if self.pool.keeps_bodies:
                    self.body_pieces.append(event.data)
            elif isinstance(event, http1.EndOfMessage):
                self._finish_response()

    def _finish_response(self) -> None:
        call, head, body = self.call, self.head, b"".join(self.body_pieces)
        self.call = self.head = None
        self.body_pieces.clear()
        assert call is not None
        assert head is not None
        call.connection = None
        request_incomplete = self.request_incomplete  # the response arrived before all of the request was sent
        response_was_clean = head.keep_alive and self.parser.is_idle and not self.parser.error
        if request_incomplete:
            self.transport.abort()
        elif response_was_clean and not self.is_closing:
            self.pool.keep_idle(self)
        else:
            self.transport.close()
        call.finish(WireResult.ANSWERED, head, body, request_complete=not request_incomplete)

    def eof_received(self) -> None:
        """Complete a response without a length, which ends with its connection. Called by asyncio."""
        if self.call is not None and not self.parser.error:
            try:
                self._handle_events(self.parser.eof())
            except http1.Http1Error:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool, and end the call in flight. Called by asyncio."""
        request_incomplete = self.request_incomplete
        super().connection_lost(exc)
        self.pool.remove(self)
        first_line_status = self.parser.first_line_status
        self.parser.drop_input()  # others may still refer to the connection, and need none of this
        self.body_pieces.clear()
        call, self.call = self.call, None
        if call is not None:
            call.connection = None
            result = WireResult.REQUEST_INCOMPLETE if request_incomplete else WireResult.CONNECTION_LOST
            call.finish(result, first_line_status=first_line_status)
