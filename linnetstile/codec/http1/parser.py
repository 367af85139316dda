"""The incremental HTTP/1.1 parser: a state machine that turns the bytes of one connection into events.

Each state is a method of `Parser` that consumes from the input buffer, appends events and returns whether another step
is possible:

    head -> fixed body -> head
    head -> chunk size -> chunk data -> chunk size -> ... -> trailers -> head
    head -> body until close (responses only; ended by the end of the stream)
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

from ..headers import Headers
from .errors import Http1Error
from .head_parser import (
    CHUNKED,
    body_length,
    body_too_long,
    is_bodiless,
    line_too_long,
    parse_fields,
    parse_request_head,
    parse_response_head,
)
from .input_buffer import InputBuffer
from .limits import Limits
from .messages import Data, EndOfMessage, Event

FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([2-5]\d\d)(?:[ \r]|\Z)")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?\Z")  # RFC 9112, 7.1

STATUS_LINE_PREFIX_BYTES = 32  # more than `FINAL_STATUS_LINE` needs
UNLIMITED_EVENTS = 1 << 30
CARRIAGE_RETURN = 13
LOWEST_FINAL_STATUS = 200  # lower ones belong to interim responses, which are skipped (RFC 9110, 15.2)

_State = Callable[["Parser", list[Event]], bool]


class Parser:
    """Reads the messages of one connection: `feed` it bytes, call `eof` once the peer has closed.

    A client parser needs `expect_response` before each response: whether a body follows depends on the method.

    Attributes:
        client: Whether responses are read; requests otherwise.
        limits: Limits on the messages of the peer.
        awaited_methods: Methods of the requests whose responses are awaited, in order.
        error: The error that stopped the parser; None before an error.
    """

    def __init__(self, client: bool = False, limits: Limits | None = None) -> None:
        self.client = client
        self.limits = limits or Limits()
        self.awaited_methods: list[str] = []
        self.error: Http1Error | None = None
        self._status_line_prefix = b""  # start of the status line of the latest final response
        self._input = InputBuffer()
        # A function of the class, not a bound method: a parser that refers to itself stays until a garbage collection.
        self._state: _State = Parser._read_head
        self._remaining_bytes = 0  # bytes of the body or chunk that are not received yet
        self._total_body_bytes = 0  # counted if the body's length is not known beforehand
        self._skipped_empty_line = False

    def expect_response(self, method: str) -> None:
        """Announce the response to a request that was sent with this method."""
        self.awaited_methods.append(method)

    @property
    def is_idle(self) -> bool:
        """Whether the stream is between two messages, with no byte of the next."""
        return self._state is Parser._read_head and not self._input.data

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes buffered that have not become an event yet."""
        return len(self._input.data)

    @property
    def has_partial_input(self) -> bool:
        """Whether a head, a chunk or a chunk size has been received only in part."""
        return bool(self._input.data) or self._state is Parser._read_chunk_data

    @property
    def first_line_status(self) -> int:
        """The final status in the first line of a response that is incomplete or malformed; 0 = none received yet.

        It is meant for peers whose status is valid regardless of what follows the first line.
        """
        match = FINAL_STATUS_LINE.match(self._status_line_prefix or self._incomplete_status_line())
        return int(match[1]) if match else 0

    def _incomplete_status_line(self) -> bytes:
        """Return the start of the next response if its head is incomplete; empty otherwise."""
        if self.client and self._state is Parser._read_head:
            return bytes(self._input.data[:STATUS_LINE_PREFIX_BYTES])
        return b""

    def drop_input(self) -> None:
        """Drop the buffered bytes: no further message will be read from this stream."""
        self._input.data.clear()

    def feed(self, data: bytes | memoryview, max_events: int = UNLIMITED_EVENTS) -> list[Event]:
        """Return the events that these bytes complete.

        Args:
            data: The next bytes of the stream.
            max_events: Approximate number of events after which to stop, which bounds the time spent on one peer;
                `feed(b"")` continues.

        Raises:
            Http1Error: The bytes are invalid. Events before the error are returned first, and every later call raises
                the error again.
        """
        if self.error:
            raise self.error.copy()
        self._input.data += data
        events: list[Event] = []
        try:
            while len(events) < max_events and self._state(self, events):
                pass
        except Http1Error as error:
            self.error = error.copy()  # the traceback refers to all that was parsed
            self._status_line_prefix = self._status_line_prefix or self._incomplete_status_line()
            self._input.data.clear()
            if not events:
                raise
        return events

    def eof(self) -> list[Event]:
        """Return the events that the end of the stream completes.

        Raises:
            Http1Error: The stream ended inside a message, or there was an earlier error.
        """
        if self.error:
            raise self.error.copy()
        if self._state is Parser._read_until_close:
            self._state = Parser._read_head
            return [EndOfMessage()]
        if not self.is_idle:
            raise Http1Error(
                400, "the connection ended inside a message", expected="the rest of the message", found="end of stream"
            )
        return []

    # -- the head of a message -------------------------------------------------------------------------------

    def _read_head(self, events: list[Event]) -> bool:
        data = self._input.data
        if data.startswith(b"\r") and not self.client and not self._skipped_empty_line:
            if data == b"\r":
                return False
            self._skip_empty_line()
        if not data:
            return False
        lines = self._input.take_block(self.limits.max_head_bytes)
        if lines is None:
            return False
        self._skipped_empty_line = False
        self._total_body_bytes = 0
        first_line, field_lines = lines[0], lines[1:]
        if len(first_line) > self.limits.max_line_bytes:
            raise line_too_long("first", len(first_line), self.limits)
        if self.client:
            self._status_line_prefix = first_line[:STATUS_LINE_PREFIX_BYTES]
            return self._read_response(first_line.decode("latin-1"), field_lines, events)
        self._status_line_prefix = b""
        return self._read_request(first_line.decode("latin-1"), field_lines, events)

    def _skip_empty_line(self) -> None:
        """Drop the one empty line that is allowed before a request (RFC 9112, 2.2), if there is one."""
        if self._input.data.startswith(b"\r\n"):
            self._input.discard(2)
            self._skipped_empty_line = True

    def _read_request(self, first_line: str, field_lines: list[bytes], events: list[Event]) -> bool:
        request = parse_request_head(first_line, field_lines, self.limits)
        length = body_length(request.version, request.headers, self.limits)
        events.append(request)
        return self._begin_body(length or 0)

    def _read_response(self, first_line: str, field_lines: list[bytes], events: list[Event]) -> bool:
        response = parse_response_head(first_line, field_lines, self.limits)
        if not self.awaited_methods:
            raise Http1Error(400, "a response without a request", expected="a request first", found=first_line)
        if response.status < LOWEST_FINAL_STATUS:
            self._status_line_prefix = b""
            return True
        method = self.awaited_methods.pop(0)
        length = body_length(response.version, response.headers, self.limits)
        if is_bodiless(method, response.status):
            length = 0
        if length is None:
            events.append(dataclasses.replace(response, keep_alive=False))
            self._state = Parser._read_until_close
            return True
        events.append(response)
        return self._begin_body(length)

    # -- the body of a message -------------------------------------------------------------------------------

    def _begin_body(self, length: int) -> bool:
        """Start to read a body of `length` bytes, or a chunked one if `length` is `CHUNKED`."""
        self._remaining_bytes = length
        self._state = Parser._read_chunk_size if length == CHUNKED else Parser._read_fixed_body
        return True

    def _take_data(self, events: list[Event]) -> None:
        """Move the buffered bytes of the body or chunk into an event."""
        if not self._remaining_bytes or not self._input.data:
            return
        data = self._input.take_up_to(self._remaining_bytes)
        events.append(Data(data))
        self._remaining_bytes -= len(data)

    def _count_body_bytes(self, size: int) -> None:
        """Count bytes of a body whose length is not known beforehand against the limit."""
        self._total_body_bytes += size
        if self._total_body_bytes > self.limits.max_body_bytes:
            raise body_too_long(self._total_body_bytes, self.limits)

    def _end_message(self, events: list[Event], trailers: Headers) -> bool:
        events.append(EndOfMessage(trailers))
        self._status_line_prefix = b""
        self._state = Parser._read_head
        return True

    def _read_fixed_body(self, events: list[Event]) -> bool:
        self._take_data(events)
        return self._remaining_bytes == 0 and self._end_message(events, Headers())

    def _read_until_close(self, events: list[Event]) -> bool:
        self._remaining_bytes = len(self._input.data)
        self._count_body_bytes(self._remaining_bytes)
        self._take_data(events)
        return False

    def _read_chunk_size(self, events: list[Event]) -> bool:
        data = self._input.data
        limit = self.limits.max_chunk_line_bytes
        end = data.find(b"\n", 0, limit)
        if end < 0:
            if len(data) >= limit:
                raise Http1Error(400, f"a chunk line of more than {limit} bytes", expected=f"<= {limit} bytes")
            return False
        ends_in_crlf = end > 0 and data[end - 1] == CARRIAGE_RETURN
        match = CHUNK_SIZE_LINE.match(data[: end - 1]) if ends_in_crlf else None
        if not match:
            raise Http1Error(
                400,
                "a chunk size that is not a hexadecimal number",
                expected="a hexadecimal number and CRLF",
                found=repr(bytes(data[: end + 1])),
            )
        size = int(match[1], 16)
        self._input.discard(end + 1)
        self._remaining_bytes = size
        self._count_body_bytes(size)
        self._state = Parser._read_chunk_data if size else Parser._read_trailers
        return True

    def _read_chunk_data(self, events: list[Event]) -> bool:
        self._take_data(events)
        data = self._input.data
        if self._remaining_bytes or not data:
            return False
        if data == b"\r":
            return False
        if not data.startswith(b"\r\n"):
            found = repr(bytes(data[:2]))
            raise Http1Error(400, "a chunk that does not end where its size says", expected="CRLF", found=found)
        self._input.discard(2)
        self._state = Parser._read_chunk_size
        return True

    def _read_trailers(self, events: list[Event]) -> bool:
        data = self._input.data
        if data.startswith(b"\r\n"):
            self._input.discard(2)
            return self._end_message(events, Headers())
        if data == b"\r":
            return False
        lines = self._input.take_block(self.limits.max_head_bytes)
        return lines is not None and self._end_message(events, parse_fields(lines, self.limits))
