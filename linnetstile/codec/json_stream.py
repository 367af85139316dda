"""Incremental reader of a stream of JSON values (RFC 8259); the values are the same however the bytes are split.

The values may be separated by blanks, line ends or nothing. Memory is bounded: an object that is longer than the reader
may buffer can be returned in parts with consecutive array elements.

`json_scanner.py` finds the ends of values, `json_object_parts.py` reads an object that is returned in parts.
"""

from __future__ import annotations

from typing import Any

from .json_object_parts import ObjectPart, ObjectPartsReader, check_value_size
from .json_scanner import MAX_DEPTH, JsonScanner, JsonStreamError, parse_json

__all__ = ["DEFAULT_STEP_BYTES", "MAX_DEPTH", "JsonStreamError", "JsonStreamReader", "ObjectPart"]

DEFAULT_STEP_BYTES = 64 * 1024  # size above which an object may be returned in parts; maximum size of an element
SCAN_BYTES = 16 * 1024  # bytes that are buffered before each scan
TOP_LEVEL_DEPTH = 0


def _as_stream_error(error: Exception) -> JsonStreamError:
    """Return a copy of the error without its traceback, because the frames in it would keep the buffers in memory."""
    if isinstance(error, JsonStreamError):
        return JsonStreamError(str(error), field=error.field, expected=error.expected, found=error.found)
    return JsonStreamError(str(error))


class JsonStreamReader:
    """Splits a stream into objects and arrays; only blanks may be between them.

    An object of more than `step_bytes` is returned as `ObjectPart`s if its member `array_key` is an array that begins
    within these bytes, after the members `required_keys`, which callers need before the elements. Each element may have
    `step_bytes`, and the members after the array `max_value_bytes`, so memory is bounded regardless of the length of
    the object. An element is returned once the comma or bracket after it is received; none is returned after an error.

    Attributes:
        max_value_bytes: Maximum size of one value.
        array_key: Key of the array that may be returned in parts; empty if there is none.
        required_keys: Keys of the members that have to precede the array.
        step_bytes: Size above which an object is returned in parts.
        error: The error that stopped the reader, as the start of the next value is unknown after it; None before an
            error.
    """

    def __init__(
        self,
        max_value_bytes: int,
        array_key: str = "",
        required_keys: tuple[str, ...] = (),
        step_bytes: int = DEFAULT_STEP_BYTES,
    ) -> None:
        self.max_value_bytes = max_value_bytes
        self.array_key = array_key
        self.required_keys = required_keys
        self.step_bytes = step_bytes
        self.error: JsonStreamError | None = None
        self._scanner = JsonScanner(array_key)
        self._exceeds_step = False  # the value has more than `step_bytes` and is not read in parts
        self._parts: ObjectPartsReader | None = None  # reader of an object in parts; None outside of such an object

    @property
    def is_mid_value(self) -> bool:
        """Whether a value has begun and is not complete."""
        return bool(self._scanner.data) or self._parts is not None

    def feed(self, data: bytes) -> list[Any]:
        """Return the values, and parts of values, that these bytes complete.

        Raises:
            JsonStreamError: The stream is invalid. Values before the error are returned first, and every later call
                raises the error.
        """
        if self.error:
            raise self.error
        values: list[Any] = []
        try:
            for start in range(0, len(data), SCAN_BYTES):
                self._scanner.data += data[start : start + SCAN_BYTES]
                if self._parts is not None:
                    self._parts.on_bytes_received()
                while self._advance(values):
                    pass
        except (ValueError, RecursionError) as error:  # UnicodeDecodeError and JSONDecodeError are ValueErrors
            self.error = _as_stream_error(error)
            self._scanner.data.clear()
            self._parts = None
            if not values:
                raise self.error from error
        return values

    def _advance(self, values: list[Any]) -> bool:
        """Read at most one value or part of the buffer; return whether another call may read more."""
        if self._parts is None:
            return self._read_value(values)
        if not self._parts.advance(values):
            return False
        self._parts = None
        return True

    def _read_value(self, values: list[Any]) -> bool:
        """Append the value at the start of the buffer if it is complete, or begin to read it in parts."""
        data = self._scanner.data
        end = self._scanner.find_value_end(TOP_LEVEL_DEPTH, len(data) if self._exceeds_step else self.step_bytes)
        if end is None and not self._exceeds_step and len(data) > self.step_bytes:
            self._exceeds_step = True
            self._begin_parts()
            return True
        check_value_size(end or len(data), self.max_value_bytes)
        if end is None:
            return False
        values.append(parse_json(data[:end]))
        self._discard(end)
        return True

    def _begin_parts(self) -> None:
        """Begin to read the object at the start of the buffer in parts, if its members allow it."""
        elements_start = self._scanner.elements_start
        if not elements_start:
            return
        members = parse_json(self._scanner.data[:elements_start] + b"]}")
        has_required_members = all(key in members for key in self.required_keys)
        if members.get(self.array_key) != [] or not has_required_members:
            return
        del members[self.array_key]
        self._parts = ObjectPartsReader(self._scanner, members, self.array_key, self.max_value_bytes, self.step_bytes)
        self._discard(elements_start)

    def _discard(self, end: int) -> None:
        """Drop the bytes before `end`, where another value or the elements of an array begin."""
        self._scanner.discard(end)
        self._exceeds_step = False
