"""Incremental reader of a stream of JSON values (RFC 8259): bytes in, values out, the same for any split.

The values may be separated by blanks, line ends or nothing. Memory is bounded: an object that is longer than the reader
may buffer can come in parts, a run of array elements each.

The parts: `json_scanner.py` finds where values end, `json_object_parts.py` reads an object that comes in parts.
"""

from __future__ import annotations

from typing import Any

from .json_object_parts import ObjectPart, ObjectPartsReader, check_value_size
from .json_scanner import MAX_DEPTH, JsonScanner, JsonStreamError, parse_json

__all__ = ["DEFAULT_STEP_BYTES", "MAX_DEPTH", "JsonStreamError", "JsonStreamReader", "ObjectPart"]

DEFAULT_STEP_BYTES = 64 * 1024  # bytes: a longer object comes in parts, if it may; also the limit of one element of it
SCAN_BYTES = 16 * 1024  # bytes that are scanned in one go
TOP_LEVEL_DEPTH = 0


def _as_stream_error(error: Exception) -> JsonStreamError:
    """Return a new error without a traceback, which would keep the buffers alive that its frames refer to."""
    if isinstance(error, JsonStreamError):
        return JsonStreamError(str(error), field=error.field, expected=error.expected, found=error.found)
    return JsonStreamError(str(error))


class JsonStreamReader:
    """Splits a stream into objects and arrays; only blanks may be between them.

    Objects of more than `step_bytes` come as `ObjectPart`s instead if their member `array_key` is an array that begins
    within these bytes, after the members `required_keys`, which readers need before the elements. The elements are
    bounded by `step_bytes` each, and `max_value_bytes` bounds what follows the array, so that memory is bounded however
    long the object is. An element is returned once the comma or bracket after it was received, and none after an error.

    Attributes:
        max_value_bytes: Bytes that one value may have.
        array_key: Key of the array that may come in parts; empty if there is none.
        required_keys: Keys of the members that have to precede the array.
        step_bytes: Bytes from which on an object comes in parts.
        error: The error that ended the reading, since the start of the next value is not known; None while there is
            none.
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
        self._exceeds_step = False  # the value is longer than a step, and does not come in parts so far
        self._parts: ObjectPartsReader | None = None  # reads the object that comes in parts; None if none does

    @property
    def is_mid_value(self) -> bool:
        """Whether a value has begun and is not complete."""
        return bool(self._scanner.data) or self._parts is not None

    def feed(self, data: bytes) -> list[Any]:
        """Return the values, and parts of values, that these bytes complete.

        Raises:
            JsonStreamError: From the first error on, always; an error after a value is raised by the next call.
        """
        if self.error:
            raise self.error
        values: list[Any] = []
        try:
            for start in range(0, len(data), SCAN_BYTES):
                self._scanner.data += data[start : start + SCAN_BYTES]
                if self._parts is not None:
                    self._parts.bytes_received()
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
        """Take one step; return whether there may be another one."""
        if self._parts is None:
            return self._read_value(values)
        if not self._parts.advance(values):
            return False
        self._parts = None
        return True

    def _read_value(self, values: list[Any]) -> bool:
        """Append the value that the buffer begins with, if it is complete, or begin to read it in parts."""
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
        """Read the object that the buffer begins with in parts from now on, if that is possible."""
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
