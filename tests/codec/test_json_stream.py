"""JSON stream reader: the same values for any split, long objects in parts, bounded memory, errors that persist."""

from __future__ import annotations

import itertools
import json
import time
from collections.abc import Iterable, Iterator
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.codec import json_object_parts
from linnetstile.codec.json_object_parts import ObjectPartsReader
from linnetstile.codec.json_stream import DEFAULT_STEP_BYTES, MAX_DEPTH, JsonStreamError, JsonStreamReader, ObjectPart

TEXT = st.text(st.characters(codec="utf-8"), max_size=4)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
VALUES = st.lists(st.dictionaries(TEXT, JSON, max_size=3) | st.lists(JSON, max_size=3), max_size=4)


def chunks(stream: bytes, split_at: Iterable[int]) -> Iterator[bytes]:
    """Yield the chunks of a stream that is split at these positions."""
    for start, end in itertools.pairwise([0, *split_at, len(stream)]):
        yield stream[start:end]


@given(VALUES, st.sampled_from([None, 1, "\t"]), st.sampled_from(["", "\n", "\r\n\r\n \t"]), st.data())
def test_values_are_the_same_for_any_split_and_any_indentation(
    values: list[Any], indent: int | None, separator: str, data: st.DataObject
) -> None:
    stream = "".join(
        json.dumps(value, indent=indent, ensure_ascii=data.draw(st.booleans())) + separator for value in values
    ).encode()
    split_at = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=6)))
    reader, values_read = JsonStreamReader(1 << 20), []
    for chunk in chunks(stream, split_at):
        values_read += reader.feed(chunk)
    assert values_read == values
    assert not reader.is_mid_value


@pytest.mark.parametrize(
    "stream",
    [
        b"7",
        b"null\n",
        b"x{}",
        b"}",
        b'{"a": 1,}',
        b"[1}",
        b'{"a\nb": 1}',
        b'{"a": NaN}',
        b'["\\q"]',
        b'["\xff"]',
        b"[" * 40,
        b'{"a": ' * (MAX_DEPTH + 1),
        b"[1]]",
        b'["' + b"a" * 2000,
    ],
)
@pytest.mark.parametrize("step", [1, 1 << 20])
def test_invalid_stream_raises_an_error_at_this_and_each_later_feed(stream: bytes, step: int) -> None:
    reader = JsonStreamReader(1000)
    values: list[Any] = []

    def feed_all() -> None:
        for position in range(0, len(stream), step):
            values.extend(reader.feed(stream[position : position + step]))
        reader.feed(b"")

    with pytest.raises(JsonStreamError):
        feed_all()
    assert len(values) <= 1
    assert not reader.is_mid_value
    with pytest.raises(JsonStreamError):
        reader.feed(b"{}")


def test_values_before_an_error_are_returned_first() -> None:
    reader = JsonStreamReader(1000)
    assert reader.feed(b'{"a": 1}\n{"b": 2}oops') == [{"a": 1}, {"b": 2}]
    with pytest.raises(JsonStreamError):
        reader.feed(b"")


# -- long objects in parts -----------------------------------------------------------------------------------------

REQUIRED_KEYS = ("version", "full")
MAX_VALUE_BYTES = 2000
ERROR_MARK = "error"


def read_all(stream: bytes, split_at: Iterable[int], step_bytes: int = 64) -> list[Any]:
    """Return the values, with the parts of each object joined, followed by the type of the error or `is_mid_value`."""
    reader = JsonStreamReader(MAX_VALUE_BYTES, "servers", REQUIRED_KEYS, step_bytes)
    values: list[Any] = []
    try:
        for chunk in chunks(stream, split_at):
            for value in reader.feed(chunk):
                if not isinstance(value, ObjectPart):
                    values.append(value)
                elif value.is_first:
                    assert "servers" not in value.members
                    values.append([dict(value.members), list(value.elements), value.is_last])
                else:
                    assert values[-1][0] == value.members
                    assert not values[-1][2]
                    values[-1][1] += value.elements
                    values[-1][2] = value.is_last
        reader.feed(b"")
    except ValueError as error:
        assert not reader.is_mid_value
        return [*values, ERROR_MARK, type(error)]
    return [*values, reader.is_mid_value]


ELEMENTS: list[Any] = [{"a": 1}, {}, 7, "x},{", [1, [2, {"b": "]"}]], None, {"c": '\\"},'}, {"d": {"e": {}}}, "", -1e3]


@pytest.mark.parametrize("indent", [None, 0, 3])
@pytest.mark.parametrize("elements", [ELEMENTS * 2, [{"id": number} for number in range(20)], ["y" * 140, {}, 3]])
def test_long_object_is_returned_in_parts_with_the_same_content_for_any_split(
    indent: int | None, elements: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(json_object_parts, "BATCH_PARSE_BYTES", 24)
    long = {"version": 7, "full": True, "servers": elements}
    short = {"version": 8, "full": False, "servers": [{}]}
    stream = b"\n".join(json.dumps(value, indent=indent).encode() for value in (long, short, long)) + b"\n"
    assert len(json.dumps(short, indent=indent)) < 160 < len(json.dumps(long))
    joined = [{"version": 7, "full": True}, elements, True]
    expected = [joined, short, joined, False]
    for position in range(len(stream) + 1):
        assert read_all(stream, [position], 160) == expected, position
    for chunk_bytes in (1, 2, 3, 7, 31):
        assert read_all(stream, range(chunk_bytes, len(stream), chunk_bytes), 160) == expected, chunk_bytes
    assert read_all(stream, [], step_bytes=len(stream)) == [long, short, long, False]


@pytest.mark.parametrize(
    "text",
    [
        b'{"version":1,"full":true,"servers":[%s],"more":{"servers":[1]},"x":"]}"}',
        b'{"servers":[%s],"version":1,"full":true}',
        b'{"version":1,"servers":[%s],"full":true}',
        b'[{"version":1,"full":true,"servers":[%s]}]',
        b'{"version":1,"full":true,"x":{"servers":[%s]}}',
        b'{"version":1,"full":true,"\\"servers":[%s]}',
        b'{"version":1,"full":true,"servers":{"servers":[%s]}}',
        b' {"full":0 , "version":{"servers":[[]]},"servers" : [ %s ] } ',
    ],
)
def test_object_is_returned_in_parts_only_if_the_required_members_precede_the_array(text: bytes) -> None:
    stream = text % (b'{"id":1},' * 20 + b"{}")
    value = json.loads(stream)
    is_returned_in_parts = (
        isinstance(value, dict)
        and {*[*value][:2]} == {*REQUIRED_KEYS}
        and "servers" in value
        and isinstance(value["servers"], list)
    )
    joined = [{key: value[key] for key in REQUIRED_KEYS}, value["servers"], True] if is_returned_in_parts else value
    expected = [joined, False]
    for position in range(len(stream) + 1):
        assert read_all(stream, [position]) == expected, position
    assert read_all(stream, range(1, len(stream))) == expected


VALID_START = b'{"version":1,"full":true,"servers":[' + b'{"id":1},' * 20
MALFORMED_RESTS = [
    b"{},,{}]}",
    b"{},]}",
    b"{}}",
    b"{}]]",
    b"{} {}]}",
    b'{"a":NaN},{}]}',
    b'{"a":1,},{}]}',
    b'{"a\n":1},{}]}',
    b"[" * 40 + b"]" * 40 + b",{}]}",
    b'{"a":' * 31 + b"1" + b"}" * 31 + b",{}]}",
    b'"' + b"y" * 70 + b'",{}]}',
    b" " * 70 + b"{},{}]}",
    b"[}],{}]}",
    b"{]},{}]}",
    b'{}],"version":2}',
    b'{}],"servers":[]}',
    b'{}],"x":}',
    b"{},x,{}]}",
    b'"\xff",{}]}',
    b'{}],"x":"' + b"y" * 3000 + b'"}',
    b'{"a":Infinity}]}',
    b"\0{\0},{}]}",
]


@pytest.mark.parametrize("malformed", MALFORMED_RESTS, ids=repr)
@pytest.mark.parametrize("batch_parse_bytes", [24, 1 << 20])
def test_elements_before_an_error_in_a_long_array_are_returned_first(
    malformed: bytes, batch_parse_bytes: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(json_object_parts, "BATCH_PARSE_BYTES", batch_parse_bytes)
    stream = VALID_START + malformed + b"\n{}"
    expected = read_all(stream, range(1, len(stream)))
    assert expected[-2:] == [ERROR_MARK, JsonStreamError]
    assert len(expected) == 3
    members, elements, is_last = expected[0]
    assert members == {"version": 1, "full": True}
    assert elements[:20] == [{"id": 1}] * 20
    assert not is_last
    assert elements[20:] in ([], [{}])
    for position in range(len(stream) + 1):
        assert read_all(stream, [position]) == expected, position


def test_long_object_counts_as_incomplete_until_its_end() -> None:
    reader = JsonStreamReader(1000, "servers", REQUIRED_KEYS, 64)
    assert reader.feed(VALID_START)[0].elements == [{"id": 1}] * 20
    assert reader.is_mid_value  # although none of its bytes are buffered
    last_part = reader.feed(b"{}]}")[-1]
    assert isinstance(last_part, ObjectPart)
    assert last_part.is_last
    assert not reader.is_mid_value


def test_long_object_is_read_in_bounded_memory_and_linear_time() -> None:
    """Guards against unbounded buffering, and against repeated parsing, which takes more than linear time.

    The time is compared with that for a quarter of the elements, for small and for large chunks.
    """

    def seconds_to_read(element_count: int, chunk_bytes: int) -> float:
        reader, max_buffered, elements_read = JsonStreamReader(1 << 20, "servers", REQUIRED_KEYS), 0, 0
        stream = (
            b'{"version":1,"full":true,"servers":['
            + b",".join(
                b'{"id":"s-%08d","addr":"10.0.0.1:3000","state":"SERVING"}' % number for number in range(element_count)
            )
            + b"]}"
        )
        started_at = time.process_time()
        for position in range(0, len(stream), chunk_bytes):
            for part in reader.feed(stream[position : position + chunk_bytes]):
                elements_read += len(part.elements)
            max_buffered = max(max_buffered, len(reader._scanner.data))
        assert elements_read == element_count
        assert max_buffered <= 2 * DEFAULT_STEP_BYTES
        assert not reader.is_mid_value
        return time.process_time() - started_at

    for chunk_bytes in (7, 16 * 1024):
        short, long = (
            min(seconds_to_read(element_count, chunk_bytes) for _ in range(3)) for element_count in (4000, 16_000)
        )
        assert long < 10 * short, chunk_bytes  # 4 times if linear, 16 times if bytes are parsed repeatedly


def test_long_element_in_small_chunks_is_not_parsed_repeatedly(monkeypatch: pytest.MonkeyPatch) -> None:
    parsed_bytes = 0
    take_batch = ObjectPartsReader._take_batch

    def count_and_take_batch(self: ObjectPartsReader, elements: list[Any]) -> bool:
        nonlocal parsed_bytes
        parsed_bytes += len(self._scanner.data)
        return take_batch(self, elements)

    monkeypatch.setattr(ObjectPartsReader, "_take_batch", count_and_take_batch)
    element = b'{"a":[' + b'{"b":1},' * 6000 + b"0]}"
    stream = b'{"version":1,"full":true,"servers":[' + b",".join([b"{}"] * 30_000) + b"," + element + b",{}]}"
    for chunk_bytes in (16, 1024):
        parsed_bytes = 0
        reader = JsonStreamReader(1 << 20, "servers", REQUIRED_KEYS)
        for position in range(0, len(stream), chunk_bytes):
            reader.feed(stream[position : position + chunk_bytes])
        assert not reader.is_mid_value
        assert parsed_bytes < 3 * len(stream)
