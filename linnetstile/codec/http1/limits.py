"""Limits on the HTTP/1.1 messages of a peer, which bound the memory that these messages occupy."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the messages that a peer may send.

    Attributes:
        max_line_bytes: Bytes of the first line, and of one header line.
        max_head_bytes: Bytes of the first line and all header lines together; also of all trailer lines together.
        max_fields: Number of header fields.
        max_body_bytes: Bytes of a body.
        max_chunk_line_bytes: Bytes of the line that begins a chunk.
    """

    max_line_bytes: int = 16_384
    max_head_bytes: int = 65_536
    max_fields: int = 128
    max_body_bytes: int = 64 * 1024 * 1024
    max_chunk_line_bytes: int = 256
