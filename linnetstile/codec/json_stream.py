"""Incremental reader of a stream of JSON texts (RFC 8259): bytes in, values out, the same for any split.

The texts may be separated by blanks, line ends or nothing. Memory is bounded: an object that is longer than the reader
may hold can come in parts, a run of array elements each.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any, NoReturn

from ..errors import ProtocolError

NOT_BLANK = re.compile(rb"[^ \t\r\n]")
STRUCTURE = re.compile(rb'["{}\[\]]')  # what counts outside of strings
ELEMENT_STRUCTURE = re.compile(rb'["{}\[\],]')  # the same among the elements of an array
STRING_STRUCTURE = re.compile(rb'["\\\x00-\x1f]')  # what counts inside of strings
MAX_DEPTH = 32  # levels of nesting: a list of endpoints has three
DEFAULT_STEP_BYTES = 64 * 1024  # bytes: a longer object comes in parts, if it may; also the limit of one element of it
SCAN_BYTES = 16 * 1024  # bytes that are scanned in one go
BATCH_PARSE_BYTES = 2 * 1024  # bytes from which on elements are parsed together: one by one costs ten times as much
ARRAY_KEY_SLACK = 64  # bytes for quotes, colon and blanks around the key of the array
OBJECT_DEPTH = 1  # inside the object that comes in parts
ELEMENT_DEPTH = 2  # inside its array
MIN_ELEMENT_DEPTH = 3  # of an element that is an object or array itself


class JsonStreamError(ProtocolError):
    """The stream is not JSON as this reader accepts it."""


def _reject_constant(text: str) -> NoReturn:
    raise JsonStreamError(f"{text} is no JSON", expected="a JSON number", found=text)  # json accepts NaN and Infinity


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def _parse(text: bytes | bytearray) -> Any:
    """Parse one JSON text, in UTF-8 alone: `json.loads` guesses at other encodings by the first bytes.

    Raises:
        ValueError: It is not JSON, or not UTF-8.
        RecursionError: It is nested too deeply.
    """
    return _DECODER.decode(text.decode("utf-8", "surrogatepass"))


def _as_stream_error(error: Exception) -> JsonStreamError:
    """Return a new error without a traceback, which would keep the buffers alive that its frames refer to."""
    if isinstance(error, JsonStreamError):
        return JsonStreamError(str(error), field=error.field, expected=error.expected, found=error.found)
    return JsonStreamError(str(error))


@dataclass(frozen=True, slots=True)
class ObjectPart:
    """A run of array elements, in order, of an object that is too long to come whole.

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


class JsonStreamReader:
    """Cuts objects and arrays out of a stream; only blanks may stand between them.

    Objects of more than `step_bytes` come as `ObjectPart`s instead if their member `array_key` is an array that begins
    within these bytes, behind the members `required_keys`: what those say of the rest has to be known first. The
    elements are bounded by `step_bytes` each, and `max_value_bytes` bounds what stands behind the array, so that memory
    is bounded however long the object is. An element comes once the comma or bracket behind it has come, and none that
    stands behind a fault.

    Attributes:
        max_value_bytes: Bytes that one value may have.
        array_key: Key of the array that may come in parts; empty if there is none.
        required_keys: Keys of the members that have to stand before the array.
        step_bytes: Bytes from which on an object comes in parts.
        error: The fault that ended the reading, since nothing says where the next value begins; None while there is
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
        self._array_opening = re.compile(rb'"%s"[ \t\r\n]*:[ \t\r\n]*\[\Z' % array_key.encode())
        self._buffer = bytearray()
        # The scan of the value or element that the buffer begins with.
        self._position = 0  # scanned up to here
        self._depth = 0
        self._in_string = False
        self._elements_start = 0  # where those of the array begin; 0: it has not been met
        self._exceeds_step = False  # longer than a step, and not in parts so far
        # The object that comes in parts.
        self._head: dict[str, Any] | None = None  # its members before the array; None: no object comes in parts
        self._in_array = False
        self._part_returned = False
        self._array_has_elements = False
        self._one_by_one = False  # elements are parsed alone until more bytes come

    @property
    def is_mid_value(self) -> bool:
        """Whether a value has begun and is not complete."""
        return bool(self._buffer) or self._head is not None

    def feed(self, data: bytes) -> list[Any]:
        """Return the values, and parts of values, that these bytes complete.

        Raises:
            JsonStreamError: For good from the first fault on; a fault behind a value is raised by the next call.
        """
        if self.error:
            raise self.error
        values: list[Any] = []
        try:
            for start in range(0, len(data), SCAN_BYTES):
                self._buffer += data[start : start + SCAN_BYTES]
                self._one_by_one = False
                while self._advance(values):
                    pass
        except (ValueError, RecursionError) as error:  # UnicodeDecodeError and JSONDecodeError are ValueErrors
            self.error = _as_stream_error(error)
            self._buffer.clear()
            self._head = None
            if not values:
                raise self.error from error
        return values

    def _advance(self, values: list[Any]) -> bool:
        """Take one step; return whether there may be another one."""
        if self._head is not None:
            return self._advance_in_parts(self._head, values)
        end = self._find_end(0, len(self._buffer) if self._exceeds_step else self.step_bytes)
        if end is None and not self._exceeds_step and len(self._buffer) > self.step_bytes:
            self._exceeds_step = True
            self._begin_parts()
            return True
        self._check_size(end)
        if end is None:
            return False
        values.append(_parse(self._buffer[:end]))
        self._discard(end)
        return True

    def _discard(self, end: int) -> None:
        """Drop what stands before `end` and begin another scan."""
        del self._buffer[:end]
        self._position = 0
        self._depth = 0
        self._elements_start = 0
        self._exceeds_step = False

    def _check_size(self, end: int | None) -> None:
        size = end or len(self._buffer)
        if size > self.max_value_bytes:
            raise JsonStreamError(
                f"a value of more than {self.max_value_bytes} bytes",
                expected=f"<= {self.max_value_bytes} bytes",
                found=f"{size} bytes",
            )

    # -- the scan for the end of a value ---------------------------------------------------------------------

    def _find_end(self, depth: int, stop: int) -> int | None:
        """Find where the value ends that the buffer begins with.

        Args:
            depth: Levels of nesting that the buffer begins in.
            stop: Where the scan stops.

        Returns:
            The end; None while it has not come, or lies behind `stop`.
        """
        if not self._depth:
            if not depth:
                self._skip_blanks()
            self._depth = depth
        while match := (STRING_STRUCTURE if self._in_string else STRUCTURE).search(self._buffer, self._position, stop):
            sign = match[0]
            if not self._count(sign, match.end()):
                return None
            if self._in_string or sign == b'"':
                continue
            if sign == b"[" and self._depth == ELEMENT_DEPTH and not self._elements_start and self.array_key:
                self._note_array_start()
            if not self._depth:
                return self._position
        self._position = max(self._position, min(stop, len(self._buffer)))
        return None

    def _skip_blanks(self) -> None:
        first = NOT_BLANK.search(self._buffer)
        if first and first[0] not in b"{[":
            raise JsonStreamError("neither an object nor an array", expected="{ or [", found=repr(first[0]))
        del self._buffer[: first.start() if first else len(self._buffer)]

    def _note_array_start(self) -> None:
        """Remember that the array begins here, if the bracket just scanned opens it."""
        if self._buffer[:1] != b"{":
            return
        near = self._buffer[max(0, self._position - len(self.array_key) - ARRAY_KEY_SLACK) : self._position]
        if self._array_opening.search(near):
            self._elements_start = self._position

    def _count(self, sign: bytes, end: int) -> bool:
        """Count one sign, which ends at `end`; return False if what it escapes has not come."""
        if sign == b'"':
            self._in_string = not self._in_string
        elif sign == b"\\":
            if end == len(self._buffer):
                self._position = end - 1
                return False
            end += 1
        elif self._in_string:
            raise JsonStreamError("a control character in a string", found=repr(sign))
        elif sign in b"{[":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise JsonStreamError(f"more than {MAX_DEPTH} levels", expected=f"<= {MAX_DEPTH} levels")
        elif sign in b"}]":
            self._depth -= 1
        self._position = end
        return True

    # -- objects that come in parts --------------------------------------------------------------------------

    def _begin_parts(self) -> None:
        """Let the object that the buffer begins with come in parts from now on, if it may."""
        head = _parse(self._buffer[: self._elements_start] + b"]}") if self._elements_start else {}
        if head.get(self.array_key) != [] or not all(key in head for key in self.required_keys):
            return
        del head[self.array_key]
        self._head = head
        self._in_array = True
        self._part_returned = False
        self._array_has_elements = False
        self._in_string = False
        self._discard(self._elements_start)

    def _advance_in_parts(self, head: dict[str, Any], values: list[Any]) -> bool:
        if self._in_array:
            self._read_elements(head, values)
            if self._in_array:
                return False
        return self._read_members_after_array(head, values)

    def _read_elements(self, head: dict[str, Any], values: list[Any]) -> None:
        elements: list[Any] = []
        try:
            while self._in_array and self._take_elements(elements):
                pass
        finally:  # what stands before a fault is returned first
            if elements:
                values.append(ObjectPart(head, elements, is_first=not self._part_returned, is_last=False))
                self._part_returned = True

    def _read_members_after_array(self, head: dict[str, Any], values: list[Any]) -> bool:
        end = self._find_end(OBJECT_DEPTH, len(self._buffer))
        self._check_size(end)
        if end is None:
            return False
        rest = _parse(b'{"":0' + self._buffer[:end])
        if repeated := [key for key in rest if key == self.array_key or key in head]:
            raise JsonStreamError(f"{repeated[0]}: told twice", field=repeated[0], expected="one such member")
        values.append(ObjectPart(head, [], is_first=not self._part_returned, is_last=True))
        self._head = None
        self._discard(end)
        return True

    def _take_elements(self, elements: list[Any]) -> bool:
        """Append the next elements of the array; return False while they have not come."""
        if not self._position and not self._one_by_one and len(self._buffer) >= BATCH_PARSE_BYTES:
            if self._take_several(elements):
                return True
            self._one_by_one = True
        end = self._find_separator()
        size = len(self._buffer) if end is None else end - 1
        if size > self.step_bytes:
            raise JsonStreamError(
                f"{self.array_key}: an element of more than {self.step_bytes} bytes",
                field=self.array_key,
                expected=f"<= {self.step_bytes} bytes",
                found=f"{size} bytes",
            )
        if end is None:
            return False
        text = self._buffer[: end - 1]
        is_last = self._buffer[end - 1 : end] == b"]"
        if self._array_has_elements or not is_last or NOT_BLANK.search(text):
            elements.append(_parse(text))
        self._array_has_elements = True
        self._in_array = not is_last
        self._discard(end)
        return not is_last

    def _take_several(self, elements: list[Any]) -> bool:
        """Append all elements up to the last that surely ends in the buffer, parsed in one go.

        What parses up to there is what was meant.

        Returns:
            False if they have to be parsed one by one, for a fault, or a comma that stands inside one of them.
        """
        end = self._buffer.rfind(b"},", 0, self.step_bytes + 1) + 1
        if not end:
            return False
        text = self._buffer[:end]
        try:
            several = _parse(b"[" + text + b"]")
        except (ValueError, RecursionError):
            return False
        nested = text.count(b"{") + text.count(b"[") - sum(isinstance(element, (dict, list)) for element in several)
        if nested > MAX_DEPTH - MIN_ELEMENT_DEPTH:  # one of them may be too deep
            return False
        elements += several
        self._array_has_elements = True
        self._discard(end + 1)
        return True

    def _find_separator(self) -> int | None:
        """Return the end of the comma or bracket behind the first element; None while that has not come."""
        self._depth = self._depth or ELEMENT_DEPTH
        while match := (
            STRING_STRUCTURE if self._in_string else ELEMENT_STRUCTURE if self._depth == ELEMENT_DEPTH else STRUCTURE
        ).search(self._buffer, self._position):
            sign = match[0]
            if not self._count(sign, match.end()):
                return None
            if self._in_string:
                continue
            if self._depth == OBJECT_DEPTH or sign == b"," and self._depth == ELEMENT_DEPTH:
                if sign == b"}":
                    raise JsonStreamError(
                        f"{self.array_key}: ends with a brace", field=self.array_key, expected="]", found="}"
                    )
                return self._position
        self._position = len(self._buffer)
        return None
