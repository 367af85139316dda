"""The body of a request while it is being received."""

from __future__ import annotations


class RequestBody:
    """The pieces of a body, joined once it is complete.

    Attributes:
        size: Number of body bytes received, including pieces that were dropped.
    """

    __slots__ = ("_pieces", "size")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self.size = 0

    def add(self, piece: bytes) -> None:
        """Add the next piece."""
        self._pieces.append(piece)
        self.size += len(piece)

    def take(self) -> bytes:
        """Return the complete body and drop its pieces; a body of a single piece is not copied."""
        body = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self._pieces.clear()
        return body

    def drop_pieces(self) -> None:
        """Free the memory of the pieces."""
        self._pieces.clear()

    def reset(self) -> None:
        """Prepare for the next body."""
        self._pieces.clear()
        self.size = 0
