"""JSON values out of a stream: the same for any split, one error for what can't be read."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
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


@given(VALUES, st.sampled_from([None, 1, "\t"]), st.sampled_from(["", "\n", "\r\n\r\n \t"]), st.data())
def test_values_are_the_same_for_any_split_and_any_indentation(
    values: list[Any], indent: int | None, between: str, data: st.DataObject
) -> None:
    stream = "".join(
        json.dumps(value, indent=indent, ensure_ascii=data.draw(st.booleans())) + between for value in values
    ).encode()
    cuts = sorted(data.draw(st.lists(st.integers(0, len(stream)), max_size=6)))
    reader, found = JsonStreamReader(1 << 20), []
    for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
        found += reader.feed(stream[begin:end])
    assert found == values
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
def test_invalid_stream_raises_for_good(stream: bytes, step: int) -> None:
    reader = JsonStreamReader(1000)
    values: list[Any] = []

    def feed_all() -> None:
        for at in range(0, len(stream), step):
            values.extend(reader.feed(stream[at : at + step]))
        reader.feed(b"")

    with pytest.raises(JsonStreamError):
        feed_all()
    assert len(values) <= 1
    assert not reader.is_mid_value
    with pytest.raises(JsonStreamError):
        reader.feed(b"{}")


def test_values_before_a_fault_are_returned_first() -> None:
    reader = JsonStreamReader(1000)
    assert reader.feed(b'{"a": 1}\n{"b": 2}oops') == [{"a": 1}, {"b": 2}]
    with pytest.raises(JsonStreamError):
        reader.feed(b"")


# -- long objects in parts -----------------------------------------------------------------------------------------

NAMES = ("version", "full")


def read_all(stream: bytes, cuts: Iterable[int], step: int = 64, most: int = 2000) -> list[Any]:
    """Return the values, the parts of each object joined, and then the type of the fault or `is_mid_value`."""
    reader = JsonStreamReader(most, "servers", NAMES, step)
    cuts = [*cuts]
    found: list[Any] = []
    try:
        for begin, end in zip([0, *cuts], [*cuts, len(stream)], strict=True):
            for value in reader.feed(stream[begin:end]):
                if not isinstance(value, ObjectPart):
                    found.append(value)
                elif value.is_first:
                    assert "servers" not in value.members
                    found.append([dict(value.members), list(value.elements), value.is_last])
                else:
                    assert found[-1][0] == value.members
                    assert not found[-1][2]
                    found[-1][1] += value.elements
                    found[-1][2] = value.is_last
        reader.feed(b"")
    except ValueError as error:
        assert not reader.is_mid_value
        return [*found, "fault", type(error)]
    return [*found, reader.is_mid_value]


ELEMENTS: list[Any] = [{"a": 1}, {}, 7, "x},{", [1, [2, {"b": "]"}]], None, {"c": '\\"},'}, {"d": {"e": {}}}, "", -1e3]


@pytest.mark.parametrize("indent", [None, 0, 3])
@pytest.mark.parametrize("elements", [ELEMENTS * 2, [{"id": number} for number in range(20)], ["y" * 140, {}, 3]])
def test_long_object_comes_in_parts_that_are_the_same_for_any_split(
    indent: int | None, elements: list[Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(json_object_parts, "BATCH_PARSE_BYTES", 24)
    told = {"version": 7, "full": True, "servers": elements}
    short = {"version": 8, "full": False, "servers": [{}]}
    stream = b"\n".join(json.dumps(each, indent=indent).encode() for each in (told, short, told)) + b"\n"
    assert len(json.dumps(short, indent=indent)) < 160 < len(json.dumps(told))
    parted = [{"version": 7, "full": True}, elements, True]
    expected = [parted, short, parted, False]
    for cut in range(len(stream) + 1):
        assert read_all(stream, [cut], 160) == expected, cut
    for step in (1, 2, 3, 7, 31):
        assert read_all(stream, range(step, len(stream), step), 160) == expected, step
    assert read_all(stream, [], step=len(stream)) == [told, short, told, False]


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
def test_object_with_another_or_too_early_array_comes_whole(text: bytes) -> None:
    stream = text % (b'{"id":1},' * 20 + b"{}")
    told = json.loads(stream)
    parted = (
        isinstance(told, dict)
        and {*[*told][:2]} == {*NAMES}
        and "servers" in told
        and isinstance(told["servers"], list)
    )
    expected = [[{name: told[name] for name in NAMES}, told["servers"], True], False] if parted else [told, False]
    for cut in range(len(stream) + 1):
        assert read_all(stream, [cut]) == expected, cut
    assert read_all(stream, range(1, len(stream))) == expected


SOUND = b'{"version":1,"full":true,"servers":[' + b'{"id":1},' * 20
FAULTS = [
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


@pytest.mark.parametrize("fault", FAULTS, ids=repr)
@pytest.mark.parametrize("quick", [24, 1 << 20])
def test_elements_before_a_fault_in_a_long_array_are_returned_first(
    fault: bytes, quick: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(json_object_parts, "BATCH_PARSE_BYTES", quick)
    stream = SOUND + fault + b"\n{}"
    expected = read_all(stream, range(1, len(stream)))
    assert expected[-2:] == ["fault", JsonStreamError]
    assert len(expected) == 3
    head, elements, last = expected[0]
    assert head == {"version": 1, "full": True}
    assert elements[:20] == [{"id": 1}] * 20
    assert not last
    assert elements[20:] in ([], [{}])
    for cut in range(len(stream) + 1):
        assert read_all(stream, [cut]) == expected, cut


def test_long_object_counts_as_incomplete_until_its_end() -> None:
    reader = JsonStreamReader(1000, "servers", NAMES, 64)
    assert reader.feed(SOUND)[0].elements == [{"id": 1}] * 20
    assert reader.is_mid_value  # though no byte of it is held
    last_part = reader.feed(b"{}]}")[-1]
    assert isinstance(last_part, ObjectPart)
    assert last_part.is_last
    assert not reader.is_mid_value


def test_long_object_is_read_in_bounded_memory_and_linear_time() -> None:
    """Element by element in drops, and whole: the bytes that are held, and the time against half the length."""

    def read(size: int, piece: int) -> float:
        reader, held, count = JsonStreamReader(1 << 20, "servers", NAMES), 0, 0
        stream = (
            b'{"version":1,"full":true,"servers":['
            + b",".join(b'{"id":"s-%08d","addr":"10.0.0.1:3000","state":"SERVING"}' % number for number in range(size))
            + b"]}"
        )
        began = time.process_time()
        for at in range(0, len(stream), piece):
            for part in reader.feed(stream[at : at + piece]):
                count += len(part.elements)
            held = max(held, len(reader._scanner.data))
        assert count == size
        assert held <= 2 * DEFAULT_STEP_BYTES
        assert not reader.is_mid_value
        return time.process_time() - began

    for piece in (7, 16 * 1024):
        short, long = (min(read(size, piece) for _ in range(3)) for size in (4000, 16_000))
        assert long < 10 * short, piece  # 4 times where it is linear, 16 where it looks again at what it has seen


def test_long_element_in_small_pieces_is_not_parsed_again_and_again(monkeypatch: pytest.MonkeyPatch) -> None:
    looked = 0
    take_several = ObjectPartsReader._take_several

    def counted(self: ObjectPartsReader, elements: list[Any]) -> bool:
        nonlocal looked
        looked += len(self._scanner.data)
        return take_several(self, elements)

    monkeypatch.setattr(ObjectPartsReader, "_take_several", counted)
    element = b'{"a":[' + b'{"b":1},' * 6000 + b"0]}"
    stream = b'{"version":1,"full":true,"servers":[' + b",".join([b"{}"] * 30_000) + b"," + element + b",{}]}"
    for step in (16, 1024):
        looked = 0
        reader = JsonStreamReader(1 << 20, "servers", NAMES)
        for at in range(0, len(stream), step):
            reader.feed(stream[at : at + step])
        assert not reader.is_mid_value
        assert looked < 3 * len(stream)
