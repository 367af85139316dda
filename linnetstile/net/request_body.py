"""The body of a request while it is being received."""

from __future__ import annotations

# A smaller piece is joined with its neighbours, as each piece takes some 40 bytes besides its content.
MIN_PIECE_BYTES = 1024
JOINED_PIECE_BYTES = 16 * 1024  # size at which joined pieces are complete


class RequestBody:
    """The pieces of a body, joined once it is complete.

    Attributes:
        size: Number of body bytes received, including pieces that were dropped.
        held_bytes: Number of body bytes that are kept.
    """

    __slots__ = ("_pieces", "_small_pieces", "held_bytes", "size")

    def __init__(self) -> None:
        self._pieces: list[bytes] = []
        self._small_pieces = bytearray()  # the latest small pieces, joined
        self.size = 0
        self.held_bytes = 0

    def add(self, piece: bytes) -> None:
        """Add the next piece."""
        self.size += len(piece)
        self.held_bytes += len(piece)
        if len(piece) < MIN_PIECE_BYTES:
            self._small_pieces += piece
            if len(self._small_pieces) >= JOINED_PIECE_BYTES:
                self._end_small_pieces()
        else:
            self._end_small_pieces()
            self._pieces.append(piece)

    def _end_small_pieces(self) -> None:
        if self._small_pieces:
            self._pieces.append(bytes(self._small_pieces))
            self._small_pieces = bytearray()

    def take(self) -> bytes:
        """Return the complete body and drop its pieces; a body of a single large piece is not copied."""
        self._end_small_pieces()
        body = self._pieces[0] if len(self._pieces) == 1 else b"".join(self._pieces)
        self.drop_pieces()
        return body

    def drop_pieces(self) -> None:
        """Free the memory of the pieces."""
        self._pieces.clear()
        self._small_pieces = bytearray()
        self.held_bytes = 0

    def reset(self) -> None:
        """Prepare for the next body."""
        self.drop_pieces()
        self.size = 0
