"""HTTP/1.1 messages (RFC 9110, RFC 9112) as a state machine: bytes in, events out, the same for any split.

What is ambiguous is refused and not repaired, since two readings of one message are how requests are smuggled
(RFC 9112, 11.2). Every error is a `ProtocolError` that tells the status to answer; the connection then closes.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Union

TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")  # RFC 9110, 5.6.2
TARGET = re.compile(r"[\x21-\x7e]+\Z")
FORBIDDEN = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")  # in a value: controls other than tab
BARE_LF = re.compile(rb"(?<!\r)\n")
CLAIM = re.compile(rb"HTTP/1\.[01] ([2-5]\d\d)(?:[ \r]|\Z)")
CHUNK = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[\t\x20-\x7e\x80-\xff]*)?\Z")  # RFC 9112, 7.1
REASONS = {
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


# Names that are proper tokens, with their lower case: most messages have the same few. Bounded: peers choose names.
_NAMES: dict[str, str] = {}
_NAMES_MOST = 1024


def _proper(name: str) -> bool:
    if not TOKEN.match(name):
        return False
    if len(_NAMES) < _NAMES_MOST and len(name) <= 64:
        _NAMES[name] = name.lower()
    return True


class ProtocolError(Exception):
    """The peer's bytes are not HTTP/1.1 as this codec takes it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status
        self.text = text


class Headers:
    """Header fields in their order; names compare without regard to case, values are kept as they came."""

    def __init__(self, fields: Iterable[tuple[str, str]] = ()) -> None:
        self.fields = list(fields)
        self._index: dict[str, list[str]] = {}
        for name, value in self.fields:
            lower = _NAMES.get(name) or name.lower()
            if lower in self._index:
                self._index[lower].append(value)
            else:
                self._index[lower] = [value]

    def get(self, name: str, default: str = "") -> str:
        values = self._index.get(name.lower())
        return values[0] if values else default

    def all(self, name: str) -> list[str]:
        return self._index.get(name.lower(), [])

    def tokens(self, name: str) -> list[str]:
        """The members of a comma-separated field, in lower case (RFC 9110, 5.6.1)."""
        return [part.strip().lower() for value in self.all(name) for part in value.split(",") if part.strip()]

    def __contains__(self, name: str) -> bool:
        return name.lower() in self._index

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.fields)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Headers) and self.fields == other.fields

    def __repr__(self) -> str:
        return f"Headers({self.fields!r})"


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds in bytes (and fields) on what a peer may send."""

    line: int = 16_384
    head: int = 65_536
    fields: int = 128
    body: int = 64 * 1024 * 1024
    chunk_line: int = 256


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    target: str
    version: tuple[int, int]
    headers: Headers
    keep_alive: bool = True
    expects_continue: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    reason: str
    version: tuple[int, int]
    headers: Headers
    keep_alive: bool = True


@dataclass(frozen=True, slots=True)
class Data:
    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The message is complete; trailers are told, never merged into the headers (RFC 9110, 6.5.1)."""

    trailers: Headers = field(default_factory=Headers)


Event = Union[Request, Response, Data, End]


def _fields(lines: list[bytes], limits: Limits) -> Headers:
    if len(lines) > limits.fields:
        raise ProtocolError(431, f"more than {limits.fields} header fields")
    found: list[tuple[str, str]] = []
    for line in lines:
        if len(line) > limits.line:
            raise ProtocolError(431, f"a header line of more than {limits.line} bytes")
        name, colon, value = line.decode("latin-1").partition(":")
        if name[:1] in (" ", "\t"):
            raise ProtocolError(400, "a folded header line")
        if not colon or name not in _NAMES and not _proper(name):
            raise ProtocolError(400, "a header line without a proper name before its colon")
        value = value.strip(" \t")
        if not value.isprintable() and FORBIDDEN.search(value):  # the first is quick, the second right
            raise ProtocolError(400, f"a control character in the value of {name}")
        found.append((name, value))
    return Headers(found)


def _version(text: str) -> tuple[int, int]:
    if not re.fullmatch(r"HTTP/\d\.\d", text):
        raise ProtocolError(400, "no HTTP version in the first line")
    if text not in ("HTTP/1.0", "HTTP/1.1"):
        raise ProtocolError(505, f"{text} is not spoken here")
    return 1, int(text[-1])


def _persists(version: tuple[int, int], headers: Headers) -> bool:
    options = headers.tokens("connection")  # RFC 9112, 9.3
    return "close" not in options and (version == (1, 1) or "keep-alive" in options)


class Parser:
    """Reads a run of messages of one connection. `feed` bytes, `eof` once the peer has closed.

    A client parser must be told of each request with `expect`, as the method says whether a body follows."""

    def __init__(self, client: bool = False, limits: Limits | None = None) -> None:
        self.client = client
        self.limits = limits or Limits()
        self.methods: list[str] = []
        self.failed: ProtocolError | None = None
        self._first = b""  # of the latest final response that was begun
        self._buf = bytearray()
        self._state = self._head
        self._scanned = 0
        self._left = 0
        self._total = 0
        self._skipped = False

    def expect(self, method: str) -> None:
        self.methods.append(method)

    @property
    def idle(self) -> bool:
        """Between two messages, with no byte of the next."""
        return self._state == self._head and not self._buf

    @property
    def buffered(self) -> int:
        """Bytes held that have not become an event yet."""
        return len(self._buf)

    @property
    def midway(self) -> bool:
        """Some of a head, a chunk or its size has come, and not all of it."""
        return bool(self._buf) or self._state == self._chunk_data

    def _beginning(self) -> bytes:
        """What the next response begins with, where its head is not complete."""
        return bytes(self._buf[:32]) if self.client and self._state == self._head else b""

    @property
    def claimed(self) -> int:
        """The status in the first line of a response whose rest has not come or can't be read; 0 = none so far. Only
        for peers that mean that line whatever follows it."""
        found = CLAIM.match(self._first or self._beginning())
        return int(found[1]) if found else 0

    def feed(self, data: bytes | memoryview, most: int = 1 << 30) -> list[Event]:
        """The events that these bytes complete; raises `ProtocolError` for good from the first fault on. With `most`
        it stops after about so many: `feed(b"")` goes on, which bounds the time that one peer's bytes take."""
        if self.failed:
            raise self.failed
        self._buf += data
        events: list[Event] = []
        try:
            while len(events) < most and self._state(events):
                pass
        except ProtocolError as error:
            self.failed = error
            self._first = self._first or self._beginning()
            self._buf.clear()
            if not events:
                raise
        return events

    def eof(self) -> list[Event]:
        """What the end of the stream completes; an unfinished message is an error."""
        if self.failed:
            raise self.failed
        if self._state == self._until_close:
            self._state = self._head
            return [End()]
        if not self.idle:
            raise ProtocolError(400, "the connection ended inside a message")
        return []

    # -- states: each returns whether another step may be made ----------------------------------------------

    def _block(self, limit: int) -> list[bytes] | None:
        """The lines up to the next empty line; None while that has not come."""
        buf = self._buf
        end = buf.find(b"\r\n\r\n", max(0, self._scanned - 3))
        stop = min(limit, end + 4 if end >= 0 else len(buf))
        bare = (
            buf.count(b"\n", 0, stop) != buf.count(b"\r\n", 0, stop)
            if end >= 0
            else (BARE_LF.search(buf, max(0, self._scanned - 1), stop) and BARE_LF.search(buf, 0, stop))
        )
        if bare:
            raise ProtocolError(400, "a line feed without a carriage return")
        self._scanned = len(buf)
        if (end < 0 and len(buf) >= limit) or end + 4 > limit:
            raise ProtocolError(431, f"a head of more than {limit} bytes")
        if end < 0:
            return None
        block = bytes(buf[:end])
        del buf[: end + 4]
        self._scanned = 0
        lines = block.split(b"\r\n")
        if block.count(b"\r") != len(lines) - 1:
            raise ProtocolError(400, "a carriage return without a line feed")
        return lines

    def _head(self, events: list[Event]) -> bool:
        if not self.client and not self._skipped and self._buf[:1] == b"\r":
            if len(self._buf) < 2:
                return False
            if self._buf[:2] == b"\r\n":  # one empty line before a request is forgiven (RFC 9112, 2.2)
                del self._buf[:2]
                self._skipped, self._scanned = True, 0
        if not self._buf:
            return False
        lines = self._block(self.limits.head)
        if lines is None:
            return False
        self._skipped, self._total = False, 0
        if len(lines[0]) > self.limits.line:
            raise ProtocolError(431, f"a first line of more than {self.limits.line} bytes")
        first = lines[0].decode("latin-1")
        self._first = lines[0][:32] if self.client else b""
        return self._response(first, lines, events) if self.client else self._request(first, lines, events)

    def _request(self, first: str, lines: list[bytes], events: list[Event]) -> bool:
        parts = first.split(" ")
        if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
            raise ProtocolError(400, "a request line that is not METHOD TARGET VERSION")
        version, headers = _version(parts[2]), _fields(lines[1:], self.limits)
        if len(headers.all("host")) != 1 and (version == (1, 1) or headers.all("host")):
            raise ProtocolError(400, "not one Host field")  # RFC 9112, 3.2
        expects = headers.tokens("expect")
        if expects and expects != ["100-continue"]:
            raise ProtocolError(417, "an expectation other than 100-continue")
        framing = self._framing(version, headers)
        events.append(
            Request(
                parts[0], parts[1], version, headers, _persists(version, headers), bool(expects) and version == (1, 1)
            )
        )
        return self._body(framing if framing is not None else 0)

    def _response(self, first: str, lines: list[bytes], events: list[Event]) -> bool:
        parts = first.split(" ", 2)
        if len(parts) < 2 or not re.fullmatch(r"[1-5]\d\d", parts[1]):
            raise ProtocolError(400, "a status line that is not VERSION STATUS REASON")
        status, reason = int(parts[1]), parts[2] if len(parts) > 2 else ""
        version, headers = _version(parts[0]), _fields(lines[1:], self.limits)
        if FORBIDDEN.search(reason):
            raise ProtocolError(400, "a control character in the reason")
        if not self.methods:
            raise ProtocolError(400, "a response that nobody asked for")
        if 100 <= status < 200:
            self._first = b""
            return True  # interim: the final one follows (RFC 9110, 15.2); an upgrade was never asked for
        method = self.methods.pop(0)
        framing = self._framing(version, headers)
        bare = method == "HEAD" or status in (204, 304)
        keep = _persists(version, headers) and (bare or framing is not None)
        events.append(Response(status, reason, version, headers, keep))
        if bare:
            return self._body(0)
        if framing is None:
            self._state = self._until_close
            return True
        return self._body(framing)

    def _framing(self, version: tuple[int, int], headers: Headers) -> int | None:
        """Length of the body; -1 = chunked; None = not told (RFC 9112, 6.3)."""
        lengths = headers.all("content-length")
        if "transfer-encoding" in headers:
            if lengths:
                raise ProtocolError(400, "both Content-Length and Transfer-Encoding")
            if version == (1, 0):
                raise ProtocolError(400, "Transfer-Encoding in HTTP/1.0")
            if headers.tokens("transfer-encoding") != ["chunked"]:
                raise ProtocolError(501, "a transfer coding other than chunked")
            return -1
        if not lengths:
            return None
        if len(lengths) > 1 or not re.fullmatch(r"[0-9]{1,18}", lengths[0]):
            raise ProtocolError(400, "not one plain Content-Length")
        if int(lengths[0]) > self.limits.body:
            raise ProtocolError(413, f"a body of more than {self.limits.body} bytes")
        return int(lengths[0])

    def _body(self, length: int) -> bool:
        self._left = length
        self._state = self._chunk_size if length < 0 else self._fixed
        return True

    def _take(self, events: list[Event]) -> None:
        size = min(self._left, len(self._buf))
        if size == len(self._buf):
            if size:
                events.append(Data(bytes(self._buf)))
                self._buf.clear()
                self._left -= size
            return
        if size:
            with memoryview(self._buf) as view:
                events.append(Data(bytes(view[:size])))
            del self._buf[:size]
            self._left -= size

    def _finish(self, events: list[Event], trailers: Headers) -> bool:
        events.append(End(trailers))
        self._first = b""
        self._state, self._scanned = self._head, 0
        return True

    def _fixed(self, events: list[Event]) -> bool:
        self._take(events)
        return self._left == 0 and self._finish(events, Headers())

    def _until_close(self, events: list[Event]) -> bool:
        self._total += len(self._buf)
        if self._total > self.limits.body:
            raise ProtocolError(413, f"a body of more than {self.limits.body} bytes")
        self._left = len(self._buf)
        self._take(events)
        return False

    def _chunk_size(self, events: list[Event]) -> bool:
        end = self._buf.find(b"\n", 0, self.limits.chunk_line)
        if end < 0:
            if len(self._buf) >= self.limits.chunk_line:
                raise ProtocolError(400, f"a chunk line of more than {self.limits.chunk_line} bytes")
            return False
        found = CHUNK.match(self._buf[: end - 1]) if end and self._buf[end - 1] == 13 else None
        if not found:
            raise ProtocolError(400, "a chunk size that is not a hexadecimal number")
        del self._buf[: end + 1]
        self._left = int(found[1], 16)
        self._total += self._left
        if self._total > self.limits.body:
            raise ProtocolError(413, f"a body of more than {self.limits.body} bytes")
        self._state = self._chunk_data if self._left else self._trailers
        return True

    def _chunk_data(self, events: list[Event]) -> bool:
        self._take(events)
        if self._left or not self._buf:
            return False
        if self._buf[:2] != b"\r\n"[: len(self._buf)]:
            raise ProtocolError(400, "a chunk that does not end where its size says")
        if len(self._buf) < 2:
            return False
        del self._buf[:2]
        self._state = self._chunk_size
        return True

    def _trailers(self, events: list[Event]) -> bool:
        if self._buf[:2] == b"\r\n":
            del self._buf[:2]
            return self._finish(events, Headers())
        if self._buf == b"\r":
            return False
        lines = self._block(self.limits.head)
        return lines is not None and self._finish(events, _fields(lines, self.limits))


def _head(first: str, headers: Iterable[tuple[str, str]]) -> bytes:
    lines = [first]
    for name, value in headers:
        if name not in _NAMES and not _proper(name) or not value.isprintable() and FORBIDDEN.search(value):
            raise ValueError(f"header field {name!r} can't be sent")  # guards against splitting by our own hand
        lines.append(f"{name}: {value}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def request_parts(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> tuple[bytes, bytes]:
    """Head and body of a request with its length, the body as it is; `headers` must not tell a length."""
    if not TOKEN.match(method) or not TARGET.match(target):
        raise ValueError(f"{method!r} {target!r} can't be sent")
    return _head(f"{method} {target} HTTP/1.1", [*headers, ("Content-Length", str(len(body)))]), body


def request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """The same in one piece."""
    return b"".join(request_parts(method, target, headers, body))


def response_parts(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False
) -> tuple[bytes, bytes]:
    """Head and body of a response with its length; for HEAD the body is counted and left out (RFC 9110, 9.3.2)."""
    fields = [*headers] if status == 204 else [*headers, ("Content-Length", str(len(body)))]
    return _head(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields), b"" if head_only else body


def response(status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False) -> bytes:
    """The same in one piece."""
    return b"".join(response_parts(status, headers, body, head_only))
