"""Reads a JSON object that is too long to return as one value: its array in batches, then the members after it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .json_scanner import MAX_DEPTH, NOT_BLANK, OBJECT_DEPTH, JsonScanner, JsonStreamError, parse_json

BATCH_PARSE_BYTES = 2 * 1024  # buffered bytes from which elements are parsed in batches, ten times as fast as singly
MIN_ELEMENT_DEPTH = 3  # levels of nesting in an element that is an object or array itself


@dataclass(frozen=True, slots=True)
class ObjectPart:
    """Consecutive array elements of an object that is too long to return as one value.

    Attributes:
        members: The members before the array, repeated in each part.
        elements: The next elements of the array; none in the last part.
        is_first: Whether this is the first part of the object.
        is_last: Whether the object is complete and valid.
    """

    members: dict[str, Any]
    elements: list[Any]
    is_first: bool
    is_last: bool


def check_value_size(size: int, max_value_bytes: int) -> None:
    """Raise `JsonStreamError` if a value, or its received part, has more than `max_value_bytes`."""
    if size > max_value_bytes:
        raise JsonStreamError(
            f"a value of more than {max_value_bytes} bytes",
            expected=f"<= {max_value_bytes} bytes",
            found=f"{size} bytes",
        )


class ObjectPartsReader:
    """Reads the rest of an object, starting at the first element of its array.

    Attributes:
        is_complete: Whether the last part has been returned.
    """

    def __init__(
        self, scanner: JsonScanner, members: dict[str, Any], array_key: str, max_value_bytes: int, step_bytes: int
    ) -> None:
        """Prepare to read from a scanner whose buffer begins with the elements of the array.

        Args:
            scanner: Scanner of the buffered bytes.
            members: The members before the array.
            array_key: Key of the array.
            max_value_bytes: Maximum size of the members after the array.
            step_bytes: Maximum size of one element.
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
        self._parse_one_by_one = False  # set when a batch does not parse, until more bytes are received

    def on_bytes_received(self) -> None:
        """Allow batches again, because more bytes were received."""
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
        finally:  # elements before an error are returned first
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
                raise JsonStreamError(f"{key}: duplicate member", field=key, expected="one member with this key")
        self._append_part(values, [], is_last=True)
        self.is_complete = True
        self._scanner.discard(end)

    def _take_elements(self, elements: list[Any]) -> bool:
        """Append the next elements; return False at the end of the array or of the received bytes."""
        enough_for_batch = len(self._scanner.data) >= BATCH_PARSE_BYTES
        if enough_for_batch and not self._parse_one_by_one and not self._scanner.has_begun:
            if self._take_batch(elements):
                return True
            self._parse_one_by_one = True
        return self._take_one(elements)

    def _take_one(self, elements: list[Any]) -> bool:
        """Append the next element, if there is one; return False at the end of the array or of the received bytes."""
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

    def _take_batch(self, elements: list[Any]) -> bool:
        """Append the elements before the last `},` in the buffer, parsed together as one array.

        The comma may be inside an element or after the array. The bytes before it are then not valid as elements, so if
        they are valid, they are exactly the next elements.

        Returns:
            False if the elements have to be parsed one by one: the bytes are not valid, or may be nested too deeply.
        """
        data = self._scanner.data
        end = data.rfind(b"},", 0, self._step_bytes + 1) + 1
        if not end:
            return False
        text = data[:end]
        try:
            parsed_elements = parse_json(b"[" + text + b"]")
        except (ValueError, RecursionError):
            return False
        brackets_inside = text.count(b"{") + text.count(b"[") - _count_containers(parsed_elements)
        if brackets_inside > MAX_DEPTH - MIN_ELEMENT_DEPTH:  # an element may be nested too deeply
            return False
        elements += parsed_elements
        self._array_has_elements = True
        self._scanner.discard(end + 1)
        return True


def _count_containers(elements: list[Any]) -> int:
    return sum(isinstance(element, (dict, list)) for element in elements)
