"""JSON texts out of a stream: the same values for any split, one error for what can't be read."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.codec.objects import DEEPEST, Objects

TEXT = st.text(st.characters(codec="utf-8"), max_size=4)
JSON = st.recursive(st.none() | st.booleans() | st.integers() | TEXT, lambda inner: st.lists(inner, max_size=3)
                    | st.dictionaries(TEXT, inner, max_size=3), max_leaves=8)
VALUES = st.lists(st.dictionaries(TEXT, JSON, max_size=3) | st.lists(JSON, max_size=3), max_size=4)


@given(VALUES, st.sampled_from([None, 1, "\t"]), st.sampled_from(["", "\n", "\r\n\r\n \t"]), st.data())
def test_values_come_out_whole_wherever_the_stream_is_cut_and_however_they_are_indented(
        values: list[Any], indent: int | None, between: str, data: st.DataObject) -> None:
    stream = "".join(json.dumps(value, indent=indent, ensure_ascii=data.draw(st.booleans())) + between
                     for value in values).encode()
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=6)))
    reader, found = Objects(1 << 20), []
    for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        found += reader.feed(stream[begin:end])
    assert found == values and not reader.part


@pytest.mark.parametrize("stream", [
    b"7", b"null\n", b"x{}", b"}", b'{"a": 1,}', b"[1}", b'{"a\nb": 1}', b'{"a": NaN}', b'["\\q"]', b'["\xff"]',
    b"[" * 40, b'{"a": ' * (DEEPEST + 1), b"[1]]", b'["' + b"a" * 2000])
@pytest.mark.parametrize("step", [1, 1 << 20])
def test_what_is_no_json_is_one_error_for_good(stream: bytes, step: int) -> None:
    reader, before = Objects(1000), 0
    with pytest.raises(ValueError):
        for at in range(0, len(stream), step):
            before += len(reader.feed(stream[at : at + step]))
        reader.feed(b"")
    assert before <= 1 and not reader.part
    with pytest.raises(ValueError):
        reader.feed(b"{}")


def test_values_before_a_fault_are_told_first() -> None:
    reader = Objects(1000)
    assert reader.feed(b'{"a": 1}\n{"b": 2}oops') == [{"a": 1}, {"b": 2}]
    with pytest.raises(ValueError):
        reader.feed(b"")
