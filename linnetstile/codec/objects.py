"""A run of JSON texts (RFC 8259) in a byte stream: bytes in, values out, the same for any split, lines or none."""

from __future__ import annotations

import json
import re
from typing import Any, NoReturn

VISIBLE = re.compile(rb"[^ \t\r\n]")
OUTSIDE = re.compile(rb'["{}\[\]]')
INSIDE = re.compile(rb'["\\\x00-\x1f]')
DEEPEST = 32  # levels: a list of endpoints has three


def _number(text: str) -> NoReturn:
    raise ValueError(f"{text} is no JSON")  # the library takes NaN and Infinity


class Objects:
    """Cuts objects and arrays out of a stream; what stands between them may only be blank. `most` bounds the bytes of
    one. Raises ValueError for good from the first fault on: nothing says where the next value begins."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.failed: ValueError | None = None
        self._buf = bytearray()
        self._at = 0  # read up to here
        self._depth = 0
        self._quoted = False

    @property
    def part(self) -> bool:
        """A value has begun and is not complete."""
        return bool(self._buf)

    def feed(self, data: bytes) -> list[Any]:
        """The values that these bytes complete. A fault behind the last of them is raised by the next call."""
        if self.failed:
            raise self.failed
        self._buf += data
        found: list[Any] = []
        try:
            while (end := self._end()) is not None:
                found.append(json.loads(self._buf[:end], parse_constant=_number))
                del self._buf[:end]
                self._at = 0
            if len(self._buf) > self.most:
                raise ValueError(f"a value of more than {self.most} bytes")
        except (ValueError, RecursionError) as error:  # UnicodeDecodeError and JSONDecodeError are ValueErrors
            self.failed = ValueError(str(error))
            self._buf.clear()
            if not found:
                raise self.failed from error
        return found

    def _end(self) -> int | None:
        """Where the value that the buffer begins with ends; None while that has not come."""
        if not self._depth:
            first = VISIBLE.search(self._buf)
            if first and first[0] not in b"{[":
                raise ValueError("neither an object nor an array")
            del self._buf[: first.start() if first else len(self._buf)]
        while found := (INSIDE if self._quoted else OUTSIDE).search(self._buf, self._at):
            sign = found[0]
            self._at = found.end()
            if sign == b'"':
                self._quoted = not self._quoted
            elif sign == b"\\":
                if self._at == len(self._buf):  # what it escapes has not come
                    self._at -= 1
                    return None
                self._at += 1
            elif self._quoted:
                raise ValueError("a control character in a string")
            elif sign in b"{[":
                self._depth += 1
                if self._depth > DEEPEST:
                    raise ValueError(f"more than {DEEPEST} levels")
            else:
                self._depth -= 1
                if not self._depth:
                    return self._at
        self._at = len(self._buf)
        return None
