"""HTTP/1.1 messages (RFC 9110, RFC 9112) without I/O: a parser from bytes to events, and an encoder.

The events are the same however the bytes are split. Ambiguous input is rejected instead of repaired, because request
smuggling relies on two readings of one message (RFC 9112, 11.2). Every protocol error of a peer is an `Http1Error` with
the status to respond with; the connection then closes.

Other packages import from this module only. Its parts: `parser.py` is the state machine, based on `input_buffer.py` and
`head_parser.py`; `messages.py` has its events, `limits.py` its limits, `errors.py` the errors; `encoder.py` encodes
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
