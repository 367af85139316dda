"""A buffer for the bytes of a stream that have not become an event yet; blocks of lines are taken from its start."""

from __future__ import annotations

import re

from .errors import Http1Error

BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
END_OF_BLOCK = b"\r\n\r\n"
END_OF_BLOCK_BYTES = 4


class InputBuffer:
    """A buffer that is appended to at its end and consumed from its start.

    Attributes:
        data: The bytes; the parser appends to it.
    """

    __slots__ = ("_scanned_bytes", "data")

    def __init__(self) -> None:
        self.data = bytearray()
        self._scanned_bytes = 0  # bytes of `data` already searched for the end of a block

    def discard(self, size: int) -> None:
        """Remove bytes from the start."""
        del self.data[:size]
        self._scanned_bytes = 0

    def take_up_to(self, max_bytes: int) -> bytes:
        """Remove and return at most `max_bytes` bytes from the start."""
        data = self.data
        if len(data) <= max_bytes:
            piece = bytes(data)
            data.clear()
        else:
            with memoryview(data) as view:
                piece = bytes(view[:max_bytes])
            del data[:max_bytes]
        return piece

    def take_block(self, max_bytes: int) -> list[bytes] | None:
        """Remove and return the lines up to the next empty line; None until that line is received.

        Raises:
            Http1Error: The block is longer than `max_bytes`, or has a line end other than CRLF.
        """
        data = self.data
        end = data.find(END_OF_BLOCK, max(0, self._scanned_bytes - END_OF_BLOCK_BYTES + 1))
        if self._has_bare_line_feed(end, max_bytes):
            raise Http1Error(400, "a line feed without a carriage return", expected="CRLF", found="LF")
        self._scanned_bytes = len(data)
        if (end < 0 and len(data) >= max_bytes) or end + END_OF_BLOCK_BYTES > max_bytes:
            found_bytes = len(data) if end < 0 else end + END_OF_BLOCK_BYTES
            raise Http1Error(
                431,
                f"a head of more than {max_bytes} bytes",
                expected=f"<= {max_bytes} bytes",
                found=f">= {found_bytes} bytes",
            )
        if end < 0:
            return None
        block = bytes(data[:end])
        del data[: end + END_OF_BLOCK_BYTES]
        self._scanned_bytes = 0
        lines = block.split(b"\r\n")
        if block.count(b"\r") != len(lines) - 1:
            raise Http1Error(400, "a carriage return without a line feed", expected="CRLF", found="CR")
        return lines

    def _has_bare_line_feed(self, end: int, max_bytes: int) -> bool:
        """Return whether there is a bare line feed before `end`, or in all received bytes if `end` is negative."""
        data = self.data
        if end >= 0:
            stop = min(max_bytes, end + END_OF_BLOCK_BYTES)
            return data.count(b"\n", 0, stop) != data.count(b"\r\n", 0, stop)
        stop = min(max_bytes, len(data))
        if not BARE_LINE_FEED.search(data, max(0, self._scanned_bytes - 1), stop):
            return False
        # Bytes searched by an earlier call are skipped above; only a match is confirmed by a search of all the data.
        return BARE_LINE_FEED.search(data, 0, stop) is not None
