"""Reads one JSON object that is too long for one value: runs of the elements of its array, then its other members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .json_scanner import MAX_DEPTH, NOT_BLANK, OBJECT_DEPTH, JsonScanner, JsonStreamError, parse_json

BATCH_PARSE_BYTES = 2 * 1024  # bytes from which on elements are parsed together: one by one costs ten times as much
MIN_ELEMENT_DEPTH = 3  # of an element that is an object or array itself


@dataclass(frozen=True, slots=True)
class ObjectPart:
    """A run of array elements, in order, of an object that is too long for one value.

    Attributes:
        members: The members before the array: the same in each part.
        elements: The next elements of the array; none in the last part.
        is_first: Whether this is the first part of the object.
        is_last: Whether the object is complete and valid.
    """

    members: dict[str, Any]
    elements: list[Any]
    is_first: bool
    is_last: bool


def check_value_size(size: int, max_value_bytes: int) -> None:
    """Raise `JsonStreamError` if a value, or the part of it that was received, is too long."""
    if size > max_value_bytes:
        raise JsonStreamError(
            f"a value of more than {max_value_bytes} bytes",
            expected=f"<= {max_value_bytes} bytes",
            found=f"{size} bytes",
        )


class ObjectPartsReader:
    """Reads an object from the first element of its array on.

    Attributes:
        is_complete: Whether the last part has been returned.
    """

    def __init__(
        self, scanner: JsonScanner, members: dict[str, Any], array_key: str, max_value_bytes: int, step_bytes: int
    ) -> None:
        """Start where the scanner's buffer begins with the elements of the array.

        Args:
            scanner: Holds the bytes.
            members: The members before the array.
            array_key: Key of the array.
            max_value_bytes: Bytes that the members after the array may have.
            step_bytes: Bytes that one element may have.
        """
        self.is_complete = False
        self._scanner = scanner
        self._members = members
        self._array_key = array_key
        self._max_value_bytes = max_value_bytes
        self._step_bytes = step_bytes
        self._in_array = True
        self._part_returned = False
        self._array_has_elements = False
        self._parse_one_by_one = False  # until more bytes are received

    def bytes_received(self) -> None:
        """Note that there are more bytes: several elements may be parsed together again."""
        self._parse_one_by_one = False

    def advance(self, values: list[Any]) -> bool:
        """Append the parts that the received bytes complete; return whether the object is complete."""
        if self._in_array:
            self._read_elements(values)
        if not self._in_array:
            self._read_members_after_array(values)
        return self.is_complete

    def _read_elements(self, values: list[Any]) -> None:
        elements: list[Any] = []
        try:
            while self._in_array and self._take_elements(elements):
                pass
        finally:  # what precedes an error is returned first
            if elements:
                self._append_part(values, elements, is_last=False)

    def _append_part(self, values: list[Any], elements: list[Any], is_last: bool) -> None:
        values.append(ObjectPart(self._members, elements, is_first=not self._part_returned, is_last=is_last))
        self._part_returned = True

    def _read_members_after_array(self, values: list[Any]) -> None:
        data = self._scanner.data
        end = self._scanner.find_value_end(OBJECT_DEPTH, len(data))
        check_value_size(end or len(data), self._max_value_bytes)
        if end is None:
            return
        members_after = parse_json(b'{"":0' + data[:end])
        for key in members_after:
            if key == self._array_key or key in self._members:
                raise JsonStreamError(f"{key}: told twice", field=key, expected="one such member")
        self._append_part(values, [], is_last=True)
        self.is_complete = True
        self._scanner.discard(end)

    def _take_elements(self, elements: list[Any]) -> bool:
        """Append the next elements of the array; return False while they were not received."""
        enough_for_batch = len(self._scanner.data) >= BATCH_PARSE_BYTES
        if enough_for_batch and not self._parse_one_by_one and not self._scanner.has_begun:
            if self._take_several(elements):
                return True
            self._parse_one_by_one = True
        return self._take_one(elements)

    def _take_one(self, elements: list[Any]) -> bool:
        """Append the next element, if there is one; return False at the end of the array or of the bytes."""
        data = self._scanner.data
        end = self._scanner.find_element_end()
        self._check_element_size(len(data) if end is None else end - 1)
        if end is None:
            return False
        text = data[: end - 1]
        is_last = data[end - 1 : end] == b"]"
        if self._array_has_elements or not is_last or NOT_BLANK.search(text):
            elements.append(parse_json(text))
        self._array_has_elements = True
        self._in_array = not is_last
        self._scanner.discard(end)
        return not is_last

    def _check_element_size(self, size: int) -> None:
        if size > self._step_bytes:
            raise JsonStreamError(
                f"{self._array_key}: an element of more than {self._step_bytes} bytes",
                field=self._array_key,
                expected=f"<= {self._step_bytes} bytes",
                found=f"{size} bytes",
            )

    def _take_several(self, elements: list[Any]) -> bool:
        """Append all elements up to the last that surely ends in the buffer, parsed in one go.

        If the bytes up to there are valid, they are the elements, whatever the comma belongs to.

        Returns:
            False if they have to be parsed one by one, for an error, or a comma that is inside one of them.
        """
        data = self._scanner.data
        end = data.rfind(b"},", 0, self._step_bytes + 1) + 1
        if not end:
            return False
        text = data[:end]
        try:
            several = parse_json(b"[" + text + b"]")
        except (ValueError, RecursionError):
            return False
        brackets_inside = text.count(b"{") + text.count(b"[") - _count_containers(several)
        if brackets_inside > MAX_DEPTH - MIN_ELEMENT_DEPTH:  # one of them may be too deep
            return False
        elements += several
        self._array_has_elements = True
        self._scanner.discard(end + 1)
        return True


def _count_containers(elements: list[Any]) -> int:
    return sum(isinstance(element, (dict, list)) for element in elements)
