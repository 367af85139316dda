"""The body of a request: its pieces are joined in order, and small ones take little more than their content."""

from __future__ import annotations

import sys

from hypothesis import given
from hypothesis import strategies as st

from linnetstile.net.request_body import RequestBody


@given(st.lists(st.sampled_from([1, 3, 500, 1023, 1024, 5000, 16 * 1024]), max_size=60))
def test_body_is_the_join_of_its_pieces(sizes: list[int]) -> None:
    body = RequestBody()
    pieces = [bytes([number % 251]) * size for number, size in enumerate(sizes)]
    for piece in pieces:
        body.add(piece)
    assert body.size == body.held_bytes == sum(sizes)
    assert body.take() == b"".join(pieces)
    assert body.held_bytes == 0


def test_body_in_small_pieces_takes_little_more_memory_than_its_content() -> None:
    # Guards against bodies that are written slowly and take twenty times their size.
    body = RequestBody()
    for _ in range(20_000):
        body.add(b"abc")
    held = [*body._pieces, body._small_pieces]
    assert sum(map(sys.getsizeof, held)) < 1.2 * 60_000


def test_dropped_pieces_are_no_longer_held() -> None:
    body = RequestBody()
    body.add(b"x" * 5000)
    body.add(b"y")
    body.drop_pieces()
    assert (body.size, body.held_bytes) == (5001, 0)
    assert body.take() == b""
