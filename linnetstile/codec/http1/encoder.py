"""Encodes outgoing HTTP/1.1 messages; an invalid one is refused before any byte of it is written."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from ..headers import FORBIDDEN_IN_VALUE, KNOWN_FIELD_NAMES, TOKEN, is_field_name
from .errors import UnsendableMessageError
from .head_parser import REQUEST_TARGET

NO_CONTENT = 204

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


class EncodedMessage(NamedTuple):
    """The bytes of a message in two pieces, so that a large body is not copied to join it to its head."""

    head: bytes
    body: bytes


def encode_request_parts(
    method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b""
) -> EncodedMessage:
    """Encode a request with its Content-Length.

    Args:
        method: A token.
        target: The request target, in visible ASCII.
        headers: The header fields, without a Content-Length.
        body: The body; returned unchanged.

    Raises:
        UnsendableMessageError: The method, the target or a header field is not valid.
    """
    if not TOKEN.match(method) or not REQUEST_TARGET.match(target):
        raise UnsendableMessageError(
            f"{method!r} {target!r} can't be sent",
            expected="a token, and a target in visible ASCII",
            found=f"{method} {target}",
        )
    return EncodedMessage(_encode_head(f"{method} {target} HTTP/1.1", headers, len(body)), body)


def encode_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a request as `encode_request_parts` does, and join its parts."""
    return b"".join(encode_request_parts(method, target, headers, body))


def encode_response_parts(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False
) -> EncodedMessage:
    """Encode a response with its Content-Length.

    Args:
        status: The status code.
        headers: The header fields, without a Content-Length.
        body: The body; returned unchanged.
        head_only: Whether this responds to HEAD: Content-Length counts the body, which is omitted (RFC 9110, 9.3.2).

    Raises:
        UnsendableMessageError: A header field is not valid.
    """
    first_line = f"HTTP/1.1 {status} {REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE)}"
    content_length = None if status == NO_CONTENT else len(body)
    return EncodedMessage(_encode_head(first_line, headers, content_length), b"" if head_only else body)


def encode_response(
    status: int, headers: Iterable[tuple[str, str]], body: bytes = b"", head_only: bool = False
) -> bytes:
    """Encode a response as `encode_response_parts` does, and join its parts."""
    return b"".join(encode_response_parts(status, headers, body, head_only))


def _encode_head(first_line: str, headers: Iterable[tuple[str, str]], content_length: int | None) -> bytes:
    lines = [first_line]
    for name, value in headers:
        valid_name = name in KNOWN_FIELD_NAMES or is_field_name(name)
        if not valid_name or (not value.isprintable() and FORBIDDEN_IN_VALUE.search(value)):
            # Prevents header injection: a value from another source could split the message in two.
            raise UnsendableMessageError(
                f"header field {name!r} can't be sent",
                field=name,
                expected="a token, and a value without control characters",
                found=value,
            )
        lines.append(f"{name}: {value}")
    if content_length is not None:
        lines.append(f"Content-Length: {content_length}")
    lines += ("", "")  # the line end of the last field, and the empty line
    return "\r\n".join(lines).encode("latin-1")
