"""HTTP/1.1 messages (RFC 9110, RFC 9112) without I/O: bytes in, events out, the same for any split of the bytes.

What is ambiguous is rejected and not repaired, since two readings of one message are how requests are smuggled
(RFC 9112, 11.2). Every fault of a peer is an `Http1Error` with the status to answer; the connection then closes.

Other packages import the names of this module. The parts: `parser.py` is the state machine, on `input_buffer.py` and
`head_parser.py`; `messages.py` has its events, `limits.py` its bounds, `errors.py` the errors; `encoder.py` writes
messages.
"""

from __future__ import annotations

from ..headers import Headers
from .encoder import EncodedMessage, encode_request, encode_request_parts, encode_response, encode_response_parts
from .errors import Http1Error, UnsendableMessageError
from .limits import Limits
from .messages import Data, EndOfMessage, Event, HttpVersion, Request, Response
from .parser import Parser

__all__ = [
    "Data",
    "EncodedMessage",
    "EndOfMessage",
    "Event",
    "Headers",
    "Http1Error",
    "HttpVersion",
    "Limits",
    "Parser",
    "Request",
    "Response",
    "UnsendableMessageError",
    "encode_request",
    "encode_request_parts",
    "encode_response",
    "encode_response_parts",
]
