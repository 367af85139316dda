"""A run of JSON texts (RFC 8259) in a byte stream: bytes in, values out, the same for any split, lines or none."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from typing import Any, NoReturn

VISIBLE = re.compile(rb"[^ \t\r\n]")
OUTSIDE = re.compile(rb'["{}\[\]]')
BETWEEN = re.compile(rb'["{}\[\],]')  # the same among the elements of an array
INSIDE = re.compile(rb'["\\\x00-\x1f]')
DEEPEST = 32  # levels: a list of endpoints has three
STEP = 64 * 1024  # bytes: a longer object comes in parts, if it may; and the most of one element of it
PIECE = 16 * 1024  # bytes that are looked at in one go
QUICK = 2 * 1024  # bytes from which on elements are read together: one by one costs ten times as much


def _number(text: str) -> NoReturn:
    raise ValueError(f"{text} is no JSON")  # the library takes NaN and Infinity


DECODER = json.JSONDecoder(parse_constant=_number)


def _read(text: bytes | bytearray) -> Any:
    """Raises ValueError, RecursionError. In UTF-8 alone: the library guesses at others by what a text begins with."""
    return DECODER.decode(text.decode("utf-8", "surrogatepass"))


@dataclass(frozen=True, slots=True)
class Part:
    """Elements, in order, of the array of an object that is too long to come whole."""

    head: dict[str, Any]  # the members before the array: the same in each part
    elements: list[Any]
    first: bool
    last: bool  # the object is complete, and sound


class Objects:
    """Cuts objects and arrays out of a stream; what stands between them may only be blank. `most` bounds the bytes of
    one. Raises ValueError for good from the first fault on: nothing says where the next value begins.

    Objects of more than `step` bytes whose member `array` is an array that begins within these come as `Part`s instead,
    as long as the members `before` stand before it: what they say of the rest has to be known first. Their elements are
    bounded by `step` each, and `most` bounds what stands behind the array, so that memory is bounded however long it
    is. An element comes once the comma or bracket behind it has come, and none that stands behind a fault."""

    def __init__(self, most: int, array: str = "", before: tuple[str, ...] = (), step: int = STEP) -> None:
        self.most, self.array, self.before, self.step = most, array, before, step
        self.failed: ValueError | None = None
        self._opens = re.compile(rb'"%s"[ \t\r\n]*:[ \t\r\n]*\[\Z' % array.encode())
        self._buf = bytearray()
        self._at = 0  # read up to here
        self._depth = 0
        self._quoted = False
        self._elements = 0  # where those of the array begin; 0: it has not been met
        self._long = False  # longer than a step, and not in parts so far
        self._head: dict[str, Any] | None = None  # of the object that comes in parts
        self._inside = False  # its array has not ended
        self._told = self._some = False  # a part of it was handed out; its array has elements
        self._single = False  # elements are read one by one until more bytes come

    @property
    def part(self) -> bool:
        """A value has begun and is not complete."""
        return bool(self._buf) or self._head is not None

    def feed(self, data: bytes) -> list[Any]:
        """The values, and parts of values, that these bytes complete. A fault behind the last of them is raised by the
        next call."""
        if self.failed:
            raise self.failed
        found: list[Any] = []
        try:
            for at in range(0, len(data), PIECE):
                self._buf += data[at : at + PIECE]
                self._single = False
                while self._next(found):
                    pass
        except (ValueError, RecursionError) as error:  # UnicodeDecodeError and JSONDecodeError are ValueErrors
            self.failed = ValueError(str(error))
            self._buf.clear()
            self._head = None
            if not found:
                raise self.failed from error
        return found

    def _next(self, found: list[Any]) -> bool:
        """One step; whether there may be another one."""
        if self._head is not None:
            return self._go_on(self._head, found)
        end = self._end(0, len(self._buf) if self._long else self.step)
        if end is None and not self._long and len(self._buf) > self.step:
            self._long = True
            self._parts()
            return True
        self._bound(end)
        if end is None:
            return False
        found.append(_read(self._buf[:end]))
        self._cut(end)
        return True

    def _cut(self, end: int) -> None:
        """What stands before is done with."""
        del self._buf[:end]
        self._at = self._depth = self._elements = 0
        self._long = False

    def _bound(self, end: int | None) -> None:
        if (end or len(self._buf)) > self.most:
            raise ValueError(f"a value of more than {self.most} bytes")

    def _end(self, depth: int, stop: int) -> int | None:
        """Where the value that the buffer begins with ends; None while that has not come, or lies behind `stop`. With
        `depth` the buffer begins inside so many levels."""
        if not self._depth:
            if not depth:
                first = VISIBLE.search(self._buf)
                if first and first[0] not in b"{[":
                    raise ValueError("neither an object nor an array")
                del self._buf[: first.start() if first else len(self._buf)]
            self._depth = depth
        while found := (INSIDE if self._quoted else OUTSIDE).search(self._buf, self._at, stop):
            sign = found[0]
            if not self._pass(sign, found.end()):
                return None
            if self._quoted or sign == b'"':
                continue
            if sign == b"[" and self._depth == 2 and not self._elements and self.array and self._buf[:1] == b"{":
                near = self._buf[max(0, self._at - len(self.array) - 64) : self._at]
                self._elements = self._at if self._opens.search(near) else 0
            if not self._depth:
                return self._at
        self._at = max(self._at, min(stop, len(self._buf)))
        return None

    def _pass(self, sign: bytes, end: int) -> bool:
        """Counts one sign, which ends at `end`. False: what it escapes has not come."""
        if sign == b'"':
            self._quoted = not self._quoted
        elif sign == b"\\":
            if end == len(self._buf):
                self._at = end - 1
                return False
            end += 1
        elif self._quoted:
            raise ValueError("a control character in a string")
        elif sign in b"{[":
            self._depth += 1
            if self._depth > DEEPEST:
                raise ValueError(f"more than {DEEPEST} levels")
        elif sign in b"}]":
            self._depth -= 1
        self._at = end
        return True

    # -- objects that come in parts ------------------------------------------------------------------------

    def _parts(self) -> None:
        """The object that the buffer begins with comes in parts from now on, if it may."""
        head = _read(self._buf[: self._elements] + b"]}") if self._elements else {}
        if head.get(self.array) == [] and all(name in head for name in self.before):
            del head[self.array]
            self._head, self._inside, self._told, self._some, self._quoted = head, True, False, False, False
            self._cut(self._elements)

    def _go_on(self, head: dict[str, Any], found: list[Any]) -> bool:
        if self._inside:
            elements: list[Any] = []
            try:
                while self._inside and self._take(elements):
                    pass
            finally:  # what stands before a fault is told first
                if elements:
                    found.append(Part(head, elements, not self._told, False))
                    self._told = True
            if self._inside:
                return False
        end = self._end(1, len(self._buf))
        self._bound(end)
        if end is None:
            return False
        rest = _read(b'{"":0' + self._buf[:end])
        if twice := [name for name in rest if name == self.array or name in head]:
            raise ValueError(f"{twice[0]}: told twice")
        found.append(Part(head, [], not self._told, True))
        self._head = None
        self._cut(end)
        return True

    def _take(self, elements: list[Any]) -> bool:
        """The next elements of the array; False while they have not come."""
        if not self._at and not self._single and len(self._buf) >= QUICK:
            if self._together(elements):
                return True
            self._single = True
        end = self._separator()
        if (end or len(self._buf) + 1) - 1 > self.step:
            raise ValueError(f"{self.array}: an element of more than {self.step} bytes")
        if end is None:
            return False
        text, ends = self._buf[: end - 1], self._buf[end - 1 : end] == b"]"
        if self._some or not ends or VISIBLE.search(text):
            elements.append(_read(text))
        self._some, self._inside = True, not ends
        self._cut(end)
        return not ends

    def _together(self, elements: list[Any]) -> bool:
        """All elements up to the last that surely ends in the buffer, read in one go: what parses up to there is what
        was meant. False: they are to be read one by one, for a fault, or a comma that stands inside one of them."""
        end = self._buf.rfind(b"},", 0, self.step + 1) + 1
        if not end:
            return False
        text = self._buf[:end]
        try:
            several = _read(b"[" + text + b"]")
        except (ValueError, RecursionError):
            return False
        inner = text.count(b"{") + text.count(b"[") - sum(isinstance(each, (dict, list)) for each in several)
        if inner > DEEPEST - 3:  # one of them may be too deep
            return False
        elements += several
        self._some = True
        self._cut(end + 1)
        return True

    def _separator(self) -> int | None:
        """Behind the comma or bracket that ends the element that the buffer begins with; None while that has not
        come."""
        self._depth = self._depth or 2
        while found := (INSIDE if self._quoted else BETWEEN if self._depth == 2 else OUTSIDE).search(
            self._buf, self._at
        ):
            sign = found[0]
            if not self._pass(sign, found.end()):
                return None
            if not self._quoted and (self._depth == 1 or sign == b"," and self._depth == 2):
                if sign == b"}":
                    raise ValueError(f"{self.array}: ends with a brace")
                return self._at
        self._at = len(self._buf)
        return None
