"""Finds where JSON values (RFC 8259) end in a buffer that grows, without parsing them; parses single values."""

from __future__ import annotations

import json
import re
from typing import Any, NoReturn

from ..errors import ProtocolError

NOT_BLANK = re.compile(rb"[^ \t\r\n]")
STRUCTURE = re.compile(rb'["{}\[\]]')  # what counts outside of strings
ELEMENT_STRUCTURE = re.compile(rb'["{}\[\],]')  # the same among the elements of an array
STRING_STRUCTURE = re.compile(rb'["\\\x00-\x1f]')  # what counts inside of strings
MAX_DEPTH = 32  # levels of nesting: a list of endpoints has three
ARRAY_KEY_SLACK = 64  # bytes for quotes, colon and blanks around the key of the array
OBJECT_DEPTH = 1  # inside an object that is read in parts
ELEMENT_DEPTH = 2  # inside its array


class JsonStreamError(ProtocolError):
    """The stream is not JSON as this reader accepts it."""


def _reject_constant(text: str) -> NoReturn:
    raise JsonStreamError(f"{text} is no JSON", expected="a JSON number", found=text)  # json accepts NaN and Infinity


_DECODER = json.JSONDecoder(parse_constant=_reject_constant)


def parse_json(text: bytes | bytearray) -> Any:
    """Parse one JSON value, in UTF-8 alone: `json.loads` guesses at other encodings by the first bytes.

    Raises:
        ValueError: It is not JSON, or not UTF-8.
        RecursionError: It is nested too deeply.
    """
    return _DECODER.decode(text.decode("utf-8", "surrogatepass"))


class JsonScanner:
    """A buffer that begins with a value, or with an element of an array, and how far it has been scanned.

    Attributes:
        data: The bytes; appended to by the reader.
        elements_start: Where the elements begin of the array that may come in parts; 0 while it was not found.
    """

    __slots__ = ("_array_key", "_array_opening", "_depth", "_in_string", "_position", "data", "elements_start")

    def __init__(self, array_key: str) -> None:
        """Start with an empty buffer.

        Args:
            array_key: Key of the array whose start is noted; empty if there is none.
        """
        self.data = bytearray()
        self.elements_start = 0
        self._array_key = array_key
        self._array_opening = re.compile(rb'"%s"[ \t\r\n]*:[ \t\r\n]*\[\Z' % array_key.encode())
        self._position = 0  # scanned up to here
        self._depth = 0  # levels of nesting at the position; 0 = the scan has not begun
        self._in_string = False

    @property
    def has_begun(self) -> bool:
        """Whether a part of what the buffer begins with has been scanned."""
        return self._position > 0

    def discard(self, end: int) -> None:
        """Drop the bytes before `end` and begin another scan."""
        del self.data[:end]
        self.elements_start = 0
        self._position = 0
        self._depth = 0
        self._in_string = False

    def find_value_end(self, depth: int, stop: int) -> int | None:
        """Find where the value ends that the buffer begins with.

        Args:
            depth: Levels of nesting that the buffer begins in.
            stop: Where the scan stops.

        Returns:
            The end; None while it was not received, or is after `stop`.
        """
        if not self._depth:
            if not depth:
                self._skip_blanks()
            self._depth = depth
        data = self.data
        while match := (STRING_STRUCTURE if self._in_string else STRUCTURE).search(data, self._position, stop):
            sign = match[0]
            if not self._count(sign, match.end()):
                return None
            if self._in_string or sign == b'"':
                continue
            if sign == b"[" and self._depth == ELEMENT_DEPTH and not self.elements_start and self._array_key:
                self._note_array_start()
            if not self._depth:
                return self._position
        self._position = max(self._position, min(stop, len(data)))
        return None

    def find_element_end(self) -> int | None:
        """Return the end of the comma or bracket after the first element; None while that was not received."""
        self._depth = self._depth or ELEMENT_DEPTH
        while match := self._element_structure().search(self.data, self._position):
            sign = match[0]
            if not self._count(sign, match.end()):
                return None
            if self._in_string:
                continue
            ends_array = self._depth == OBJECT_DEPTH
            if ends_array and sign == b"}":
                raise JsonStreamError(
                    f"{self._array_key}: ends with a brace", field=self._array_key, expected="]", found="}"
                )
            if ends_array or (sign == b"," and self._depth == ELEMENT_DEPTH):
                return self._position
        self._position = len(self.data)
        return None

    def _element_structure(self) -> re.Pattern[bytes]:
        """Return the pattern of what counts next among the elements of an array."""
        if self._in_string:
            return STRING_STRUCTURE
        return ELEMENT_STRUCTURE if self._depth == ELEMENT_DEPTH else STRUCTURE

    def _skip_blanks(self) -> None:
        first = NOT_BLANK.search(self.data)
        if first and first[0] not in b"{[":
            raise JsonStreamError("neither an object nor an array", expected="{ or [", found=repr(first[0]))
        del self.data[: first.start() if first else len(self.data)]

    def _note_array_start(self) -> None:
        """Remember that the array begins here, if the bracket just scanned opens it."""
        if self.data[:1] != b"{":
            return
        near = self.data[max(0, self._position - len(self._array_key) - ARRAY_KEY_SLACK) : self._position]
        if self._array_opening.search(near):
            self.elements_start = self._position

    def _count(self, sign: bytes, end: int) -> bool:
        """Count one sign, which ends at `end`; return False if what it escapes was not received."""
        if sign == b'"':
            self._in_string = not self._in_string
        elif sign == b"\\":
            if end == len(self.data):
                self._position = end - 1
                return False
            end += 1
        elif self._in_string:
            raise JsonStreamError("a control character in a string", expected="an escape", found=repr(sign))
        elif sign in b"{[":
            self._depth += 1
            if self._depth > MAX_DEPTH:
                raise JsonStreamError(f"more than {MAX_DEPTH} levels", expected=f"<= {MAX_DEPTH} levels")
        elif sign in b"}]":
            self._depth -= 1
        self._position = end
        return True
