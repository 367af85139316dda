"""Finds the ends of JSON values (RFC 8259) in a growing buffer without parsing them; parses single values."""

from __future__ import annotations

import json
import re
from typing import Any, NoReturn

from ..errors import ProtocolError

NOT_BLANK = re.compile(rb"[^ \t\r\n]")
STRUCTURE = re.compile(rb'["{}\[\]]')  # significant characters outside of strings
ELEMENT_STRUCTURE = re.compile(rb'["{}\[\],]')  # significant characters between the elements of an array
STRING_STRUCTURE = re.compile(rb'["\\\x00-\x1f]')  # significant characters inside of strings
MAX_DEPTH = 32  # levels of nesting; a list of endpoints has three
ARRAY_KEY_SLACK = 64  # bytes for quotes, colon and blanks around the key of the array
OBJECT_DEPTH = 1  # level of nesting inside an object that is read in parts
ELEMENT_DEPTH = 2  # level of nesting inside the array of that object


class JsonStreamError(ProtocolError):
    """The stream is not JSON that this reader accepts."""


def _reject_constant(text: str) -> NoReturn:
    """Reject NaN and Infinity, which the `json` module accepts by default."""
    raise JsonStreamError(f"{text} is not a JSON number", expected="a JSON number", found=text)


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def parse_json(text: bytes | bytearray) -> Any:
    """Parse one JSON value in UTF-8; `json.loads` would also accept other encodings, guessed from the first bytes.

    Raises:
        ValueError: The value is not JSON, or not UTF-8.
        RecursionError: The value is nested too deeply.
    """
    return _DECODER.decode(text.decode("utf-8", "surrogatepass"))


class JsonScanner:
    """A buffer that begins with a value or an array element, and the state of the scan for the end of it.

    Attributes:
        data: The bytes; the reader appends to it.
        elements_start: Position of the first element of the array that may be read in parts; 0 = not found yet.
    """

    __slots__ = ("_array_key", "_array_opening", "_depth", "_in_string", "_position", "data", "elements_start")

    def __init__(self, array_key: str) -> None:
        """Start with an empty buffer.

        Args:
            array_key: Key of the array that may be read in parts; empty if there is none.
        """
        self.data = bytearray()
        self.elements_start = 0
        self._array_key = array_key
        self._array_opening = re.compile(rb'"%s"[ \t\r\n]*:[ \t\r\n]*\[\Z' % array_key.encode())
        self._position = 0  # the end of the scanned bytes
        self._depth = 0  # levels of nesting at `_position`; 0 = the scan has not begun
        self._in_string = False

    @property
    def has_begun(self) -> bool:
        """Whether the first value or element in the buffer has been scanned in part."""
        return self._position > 0

    def discard(self, end: int) -> None:
        """Drop the bytes before `end` and begin a new scan."""
        del self.data[:end]
        self.elements_start = 0
        self._position = 0
        self._depth = 0
        self._in_string = False

    def find_value_end(self, depth: int, stop: int) -> int | None:
        """Find the end of the value at the start of the buffer.

        Args:
            depth: Levels of nesting at the start of the buffer.
            stop: Position at which the scan stops.

        Returns:
            The position after the value; None if its end is not received yet, or is after `stop`.
        """
        if not self._depth:
            if not depth:
                self._skip_blanks()
            self._depth = depth
        data = self.data
        while match := (STRING_STRUCTURE if self._in_string else STRUCTURE).search(data, self._position, stop):
            character = match[0]
            if not self._process_character(character, match.end()):
                return None
            if self._in_string or character == b'"':
                continue
            if character == b"[" and self._depth == ELEMENT_DEPTH and not self.elements_start and self._array_key:
                self._record_array_start()
            if not self._depth:
                return self._position
        self._position = max(self._position, min(stop, len(data)))
        return None

    def find_element_end(self) -> int | None:
        """Return the position after the comma or bracket that ends the first element; None until it is received."""
        self._depth = self._depth or ELEMENT_DEPTH
        while match := self._element_pattern().search(self.data, self._position):
            character = match[0]
            if not self._process_character(character, match.end()):
                return None
            if self._in_string:
                continue
            ends_array = self._depth == OBJECT_DEPTH
            if ends_array and character == b"}":
                raise JsonStreamError(
                    f"{self._array_key}: array closed by a brace", field=self._array_key, expected="]", found="}"
                )
            if ends_array or (character == b"," and self._depth == ELEMENT_DEPTH):
                return self._position
        self._position = len(self.data)
        return None

    def _element_pattern(self) -> re.Pattern[bytes]:
        """Return the pattern of the characters that are significant next in an array."""
        if self._in_string:
            return STRING_STRUCTURE
        return ELEMENT_STRUCTURE if self._depth == ELEMENT_DEPTH else STRUCTURE

    def _skip_blanks(self) -> None:
        first = NOT_BLANK.search(self.data)
        if first and first[0] not in b"{[":
            raise JsonStreamError("neither an object nor an array", expected="{ or [", found=repr(first[0]))
        del self.data[: first.start() if first else len(self.data)]

    def _record_array_start(self) -> None:
        """Set `elements_start` if the bracket that was scanned last opens the array."""
        if self.data[:1] != b"{":
            return
        preceding = self.data[max(0, self._position - len(self._array_key) - ARRAY_KEY_SLACK) : self._position]
        if self._array_opening.search(preceding):
            self.elements_start = self._position

    def _process_character(self, character: bytes, end: int) -> bool:
        """Update the state of the scan for a character that ends at `end`.

        Returns:
            False if it is a backslash and the character that it escapes is not received yet.
        """
        if character == b'"':
            self._in_string = not self._in_string
        elif character == b"\\":
            if end == len(self.data):
                self._position = end - 1
                return False
            end += 1
        elif self._in_string:
            raise JsonStreamError("a control character in a string", expected="an escape", found=repr(character))
        elif character in b"{[":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise JsonStreamError(f"more than {MAX_DEPTH} levels", expected=f"<= {MAX_DEPTH} levels")
        elif character in b"}]":
            self._depth -= 1
        self._position = end
        return True
