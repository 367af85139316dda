"""The events of an HTTP/1.1 stream: the head of a message, pieces of its body, its end."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Union

from ..headers import Headers

HttpVersion = tuple[int, int]  # major and minor version
HTTP_1_0: HttpVersion = (1, 0)
HTTP_1_1: HttpVersion = (1, 1)


@dataclass(frozen=True, slots=True)
class Request:
    """The head of a request.

    Attributes:
        method: The method as received.
        target: The request target as received.
        version: Major and minor version of HTTP.
        headers: The header fields.
        keep_alive: Whether the connection persists after this message (RFC 9112, 9.3).
        expects_continue: Whether the client waits for `100 Continue` before it sends the body.
    """

    method: str
    target: str
    version: HttpVersion
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
    version: HttpVersion
    headers: Headers
    keep_alive: bool = True


@dataclass(frozen=True, slots=True)
class Data:
    """A piece of the body, without the framing of its chunks."""

    data: bytes


@dataclass(frozen=True, slots=True)
class EndOfMessage:
    """The end of a message; it has the trailers, which are never merged into the headers (RFC 9110, 6.5.1)."""

    trailers: Headers = field(default_factory=Headers)


Event = Union[Request, Response, Data, EndOfMessage]
