"""HTTP/1.1 messages (RFC 9110, RFC 9112) as a state machine: bytes in, events out, the same for any split.

What is ambiguous is rejected and not repaired, since two readings of one message are how requests are smuggled
(RFC 9112, 11.2). Every error is an `Http1Error` with the status to answer; the connection then closes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Union

from .. import errors
from .headers import FORBIDDEN_IN_VALUE, KNOWN_FIELD_NAMES, TOKEN, is_field_name
from .headers import Headers as Headers

REQUEST_TARGET = re.compile(r"[\x21-\x7e]+\Z")
HTTP_VERSION = re.compile(r"HTTP/\d\.\d")
SUPPORTED_VERSIONS = ("HTTP/1.0", "HTTP/1.1")
STATUS_CODE = re.compile(r"[1-5]\d\d")
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
BARE_LF = re.compile(rb"(?<!\r)\n")
FINAL_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([2-5]\d\d)(?:[ \r]|\Z)")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?\Z")  # RFC 9112, 7.1

CHUNKED = -1  # body length of a message in chunks
STATUS_LINE_PREFIX_BYTES = 32  # more than `FINAL_STATUS_LINE` needs
UNLIMITED_EVENTS = 1 << 30
CARRIAGE_RETURN = 13

REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    204: "No Content",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    417: "Expectation Failed",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
UNKNOWN_REASON_PHRASE = "Status"


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


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what a peer may send.

    Attributes:
        max_line_bytes: Bytes of the first line, and of one header line.
        max_head_bytes: Bytes of the first line and all header lines; of all trailer lines as well.
        max_fields: Number of header fields.
        max_body_bytes: Bytes of a body.
        max_chunk_line_bytes: Bytes of the line that begins a chunk.
    """

    max_line_bytes: int = 16_384
    max_head_bytes: int = 65_536
    max_fields: int = 128
    max_body_bytes: int = 64 * 1024 * 1024
    max_chunk_line_bytes: int = 256


@dataclass(frozen=True, slots=True)
class Request:
    """The head of a request.

    Attributes:
        method: The method as it came.
        target: The request target as it came.
        version: Major and minor version of HTTP.
        headers: The header fields.
        keep_alive: Whether the connection persists after this message (RFC 9112, 9.3).
        expects_continue: Whether the client waits for `100 Continue` before it sends the body.
    """

    method: str
    target: str
    version: tuple[int, int]
    headers: Headers
    keep_alive: bool = True
    expects_continue: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    """The head of a final response; interim responses (1xx) are skipped.

    Attributes:
        status: The status code.
        reason: The reason phrase; may be empty.
        version: Major and minor version of HTTP.
        headers: The header fields.
        keep_alive: Whether the connection persists after this message (RFC 9112, 9.3).
    """

    status: int
    reason: str
    version: tuple[int, int]
    headers: Headers
    keep_alive: bool = True


@dataclass(frozen=True, slots=True)
class Data:
    """A piece of the body, without the framing of its chunks."""

    data: bytes


@dataclass(frozen=True, slots=True)
class EndOfMessage:
    """The message is complete; trailers are reported here and never merged into the headers (RFC 9110, 6.5.1)."""

    trailers: Headers = field(default_factory=Headers)


Event = Union[Request, Response, Data, EndOfMessage]


def _parse_fields(lines: list[bytes], limits: Limits) -> Headers:
    if len(lines) > limits.max_fields:
        raise Http1Error(
            431,
            f"more than {limits.max_fields} header fields",
            expected=f"<= {limits.max_fields}",
            found=str(len(lines)),
        )
    fields: list[tuple[str, str]] = []
    for line in lines:
        if len(line) > limits.max_line_bytes:
            raise Http1Error(431, f"a header line of more than {limits.max_line_bytes} bytes", found=str(len(line)))
        name, colon, value = line.decode("latin-1").partition(":")
        if name[:1] in (" ", "\t"):
            raise Http1Error(400, "a folded header line")
        if not colon or name not in KNOWN_FIELD_NAMES and not is_field_name(name):
            raise Http1Error(400, "a header line without a proper name before its colon", found=name)
        value = value.strip(" \t")
        if not value.isprintable() and FORBIDDEN_IN_VALUE.search(value):  # the first is quick, the second exact
            raise Http1Error(400, f"a control character in the value of {name}", field=name, found=value)
        fields.append((name, value))
    return Headers(fields)


def _parse_version(text: str) -> tuple[int, int]:
    if not HTTP_VERSION.fullmatch(text):
        raise Http1Error(400, "no HTTP version in the first line", expected="HTTP/1.1", found=text)
    if text not in SUPPORTED_VERSIONS:
        raise Http1Error(505, f"{text} is not spoken here", expected=" or ".join(SUPPORTED_VERSIONS), found=text)
    return 1, int(text[-1])


def _persists(version: tuple[int, int], headers: Headers) -> bool:
    options = headers.tokens("connection")  # RFC 9112, 9.3
    return "close" not in options and (version == (1, 1) or "keep-alive" in options)


def _is_bodiless(method: str, status: int) -> bool:
    return method == "HEAD" or status in (204, 304)


class Parser:
    """Reads the messages of one connection: `feed` it bytes, call `eof` once the peer has closed.

    A client parser must be told of each request with `expect_response`, as the method says whether a body follows.
    Each state is a method that consumes from the buffer, appends events and returns whether another step may be made.

    Attributes:
        client: Whether responses are read; requests otherwise.
        limits: Bounds on what the peer may send.
        awaited_methods: Methods of the requests whose responses are still to come, in order.
        error: The fault that ended the reading; None while there is none.
    """

    def __init__(self, client: bool = False, limits: Limits | None = None) -> None:
        self.client = client
        self.limits = limits or Limits()
        self.awaited_methods: list[str] = []
        self.error: Http1Error | None = None
        self._status_line_prefix = b""  # of the latest final response that was begun
        self._buffer = bytearray()
        self._state = self._read_head
        self._scanned_bytes = 0  # of the buffer, in which no end of a block was found
        self._remaining_bytes = 0  # of the body or the chunk
        self._total_body_bytes = 0
        self._skipped_empty_line = False

    def expect_response(self, method: str) -> None:
        """Announce the response to a request that was sent with this method."""
        self.awaited_methods.append(method)

    @property
    def is_idle(self) -> bool:
        """Whether the stream stands between two messages, with no byte of the next."""
        return self._state == self._read_head and not self._buffer

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes held that have not become an event yet."""
        return len(self._buffer)

    @property
    def has_partial_input(self) -> bool:
        """Whether some of a head, a chunk or its size has come, and not all of it."""
        return bool(self._buffer) or self._state == self._read_chunk_data

    def _incomplete_status_line(self) -> bytes:
        """Return what the next response begins with, where its head is not complete."""
        if self.client and self._state == self._read_head:
            return bytes(self._buffer[:STATUS_LINE_PREFIX_BYTES])
        return b""

    @property
    def early_status(self) -> int:
        """The status in the first line of a response whose rest has not come or can't be read; 0 = none so far.

        Only for peers that mean that line whatever follows it.
        """
        match = FINAL_STATUS_LINE.match(self._status_line_prefix or self._incomplete_status_line())
        return int(match[1]) if match else 0

    def feed(self, data: bytes | memoryview, max_events: int = UNLIMITED_EVENTS) -> list[Event]:
        """Return the events that these bytes complete.

        Args:
            data: The next bytes of the stream.
            max_events: Number of events after which about to stop, which bounds the time that one peer's bytes take;
                `feed(b"")` goes on.

        Raises:
            Http1Error: For good from the first fault on; events before the fault are returned first.
        """
        if self.error:
            raise self.error
        self._buffer += data
        events: list[Event] = []
        try:
            while len(events) < max_events and self._state(events):
                pass
        except Http1Error as error:
            self.error = error
            self._status_line_prefix = self._status_line_prefix or self._incomplete_status_line()
            self._buffer.clear()
            if not events:
                raise
        return events

    def eof(self) -> list[Event]:
        """Return what the end of the stream completes.

        Raises:
            Http1Error: The stream ended inside a message, or an earlier fault.
        """
        if self.error:
            raise self.error
        if self._state == self._read_until_close:
            self._state = self._read_head
            return [EndOfMessage()]
        if not self.is_idle:
            raise Http1Error(400, "the connection ended inside a message")
        return []

    # -- the head of a message -------------------------------------------------------------------------------

    def _take_block(self, limit: int) -> list[bytes] | None:
        """Remove the lines up to the next empty line from the buffer; None while that has not come."""
        buffer = self._buffer
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned_bytes - 3))
        if self._has_bare_line_feed(end, limit):
            raise Http1Error(400, "a line feed without a carriage return")
        self._scanned_bytes = len(buffer)
        if (end < 0 and len(buffer) >= limit) or end + 4 > limit:
            raise Http1Error(431, f"a head of more than {limit} bytes", expected=f"<= {limit} bytes")
        if end < 0:
            return None
        block = bytes(buffer[:end])
        del buffer[: end + 4]
        self._scanned_bytes = 0
        lines = block.split(b"\r\n")
        if block.count(b"\r") != len(lines) - 1:
            raise Http1Error(400, "a carriage return without a line feed")
        return lines

    def _has_bare_line_feed(self, end: int, limit: int) -> bool:
        """Tell whether a line feed stands alone before `end`, or in all that came where `end` is negative."""
        buffer = self._buffer
        if end >= 0:
            stop = min(limit, end + 4)
            return buffer.count(b"\n", 0, stop) != buffer.count(b"\r\n", 0, stop)
        stop = min(limit, len(buffer))
        if not BARE_LF.search(buffer, max(0, self._scanned_bytes - 1), stop):
            return False
        # A search from the middle does not see the carriage return just before it: this one decides.
        return BARE_LF.search(buffer, 0, stop) is not None

    def _read_head(self, events: list[Event]) -> bool:
        if not self.client and not self._skipped_empty_line and self._buffer[:1] == b"\r":
            if len(self._buffer) < 2:
                return False
            if self._buffer[:2] == b"\r\n":  # one empty line before a request is allowed (RFC 9112, 2.2)
                del self._buffer[:2]
                self._skipped_empty_line = True
                self._scanned_bytes = 0
        if not self._buffer:
            return False
        lines = self._take_block(self.limits.max_head_bytes)
        if lines is None:
            return False
        self._skipped_empty_line = False
        self._total_body_bytes = 0
        if len(lines[0]) > self.limits.max_line_bytes:
            raise Http1Error(
                431, f"a first line of more than {self.limits.max_line_bytes} bytes", found=str(len(lines[0]))
            )
        first_line = lines[0].decode("latin-1")
        if self.client:
            self._status_line_prefix = lines[0][:STATUS_LINE_PREFIX_BYTES]
            return self._read_response(first_line, lines, events)
        self._status_line_prefix = b""
        return self._read_request(first_line, lines, events)

    def _read_request(self, first_line: str, lines: list[bytes], events: list[Event]) -> bool:
        parts = first_line.split(" ")
        if len(parts) != 3 or not TOKEN.match(parts[0]) or not REQUEST_TARGET.match(parts[1]):
            raise Http1Error(400, "a request line that is not METHOD TARGET VERSION", found=first_line)
        method, target, version_text = parts
        version = _parse_version(version_text)
        headers = _parse_fields(lines[1:], self.limits)
        hosts = headers.get_all("host")
        if len(hosts) != 1 and (version == (1, 1) or hosts):  # RFC 9112, 3.2
            raise Http1Error(400, "not one Host field", field="Host", expected="1 field", found=str(len(hosts)))
        expectations = headers.tokens("expect")
        if expectations and expectations != ["100-continue"]:
            raise Http1Error(
                417,
                "an expectation other than 100-continue",
                field="Expect",
                expected="100-continue",
                found=", ".join(expectations),
            )
        length = self._body_length(version, headers)
        events.append(
            Request(
                method=method,
                target=target,
                version=version,
                headers=headers,
                keep_alive=_persists(version, headers),
                expects_continue=bool(expectations) and version == (1, 1),
            )
        )
        return self._begin_body(length if length is not None else 0)

    def _read_response(self, first_line: str, lines: list[bytes], events: list[Event]) -> bool:
        parts = first_line.split(" ", 2)
        if len(parts) < 2 or not STATUS_CODE.fullmatch(parts[1]):
            raise Http1Error(400, "a status line that is not VERSION STATUS REASON", found=first_line)
        status = int(parts[1])
        reason = parts[2] if len(parts) > 2 else ""
        version = _parse_version(parts[0])
        headers = _parse_fields(lines[1:], self.limits)
        if FORBIDDEN_IN_VALUE.search(reason):
            raise Http1Error(400, "a control character in the reason", found=reason)
        if not self.awaited_methods:
            raise Http1Error(400, "a response that nobody asked for", found=first_line)
        if 100 <= status < 200:
            self._status_line_prefix = b""
            return True  # interim: the final one follows (RFC 9110, 15.2); an upgrade was never asked for
        method = self.awaited_methods.pop(0)
        length = self._body_length(version, headers)
        bodiless = _is_bodiless(method, status)
        keep_alive = _persists(version, headers) and (bodiless or length is not None)
        events.append(Response(status, reason, version, headers, keep_alive))
        if bodiless:
            return self._begin_body(0)
        if length is None:
            self._state = self._read_until_close
            return True
        return self._begin_body(length)

    def _body_length(self, version: tuple[int, int], headers: Headers) -> int | None:
        """Return the length of the body in bytes, `CHUNKED`, or None if nothing says it (RFC 9112, 6.3)."""
        lengths = headers.get_all("content-length")
        if "transfer-encoding" in headers:
            if lengths:
                raise Http1Error(400, "both Content-Length and Transfer-Encoding", field="Content-Length")
            if version == (1, 0):
                raise Http1Error(400, "Transfer-Encoding in HTTP/1.0", field="Transfer-Encoding")
            codings = headers.tokens("transfer-encoding")
            if codings != ["chunked"]:
                raise Http1Error(
                    501,
                    "a transfer coding other than chunked",
                    field="Transfer-Encoding",
                    expected="chunked",
                    found=", ".join(codings),
                )
            return CHUNKED
        if not lengths:
            return None
        if len(lengths) > 1 or not CONTENT_LENGTH.fullmatch(lengths[0]):
            raise Http1Error(400, "not one plain Content-Length", field="Content-Length", found=", ".join(lengths))
        length = int(lengths[0])
        if length > self.limits.max_body_bytes:
            raise self._body_too_large(length)
        return length

    # -- the body of a message -------------------------------------------------------------------------------

    def _body_too_large(self, length: int) -> Http1Error:
        limit = self.limits.max_body_bytes
        return Http1Error(
            413, f"a body of more than {limit} bytes", expected=f"<= {limit} bytes", found=f"{length} bytes"
        )

    def _begin_body(self, length: int) -> bool:
        self._remaining_bytes = length
        self._state = self._read_chunk_size if length == CHUNKED else self._read_fixed_body
        return True

    def _take_data(self, events: list[Event]) -> None:
        """Move what the buffer has of the body or chunk into an event."""
        size = min(self._remaining_bytes, len(self._buffer))
        if not size:
            return
        if size == len(self._buffer):
            events.append(Data(bytes(self._buffer)))
            self._buffer.clear()
        else:
            with memoryview(self._buffer) as view:
                events.append(Data(bytes(view[:size])))
            del self._buffer[:size]
        self._remaining_bytes -= size

    def _end_message(self, events: list[Event], trailers: Headers) -> bool:
        events.append(EndOfMessage(trailers))
        self._status_line_prefix = b""
        self._state = self._read_head
        self._scanned_bytes = 0
        return True

    def _read_fixed_body(self, events: list[Event]) -> bool:
        self._take_data(events)
        return self._remaining_bytes == 0 and self._end_message(events, Headers())

    def _read_until_close(self, events: list[Event]) -> bool:
        self._total_body_bytes += len(self._buffer)
        if self._total_body_bytes > self.limits.max_body_bytes:
            raise self._body_too_large(self._total_body_bytes)
        self._remaining_bytes = len(self._buffer)
        self._take_data(events)
        return False

    def _read_chunk_size(self, events: list[Event]) -> bool:
        limit = self.limits.max_chunk_line_bytes
        end = self._buffer.find(b"\n", 0, limit)
        if end < 0:
            if len(self._buffer) >= limit:
                raise Http1Error(400, f"a chunk line of more than {limit} bytes", expected=f"<= {limit} bytes")
            return False
        ends_in_crlf = end > 0 and self._buffer[end - 1] == CARRIAGE_RETURN
        match = CHUNK_SIZE_LINE.match(self._buffer[: end - 1]) if ends_in_crlf else None
        if not match:
            raise Http1Error(400, "a chunk size that is not a hexadecimal number")
        del self._buffer[: end + 1]
        self._remaining_bytes = int(match[1], 16)
        self._total_body_bytes += self._remaining_bytes
        if self._total_body_bytes > self.limits.max_body_bytes:
            raise self._body_too_large(self._total_body_bytes)
        self._state = self._read_chunk_data if self._remaining_bytes else self._read_trailers
        return True

    def _read_chunk_data(self, events: list[Event]) -> bool:
        self._take_data(events)
        if self._remaining_bytes or not self._buffer:
            return False
        if self._buffer[:2] != b"\r\n"[: len(self._buffer)]:
            raise Http1Error(400, "a chunk that does not end where its size says")
        if len(self._buffer) < 2:
            return False
        del self._buffer[:2]
        self._state = self._read_chunk_size
        return True

    def _read_trailers(self, events: list[Event]) -> bool:
        if self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
            return self._end_message(events, Headers())
        if self._buffer == b"\r":
            return False
        lines = self._take_block(self.limits.max_head_bytes)
        return lines is not None and self._end_message(events, _parse_fields(lines, self.limits))


def _encode_head(first_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    lines = [first_line]
    for name, value in headers:
        invalid_name = name not in KNOWN_FIELD_NAMES and not is_field_name(name)
        if invalid_name or not value.isprintable() and FORBIDDEN_IN_VALUE.search(value):
            # Guards against a message of our own that a value from elsewhere would split in two.
            raise UnsendableMessageError(f"header field {name!r} can't be sent", field=name, found=value)
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_request_parts(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> tuple[bytes, bytes]:
    """Encode a request with its Content-Length.

    Args:
        method: A token.
        target: The request target, in visible ASCII.
        headers: The header fields, without a Content-Length.
        body: The body; returned as it is.

    Returns:
        Head and body.

    Raises:
        UnsendableMessageError: The method, target or a header field would not be valid.
    """
    if not TOKEN.match(method) or not REQUEST_TARGET.match(target):
        raise UnsendableMessageError(f"{method!r} {target!r} can't be sent")
    fields = [*headers, ("Content-Length", str(len(body)))]
    return _encode_head(f"{method} {target} HTTP/1.1", fields), body


def encode_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a request as `encode_request_parts` does, in one piece."""
    return b"".join(encode_request_parts(method, target, headers, body))


def encode_response_parts(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False
) -> tuple[bytes, bytes]:
    """Encode a response with its Content-Length.

    Args:
        status: The status code.
        headers: The header fields, without a Content-Length.
        body: The body; returned as it is.
        head_only: Whether this answers HEAD: the body is counted and left out (RFC 9110, 9.3.2).

    Returns:
        Head and body.

    Raises:
        UnsendableMessageError: A header field would not be valid.
    """
    fields = [*headers] if status == 204 else [*headers, ("Content-Length", str(len(body)))]
    first_line = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE)}"
    return _encode_head(first_line, fields), b"" if head_only else body


def encode_response(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False
) -> bytes:
    """Encode a response as `encode_response_parts` does, in one piece."""
    return b"".join(encode_response_parts(status, headers, body, head_only))
