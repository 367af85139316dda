"""The head of an HTTP/1.1 message: its first line, its header fields, and the length of the body that they declare."""

from __future__ import annotations

import re

from ..headers import FORBIDDEN_IN_VALUE, KNOWN_FIELD_NAMES, TOKEN, Headers, is_field_name
from .errors import Http1Error
from .limits import Limits
from .messages import HTTP_1_0, HTTP_1_1, HttpVersion, Request, Response

REQUEST_TARGET = re.compile(r"[\x21-\x7e]+\Z")
HTTP_VERSION = re.compile(r"HTTP/\d\.\d")
SUPPORTED_VERSIONS = ("HTTP/1.0", "HTTP/1.1")
STATUS_CODE = re.compile(r"[1-5]\d\d")
CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
CONTINUE_EXPECTATION = "100-continue"
STATUSES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3

CHUNKED = -1  # body length of a message with the transfer coding chunked


def parse_request_head(first_line: str, field_lines: list[bytes], limits: Limits) -> Request:
    """Parse the head of a request.

    Raises:
        Http1Error: A line is malformed, there is no single Host field, or the expectation is not supported.
    """
    parts = first_line.split(" ")
    if len(parts) != 3 or not TOKEN.match(parts[0]) or not REQUEST_TARGET.match(parts[1]):
        raise Http1Error(
            400, "a request line that is not METHOD TARGET VERSION", expected="METHOD TARGET VERSION", found=first_line
        )
    method, target, version_text = parts
    version = _parse_version(version_text)
    headers = parse_fields(field_lines, limits)
    _check_host(version, headers)
    expects_continue = _has_expectation(headers) and version == HTTP_1_1
    return Request(
        method=method,
        target=target,
        version=version,
        headers=headers,
        keep_alive=_persists(version, headers),
        expects_continue=expects_continue,
    )


def parse_response_head(first_line: str, field_lines: list[bytes], limits: Limits) -> Response:
    """Parse the head of a response; its `keep_alive` applies only if the length of the body is known.

    Raises:
        Http1Error: A line is malformed.
    """
    parts = first_line.split(" ", 2)
    if len(parts) < 2 or not STATUS_CODE.fullmatch(parts[1]):
        raise Http1Error(
            400, "a status line that is not VERSION STATUS REASON", expected="VERSION STATUS REASON", found=first_line
        )
    status = int(parts[1])
    reason = parts[2] if len(parts) > 2 else ""
    version = _parse_version(parts[0])
    headers = parse_fields(field_lines, limits)
    if not reason.isprintable() and FORBIDDEN_IN_VALUE.search(reason):
        raise Http1Error(400, "a control character in the reason", expected="no control character", found=reason)
    return Response(status, reason, version, headers, keep_alive=_persists(version, headers))


def parse_fields(lines: list[bytes], limits: Limits) -> Headers:
    """Parse the lines of header or trailer fields.

    Raises:
        Http1Error: There are too many fields, or one is too long or malformed.
    """
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
            raise line_too_long("header", len(line), limits)
        name, colon, value = line.decode("latin-1").partition(":")
        if name[:1] in (" ", "\t"):
            raise Http1Error(400, "a folded header line", expected="name: value", found=name)
        if not colon or name not in KNOWN_FIELD_NAMES and not is_field_name(name):
            raise Http1Error(
                400, "a header line without a proper name before its colon", expected="name: value", found=name
            )
        value = value.strip(" \t")
        if not value.isprintable() and FORBIDDEN_IN_VALUE.search(value):  # a fast check, then the exact one
            text = f"a control character in the value of {name}"
            raise Http1Error(400, text, field=name, expected="no control character", found=value)
        fields.append((name, value))
    return Headers(fields)


def line_too_long(kind: str, size: int, limits: Limits) -> Http1Error:
    """Return the error for a line of `size` bytes; `kind` is `first` or `header`."""
    limit = limits.max_line_bytes
    text = f"a {kind} line of more than {limit} bytes"
    return Http1Error(431, text, expected=f"<= {limit} bytes", found=str(size))


def _parse_version(text: str) -> HttpVersion:
    if not HTTP_VERSION.fullmatch(text):
        raise Http1Error(400, "no HTTP version in the first line", expected="HTTP/1.1", found=text)
    if text not in SUPPORTED_VERSIONS:
        raise Http1Error(505, f"{text} is not spoken here", expected=" or ".join(SUPPORTED_VERSIONS), found=text)
    return 1, int(text[-1])


def _check_host(version: HttpVersion, headers: Headers) -> None:
    """Require exactly one Host field; HTTP/1.0 requests may have none (RFC 9112, 3.2)."""
    hosts = headers.get_all("host")
    if len(hosts) != 1 and (version == HTTP_1_1 or hosts):
        raise _field_error(400, "not one Host field", "Host", "1 field", hosts)


def _has_expectation(headers: Headers) -> bool:
    """Return whether the request expects `100 Continue`; raise `Http1Error` for any other expectation."""
    if "expect" not in headers:
        return False
    expectations = headers.tokens("expect")
    if expectations and expectations != [CONTINUE_EXPECTATION]:
        raise _field_error(417, "an expectation other than 100-continue", "Expect", CONTINUE_EXPECTATION, expectations)
    return bool(expectations)


def _persists(version: HttpVersion, headers: Headers) -> bool:
    """Return whether the connection persists after a message with this head (RFC 9112, 9.3)."""
    options = headers.tokens("connection")
    return "close" not in options and (version == HTTP_1_1 or "keep-alive" in options)


def is_bodiless(method: str, status: int) -> bool:
    """Return whether the response to this method has no body regardless of its header fields (RFC 9112, 6.3)."""
    return method == "HEAD" or status in STATUSES_WITHOUT_BODY


def body_length(version: HttpVersion, headers: Headers, limits: Limits) -> int | None:
    """Return the length of the body in bytes, `CHUNKED`, or None if no field declares it (RFC 9112, 6.3).

    Raises:
        Http1Error: The fields contradict each other, are malformed, or declare a body that is too long.
    """
    lengths = headers.get_all("content-length")
    if "transfer-encoding" in headers:
        _check_transfer_encoding(version, headers, lengths)
        return CHUNKED
    if not lengths:
        return None
    if len(lengths) > 1 or not CONTENT_LENGTH.fullmatch(lengths[0]):
        raise _field_error(400, "not one plain Content-Length", "Content-Length", "1 decimal number", lengths)
    length = int(lengths[0])
    if length > limits.max_body_bytes:
        raise body_too_long(length, limits)
    return length


def _check_transfer_encoding(version: HttpVersion, headers: Headers, lengths: list[str]) -> None:
    """Require HTTP/1.1, chunked as the only transfer coding, and no Content-Length."""
    if lengths:
        text = "both Content-Length and Transfer-Encoding"
        raise _field_error(400, text, "Content-Length", "no Content-Length beside Transfer-Encoding", lengths)
    codings = headers.tokens("transfer-encoding")
    if version == HTTP_1_0:
        raise _field_error(400, "Transfer-Encoding in HTTP/1.0", "Transfer-Encoding", "no Transfer-Encoding", codings)
    if codings != ["chunked"]:
        raise _field_error(501, "a transfer coding other than chunked", "Transfer-Encoding", "chunked", codings)


def _field_error(status: int, text: str, field: str, expected: str, found: list[str]) -> Http1Error:
    """Return the error for the values of a header field."""
    return Http1Error(status, text, field=field, expected=expected, found=", ".join(found))


def body_too_long(size: int, limits: Limits) -> Http1Error:
    """Return the error for a body of at least `size` bytes."""
    limit = limits.max_body_bytes
    return Http1Error(413, f"a body of more than {limit} bytes", expected=f"<= {limit} bytes", found=f"{size} bytes")
